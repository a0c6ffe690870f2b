import subprocess
import sys

# Each round decodes a new tree of dataclasses in several threads at once. A
# short switch interval makes the threads meet inside the library.
SCRIPT = """
import dataclasses, sys, threading
from shallotgate.codec import decode_json, load_builtins

ROUNDS, THREADS, DEPTH = 150, 4, 6
sys.setswitchinterval(1e-6)

def make_tree():
    tree = dataclasses.make_dataclass('Leaf', [('x', int, 0)])
    for level in range(DEPTH):
        tree = dataclasses.make_dataclass(
            f'Level{level}',
            [('child', tree | None, None), ('x', int, 0)],
        )
    return tree

def decode(number, tree, barrier):
    barrier.wait()
    if number % 2:
        decode_json(b'{"child":{"x":3}}', tree)
    else:
        load_builtins({'child': {'x': 3}}, tree)

for _ in range(ROUNDS):
    tree, barrier = make_tree(), threading.Barrier(THREADS)
    threads = [
        threading.Thread(target=decode, args=(number, tree, barrier))
        for number in range(THREADS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
"""


def test_type_first_used_by_several_threads_does_not_crash():
    """Guards against a crash on the first use of a type.

    The library reads the fields of a dataclass once and keeps them in the
    class; a thread that used them before they were complete ended an entry
    with a segmentation fault.
    """
    finished = subprocess.run([sys.executable, '-c', SCRIPT], timeout=120)
    assert finished.returncode == 0
