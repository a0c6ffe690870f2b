"""Handling of vote requests."""

import time
from collections.abc import Callable
from typing import Any

from shallotgate.consensus._best_effort import send_or_drop
from shallotgate.consensus._member_state import MemberState
from shallotgate.generated.messages import (
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
)
from shallotgate.transport import Delivery


class Voter:
    """Replies to candidates; runs on the worker thread."""

    def __init__(
        self, state: MemberState, on_granted: Callable[[], None]
    ) -> None:
        self._state = state
        self._on_granted = on_granted
        state.worker.subscribe(state.mailbox, PreVote, self._on_pre_vote)
        state.worker.subscribe(state.mailbox, Vote, self._on_vote)

    def _on_pre_vote(self, delivery: Delivery) -> None:
        message: PreVote = delivery.message
        state = self._state
        granted = (
            message.term > state.term
            and self._may_vote()
            and not self._has_recent_leader()
            and self._is_log_up_to_date(message)
        )
        reply = PreVoteReply(
            term=state.term,
            identity=state.identity,
            granted=granted,
            asked_term=message.term,
        )
        send_or_drop(state.mailbox, delivery.sender, reply)

    def _on_vote(self, delivery: Delivery) -> None:
        state = self._state
        granted = self._decide_vote(delivery.message)
        reply = VoteReply(
            term=state.term,
            identity=state.identity,
            granted=granted,
        )
        send_or_drop(state.mailbox, delivery.sender, reply)

    def _may_vote(self) -> bool:
        """Return whether this member may grant a vote to a candidate.

        The candidate counts votes by the group in its own log. That may hold a
        record which gives this member a vote and has not arrived here.
        """
        return self._state.journal.group.includes(self._state.identity)

    def _has_recent_leader(self) -> bool:
        """Return whether a leader may hold a lease that this member backs."""
        state = self._state
        contact_age_s = time.monotonic() - state.last_leader_contact
        return (
            state.leadership is not None
            or contact_age_s < state.options.election_timeout_min_s
        )

    def _is_log_up_to_date(self, message: Any) -> bool:
        """Return whether the candidate's log is at least as up to date."""
        journal = self._state.journal
        own_position = (journal.last_term, journal.last_index)
        return (message.last_term, message.last_index) >= own_position

    def _decide_vote(self, message: Vote) -> bool:
        state = self._state
        if message.term < state.term or not self._may_vote():
            return False
        if not message.transfer and self._has_recent_leader():
            # The lease of the leader relies on this refusal.
            return False
        is_free = message.term > state.term or not state.vote_state.voted_for
        if not (is_free and self._is_log_up_to_date(message)):
            state.adopt_term(message.term)
            return state.vote_state.voted_for == message.identity
        if message.term > state.term:
            state.step_down()
        # Term and vote in one write: the candidate waits for it.
        state.store_vote(message.term, message.identity)
        self._on_granted()
        return True
