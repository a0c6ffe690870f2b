import os
import signal
import subprocess
import sys
import time

from shallotgate.membership import LeaseHolder

_CHILD = """
import os, signal, time
from shallotgate.membership import LeaseHolder
lease = LeaseHolder()
sent_at = time.monotonic()
lease.extend(sent_at + 0.4)
print(lease.remaining_s() > 0, flush=True)
os.kill(os.getpid(), signal.SIGSTOP)
print(lease.remaining_s() > 0, flush=True)
# The reply that waited in the socket while the process was stopped.
lease.extend(sent_at + 0.4)
print(lease.remaining_s() > 0, flush=True)
"""


def test_late_replies_do_not_change_the_lease():
    """Guards against late replies that change or renew a lease."""
    lease = LeaseHolder()
    now = time.monotonic()
    assert lease.remaining_s() <= 0
    lease.extend(now + 4)
    lease.extend(now + 3)
    assert 3.5 < lease.remaining_s() <= 4
    lease.revoke()
    lease.extend(now + 4)
    assert lease.remaining_s() <= 0


def test_frozen_process_wakes_without_a_lease():
    """Guards against dispatch by a process resumed after its lease."""
    with subprocess.Popen(
        [sys.executable, '-c', _CHILD], stdout=subprocess.PIPE, text=True
    ) as child:
        assert child.stdout.readline() == 'True\n'
        os.waitid(os.P_PID, child.pid, os.WSTOPPED | os.WNOWAIT)
        wake_at = time.monotonic() + 0.5
        while time.monotonic() < wake_at:
            time.sleep(0.05)
        os.kill(child.pid, signal.SIGCONT)
        assert child.stdout.read() == 'False\nFalse\n'
