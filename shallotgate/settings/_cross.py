"""Checks of settings that concern more than one value."""

from collections.abc import Callable, Collection, Iterator, Mapping
from pathlib import Path
from typing import Any

from shallotgate.errors import Finding
from shallotgate.settings._document import Document, DocumentPath

_HIGHEST_PORT = 65535
# An even number of members tolerates no more failures than one less.
_GROUP_SIZES = (1, 3, 5)
_LISTEN_KEYS = ('peer_address', 'operator_address', 'caller_address')
# The system chooses a free port for 0, which only an HTTP server reports;
# an advertised address with port 0 stands for none.
_KEYS_WITH_FREE_PORT = frozenset(
    ('operator_address', 'caller_address', 'advertised_address'),
)
_URL_SCHEMES = ('http://', 'https://')


def cross_check(
    document: Document,
    faulty: Collection[str],
) -> Iterator[Finding]:
    """Yield the findings of checks over several values.

    ``faulty`` has the paths that are reported already.
    """
    if not isinstance(document.content, dict):
        return
    facts = _Facts(document, faulty)
    for check in _CHECKS:
        yield from check(facts)


class _Facts:
    """Well-formed parts of a settings file that may have faults."""

    def __init__(self, document: Document, faulty: Collection[str]) -> None:
        self._document = document
        self._faulty = faulty
        self.content: Mapping[str, Any] = document.content
        roles = self.content.get('roles')
        self.roles = roles if isinstance(roles, list) else []

    def read_text(self, *path: str | int) -> str:
        """Return a string without findings, or an empty one."""
        current: Any = self.content
        for step in path:
            try:
                current = current[step]
            except (KeyError, IndexError, TypeError):
                return ''
        if '/'.join(map(str, path)) in self._faulty:
            return ''
        return current if isinstance(current, str) else ''

    def count_members(self) -> int:
        """Return the number of control members."""
        members = self.content.get('control_members')
        return len(members) if isinstance(members, list) else 0

    def list_routes(self) -> list[str]:
        """Return the instances that have a route."""
        routes = self.content.get('peer_routes')
        return list(routes) if isinstance(routes, dict) else []

    def list_addresses(self) -> Iterator[tuple[DocumentPath, str]]:
        """Yield the path and text of each well-formed address."""
        paths: list[DocumentPath] = [(key,) for key in _LISTEN_KEYS]
        paths.append(('advertised_address',))
        paths.extend(
            ('control_members', index, 'address')
            for index in range(self.count_members())
        )
        paths.extend(('peer_routes', name) for name in self.list_routes())
        for path in paths:
            text = self.read_text(*path)
            if text:
                yield path, text

    def make_finding(self, reason: str, *path: str | int) -> Finding:
        """Return a finding with the line of a path."""
        return self._document.make_finding(path, reason)


_Check = Callable[[_Facts], Iterator[Finding]]


def _check_roles(facts: _Facts) -> Iterator[Finding]:
    if 'control' in facts.roles and not facts.content.get('data_folder'):
        yield facts.make_finding(
            'is needed for role control',
            'data_folder',
        )
    if 'entry' in facts.roles and 'caller_address' not in facts.content:
        yield facts.make_finding('is needed for role entry', 'caller_address')


def _check_own_member(facts: _Facts) -> Iterator[Finding]:
    instance = facts.read_text('instance')
    if not instance or 'control' not in facts.roles:
        return
    own = (
        facts.read_text('peer_address'),
        facts.read_text('advertised_address'),
        facts.read_text('peer_routes', instance),
    )
    for index in range(facts.count_members()):
        if facts.read_text('control_members', index, 'instance') != instance:
            continue
        path = ('control_members', index, 'address')
        address = facts.read_text(*path)
        if address and own[0] and address not in own:
            yield facts.make_finding(
                'differs from the peer address of this instance',
                *path,
            )
        return
    if facts.count_members():
        yield facts.make_finding(
            'has role control but is not a control member',
            'instance',
        )


def _check_group_size(facts: _Facts) -> Iterator[Finding]:
    count = facts.count_members()
    if count and count not in _GROUP_SIZES:
        yield facts.make_finding(
            f'must have 1, 3 or 5 members, not {count}',
            'control_members',
        )


def _check_repeated_members(facts: _Facts) -> Iterator[Finding]:
    for key in ('instance', 'address'):
        seen = set()
        for index in range(facts.count_members()):
            path = ('control_members', index, key)
            text = facts.read_text(*path)
            if text and text in seen:
                yield facts.make_finding('is used twice', *path)
            seen.add(text)


def _check_ports(facts: _Facts) -> Iterator[Finding]:
    for path, address in facts.list_addresses():
        _, colon, port = address.rpartition(':')
        if not colon or not port.isdigit():
            yield facts.make_finding('must be HOST:PORT', *path)
            continue
        lowest = 0 if path[0] in _KEYS_WITH_FREE_PORT else 1
        if not lowest <= int(port) <= _HIGHEST_PORT:
            yield facts.make_finding(
                f'port must be from {lowest} to {_HIGHEST_PORT}',
                *path,
            )


def _check_repeated_listeners(facts: _Facts) -> Iterator[Finding]:
    seen: dict[str, str] = {}
    for key in _LISTEN_KEYS:
        address = facts.read_text(key)
        if address in seen and not address.endswith(':0'):
            yield facts.make_finding(f'is the same as {seen[address]}', key)
        if address:
            seen[address] = key


def _check_keys_file(facts: _Facts) -> Iterator[Finding]:
    name = facts.read_text('operator_keys')
    path = (
        Path(facts.make_finding('').location.rpartition(':')[0]).parent / name
    )
    if name and not path.is_file():
        yield facts.make_finding('is no file', 'operator_keys')


def _check_platform_url(facts: _Facts) -> Iterator[Finding]:
    url = facts.read_text('platform_url')
    if url and not url.startswith(_URL_SCHEMES):
        yield facts.make_finding('must be an HTTP URL', 'platform_url')


_CHECKS: tuple[_Check, ...] = (
    _check_roles,
    _check_own_member,
    _check_group_size,
    _check_repeated_members,
    _check_ports,
    _check_repeated_listeners,
    _check_keys_file,
    _check_platform_url,
)
