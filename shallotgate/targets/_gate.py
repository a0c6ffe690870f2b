"""Whether an attempt may be sent to a target at this moment."""

from shallotgate.generated.catalogue import Target
from shallotgate.generated.messages import Attempt
from shallotgate.invariants import check
from shallotgate.membership import Lease, TierView, View
from shallotgate.targets._suspects import SuspectLedger


class Gate:
    """Checks lease, ownership, domain and quarantine before a dispatch."""

    def __init__(
        self,
        view: TierView,
        lease: Lease,
        suspects: SuspectLedger,
        owner: tuple[str, str] | None,
    ) -> None:
        self._view = view
        self._lease = lease
        self._suspects = suspects
        # Instance and start id; None if targets have no owner.
        self.owner = owner

    def refuse(self, target: Target, attempt: Attempt) -> str:
        """Return the reason why it may not be sent, or an empty string."""
        left_s = self._lease.remaining_s()
        if left_s <= 0:
            return 'no_lease'
        view = self._view.current()
        reason = (
            self._refuse_owner(view, attempt)
            or self._refuse_place(view, target)
            or self._refuse_digest(view, attempt)
        )
        if not reason:
            check(left_s > 0, 'dispatch-under-lease', target=target.name)
        return reason

    def _refuse_owner(self, view: View, attempt: Attempt) -> str:
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

    def _refuse_place(self, view: View, target: Target) -> str:
        if view.is_taken_out(target.domain):
            return 'taken_out'
        return '' if target.name in view.places else 'not_owner'

    def _refuse_digest(self, view: View, attempt: Attempt) -> str:
        judgement = view.quarantine.get(attempt.digest)
        status = '' if judgement is None else judgement.status
        if status == 'quarantined':
            return 'quarantined'
        if attempt.trial:
            # The view may lag behind the grant that the entry has seen.
            granted_else = (
                judgement is not None
                and status == 'trial'
                and judgement.holder != attempt.trial
            )
            has_run = self._suspects.has_judged(attempt.trial)
            return 'suspect' if granted_else or has_run else ''
        if status in {'suspect', 'trial'}:
            return 'suspect'
        is_suspect = self._suspects.is_suspect(attempt.digest)
        return 'suspect' if is_suspect else ''
