"""Leader side of replication: proposals, lease and replicators."""

import threading
import time

from shallotgate.consensus._leadership import Leadership, Proposal
from shallotgate.consensus._member_state import MemberState
from shallotgate.consensus._replicator import Replicator
from shallotgate.errors import CommitUnknownError, NotLeaderError
from shallotgate.generated.messages import LogRecord
from shallotgate.logs import get_logger

_LOGGER = get_logger('consensus')


class Leader:
    """Commits proposals and maintains the lease while this member leads."""

    def __init__(self, state: MemberState) -> None:
        self._state = state

    def begin(self) -> None:
        """Start to lead in the current term; worker only."""
        state = self._state
        leadership = Leadership(
            state.term, state.identity, state.options.lease_s
        )
        state.vote_state.record_leader(state.term, state.identity)
        with state.changed:
            state.leadership = leadership
            state.leader = state.instance
            peers = [
                member.instance
                for member in state.journal.group.members
                if member.instance != state.instance
            ]
            leadership.threads = [
                self._make_thread(leadership, peer) for peer in peers
            ]
            # Committing a record of the current term also commits all records
            # of former terms.
            leadership.pending.append(Proposal('noop', b''))
        for thread in leadership.threads:
            thread.start()
        _LOGGER.info('Leading.', extra={'term': state.term})
        self.flush()

    def replicate_to(self, leadership: Leadership, instance: str) -> None:
        """Start replication to a member that was added."""
        thread = self._make_thread(leadership, instance)
        with self._state.changed:
            leadership.threads.append(thread)
        thread.start()

    def tick(self) -> None:
        """Step down without recent replies of a majority; worker only."""
        state = self._state
        leadership = state.leadership
        if leadership is None:
            return
        with state.changed:
            ack_age_s = leadership.read_quorum_ack_age_s(state.journal.group)
        if ack_age_s > state.options.election_timeout_min_s:
            _LOGGER.warning('No recent replies from a majority of the voters.')
            state.step_down()

    def propose(self, command: bytes, timeout_s: float) -> object:
        """Commit a command and return its result."""
        deadline = time.monotonic() + timeout_s
        proposal = Proposal('command', command)
        self._await_tolerance(deadline)
        with self._state.changed:
            leadership = self.require_leadership()
            is_first = not leadership.pending
            leadership.pending.append(proposal)
        if is_first:
            # Proposals that arrive during a sync are batched into the next.
            self._state.worker.post(self.flush)
        try:
            return proposal.future.result(max(deadline - time.monotonic(), 0))
        except TimeoutError as error:
            if proposal.future.done():
                raise
            raise CommitUnknownError(
                f'proposal not committed within {timeout_s:.3f} s',
            ) from error

    def require_leadership(self) -> Leadership:
        """Return the current leadership; requires ``changed`` to be held.

        Raises ``NotLeaderError`` without one or during a transfer.
        """
        leadership = self._state.leadership
        if leadership is None or leadership.is_transferring:
            raise NotLeaderError(
                None if leadership else self._state.leader,
            )
        return leadership

    def holds_lease(self) -> bool:
        """Return whether this member leads with a valid lease."""
        return self.get_leading_term() is not None

    def get_leading_term(self) -> int | None:
        """Return the term in which this member leads with a valid lease."""
        with self._state.changed:
            leadership = self._state.leadership
            if (
                leadership is not None
                and leadership.is_ready
                and leadership.holds_lease(self._state.journal.group)
            ):
                return leadership.term
            return None

    def flush(self) -> None:
        """Write and sync all pending proposals as a batch; worker only."""
        state = self._state
        leadership = state.leadership
        if leadership is None:
            return
        with state.changed:
            proposals = leadership.take_pending()
            first = state.journal.last_index + 1
            state.journal.append(
                [
                    LogRecord(
                        index=index,
                        term=leadership.term,
                        kind=proposal.kind,
                        payload=proposal.payload,
                    )
                    for index, proposal in enumerate(proposals, first)
                ],
            )
            for index, proposal in enumerate(proposals, first):
                proposal.term = leadership.term
                state.proposals[index] = proposal
            # Wake the replicators, so that followers sync in parallel with
            # the leader.
            state.changed.notify_all()
        state.persist()
        with state.changed:
            state.advance_leader_commit(leadership)

    def read_barrier(self, timeout_s: float) -> int:
        """Wait until all records committed before the call are applied.

        Returns the applied index.
        """
        state = self._state
        deadline = time.monotonic() + timeout_s
        with state.changed:
            leadership = self.require_leadership()
        state.wait_until(
            lambda: leadership.is_closed or self.holds_lease(),
            deadline,
        )
        with state.changed:
            index = state.commit_index
            # Checked after the commit index was read: a valid lease shows that
            # no other member could have committed later records by then.
            if state.leadership is not leadership or not self.holds_lease():
                raise NotLeaderError(state.leader)
        if not state.wait_until(lambda: state.applied_index >= index, deadline):
            raise CommitUnknownError(
                f'record {index} not applied before the deadline'
            )
        with state.changed:
            # The process may have been suspended during the wait.
            if state.leadership is not leadership or not self.holds_lease():
                raise NotLeaderError(None)
            return state.applied_index

    def _await_tolerance(self, deadline: float) -> None:
        """Wait until the group tolerates the losses that it has to.

        A group that has just been bootstrapped consists of the seeds only. What
        they accepted would be lost with the disks of most of them. Raises
        ``NotLeaderError`` if the group is too small at the deadline.
        """
        state = self._state
        with state.changed:
            leadership = self.require_leadership()
        if self._tolerates_losses(leadership):
            return
        is_grown = state.wait_until(
            lambda: (
                self._tolerates_losses(leadership)
                or self._has_settled(leadership)
            ),
            deadline,
        )
        if not is_grown:
            raise NotLeaderError(None)
        if not self._tolerates_losses(leadership):
            _LOGGER.warning(
                'Command accepted by a group that is too small for the losses '
                'it has to tolerate.',
                extra={
                    'voters': len(state.journal.group.voters),
                    'tolerated_losses': state.options.tolerated_losses,
                },
            )

    def _has_settled(self, leadership: Leadership) -> bool:
        """Return whether the group has not grown for long; needs ``changed``.

        Each heartbeat that is answered wakes those who wait for it.
        """
        group_age_s = leadership.read_group_age_s(self._state.journal.group)
        return group_age_s > self._state.options.growth_timeout_s

    def _tolerates_losses(self, leadership: Leadership) -> bool:
        """Return whether to wait no longer; requires no lock."""
        group = self._state.journal.group
        return (
            leadership.is_closed
            or group.tolerance >= self._state.options.tolerated_losses
        )

    def _make_thread(
        self,
        leadership: Leadership,
        peer: str,
    ) -> threading.Thread:
        return threading.Thread(
            target=Replicator(self._state, leadership, peer).run,
            name=f'replicate-{peer}',
            daemon=True,
        )
