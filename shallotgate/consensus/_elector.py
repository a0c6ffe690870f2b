"""Elections with pre-vote."""

import random
import time
from collections.abc import Callable

from shallotgate.consensus._best_effort import send_or_drop
from shallotgate.consensus._member_state import Core
from shallotgate.consensus._voter import Voter
from shallotgate.generated.messages import (
    PreVote,
    PreVoteReply,
    TimeoutNow,
    Vote,
    VoteReply,
)
from shallotgate.transport import Delivery


class Elector:
    """Asks for and grants votes; all state belongs to the worker thread.

    A candidate first asks whether it would be elected and raises its term
    only then, so that a member that was cut off does not unseat the leader.
    """

    def __init__(self, core: Core, on_elected: Callable[[], None]) -> None:
        self._core = core
        self._on_elected = on_elected
        self._voter = Voter(core, self.postpone)
        # Times are jittered so that candidates rarely collide.
        self._random = random.Random()  # noqa: S311 - no secret
        self._due: float = 0
        self._heard_at: float = 0
        # Identities that answered yes in the open pre-vote or vote.
        self._pre_votes: set[str] | None = None
        self._votes: set[str] | None = None
        for message_type, handler in (
            (PreVoteReply, self._on_pre_vote_reply),
            (VoteReply, self._on_vote_reply),
            (TimeoutNow, self._on_timeout_now),
        ):
            core.worker.subscribe(core.mailbox, message_type, handler)

    @property
    def is_candidate(self) -> bool:
        """Whether an election of this member is open."""
        is_open = self._pre_votes is not None or self._votes is not None
        return is_open and self._core.leader is None

    def tick(self) -> None:
        """Start an election if no leader was heard from for too long."""
        core = self._core
        now = time.monotonic()
        if core.heard_at != self._heard_at:
            self._heard_at = core.heard_at
            self._due = self._heard_at + self._random.uniform(
                core.options.election_timeout_min_s,
                core.options.election_timeout_max_s,
            )
            if self._due < now:
                # Members that start together are all late; if all stand at
                # once, each votes for itself and none is elected.
                late_s = core.options.overdue_election_jitter_s
                self._due = now + self._random.uniform(0, late_s)
        if core.leadership is not None or not core.is_voter:
            self._end()
            return
        is_alone = core.journal.group.voters == {core.identity}
        if is_alone or now >= self._due:
            self._start_pre_vote()

    def _end(self) -> None:
        self._pre_votes = None
        self._votes = None

    def postpone(self) -> None:
        """Leave another candidate time to lead; worker only."""
        options = self._core.options
        self._due = time.monotonic() + self._random.uniform(
            options.election_timeout_min_s,
            options.election_timeout_max_s,
        )

    def _start_pre_vote(self) -> None:
        core = self._core
        self._schedule_retry()
        with core.changed:
            core.leader = None
        self._votes = None
        self._pre_votes = set()
        self._ask(
            PreVote(
                term=core.term + 1,
                identity=core.identity,
                last_index=core.journal.last_index,
                last_term=core.journal.last_term,
            ),
        )
        self._count_pre_vote(core.identity)

    def _schedule_retry(self) -> None:
        self._due = time.monotonic() + self._random.uniform(
            self._core.options.election_retry_min_s,
            self._core.options.election_retry_max_s,
        )

    def _ask(self, message: object) -> None:
        core = self._core
        for member in core.journal.group.members:
            if member.voter and member.instance != core.instance:
                send_or_drop(core.mailbox, member.instance, message)

    def _on_pre_vote_reply(self, delivery: Delivery) -> None:
        message: PreVoteReply = delivery.message
        if message.granted and message.asked_term == self._core.term + 1:
            self._count_pre_vote(message.identity)
        elif message.term > self._core.term:
            self._end()
            self._core.adopt_term(message.term)

    def _count_pre_vote(self, identity: str) -> None:
        if self._pre_votes is None or self._core.leader is not None:
            return
        self._pre_votes.add(identity)
        if self._core.journal.group.has_majority(self._pre_votes):
            self._start_vote(is_transfer=False)

    def _start_vote(self, *, is_transfer: bool) -> None:
        core = self._core
        self._schedule_retry()
        core.store_vote(core.term + 1, core.identity)
        self._pre_votes = None
        self._votes = set()
        self._ask(
            Vote(
                term=core.term,
                identity=core.identity,
                last_index=core.journal.last_index,
                last_term=core.journal.last_term,
                transfer=is_transfer,
            ),
        )
        self._count_vote(core.identity)

    def _on_vote_reply(self, delivery: Delivery) -> None:
        message: VoteReply = delivery.message
        if message.granted and message.term == self._core.term:
            self._count_vote(message.identity)
        elif message.term > self._core.term:
            self._end()
            self._core.adopt_term(message.term)

    def _count_vote(self, identity: str) -> None:
        if self._votes is None:
            return
        self._votes.add(identity)
        if self._core.journal.group.has_majority(self._votes):
            self._end()
            self._on_elected()

    def _on_timeout_now(self, delivery: Delivery) -> None:
        core = self._core
        if delivery.message.term != core.term or not core.is_voter:
            return
        if core.leadership is None:
            self._start_vote(is_transfer=True)
