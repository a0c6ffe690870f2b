"""Digests of requests that may crash targets."""

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

# The whole table is part of each view, at about 150 bytes a digest.
DIGEST_LIMIT = 4096
# One request may cost the tier no more than this many targets.
_LOSS_LIMIT = 2
# Forgiven losses that are kept; the repeat of an older one counts as new and
# makes the digest a suspect once more.
_FORGIVEN_LIMIT = 64
# Losses of proven content that are kept; no further one changes the verdict.
_PROVEN_LOSS_LIMIT = 16
# Where the table is full, what protects targets most is dropped last.
_DROP_RANKS: Mapping[str, int] = MappingProxyType(
    {'cleared': 0, 'suspect': 1, 'trial': 2, 'quarantined': 3}
)


@dataclass(frozen=True)
class Loss:
    """A target lost while a digest was in flight on it."""

    target: str
    # Start of the target; the same target may be lost again after a restart.
    start_id: str
    # Whether the content had completed on some target before.
    proven: bool = False
    # Failure domain of the target.
    domain: str = ''


@dataclass(frozen=True)
class Suspect:
    """What is known of one digest."""

    digest: str
    status: Literal['suspect', 'trial', 'quarantined', 'cleared']
    # Losses that count, each once.
    losses: Sequence[Loss]
    # Seconds since 1970 of the last change.
    since: float
    # Id of the trial, in progress or ended. Unproven content has one ever,
    # proven content one after each time that it was cleared.
    holder: str = ''
    # Target of the trial.
    trial_target: str = ''
    # Losses before it was lifted or cleared; repeats don't count again.
    forgiven: Sequence[Loss] = ()


@dataclass(frozen=True)
class QuarantineContent:
    """The part's snapshot."""

    version: int
    suspects: Sequence[Suspect]


def _make_judgement(suspect: Suspect) -> Judgement:
    losses = suspect.losses
    if suspect.status == 'cleared':
        # Owners keep their own note of a loss until they see it here.
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
    """Return how many targets the digest is held to have cost.

    A domain that crashes takes all targets on which proven content is in
    flight, so its losses count as one in all, and as none if an entry that
    had yet to prove the content lost a target in the same domain.

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
    if _count_losses(losses) >= _LOSS_LIMIT:
        return replace(suspect, status='quarantined', losses=losses, since=now)
    if suspect.status == 'trial':
        return replace(suspect, losses=losses, since=now)
    # Cleared content that is lost again may have another trial.
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
    """End a trial that succeeded.

    Losses of proven content no longer count, as each may be chance. The loss
    of unproven content still does, so that a crash that does not show in
    each run costs no third target.
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
    """Lets one digest cost at most two targets."""

    def __init__(self) -> None:
        self.version = 0
        # In order of the last change, the oldest first.
        self._suspects: dict[str, Suspect] = {}
        self.published: Mapping[str, Judgement] = MappingProxyType({})
        # By digest.
        self.recent: RecentChanges[str] = RecentChanges()
        # Digests put or dropped since the last version.
        self._touched: set[str] = set()

    def report(self, command: ReportSuspects, now: float) -> Done:
        """Count the loss of a target against the digests in flight on it."""
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
            elif self._is_counted(suspect, loss):
                self._put(_add_loss(suspect, loss, now))
                changed = True
        return self._finish(changed, 'known already')

    def grant_trial(self, command: GrantTrial, now: float) -> Done:
        """Permit the only run of a suspect alone on one target."""
        suspect = self._suspects.get(command.digest)
        if suspect is None:
            return Done(changed=False, reason='not a suspect')
        if suspect.status == 'trial' and suspect.holder == command.holder:
            # A repeat of the command that took effect.
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
        return self._finish(changed=True)

    def judge_trial(self, command: JudgeTrial, now: float) -> Done:
        """End a trial: quarantine if its target was lost, else clear."""
        suspect = self._suspects.get(command.digest)
        if suspect is None or suspect.holder != command.holder:
            return Done(changed=False, reason='no such trial')
        if suspect.status != 'trial':
            return Done(changed=False, reason=f'status is {suspect.status}')
        if command.lost:
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
        return self._finish(changed=True)

    def lift(self, command: LiftQuarantine, now: float) -> Done:
        """Clear a digest; it counts as one that was never suspected."""
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
        return self._finish(changed=True)

    def expire(self, now: float) -> None:
        """Drop digests without a change for 24 h, except quarantined ones."""
        stale = []
        for suspect in self._suspects.values():
            if suspect.since >= now - RETENTION_S:
                break
            if suspect.status != 'quarantined':
                stale.append(suspect.digest)
        for digest in stale:
            self._suspects.pop(digest)
            self._touched.add(digest)
        if stale:
            self._finish(changed=True)

    def dump(self) -> QuarantineContent:
        """Return the snapshot."""
        return QuarantineContent(self.version, tuple(self._suspects.values()))

    def load(self, content: QuarantineContent) -> None:
        """Take over a snapshot."""
        self.version = content.version
        self.recent.clear(content.version)
        self._touched.clear()
        self._suspects = {
            suspect.digest: suspect for suspect in content.suspects
        }
        self._publish()

    def _is_counted(self, suspect: Suspect, loss: Loss) -> bool:
        if suspect.status == 'quarantined':
            return False
        known = (*suspect.losses, *suspect.forgiven)
        if any(
            (one.target, one.start_id) == (loss.target, loss.start_id)
            for one in known
        ):
            return False
        proven = sum(1 for one in suspect.losses if one.proven)
        return not loss.proven or proven < _PROVEN_LOSS_LIMIT

    def _put(self, suspect: Suspect) -> None:
        # Taking it out first moves it to the end of the order.
        self._suspects.pop(suspect.digest, None)
        if len(self._suspects) >= DIGEST_LIMIT:
            self._drop_oldest()
        self._suspects[suspect.digest] = suspect
        self._touched.add(suspect.digest)

    def _drop_oldest(self) -> None:
        # min takes the first, that is the oldest, of equal rank.
        oldest = min(
            self._suspects.values(),
            key=lambda suspect: _DROP_RANKS[suspect.status],
        )
        self._suspects.pop(oldest.digest)
        self._touched.add(oldest.digest)

    def _finish(self, changed: bool, reason: str = '') -> Done:
        if not changed:
            return Done(changed=False, reason=reason)
        self.version += 1
        self.recent.note(self.version, self._touched)
        self._touched.clear()
        self._publish()
        return Done(changed=True)

    def _publish(self) -> None:
        self.published = MappingProxyType(
            {
                digest: _make_judgement(suspect)
                for digest, suspect in self._suspects.items()
            }
        )
