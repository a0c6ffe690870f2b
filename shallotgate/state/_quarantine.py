"""Quarantine of the digests of requests that may crash targets."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import Literal

from shallotgate.generated.messages import (
    Done,
    GrantTrial,
    Judgement,
    JudgeTrial,
    LiftQuarantine,
    ReportSuspects,
)
from shallotgate.state._expiring_table import RETENTION_S
from shallotgate.state._recent import RecentChanges

# The whole table is part of each instance's view; a digest takes about 150
# bytes.
DIGEST_LIMIT = 4096
# A digest is quarantined once it has cost the tier this many targets.
_MAX_LOSSES = 2
# Number of forgiven losses that are stored for a digest. A repeated report of
# an older one counts as a new loss and makes the digest a suspect again.
_FORGIVEN_LIMIT = 64
# Number of losses of proven content that are stored; further ones would not
# change the status.
_PROVEN_LOSS_LIMIT = 16
# A full table evicts the lowest rank first, so that the digests most important
# for protecting targets are evicted last.
_EVICTION_RANKS: Mapping[str, int] = MappingProxyType(
    {'cleared': 0, 'suspect': 1, 'trial': 2, 'quarantined': 3}
)


@dataclass(frozen=True)
class Loss:
    """A target lost while a digest was in flight on it."""

    target: str
    # Start id of the target, which may be lost again after a restart.
    start_id: str
    # Whether the content had completed on a target before the loss.
    proven: bool = False
    # Failure domain of the target.
    domain: str = ''


@dataclass(frozen=True)
class Suspect:
    """State of one digest."""

    digest: str
    status: Literal['suspect', 'trial', 'quarantined', 'cleared']
    # Counted losses, without repeats.
    losses: Sequence[Loss]
    # Seconds since 1970 of the last change.
    since: float
    # Id of the trial, in progress or ended. Unproven content gets one trial in
    # all, proven content one more each time that it is cleared.
    holder: str = ''
    # Target of the trial.
    trial_target: str = ''
    # Losses before it was cleared or lifted; repeated reports of them don't
    # count again.
    forgiven: Sequence[Loss] = ()


@dataclass(frozen=True)
class QuarantineSnapshot:
    """Snapshot of the quarantine."""

    version: int
    suspects: Sequence[Suspect]


def _make_judgement(suspect: Suspect) -> Judgement:
    losses = suspect.losses
    if suspect.status == 'cleared':
        # Owners keep their local record of a loss until it is listed here.
        losses = (*suspect.forgiven, *losses)
    return Judgement(
        digest=suspect.digest,
        status=suspect.status,
        targets=tuple(dict.fromkeys(loss.target for loss in losses)),
        since=suspect.since,
        holder=suspect.holder,
        proven=any(loss.proven for loss in suspect.losses),
    )


def _count_losses(losses: Sequence[Loss]) -> int:
    """Return the number of lost targets that are attributed to a digest.

    The failure of a domain loses all targets on which proven content is in
    flight. Losses of proven content therefore count as one in total, and only
    if one of them is in a domain without a loss of the same content by an entry
    that had not proven it yet.

    >>> first = Loss('t1', 's', proven=True, domain='a')
    >>> second = Loss('t2', 's', proven=True, domain='a')
    >>> _count_losses([first, second])
    1
    >>> _count_losses([first, second, Loss('t3', 's', domain='a')])
    1
    >>> _count_losses([first, second, Loss('t4', 's', domain='b')])
    2
    """
    unproven = [loss for loss in losses if not loss.proven]
    domains = {loss.domain for loss in unproven}
    is_proven_elsewhere = any(
        loss.proven and loss.domain not in domains for loss in losses
    )
    return len(unproven) + is_proven_elsewhere


def _add_loss(suspect: Suspect, loss: Loss, now: float) -> Suspect:
    losses = (*suspect.losses, loss)
    if _count_losses(losses) >= _MAX_LOSSES:
        return replace(suspect, status='quarantined', losses=losses, since=now)
    if suspect.status == 'trial':
        return replace(suspect, losses=losses, since=now)
    # Cleared content may have another trial after a new loss.
    holder = '' if suspect.status == 'cleared' else suspect.holder
    return replace(
        suspect,
        status='suspect',
        losses=losses,
        since=now,
        holder=holder,
    )


def _forgive(suspect: Suspect, losses: Sequence[Loss]) -> tuple[Loss, ...]:
    return (*suspect.forgiven, *losses)[-_FORGIVEN_LIMIT:]


def _clear(suspect: Suspect, now: float) -> Suspect:
    """Clear a suspect after a successful trial.

    If the content was proven, its losses no longer count, as each may be
    coincidental. Otherwise its losses still count, so that content that only
    crashes some runs costs no third target.
    """
    if not any(loss.proven for loss in suspect.losses):
        return replace(suspect, status='cleared', since=now)
    return replace(
        suspect,
        status='cleared',
        losses=(),
        since=now,
        forgiven=_forgive(suspect, suspect.losses),
    )


class QuarantineTable:
    """Limits the targets that one digest may cost to two."""

    def __init__(self) -> None:
        self.version = 0
        # Ordered by the last change, oldest first.
        self._suspects: dict[str, Suspect] = {}
        self.published: Mapping[str, Judgement] = MappingProxyType({})
        # By digest.
        self.recent: RecentChanges[str] = RecentChanges()
        # Digests put or removed since the last version.
        self._changed_digests: set[str] = set()

    def report(self, command: ReportSuspects, now: float) -> Done:
        """Record the loss of a target for the digests in flight on it."""
        proven = set(command.proven)
        changed = False
        for digest in command.digests:
            loss = Loss(
                command.target,
                command.target_start_id,
                digest in proven,
                command.domain,
            )
            suspect = self._suspects.get(digest)
            if suspect is None:
                self._put(Suspect(digest, 'suspect', (loss,), now))
                changed = True
            elif self._is_new_loss(suspect, loss):
                self._put(_add_loss(suspect, loss, now))
                changed = True
        return self._commit(changed, 'known already')

    def grant_trial(self, command: GrantTrial, now: float) -> Done:
        """Permit the single trial run of a suspect on one target."""
        suspect = self._suspects.get(command.digest)
        if suspect is None:
            return Done(changed=False, reason='not a suspect')
        if suspect.status == 'trial' and suspect.holder == command.holder:
            # The command is repeated after it took effect.
            return Done(changed=True)
        if suspect.status != 'suspect':
            return Done(changed=False, reason=f'status is {suspect.status}')
        if suspect.holder:
            return Done(changed=False, reason='had its trial')
        self._put(
            replace(
                suspect,
                status='trial',
                holder=command.holder,
                trial_target=command.target,
                since=now,
            )
        )
        return self._commit(changed=True)

    def judge_trial(self, command: JudgeTrial, now: float) -> Done:
        """End a trial: quarantine the digest if its target was lost.

        A trial that was not run leaves the digest a suspect, which may have
        another one.
        """
        suspect = self._suspects.get(command.digest)
        if suspect is None or suspect.holder != command.holder:
            return Done(changed=False, reason='no such trial')
        if suspect.status != 'trial':
            return Done(changed=False, reason=f'status is {suspect.status}')
        if command.unused:
            judged = replace(
                suspect, status='suspect', holder='', trial_target='', since=now
            )
        elif command.lost:
            loss = Loss(suspect.trial_target, f'trial {command.holder}')
            judged = replace(
                suspect,
                status='quarantined',
                losses=(*suspect.losses, loss),
                since=now,
            )
        else:
            judged = _clear(suspect, now)
        self._put(judged)
        return self._commit(changed=True)

    def lift(self, command: LiftQuarantine, now: float) -> Done:
        """Clear a digest and its trial, as if it had never been suspected."""
        suspect = self._suspects.get(command.digest)
        if suspect is None:
            return Done(changed=False, reason='unknown digest')
        if suspect.status == 'cleared':
            return Done(changed=False, reason='cleared already')
        self._put(
            Suspect(
                digest=suspect.digest,
                status='cleared',
                losses=(),
                since=now,
                forgiven=_forgive(suspect, suspect.losses),
            )
        )
        return self._commit(changed=True)

    def expire(self, now: float) -> None:
        """Remove digests unchanged for 24 h, except quarantined ones."""
        stale = []
        for suspect in self._suspects.values():
            if suspect.since >= now - RETENTION_S:
                break
            if suspect.status != 'quarantined':
                stale.append(suspect.digest)
        for digest in stale:
            self._suspects.pop(digest)
            self._changed_digests.add(digest)
        if stale:
            self._commit(changed=True)

    def dump(self) -> QuarantineSnapshot:
        """Return the snapshot."""
        return QuarantineSnapshot(self.version, tuple(self._suspects.values()))

    def load(self, snapshot: QuarantineSnapshot) -> None:
        """Restore a snapshot."""
        self.version = snapshot.version
        self.recent.clear(snapshot.version)
        self._changed_digests.clear()
        self._suspects = {
            suspect.digest: suspect for suspect in snapshot.suspects
        }
        self._publish()

    def _is_new_loss(self, suspect: Suspect, loss: Loss) -> bool:
        if suspect.status == 'quarantined':
            return False
        known = (*suspect.losses, *suspect.forgiven)
        if any(
            (other.target, other.start_id) == (loss.target, loss.start_id)
            for other in known
        ):
            return False
        proven = sum(1 for counted in suspect.losses if counted.proven)
        return not loss.proven or proven < _PROVEN_LOSS_LIMIT

    def _put(self, suspect: Suspect) -> None:
        # Removing it first moves it to the end of the order.
        self._suspects.pop(suspect.digest, None)
        if len(self._suspects) >= DIGEST_LIMIT:
            self._evict_lowest_rank()
        self._suspects[suspect.digest] = suspect
        self._changed_digests.add(suspect.digest)

    def _evict_lowest_rank(self) -> None:
        # min returns the first, and so the oldest, of those with equal rank.
        oldest = min(
            self._suspects.values(),
            key=lambda suspect: _EVICTION_RANKS[suspect.status],
        )
        self._suspects.pop(oldest.digest)
        self._changed_digests.add(oldest.digest)

    def _commit(self, changed: bool, reason: str = '') -> Done:
        if not changed:
            return Done(changed=False, reason=reason)
        self.version += 1
        self.recent.add(self.version, self._changed_digests)
        self._changed_digests.clear()
        self._publish()
        return Done(changed=True)

    def _publish(self) -> None:
        self.published = MappingProxyType(
            {
                digest: _make_judgement(suspect)
                for digest, suspect in self._suspects.items()
            }
        )
