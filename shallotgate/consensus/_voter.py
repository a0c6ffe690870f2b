"""Grants votes."""

import time
from collections.abc import Callable
from typing import Any

from shallotgate.consensus._best_effort import send_or_drop
from shallotgate.consensus._member_state import Core
from shallotgate.generated.messages import (
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
)
from shallotgate.transport import Delivery


class Voter:
    """Answers candidates; all state belongs to the worker thread."""

    def __init__(self, core: Core, on_granted: Callable[[], None]) -> None:
        self._core = core
        self._on_granted = on_granted
        core.worker.subscribe(core.mailbox, PreVote, self._on_pre_vote)
        core.worker.subscribe(core.mailbox, Vote, self._on_vote)

    def _on_pre_vote(self, delivery: Delivery) -> None:
        message: PreVote = delivery.message
        core = self._core
        granted = (
            message.term > core.term
            and core.is_voter
            and not self._knows_leader()
            and self._is_complete(message)
        )
        reply = PreVoteReply(
            term=core.term,
            identity=core.identity,
            granted=granted,
            asked_term=message.term,
        )
        send_or_drop(core.mailbox, delivery.sender, reply)

    def _on_vote(self, delivery: Delivery) -> None:
        core = self._core
        granted = self._decide(delivery.message)
        reply = VoteReply(
            term=core.term,
            identity=core.identity,
            granted=granted,
        )
        send_or_drop(core.mailbox, delivery.sender, reply)

    def _knows_leader(self) -> bool:
        """Return whether a leader may hold a lease with this member's help."""
        core = self._core
        silence_s = time.monotonic() - core.heard_at
        return (
            core.leadership is not None
            or silence_s < core.options.election_timeout_min_s
        )

    def _is_complete(self, message: Any) -> bool:
        """Return whether the candidate holds all that this member holds."""
        journal = self._core.journal
        mine = (journal.last_term, journal.last_index)
        return (message.last_term, message.last_index) >= mine

    def _decide(self, message: Vote) -> bool:
        core = self._core
        if message.term < core.term or not core.is_voter:
            return False
        if not message.transfer and self._knows_leader():
            # The leader's lease rests on this.
            return False
        core.adopt_term(message.term)
        if core.ballot.voted or not self._is_complete(message):
            return core.ballot.voted == message.identity
        core.store_vote(message.term, message.identity)
        self._on_granted()
        return True
