"""Replicated state: table, domains out of service, rollouts, contents."""

import threading
from collections.abc import Callable
from dataclasses import replace

import msgspec

from shallotgate.codec import decode_tagged
from shallotgate.generated.messages import (
    DomainOutcome,
    Done,
    PublishOutcome,
    PublishTable,
    SetDomainOut,
    StoreContents,
    StoredContent,
)
from shallotgate.logs import get_logger
from shallotgate.rollouts import (
    ROLLOUT_COMMANDS,
    RolloutCommand,
    RolloutRecords,
    apply_command,
)

_LOGGER = get_logger('registry')


class Registry(msgspec.Struct, frozen=True):
    """Active table, domains out of service, rollouts, refused contents."""

    # Version of the table; -1 if there is none.
    version: int = -1
    # Table as submitted by the operator, compressed with zlib.
    document: bytes = b''
    # Log index of the last change of ``domains_out``.
    domains_revision: int = 0
    # Failure domains whose targets receive no new work, sorted.
    domains_out: tuple[str, ...] = ()
    # Absent from snapshots of builds without rollouts.
    rollouts: RolloutRecords = RolloutRecords()
    # Contents that have crashed targets, by digest. Absent from snapshots of
    # builds that kept them in memory.
    contents: dict[str, StoredContent] = msgspec.field(default_factory=dict)


class RegistryState:
    """Replicated state machine; the highest table version wins."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._registry = Registry()
        self._callbacks: list[Callable[[], None]] = []

    def read(self) -> Registry:
        """Return the state as of the last applied record."""
        with self._lock:
            return self._registry

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for each change; it must not block."""
        self._callbacks.append(callback)

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command."""
        decoded = decode_tagged(command)
        if isinstance(decoded, PublishTable):
            return self._publish(decoded)
        if isinstance(decoded, SetDomainOut):
            return self._set_domain(index, decoded)
        if isinstance(decoded, ROLLOUT_COMMANDS):
            return self._apply_rollout(index, decoded)
        if isinstance(decoded, StoreContents):
            return self._store_contents(decoded)
        return None

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return msgspec.msgpack.encode(self.read())

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot."""
        self._replace(msgspec.msgpack.decode(snapshot, type=Registry))

    def _publish(self, command: PublishTable) -> PublishOutcome:
        registry = self.read()
        if command.version <= registry.version:
            return PublishOutcome(version=registry.version, changed=False)
        self._replace(
            msgspec.structs.replace(
                registry,
                version=command.version,
                document=command.document,
            ),
        )
        _LOGGER.info(
            'Table accepted.',
            extra={'version': command.version, 'former': registry.version},
        )
        return PublishOutcome(version=command.version, changed=True)

    def _set_domain(self, index: int, command: SetDomainOut) -> DomainOutcome:
        registry = self.read()
        out = set(registry.domains_out)
        if command.out:
            out.add(command.domain)
        else:
            out.discard(command.domain)
        if out == set(registry.domains_out):
            return DomainOutcome(
                revision=registry.domains_revision, accepted=True
            )
        if command.base_revision not in {-1, registry.domains_revision}:
            _LOGGER.info(
                'Change of a domain not applied: a newer revision exists.',
                extra={
                    'domain': command.domain,
                    'out': command.out,
                    'base_revision': command.base_revision,
                    'revision': registry.domains_revision,
                },
            )
            return DomainOutcome(
                revision=registry.domains_revision, accepted=False
            )
        self._replace(
            msgspec.structs.replace(
                registry,
                domains_revision=index,
                domains_out=tuple(sorted(out)),
            ),
        )
        _LOGGER.info(
            'Domains out of service changed.',
            extra={'revision': index, 'out': sorted(out)},
        )
        return DomainOutcome(revision=index, accepted=True)

    def _apply_rollout(self, index: int, command: RolloutCommand) -> object:
        registry = self.read()
        rollouts, outcome = apply_command(registry.rollouts, index, command)
        if rollouts != registry.rollouts:
            self._replace(msgspec.structs.replace(registry, rollouts=rollouts))
        return outcome

    def _store_contents(self, command: StoreContents) -> Done:
        """Store contents; return whether any that was stored is forgotten."""
        registry = self.read()
        has_known = any(
            digest in registry.contents for digest in command.forgotten
        )
        contents = {
            digest: content
            for digest, content in registry.contents.items()
            if digest not in command.forgotten
        }
        for content in command.contents:
            known = registry.contents.get(content.digest, content)
            # A record that a former leader proposed may be committed late.
            contents[content.digest] = replace(
                content, trials=max(content.trials, known.trials)
            )
        self._replace(msgspec.structs.replace(registry, contents=contents))
        return Done(changed=has_known)

    def _replace(self, registry: Registry) -> None:
        with self._lock:
            self._registry = registry
        for callback in self._callbacks:
            callback()
