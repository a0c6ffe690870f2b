"""Replies that are no final response of HTTP/1.x."""

_STATUS = b'HTTP/1.1 200 OK\r\n'
_LENGTH = b'Content-Length: 2\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n'
INVALID = {
    **{
        f'status {status}': b'HTTP/1.1 %s Odd\r\n' % status.encode()
        + _LENGTH
        + b'\r\nok'
        for status in ('000', '099', '101', '600', '999', '1000', '-20', '2x0')
    },
    'two lengths': _STATUS + _LENGTH + _LENGTH + b'\r\nok',
    'other lengths': _STATUS + _LENGTH + b'Content-Length: 1\r\n\r\nok',
    'length and chunks': _STATUS
    + _LENGTH
    + _CHUNKED
    + b'\r\n2\r\nok\r\n0\r\n\r\n',
    'chunks and length': _STATUS
    + _CHUNKED
    + _LENGTH
    + b'\r\n2\r\nok\r\n0\r\n\r\n',
    'NUL in a value': _STATUS + _LENGTH + b'A: b\x00c\r\n\r\nok',
    'NUL in a name': _STATUS + _LENGTH + b'A\x00: bc\r\n\r\nok',
    'HTTP/0.9': b'HTTP/0.9 200 OK\r\n' + _LENGTH + b'\r\nok',
    'HTTP/2.0': b'HTTP/2.0 200 OK\r\n' + _LENGTH + b'\r\nok',
}
# Interim responses that are skipped, before the final one.
INTERIM = (
    b'HTTP/1.1 100 Continue\r\n\r\n'
    b'HTTP/1.1 102 Processing\r\n\r\n'
    b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n'
)
