"""Admission check before an attempt is sent to a target."""

from shallotgate.generated.catalogue import Target
from shallotgate.generated.messages import Attempt
from shallotgate.invariants import check
from shallotgate.membership import Lease, TierView, View
from shallotgate.targets._suspects import SuspectTracker


class DispatchGate:
    """Checks lease, ownership, domain and quarantine before dispatch."""

    def __init__(
        self,
        view: TierView,
        lease: Lease,
        suspects: SuspectTracker,
        owner: tuple[str, str] | None,
    ) -> None:
        self._view = view
        self._lease = lease
        self._suspects = suspects
        # Instance id and start id; None if targets have no owner.
        self.owner = owner

    def find_refusal(self, target: Target, attempt: Attempt) -> str:
        """Return why an attempt may not be sent, or an empty string."""
        remaining_s = self._lease.remaining_s()
        if remaining_s <= 0:
            return 'no_lease'
        view = self._view.current()
        reason = (
            self._check_owner(view, attempt)
            or self._check_placement(view, target)
            or self._check_quarantine(view, attempt)
        )
        if not reason:
            check(remaining_s > 0, 'dispatch-under-lease', target=target.name)
        return reason

    def _check_owner(self, view: View, attempt: Attempt) -> str:
        if self.owner is None:
            return ''
        ownership = view.ownership.get(attempt.target)
        is_owner = (
            ownership is not None
            and ownership.state == 'held'
            and (ownership.instance, ownership.start_id) == self.owner
            and ownership.epoch == attempt.epoch
        )
        return '' if is_owner else 'not_owner'

    def _check_placement(self, view: View, target: Target) -> str:
        if view.is_taken_out(target.domain):
            return 'taken_out'
        return '' if target.name in view.places else 'not_owner'

    def _check_quarantine(self, view: View, attempt: Attempt) -> str:
        judgement = view.quarantine.get(attempt.digest)
        status = '' if judgement is None else judgement.status
        if status == 'quarantined':
            return 'quarantined'
        if attempt.trial:
            # The local view may be older than the trial grant that the entry
            # acted on.
            is_granted_elsewhere = (
                judgement is not None
                and status == 'trial'
                and judgement.holder != attempt.trial
            )
            has_run = self._suspects.has_finished_trial(attempt.trial)
            return 'suspect' if is_granted_elsewhere or has_run else ''
        if status in {'suspect', 'trial'}:
            return 'suspect'
        is_suspect = self._suspects.is_suspect(attempt.digest)
        return 'suspect' if is_suspect else ''
