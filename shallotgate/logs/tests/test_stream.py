import os
import time

from shallotgate.logs import NonBlockingStream


def test_stalled_reader_loses_lines_without_blocking():
    """Requests must not block on a log reader that has stopped reading."""
    reader, writer = os.pipe()
    stream = NonBlockingStream(writer)
    started_at = time.monotonic()
    for number in range(20_000):
        stream.write(f'line {number:05} {"x" * 80}\n')
    assert time.monotonic() - started_at < 5
    assert stream.dropped > 10_000
    os.set_blocking(reader, False)
    received = b''
    while True:
        stream.flush()
        try:
            received += os.read(reader, 65536)
        except BlockingIOError:
            break
    lines = received.splitlines()
    assert len(lines) + stream.dropped == 20_000
    assert all(len(line) == 91 for line in lines)
