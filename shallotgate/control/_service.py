"""Control service of one control member."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from shallotgate.codec import encode_json
from shallotgate.control._duties import LeaderDuties
from shallotgate.control._heartbeats import HeartbeatHandler
from shallotgate.control._log import ReplicatedLog
from shallotgate.control._operations import Operations
from shallotgate.control._proposals import Proposer
from shallotgate.control._sessions import SessionTable
from shallotgate.control._updates import make_update
from shallotgate.errors import NotLeaderError, ShallotgateError
from shallotgate.generated.messages import (
    FetchState,
    Heartbeat,
    LeaderCall,
    LeaderCallReply,
    Propose,
    ProposeReply,
)
from shallotgate.generated.settings import Settings
from shallotgate.logs import get_logger
from shallotgate.metrics import Metrics
from shallotgate.state import TierState
from shallotgate.timers import Subscription, TimerService
from shallotgate.transport import Delivery, Mailbox

_LOGGER = get_logger('control')
_MS_PER_S = 1000
# Number of proposals that wait for their commit concurrently; group commit
# writes all of them with one sync.
_PROPOSER_THREADS = 48
_READER_THREADS = 4
# Number of proposals that may wait for a thread; further ones are refused, and
# the sender may retry them safely.
_MAX_QUEUED_PROPOSALS = 1024
_EXPIRY_CHECK_PERIOD_S = 1.0


class ControlService:
    """Serves instances and operators while this member leads.

    Heartbeats are handled on the receiving thread, as they only access memory.
    Requests that block or have large replies run on thread pools.
    """

    def __init__(
        self,
        mailbox: Mailbox,
        timers: TimerService,
        log: ReplicatedLog,
        state: TierState,
        settings: Settings,
        metrics: Metrics,
    ) -> None:
        self._mailbox = mailbox
        self._timers = timers
        self._log = log
        self._state = state
        self._metrics = metrics
        self._sessions = SessionTable(settings.max_attempt_ms / _MS_PER_S)
        self._duties = LeaderDuties(log, state, self._sessions, metrics)
        self._heartbeat_handler = HeartbeatHandler(
            mailbox,
            state,
            self._sessions,
            self._duties,
            metrics,
        )
        self._proposer = Proposer(log, state)
        self._operations = Operations(log, state, self._sessions)
        self._queue_slots = threading.BoundedSemaphore(_MAX_QUEUED_PROPOSALS)
        self._proposers = ThreadPoolExecutor(_PROPOSER_THREADS, 'propose')
        self._readers = ThreadPoolExecutor(_READER_THREADS, 'leader-call')
        self._expiry_check: Subscription | None = None

    def start(self) -> None:
        """Subscribe to messages and to leadership; start the leader's tasks.

        It must be called before the mailbox and the log are started.
        """
        self._mailbox.subscribe(Heartbeat, self._heartbeat_handler.answer)
        self._mailbox.subscribe(Propose, self._on_propose)
        self._mailbox.subscribe(FetchState, self._on_fetch)
        self._mailbox.subscribe(LeaderCall, self._on_call)
        self._log.on_leadership(self._duties.change_leadership)
        self._expiry_check = self._timers.call_every(
            _EXPIRY_CHECK_PERIOD_S, self._expire_sessions
        )
        self._duties.start()

    def stop(self) -> None:
        """Stop the leader's tasks; calls in progress are still answered."""
        if self._expiry_check is not None:
            self._expiry_check.cancel()
        self._duties.stop()
        self._proposers.shutdown(wait=False, cancel_futures=True)
        self._readers.shutdown(wait=False, cancel_futures=True)

    def _expire_sessions(self) -> None:
        # Taking a snapshot removes expired sessions and updates the list of
        # live instances.
        self._sessions.take_snapshot(time.monotonic())

    def _on_propose(self, delivery: Delivery) -> None:
        if not self._log.is_leading():
            reply = ProposeReply(
                status='not_leader', leader=self._duties.get_leader()
            )
            self._mailbox.reply(delivery, reply)
            return
        if not self._queue_slots.acquire(blocking=False):
            # The sender may retry, as the command was not accepted.
            self._metrics.count('proposals_refused_total')
            reply = ProposeReply(status='not_leader')
            self._mailbox.reply(delivery, reply)
            return
        time_left_s = delivery.message.time_left_ms / _MS_PER_S
        deadline = time.monotonic() + time_left_s - delivery.age_s
        self._submit(
            self._proposers,
            self._propose,
            delivery,
            deadline,
        )

    def _propose(self, delivery: Delivery, deadline: float) -> None:
        self._queue_slots.release()
        time_left_s = deadline - time.monotonic()
        if time_left_s > 0:
            reply = self._proposer.answer(delivery.message.command, time_left_s)
            self._mailbox.reply(delivery, reply)

    def _on_fetch(self, delivery: Delivery) -> None:
        self._submit(self._readers, self._fetch, delivery)

    def _fetch(self, delivery: Delivery) -> None:
        request: FetchState = delivery.message
        update = make_update(self._state, self._sessions, request)
        # After a loss of leadership no reply is sent, as the state may be out
        # of date.
        if self._duties.is_active():
            self._mailbox.reply(delivery, update)

    def _on_call(self, delivery: Delivery) -> None:
        self._submit(self._readers, self._call, delivery)

    def _call(self, delivery: Delivery) -> None:
        self._mailbox.reply(delivery, self._run_operation(delivery.message))

    def _run_operation(self, call: LeaderCall) -> LeaderCallReply:
        if not self._duties.is_active():
            return self._make_not_leader_reply()
        try:
            answer = self._operations.run(call.operation, call.argument)
        except NotLeaderError:
            return self._make_not_leader_reply()
        except ShallotgateError as error:
            return LeaderCallReply(status='failed', body=str(error).encode())
        is_read = call.operation != 'replace_member'
        if is_read and not self._duties.is_active():
            # The state that was read may be out of date.
            return self._make_not_leader_reply()
        return LeaderCallReply(
            status='done',
            leader=self._mailbox.instance,
            body=encode_json(answer),
        )

    def _make_not_leader_reply(self) -> LeaderCallReply:
        return LeaderCallReply(
            status='not_leader',
            leader=self._duties.get_leader(),
            body=b'null',
        )

    def _submit(
        self,
        executor: ThreadPoolExecutor,
        work: Callable[..., None],
        *arguments: Any,
    ) -> None:
        try:
            executor.submit(_run_logged, work, *arguments)
        except RuntimeError:
            _LOGGER.info('Message received after shutdown; ignored.')


def _run_logged(work: Callable[..., None], *arguments: Any) -> None:
    try:
        work(*arguments)
    except Exception:
        _LOGGER.exception('Message handler failed.')
