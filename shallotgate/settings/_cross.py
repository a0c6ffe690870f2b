"""Validation rules that involve more than one setting."""

from collections.abc import Callable, Collection, Iterator, Mapping
from pathlib import Path
from typing import Any

from shallotgate.errors import Finding
from shallotgate.settings._document import Document, DocumentPath

_HIGHEST_PORT = 65535
# A group of even size tolerates no more failures than one with a member less.
_GROUP_SIZES = (1, 3, 5)
_LISTEN_KEYS = ('peer_address', 'operator_address', 'caller_address')
# Port 0 lets the operating system choose a free port. Only the HTTP servers
# report the chosen port. An advertised address with port 0 means unset.
_KEYS_WITH_FREE_PORT = frozenset(
    ('operator_address', 'caller_address', 'advertised_address'),
)
_URL_SCHEMES = ('http://', 'https://')


def cross_check(
    document: Document,
    faulty: Collection[str],
) -> Iterator[Finding]:
    """Yield the findings of rules that involve several settings.

    ``faulty`` contains the paths that already have findings.
    """
    if not isinstance(document.content, dict):
        return
    settings = _SettingsView(document, faulty)
    for check in _CHECKS:
        yield from check(settings)


class _SettingsView:
    """Access to the valid parts of a settings file that may have errors."""

    def __init__(self, document: Document, faulty: Collection[str]) -> None:
        self._document = document
        self._faulty = faulty
        self.content: Mapping[str, Any] = document.content
        roles = self.content.get('roles')
        self.roles = roles if isinstance(roles, list) else []

    def read_text(self, *path: str | int) -> str:
        """Return a string value, or an empty string if it is invalid."""
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
        """Return the instances that have an entry in ``peer_routes``."""
        routes = self.content.get('peer_routes')
        return list(routes) if isinstance(routes, dict) else []

    def list_addresses(self) -> Iterator[tuple[DocumentPath, str]]:
        """Yield the path and text of each address without findings."""
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
        """Return a finding located at a path."""
        return self._document.make_finding(path, reason)


_Check = Callable[[_SettingsView], Iterator[Finding]]


def _check_roles(settings: _SettingsView) -> Iterator[Finding]:
    if 'control' in settings.roles and not settings.content.get('data_folder'):
        yield settings.make_finding(
            'is needed for role control',
            'data_folder',
        )
    if 'entry' in settings.roles and 'caller_address' not in settings.content:
        yield settings.make_finding(
            'is needed for role entry', 'caller_address'
        )


def _check_local_member(settings: _SettingsView) -> Iterator[Finding]:
    instance = settings.read_text('instance')
    if not instance or 'control' not in settings.roles:
        return
    local_addresses = (
        settings.read_text('peer_address'),
        settings.read_text('advertised_address'),
        settings.read_text('peer_routes', instance),
    )
    for index in range(settings.count_members()):
        if settings.read_text('control_members', index, 'instance') != instance:
            continue
        path = ('control_members', index, 'address')
        address = settings.read_text(*path)
        if address and local_addresses[0] and address not in local_addresses:
            yield settings.make_finding(
                'differs from the peer address of this instance',
                *path,
            )
        return
    if settings.count_members():
        yield settings.make_finding(
            'has role control but is not a control member',
            'instance',
        )


def _check_group_size(settings: _SettingsView) -> Iterator[Finding]:
    count = settings.count_members()
    if count and count not in _GROUP_SIZES:
        yield settings.make_finding(
            f'must have 1, 3 or 5 members, not {count}',
            'control_members',
        )


def _check_duplicate_members(settings: _SettingsView) -> Iterator[Finding]:
    for key in ('instance', 'address'):
        seen = set()
        for index in range(settings.count_members()):
            path = ('control_members', index, key)
            text = settings.read_text(*path)
            if text and text in seen:
                yield settings.make_finding('is used twice', *path)
            seen.add(text)


def _check_ports(settings: _SettingsView) -> Iterator[Finding]:
    for path, address in settings.list_addresses():
        _, colon, port = address.rpartition(':')
        if not colon or not port.isdigit():
            yield settings.make_finding('must be HOST:PORT', *path)
            continue
        lowest = 0 if path[0] in _KEYS_WITH_FREE_PORT else 1
        if not lowest <= int(port) <= _HIGHEST_PORT:
            yield settings.make_finding(
                f'port must be from {lowest} to {_HIGHEST_PORT}',
                *path,
            )


def _check_duplicate_listeners(settings: _SettingsView) -> Iterator[Finding]:
    seen: dict[str, str] = {}
    for key in _LISTEN_KEYS:
        address = settings.read_text(key)
        if address in seen and not address.endswith(':0'):
            yield settings.make_finding(f'is the same as {seen[address]}', key)
        if address:
            seen[address] = key


def _check_keys_file(settings: _SettingsView) -> Iterator[Finding]:
    name = settings.read_text('operator_keys')
    path = (
        Path(settings.make_finding('').location.rpartition(':')[0]).parent
        / name
    )
    if name and not path.is_file():
        yield settings.make_finding('is no file', 'operator_keys')


def _check_platform_url(settings: _SettingsView) -> Iterator[Finding]:
    url = settings.read_text('platform_url')
    if url and not url.startswith(_URL_SCHEMES):
        yield settings.make_finding('must be an HTTP URL', 'platform_url')


_CHECKS: tuple[_Check, ...] = (
    _check_roles,
    _check_local_member,
    _check_group_size,
    _check_duplicate_members,
    _check_ports,
    _check_duplicate_listeners,
    _check_keys_file,
    _check_platform_url,
)
