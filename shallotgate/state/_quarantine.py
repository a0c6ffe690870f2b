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
from shallotgate.state._recent import RecentChanges
from shallotgate.state._timed import RETENTION_S

# The whole table is part of each view, at about 150 bytes a digest.
DIGEST_LIMIT = 4096
# One request may cost the tier no more than this many targets.
_LOSS_LIMIT = 2
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


@dataclass(frozen=True)
class Suspect:
    """What is known of one digest."""

    digest: str
    status: Literal['suspect', 'trial', 'quarantined', 'cleared']
    # Losses that count, each once.
    losses: Sequence[Loss]
    # Seconds since 1970 of the last change.
    since: float
    # Id of the trial, in progress or ended; never more than one.
    holder: str = ''
    # Target of the trial.
    trial_target: str = ''
    # Losses before an operator lifted it; their repeats don't count again.
    forgiven: Sequence[Loss] = ()


@dataclass(frozen=True)
class QuarantineContent:
    """The part's snapshot."""

    version: int
    suspects: Sequence[Suspect]


def _make_judgement(suspect: Suspect) -> Judgement:
    return Judgement(
        digest=suspect.digest,
        status=suspect.status,
        targets=tuple(loss.target for loss in suspect.losses),
        since=suspect.since,
        holder=suspect.holder,
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
        loss = Loss(command.target, command.target_start_id)
        changed = False
        for digest in command.digests:
            suspect = self._suspects.get(digest)
            if suspect is None:
                self._put(Suspect(digest, 'suspect', (loss,), now))
                changed = True
            elif self._is_counted(suspect, loss):
                losses = (*suspect.losses, loss)
                is_last = len(losses) >= _LOSS_LIMIT
                status: Literal['quarantined', 'suspect'] = (
                    'quarantined' if is_last else 'suspect'
                )
                self._put(
                    replace(suspect, status=status, losses=losses, since=now)
                )
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
            judged = replace(suspect, status='cleared', since=now)
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
                forgiven=(*suspect.forgiven, *suspect.losses),
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
        return loss not in suspect.losses and loss not in suspect.forgiven

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
