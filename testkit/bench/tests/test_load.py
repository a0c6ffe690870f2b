import contextlib
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from testkit.bench import Scenario
from testkit.bench._load import LoadGenerator

# More than the queries that one former generator had under way at most.
UNDER_WAY = 300
LIMIT_S = 20


class HeldServer(ThreadingHTTPServer):
    """Answers no query before as many as ``held`` have arrived."""

    daemon_threads = True
    request_queue_size = 1000

    def __init__(self, held):
        super().__init__(('127.0.0.1', 0), Handler)
        self.connections = set()
        self.contents = []
        self._held = held
        self._opened = threading.Event()

    @property
    def address(self):
        return f'127.0.0.1:{self.server_address[1]}'

    def hold(self):
        if len(self.contents) >= self._held:
            self._opened.set()
        return self._opened.wait(LIMIT_S)


class Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def do_POST(self):  # noqa: N802 - name of the library
        length = int(self.headers['Content-Length'])
        request = json.loads(self.rfile.read(length))
        self.server.connections.add(self.client_address)
        self.server.contents.append(request['query']['cheque'])
        outcome = 'complete' if self.server.hold() else 'held'
        shards = {'asked': 2, 'answered': 1}
        body = json.dumps(
            {'outcome': outcome, 'attempts': 3, 'shards': shards}
        ).encode()
        self.send_response(200)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        """Write nothing."""


@contextlib.contextmanager
def serve(held=1):
    server = HeldServer(held)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield server
    finally:
        server.shutdown()
        server.server_close()


def make_generator(rate_per_s, list_addresses, duration_s=1):
    scenario = Scenario('x', 'y', duration_s, 1, warm_up_s=0)
    return LoadGenerator(scenario, rate_per_s, 1, list_addresses, 'key')


def test_load_is_open():
    """Guards against a generator that waits for answers before it sends.

    The server answers only once more queries are under way than the former
    generator of 160 threads could send.
    """
    with serve(UNDER_WAY) as server:
        load = make_generator(UNDER_WAY * 1.2, lambda: [server.address])
        load.start()
        samples = load.wait()
    assert len(samples) >= UNDER_WAY
    assert {sample.outcome for sample in samples} == {'complete'}


def test_each_query_is_sent_and_recorded_once():
    """Guards against samples of the senders that are lost or counted twice."""
    with serve() as server:
        load = make_generator(200, lambda: [server.address])
        load.start()
        samples = load.wait()
    assert len(samples) > 100
    assert sorted(server.contents) == list(range(1, len(samples) + 1))
    assert {sample.outcome for sample in samples} == {'complete'}
    first = samples[0]
    assert (first.asked, first.answered, first.attempts) == (2, 1, 3)
    assert 0 <= first.lag_ms < first.elapsed_ms
    # Connections stay open, so there are fewer than queries.
    assert len(server.connections) < len(samples) / 2


def test_senders_learn_new_addresses():
    """Guards against load on an entry that has left the rotation."""
    with serve() as first, serve() as second:
        addresses = [first.address]
        load = make_generator(100, lambda: list(addresses), duration_s=2)
        load.start()

        def move():
            while not first.contents:
                time.sleep(0.01)
            addresses[:] = [second.address]

        mover = threading.Thread(target=move)
        mover.start()
        samples = load.wait()
        mover.join()
    assert first.contents
    assert second.contents
    assert len(first.contents) + len(second.contents) == len(samples)


def test_query_without_answer_is_cut():
    """Guards against queries that vanish when an entry is lost."""
    with serve() as server:
        address = server.address
    load = make_generator(50, lambda: [address])
    load.start()
    samples = load.wait()
    assert samples
    assert {sample.outcome for sample in samples} == {'cut'}


def test_time_runs_from_the_start_of_the_load():
    """Guards against scenario events that run before the load begins."""
    with serve() as server:
        scenario = Scenario('x', 'y', 0.2, 1, warm_up_s=1)
        load = LoadGenerator(scenario, 20, 1, lambda: [server.address], 'key')
        load.start()
        assert -1 <= load.read_elapsed_s() < 0
        samples = load.wait()
    assert samples[0].due_s < 0 < samples[-1].due_s
