"""Transfer of leadership to another member."""

import time
from functools import partial

from shallotgate.consensus._best_effort import send_or_drop
from shallotgate.consensus._leadership import Leadership, Progress
from shallotgate.consensus._member_state import MemberState
from shallotgate.generated.messages import TimeoutNow


class LeadershipTransfer:
    """Hands the leadership over before a planned stop."""

    def __init__(self, state: MemberState) -> None:
        self._state = state

    def run(self, timeout_s: float) -> bool:
        """Transfer leadership to the most up-to-date follower.

        Returns whether another leader is known within ``timeout_s``.
        """
        state = self._state
        deadline = time.monotonic() + timeout_s
        with state.changed:
            leadership = state.leadership
            if leadership is None:
                return False
            followers = leadership.list_live_voters(
                state.journal.group,
                state.options.lease_s,
            )
            successor = next(iter(followers), None)
            if successor is None:
                return False
            leadership.is_transferring = True
        state.wait_until(
            lambda: (
                leadership.is_closed or _is_fully_replicated(state, successor)
            ),
            deadline,
        )
        if leadership.is_closed or not _is_fully_replicated(state, successor):
            leadership.is_transferring = False
            return False
        # From here on, the lease must not be used again in this term: the
        # follower may start its election at any later time.
        send_or_drop(
            state.mailbox,
            successor.instance,
            TimeoutNow(term=leadership.term),
        )
        state.worker.post(partial(_step_down_from, state, leadership))
        return state.wait_until(
            lambda: leadership.is_closed and state.leader is not None,
            deadline,
        )


def _step_down_from(state: MemberState, leadership: Leadership) -> None:
    if state.leadership is leadership:
        state.step_down()


def _is_fully_replicated(state: MemberState, progress: Progress) -> bool:
    last_index = state.journal.last_index
    return progress.match_index == last_index == state.commit_index
