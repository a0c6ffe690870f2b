"""Leader side: proposals, lease and replicators."""

import threading
import time

from shallotgate.consensus._leadership import Leadership, Proposal
from shallotgate.consensus._member_state import Core
from shallotgate.consensus._replicator import Replicator
from shallotgate.errors import CommitUnknownError, NotLeaderError
from shallotgate.generated.messages import LogRecord
from shallotgate.logs import get_logger

_LOGGER = get_logger('consensus')


class Leader:
    """Writes proposals to the log while this member leads."""

    def __init__(self, core: Core) -> None:
        self._core = core

    def begin(self) -> None:
        """Take up leadership of the current term; worker only."""
        core = self._core
        leadership = Leadership(core.term, core.identity, core.options.lease_s)
        core.ballot.note_leader(core.term, core.identity)
        with core.changed:
            core.leadership = leadership
            core.leader = core.instance
            peers = [
                member.instance
                for member in core.journal.group.members
                if member.instance != core.instance
            ]
            leadership.threads = [
                self._make_thread(leadership, peer) for peer in peers
            ]
            # Committing a record of its own term commits all former ones.
            leadership.waiting.append(Proposal('noop', b''))
        for thread in leadership.threads:
            thread.start()
        _LOGGER.info('Leading.', extra={'term': core.term})
        self._flush()

    def replicate_to(self, leadership: Leadership, instance: str) -> None:
        """Start to send records to a member that was added."""
        thread = self._make_thread(leadership, instance)
        with self._core.changed:
            leadership.threads.append(thread)
        thread.start()

    def tick(self) -> None:
        """Step down if no majority has answered; worker only."""
        core = self._core
        leadership = core.leadership
        if leadership is None:
            return
        with core.changed:
            silence_s = leadership.read_silence_s(core.journal.group)
        if silence_s > core.options.election_timeout_min_s:
            _LOGGER.warning('No majority answers.')
            core.step_down()

    def propose(
        self,
        proposal: Proposal,
        timeout_s: float,
        expected: Leadership | None = None,
    ) -> object:
        """Commit a proposal and return its result.

        With ``expected``, it is only taken within that leadership.
        """
        with self._core.changed:
            leadership = self.require_leadership()
            if expected not in {None, leadership}:
                raise NotLeaderError(self._core.leader)
            is_first = not leadership.waiting
            leadership.waiting.append(proposal)
        if is_first:
            # Proposals that arrive during a sync share the next one.
            self._core.worker.post(self._flush)
        try:
            return proposal.future.result(max(timeout_s, 0))
        except TimeoutError as error:
            if proposal.future.done():
                raise
            raise CommitUnknownError(
                f'not committed within {timeout_s:.3f} s',
            ) from error

    def require_leadership(self) -> Leadership:
        """Return the leadership; with ``changed`` held."""
        leadership = self._core.leadership
        if leadership is None or leadership.is_transferring:
            raise NotLeaderError(
                None if leadership else self._core.leader,
            )
        return leadership

    def holds_lease(self) -> bool:
        """Return whether this member leads and holds its lease."""
        with self._core.changed:
            leadership = self._core.leadership
            return (
                leadership is not None
                and leadership.is_ready
                and leadership.holds_lease(self._core.journal.group)
            )

    def read_barrier(self, timeout_s: float) -> int:
        """Return an applied index that includes all committed before."""
        core = self._core
        deadline = time.monotonic() + timeout_s
        with core.changed:
            leadership = self.require_leadership()
        core.wait_until(
            lambda: leadership.is_closed or self.holds_lease(),
            deadline,
        )
        with core.changed:
            index = core.commit
            # Read after the commit index: it was current at that time.
            if core.leadership is not leadership or not self.holds_lease():
                raise NotLeaderError(core.leader)
        if not core.wait_until(lambda: core.applied >= index, deadline):
            raise CommitUnknownError(f'record {index} not applied in time')
        with core.changed:
            # The process may have been stopped while it waited.
            if core.leadership is not leadership or not self.holds_lease():
                raise NotLeaderError(None)
            return core.applied

    def _make_thread(
        self,
        leadership: Leadership,
        peer: str,
    ) -> threading.Thread:
        return threading.Thread(
            target=Replicator(self._core, leadership, peer).run,
            name=f'replicate-{peer}',
            daemon=True,
        )

    def _flush(self) -> None:
        """Write and sync all waiting proposals at once; worker only."""
        core = self._core
        leadership = core.leadership
        if leadership is None:
            return
        with core.changed:
            proposals = leadership.take_waiting()
            first = core.journal.last_index + 1
            core.journal.append(
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
                core.proposals[index] = proposal
            # Members sync in parallel with the leader.
            core.changed.notify_all()
        core.persist()
        with core.changed:
            core.advance_leader_commit(leadership)
