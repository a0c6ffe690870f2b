"""MessagePack codec for internal messages, JSON codec for external ones."""

from shallotgate.codec._tagged import (
    DECODE_ERRORS,
    CodecError,
    decode_json,
    decode_named,
    decode_tagged,
    dump_builtins,
    encode_json,
    encode_tagged,
    load_builtins,
)

__all__ = (
    'DECODE_ERRORS',
    'CodecError',
    'decode_json',
    'decode_named',
    'decode_tagged',
    'dump_builtins',
    'encode_json',
    'encode_tagged',
    'load_builtins',
)
