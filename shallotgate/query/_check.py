"""Check of a caller's request against the catalogue."""

import dataclasses
import re
from collections.abc import Iterator, Mapping
from datetime import UTC, datetime
from typing import Any

import msgspec
import xxhash

from shallotgate.generated.answers import AnswerFinding, QueryRequest
from shallotgate.generated.catalogue import Catalogue, ClassPolicy

_KEY_PATTERN = re.compile(r'(\d{8}T\d{6}Z)-[A-Za-z0-9._-]{8,64}')
_KEY_TIME = '%Y%m%dT%H%M%SZ'
_FIELD_NAMES = tuple(one.name for one in dataclasses.fields(QueryRequest))
_CANONICAL = msgspec.json.Encoder(order='deterministic')
# Reason of the finding on which the caller's rights, not its text, depend.
CLASS_FORBIDDEN_REASON = 'the caller may not use this class'


def validate_fields(
    catalogue: Catalogue,
    caller: str,
    fields: Mapping[str, Any],
) -> list[AnswerFinding]:
    """Return all faults of a request that its schema does not tell.

    ``fields`` holds the fields of a ``QueryRequest`` that have valid types;
    one that is left out is not checked.
    """
    policy = catalogue.classes.get(fields.get('class_name', ''))
    return [
        AnswerFinding(path=path, reason=reason)
        for path, reason in (
            *_check_place(catalogue, caller, fields),
            *_check_time(policy, fields),
            *_check_key(policy, fields.get('key')),
        )
    ]


def validate_request(
    catalogue: Catalogue,
    caller: str,
    request: QueryRequest,
) -> list[AnswerFinding]:
    """Return all faults of a request whose types are valid."""
    # Not vars(): msgspec leaves fields with their default out of it.
    fields = {name: getattr(request, name) for name in _FIELD_NAMES}
    return validate_fields(catalogue, caller, fields)


def canonicalize_request(request: QueryRequest) -> tuple[str, bytes]:
    """Return the digest of a request's content and its query as JSON.

    Requests with the same group, class and query have the same digest,
    whatever the order of keys.

    >>> first = QueryRequest(group='g', class_name='c', query={'a': 1, 'b': 2})
    >>> second = QueryRequest(group='g', class_name='c', query={'b': 2, 'a': 1})
    >>> canonicalize_request(first) == canonicalize_request(second)
    True
    """
    body = _CANONICAL.encode(request.query)
    scope = _CANONICAL.encode((request.group, request.class_name))
    return xxhash.xxh3_128_hexdigest(scope + body), body


def parse_cutoff(text: str) -> float:
    """Return a cut-off in seconds since 1970; raises ``ValueError``.

    >>> parse_cutoff('1970-01-01T00:01:00Z')
    60.0
    """
    moment = datetime.fromisoformat(text)
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return moment.timestamp()


_Fault = tuple[str, str]


def _check_place(
    catalogue: Catalogue,
    caller: str,
    fields: Mapping[str, Any],
) -> Iterator[_Fault]:
    entry = catalogue.callers.get(caller)
    if entry is None:
        yield 'caller', 'unknown caller'
    group = fields.get('group')
    services = catalogue.services.values()
    if group is not None and all(one.group != group for one in services):
        yield 'group', f'unknown group {group!r}'
    class_name = fields.get('class_name')
    if class_name is None:
        return
    if class_name not in catalogue.classes:
        yield 'class_name', f'unknown class {class_name!r}'
    elif entry is not None and class_name not in entry.classes:
        yield 'class_name', CLASS_FORBIDDEN_REASON


def _check_time(
    policy: ClassPolicy | None,
    fields: Mapping[str, Any],
) -> Iterator[_Fault]:
    deadline_ms = fields.get('deadline_ms', 0)
    if policy is not None and deadline_ms > policy.deadline_ms:
        yield 'deadline_ms', f'the class allows at most {policy.deadline_ms}'
    cutoff = fields.get('cutoff')
    if not cutoff:
        return
    try:
        parse_cutoff(cutoff)
    except (ValueError, OverflowError):
        yield 'cutoff', 'not a time in ISO 8601'


def _check_key(policy: ClassPolicy | None, key: str | None) -> Iterator[_Fault]:
    if key is None:
        return
    is_once_only = policy is not None and policy.once_only
    if not key:
        if is_once_only:
            yield 'key', 'requests of this class need a key'
        return
    if policy is not None and not is_once_only:
        # Taking it would promise a guarantee that is not given.
        yield 'key', 'only requests of once-only classes have a key'
    matched = _KEY_PATTERN.fullmatch(key)
    if matched is None or not _is_time(matched.group(1)):
        yield 'key', 'not YYYYMMDDTHHMMSSZ-, then 8 to 64 of A-Z a-z 0-9 . _ -'


def _is_time(text: str) -> bool:
    try:
        datetime.strptime(text, _KEY_TIME).replace(tzinfo=UTC)
    except ValueError:
        return False
    return True
