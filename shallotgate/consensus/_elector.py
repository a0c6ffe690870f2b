"""Leader election with a pre-vote phase."""

import random
import time
from collections.abc import Callable

from shallotgate.consensus._best_effort import send_or_drop
from shallotgate.consensus._member_state import MemberState
from shallotgate.consensus._voter import Voter
from shallotgate.generated.messages import (
    PreVote,
    PreVoteReply,
    TimeoutNow,
    Vote,
    VoteReply,
)
from shallotgate.transport import Delivery

# Longest wait for votes, as a multiple of the first. The wait doubles with each
# election in which a majority was reached and none won: the disks need longer
# than the wait to store the votes, or several candidates split them.
_MAX_WAIT_FACTOR = 8


class Elector:
    """Runs elections; only the worker thread accesses its state.

    A candidate increments its term only after a majority has granted it a
    pre-vote, so that a member that was partitioned does not depose the leader
    when it returns.
    """

    def __init__(
        self, state: MemberState, on_elected: Callable[[], None]
    ) -> None:
        self._state = state
        self._on_elected = on_elected
        self._voter = Voter(state, self.reset_election_timeout)
        # Timeouts are jittered to avoid split votes.
        self._random = random.Random()  # noqa: S311 - no secret
        self._election_due_at: float = 0
        self._last_leader_contact: float = 0
        # Identities that granted the pre-vote or vote in progress; None if
        # there is none.
        self._granted_pre_votes: set[str] | None = None
        self._granted_votes: set[str] | None = None
        # Elections since the last leader.
        self._elections = 0
        for message_type, handler in (
            (PreVoteReply, self._on_pre_vote_reply),
            (VoteReply, self._on_vote_reply),
            (TimeoutNow, self._on_timeout_now),
        ):
            state.worker.subscribe(state.mailbox, message_type, handler)

    @property
    def is_candidate(self) -> bool:
        """Whether this member runs an election at present."""
        is_in_progress = (
            self._granted_pre_votes is not None
            or self._granted_votes is not None
        )
        return is_in_progress and self._state.leader is None

    def tick(self) -> None:
        """Start a pre-vote if the election timeout has elapsed."""
        state = self._state
        now = time.monotonic()
        if state.last_leader_contact != self._last_leader_contact:
            self._last_leader_contact = state.last_leader_contact
            self._elections = 0
            self._election_due_at = (
                self._last_leader_contact
                + self._random.uniform(
                    state.options.election_timeout_min_s,
                    state.options.election_timeout_max_s,
                )
            )
            if self._election_due_at < now:
                # The timeouts of members that start together may all have
                # elapsed already; if all became candidates at once, each
                # would vote for itself and none would be elected.
                jitter_s = state.options.overdue_election_jitter_s
                self._election_due_at = now + self._random.uniform(0, jitter_s)
        if state.leadership is not None or not state.is_voter:
            self._clear_election()
            return
        is_only_voter = state.journal.group.voters == {state.identity}
        if is_only_voter or now >= self._election_due_at:
            self._start_pre_vote()

    def _clear_election(self) -> None:
        self._granted_pre_votes = None
        self._granted_votes = None

    def reset_election_timeout(self) -> None:
        """Restart the election timeout; worker only."""
        options = self._state.options
        self._election_due_at = time.monotonic() + self._random.uniform(
            options.election_timeout_min_s,
            options.election_timeout_max_s,
        )

    def _start_pre_vote(self) -> None:
        state = self._state
        self._schedule_retry()
        with state.changed:
            state.leader = None
        self._granted_votes = None
        self._granted_pre_votes = set()
        self._broadcast_to_voters(
            PreVote(
                term=state.term + 1,
                identity=state.identity,
                last_index=state.journal.last_index,
                last_term=state.journal.last_term,
            ),
        )
        self._count_pre_vote(state.identity)

    def _schedule_retry(self, factor: int = 1) -> None:
        wait_s = self._random.uniform(
            self._state.options.election_retry_min_s,
            self._state.options.election_retry_max_s,
        )
        self._election_due_at = time.monotonic() + wait_s * factor

    def _broadcast_to_voters(self, message: object) -> None:
        state = self._state
        for member in state.journal.group.members:
            if member.voter and member.instance != state.instance:
                send_or_drop(state.mailbox, member.instance, message)

    def _on_pre_vote_reply(self, delivery: Delivery) -> None:
        message: PreVoteReply = delivery.message
        if message.granted and message.asked_term == self._state.term + 1:
            self._count_pre_vote(message.identity)
        elif message.term > self._state.term:
            self._clear_election()
            self._state.adopt_term(message.term)

    def _count_pre_vote(self, identity: str) -> None:
        if self._granted_pre_votes is None or self._state.leader is not None:
            return
        self._granted_pre_votes.add(identity)
        if self._state.journal.group.has_majority(self._granted_pre_votes):
            self._start_vote(is_transfer=False)

    def _start_vote(self, *, is_transfer: bool) -> None:
        state = self._state
        state.store_vote(state.term + 1, state.identity)
        # Counted from here: the own disk may be slow as well.
        self._schedule_retry(min(2**self._elections, _MAX_WAIT_FACTOR))
        self._elections += 1
        self._granted_pre_votes = None
        self._granted_votes = set()
        self._broadcast_to_voters(
            Vote(
                term=state.term,
                identity=state.identity,
                last_index=state.journal.last_index,
                last_term=state.journal.last_term,
                transfer=is_transfer,
            ),
        )
        self._count_vote(state.identity)

    def _on_vote_reply(self, delivery: Delivery) -> None:
        message: VoteReply = delivery.message
        if message.granted and message.term == self._state.term:
            self._count_vote(message.identity)
        elif message.term > self._state.term:
            self._clear_election()
            self._state.adopt_term(message.term)

    def _count_vote(self, identity: str) -> None:
        if self._granted_votes is None:
            return
        self._granted_votes.add(identity)
        if self._state.journal.group.has_majority(self._granted_votes):
            self._clear_election()
            self._elections = 0
            self._on_elected()

    def _on_timeout_now(self, delivery: Delivery) -> None:
        state = self._state
        if delivery.message.term != state.term or not state.is_voter:
            return
        if state.leadership is None:
            self._start_vote(is_transfer=True)
