"""MessagePack and JSON codecs for the generated dataclasses."""

import dataclasses
import inspect
import threading
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, TypeVar, cast

import msgspec

from shallotgate.errors import ShallotgateError
from shallotgate.generated import catalogue, messages

_T = TypeVar('_T')

_TYPES: Mapping[str, type] = MappingProxyType(
    {
        name: member
        # The catalogue is included because a Verdict is sent as the result of a
        # command.
        for module in (messages, catalogue)
        for name, member in inspect.getmembers(module, inspect.isclass)
        if dataclasses.is_dataclass(member)
    }
)
# Decoders by type name, created on first use: creating all of them takes a
# considerable part of the start-up time.
_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}
_json_decoders: dict[Any, msgspec.json.Decoder[Any]] = {}
# Held while a decoder is created. The library caches the fields of a dataclass
# in the class before they are complete; a second thread that meets the class
# in that state crashes the process.
_creation_lock = threading.Lock()
_TAGGED_DECODER = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_ENCODER = msgspec.msgpack.Encoder()


# Errors of a decoder whose input was written by others. Very deep nesting
# raises the last one.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class CodecError(ShallotgateError):
    """The input is not a valid message of the expected type."""


def encode_tagged(message: object) -> bytes:
    """Encode a message as a pair of its type name and its body.

    Commands are stored in this form.

    >>> decode_tagged(encode_tagged(messages.Done(changed=True)))
    Done(changed=True, reason='')
    """
    return _ENCODER.encode((type(message).__name__, message))


def decode_tagged(encoded: bytes) -> Any:
    """Decode a message that was encoded with its type name."""
    try:
        name, body = _TAGGED_DECODER.decode(encoded)
    except msgspec.MsgspecError as error:
        raise CodecError(f'invalid tagged message: {error}') from error
    return decode_named(name, body)


def decode_named(name: str, body: bytes | msgspec.Raw) -> Any:
    """Decode the body of a message with a given type name."""
    decoder = _decoders.get(name)
    if decoder is None:
        if name not in _TYPES:
            raise CodecError(f'unknown message type {name!r}')
        with _creation_lock:
            decoder = msgspec.msgpack.Decoder(_TYPES[name])
        _decoders[name] = decoder
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise CodecError(f'invalid {name}: {error}') from error


def _get_json_decoder(expected_type: Any) -> msgspec.json.Decoder[Any]:
    decoder = _json_decoders.get(expected_type)
    if decoder is None:
        with _creation_lock:
            decoder = msgspec.json.Decoder(expected_type)
        _json_decoders[expected_type] = decoder
    return decoder


def _convert_mapping(unsupported: object) -> object:
    """Convert a mapping that msgspec can't encode into a dict.

    Read-only views of the state contain such mappings.
    """
    if isinstance(unsupported, Mapping):
        return dict(unsupported)
    raise NotImplementedError(
        f'{type(unsupported).__name__} can not be encoded'
    )


def encode_json(message: object) -> bytes:
    """Encode a message as JSON.

    >>> encode_json(MappingProxyType({'a': 1}))
    b'{"a":1}'
    """
    return msgspec.json.encode(message, enc_hook=_convert_mapping)


def decode_json(encoded: bytes, expected_type: type[_T]) -> _T:
    """Decode JSON into a type; raises ``CodecError``."""
    decoder = _get_json_decoder(expected_type)
    try:
        return cast(_T, decoder.decode(encoded))
    except DECODE_ERRORS as error:
        raise CodecError(str(error)) from error


def dump_builtins(message: object) -> Any:
    """Convert a message into dicts, lists and scalars."""
    return msgspec.to_builtins(message, enc_hook=_convert_mapping)


def load_builtins(content: object, expected_type: type[_T]) -> _T:
    """Convert dicts, lists and scalars to a type; raises ``CodecError``."""
    # Completes the library's cache of the type's fields.
    _get_json_decoder(expected_type)
    try:
        return msgspec.convert(content, type=expected_type)
    except msgspec.MsgspecError as error:
        raise CodecError(str(error)) from error
