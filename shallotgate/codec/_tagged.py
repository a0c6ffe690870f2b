"""MessagePack and JSON for the generated dataclasses."""

import dataclasses
import inspect
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, TypeVar

import msgspec

from shallotgate.errors import ShallotgateError
from shallotgate.generated import catalogue, messages

_T = TypeVar('_T')

_TYPES: Mapping[str, type] = MappingProxyType(
    {
        name: member
        # A Verdict of the catalogue travels as the result of a command.
        for module in (messages, catalogue)
        for name, member in inspect.getmembers(module, inspect.isclass)
        if dataclasses.is_dataclass(member)
    }
)
# Decoders of the types that came so far: to make all of them takes a good part
# of the time to start.
_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}
_TAGGED = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_ENCODER = msgspec.msgpack.Encoder()


class CodecError(ShallotgateError):
    """Bytes are not a valid message of the expected type."""


def encode_tagged(message: object) -> bytes:
    """Encode a message with its type name, as commands are stored.

    >>> decode_tagged(encode_tagged(messages.Done(changed=True)))
    Done(changed=True, reason='')
    """
    return _ENCODER.encode((type(message).__name__, message))


def decode_tagged(encoded: bytes) -> Any:
    """Decode a message that carries its type name."""
    try:
        name, raw = _TAGGED.decode(encoded)
    except msgspec.MsgspecError as error:
        raise CodecError(f'not a tagged message: {error}') from error
    return decode_named(name, raw)


def decode_named(name: str, raw: bytes | msgspec.Raw) -> Any:
    """Decode a message whose type name is known."""
    decoder = _decoders.get(name)
    if decoder is None:
        if name not in _TYPES:
            raise CodecError(f'unknown message type {name!r}')
        decoder = msgspec.msgpack.Decoder(_TYPES[name])
        _decoders[name] = decoder
    try:
        return decoder.decode(raw)
    except msgspec.MsgspecError as error:
        raise CodecError(f'invalid {name}: {error}') from error


def _open_mapping(part: object) -> object:
    """Turn a read-only mapping, as views have them, into a dict."""
    if isinstance(part, Mapping):
        return dict(part)
    raise NotImplementedError(f'{type(part).__name__} can not be encoded')


def encode_json(message: object) -> bytes:
    """Encode as JSON.

    >>> encode_json(MappingProxyType({'a': 1}))
    b'{"a":1}'
    """
    return msgspec.json.encode(message, enc_hook=_open_mapping)


def decode_json(encoded: bytes, expected: type[_T]) -> _T:
    """Decode JSON as a type; raises ``CodecError``."""
    try:
        return msgspec.json.decode(encoded, type=expected)
    except msgspec.MsgspecError as error:
        raise CodecError(str(error)) from error


def dump_builtins(message: object) -> Any:
    """Turn a message into dicts, lists and scalars."""
    return msgspec.to_builtins(message, enc_hook=_open_mapping)


def load_builtins(content: object, expected: type[_T]) -> _T:
    """Turn dicts, lists and scalars into a type; raises ``CodecError``."""
    try:
        return msgspec.convert(content, type=expected)
    except msgspec.MsgspecError as error:
        raise CodecError(str(error)) from error
