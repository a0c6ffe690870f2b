"""Tells entries what changed, as the leader."""

import random
import threading
import time
import zlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from shallotgate.consensus import ReplicatedLog
from shallotgate.generated.messages import (
    DomainsUpdate,
    FollowTier,
    ObservedReplies,
    TableUpdate,
    TierUpdate,
)
from shallotgate.logs import get_logger
from shallotgate.registry._conditions import ConditionTracker
from shallotgate.registry._listing import ListingPoller
from shallotgate.registry._state import Registry, RegistryState
from shallotgate.transport import Delivery, Mailbox

_LOGGER = get_logger('followers')
# A request without news is answered after this time, in seconds. It shows the
# entry that the leader is there.
_HOLD_S = 0.8
# While no leader is known, a request is held this long, in seconds: an
# election takes about as long, and the entry may ask another member then.
_HOLD_LEADERLESS_S = 0.25
# Seconds between two looks for requests that were held long enough.
_LOOK_S = 0.05
# An entry counts for this many seconds after its last request.
_ENTRY_VALID_S = 6.0
# Revisions of conditions begin at a number of this many bits, so that those of
# different leaders are never equal.
_REVISION_BITS = 48
# Documents kept as dictionaries for those who hold them.
_MAX_DOCUMENTS = 8


@dataclass
class _Held:
    delivery: Delivery
    # Monotonic time of arrival.
    since: float
    # Count of changes up to which there was no news; -1 before the first look.
    looked_at: int = -1


class FollowerService:
    """Answers the entries that follow this member."""

    def __init__(
        self,
        mailbox: Mailbox,
        log: ReplicatedLog,
        state: RegistryState,
        listing: ListingPoller,
        list_members: Callable[[], list[str]],
    ) -> None:
        """Construct it before the mailbox starts."""
        self._mailbox = mailbox
        self._log = log
        self._state = state
        self._listing = listing
        self._list_members = list_members
        self._held: dict[str, _Held] = {}
        self._heard: dict[str, float] = {}
        self._documents: OrderedDict[int, bytes] = OrderedDict()
        self._changed = threading.Condition()
        # Counts what may be news for a follower.
        self._changes = 0
        self._conditions = ConditionTracker(random.getrandbits(_REVISION_BITS))
        self._is_stopped = False
        self._thread = threading.Thread(
            target=self._run,
            name='followers',
            daemon=True,
        )
        mailbox.subscribe(FollowTier, self._on_follow)
        mailbox.subscribe(ObservedReplies, self._on_observed)
        state.subscribe(self._wake)
        listing.subscribe(self._wake)
        log.on_leadership(self._on_leadership)

    def start(self) -> None:
        """Start to answer."""
        self._thread.start()

    def stop(self) -> None:
        """Stop to answer."""
        self._is_stopped = True
        self._wake()

    def list_entries(self) -> list[str]:
        """Return the entries that share the limits of the targets."""
        oldest = time.monotonic() - _ENTRY_VALID_S
        heard = tuple(self._heard.items())
        return [entry for entry, heard_at in heard if heard_at > oldest]

    def _on_follow(self, delivery: Delivery) -> None:
        now = time.monotonic()
        with self._changed:
            if delivery.message.leaving:
                self._heard.pop(delivery.sender, None)
            else:
                self._heard[delivery.sender] = now
            self._held[delivery.sender] = _Held(delivery, now)
            self._changed.notify_all()
        if delivery.message.observed is not None:
            self._conditions.record_replies(delivery.message.observed, now)

    def _on_observed(self, delivery: Delivery) -> None:
        self._conditions.record_replies(delivery.message, time.monotonic())

    def _on_leadership(self, is_leading: bool) -> None:
        self._wake()

    def _wake(self) -> None:
        with self._changed:
            self._changes += 1
            self._changed.notify_all()

    def _run(self) -> None:
        while not self._is_stopped:
            with self._changed:
                self._changed.wait(_LOOK_S if self._held else None)
            if self._conditions.publish(time.monotonic()):
                self._wake()
            with self._changed:
                due = self._list_due(time.monotonic())
            for held in due:
                try:
                    self._try_answer(held)
                except Exception:
                    _LOGGER.exception('A follower was not answered.')
                    self._drop(held)

    def _list_due(self, now: float) -> list[_Held]:
        """Return the requests that may have an answer now."""
        if not self._log.is_leading():
            return list(self._held.values())
        due = [
            held
            for held in self._held.values()
            if held.looked_at != self._changes or now - held.since > _HOLD_S
        ]
        for held in due:
            held.looked_at = self._changes
        return due

    def _try_answer(self, held: _Held) -> None:
        if not self._log.is_leading():
            self._turn_away(held)
            return
        update = self._make_update(held.delivery.message)
        has_news = (
            update.table
            or update.domains
            or update.listing
            or update.conditions
        )
        if has_news or time.monotonic() - held.since > _HOLD_S:
            self._drop(held)
            self._mailbox.reply(held.delivery, update)

    def _turn_away(self, held: _Held) -> None:
        """Name the leader; wait a little for one if there is none."""
        leader = self._log.leader or ''
        if leader == self._mailbox.instance:
            # Elected, but not ready to lead yet.
            leader = ''
        held_s = time.monotonic() - held.since
        if leader or held_s > _HOLD_LEADERLESS_S:
            self._drop(held)
            self._mailbox.reply(
                held.delivery,
                TierUpdate(status='not_leader', leader=leader),
            )

    def _drop(self, held: _Held) -> None:
        with self._changed:
            sender = held.delivery.sender
            if self._held.get(sender) is held:
                self._held.pop(sender)

    def _make_update(self, message: FollowTier) -> TierUpdate:
        registry = self._state.read()
        domains = None
        if registry.domains_revision > message.domains_revision:
            domains = DomainsUpdate(
                revision=registry.domains_revision,
                out=list(registry.domains_out),
            )
        return TierUpdate(
            status='current',
            members=self._list_members(),
            entries=max(len(self.list_entries()), 1),
            table=self._make_table(registry, message.table_version),
            domains=domains,
            listing=self._listing.make_update(
                message.listing_source,
                message.listing_revision,
            ),
            conditions=self._conditions.make_update(
                message.conditions_revision,
            ),
        )

    def _make_table(
        self,
        registry: Registry,
        known_version: int,
    ) -> TableUpdate | None:
        if registry.version <= known_version:
            return None
        document = self._unpack(registry)
        base = self._documents.get(known_version)
        if base is None:
            return TableUpdate(
                version=registry.version,
                document=registry.document,
            )
        packer = zlib.compressobj(zdict=base)
        return TableUpdate(
            version=registry.version,
            base_version=known_version,
            document=packer.compress(document) + packer.flush(),
        )

    def _unpack(self, registry: Registry) -> bytes:
        document = self._documents.get(registry.version)
        if document is None:
            document = zlib.decompress(registry.document)
            self._documents[registry.version] = document
            while len(self._documents) > _MAX_DOCUMENTS:
                self._documents.popitem(last=False)
        return document
