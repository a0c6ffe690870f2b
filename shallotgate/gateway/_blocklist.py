"""Refusal of request contents that crash targets."""

import asyncio
import secrets
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from shallotgate.errors import TargetConnectError
from shallotgate.gateway._crashes import CrashEvidence, RequestContent
from shallotgate.gateway._directory import Target
from shallotgate.generated.messages import (
    AskContentTrial,
    BarContent,
    ContentsUpdate,
    ContentSurvived,
    ContentTrial,
    CrashRecorded,
    CrashReport,
)
from shallotgate.logs import get_logger

_LOGGER = get_logger('crashes')
# Lost targets of one request that are probed.
_MAX_PROBES = 4
# Delay before a lost target is probed, in seconds: a crashed one refuses
# connections by then and stays down for seconds.
_PROBE_DELAY_S = 0.05
# Connect timeout of a probe, in seconds.
_PROBE_TIMEOUT_S = 0.3
# Idle timeout of a probe connection, in seconds. It is short because the
# connection may exceed this entry's share of the target's limit.
_PROBE_IDLE_TIMEOUT_S = 0.5
# Time to wait for the leader's answer whether a request may try a content. It
# answers within milliseconds.
_TRIAL_TIMEOUT_S = 0.3
# Interval between two sends of a report that is not confirmed, and time after
# which it is given up: longer than a roll of the control members takes.
_RESEND_S = 0.5
_REPORT_TIMEOUT_S = 30.0
# Reports that wait for a confirmation; further ones are sent once.
_MAX_UNCONFIRMED = 256
# Bytes of the random id of a report.
_REPORT_ID_BYTES = 8
# Time after which a caller may come again whose content is refused for lack of
# an answer.
_UNANSWERED_S = 1.0
# A refusal that ended is forgotten after this time.
_RETENTION_S = 3600.0
_MS_PER_S = 1000

Message = CrashReport | AskContentTrial | ContentSurvived


@dataclass(frozen=True)
class Admission:
    """Whether a request may be sent to targets."""

    # Seconds for which its content is refused; 0 if it may be sent.
    refused_s: float = 0
    # Whether it tries a content that has crashed targets.
    is_trial: bool = False


@dataclass
class _Bar:
    """A content that crashed targets."""

    # Monotonic time until which it is refused without a question.
    until: float
    trials: int
    # Answer of the leader that is awaited.
    answer: 'asyncio.Future[bool] | None' = None
    # Monotonic time until which a trial that was granted too late for the
    # request that asked may be used by another one.
    granted_until: float = float('-inf')

    def take_grant(self) -> bool:
        """Use up a trial that was granted too late; return if there is one."""
        is_granted = time.monotonic() < self.granted_until
        self.granted_until = float('-inf')
        return is_granted

    def set(self, hold_ms: int, trials: int) -> None:
        """Refuse it for a time from now on."""
        self.until = time.monotonic() + hold_ms / _MS_PER_S
        self.trials = max(self.trials, trials)


_ADMITTED = Admission()


class ContentBlocklist:
    """Refuses contents that crash targets, reports and tries suspects.

    Used on the event loop.
    """

    def __init__(self, send: Callable[[Message], object]) -> None:
        """``send`` sends a message to the leader; false if it could not."""
        self._send = send
        # By digest. A content stays here after the time of its refusal, until
        # the leader lets a request try it and a target answers.
        self._bars: dict[str, _Bar] = {}
        self._probes: set[asyncio.Task[None]] = set()
        # By id of a report; set once the leader has confirmed it.
        self._unconfirmed: dict[str, asyncio.Event] = {}
        # Revision of the refusals that a leader has told.
        self.revision = -1

    async def admit(self, content: RequestContent) -> Admission:
        """Return whether a request with a content may be sent to targets."""
        if not self._bars:
            return _ADMITTED
        digest = content.compute_digest()
        content_bar = self._bars.get(digest)
        if content_bar is None:
            return _ADMITTED
        if content_bar.take_grant():
            return Admission(is_trial=True)
        if not self._is_due(content_bar):
            return Admission(self._get_refused_s(content_bar))
        if await self._request_trial(digest, content_bar):
            return Admission(is_trial=True)
        return Admission(self._get_refused_s(content_bar))

    def add(self, message: BarContent) -> None:
        """Refuse a content for a limited time, or no more."""
        if not message.hold_ms:
            if self._bars.pop(message.digest, None) is not None:
                _LOGGER.info(
                    'Content accepted again.', extra={'digest': message.digest}
                )
            return
        self._evict()
        self._set(message)
        _LOGGER.warning(
            'Content refused: targets crashed of it.',
            extra={
                'digest': message.digest,
                'hold_ms': message.hold_ms,
                'trials': message.trials,
            },
        )

    def apply(self, update: ContentsUpdate | None) -> None:
        """Refuse all contents that the leader refuses.

        Others stay: the leader decides on them when they come again.
        """
        if update is None:
            return
        self.revision = update.revision
        for message in update.contents:
            if message.digest not in self._bars:
                _LOGGER.info(
                    'Content refused: a leader has told of it.',
                    extra={
                        'digest': message.digest,
                        'hold_ms': message.hold_ms,
                        'trials': message.trials,
                    },
                )
            self._set(message)

    def confirm_report(self, message: CrashRecorded) -> None:
        """Send a report no more: the leader has stored it."""
        confirmed = self._unconfirmed.get(message.report)
        if confirmed is not None:
            confirmed.set()

    def handle_answer(self, message: ContentTrial) -> None:
        """Take the leader's answer to a question for a trial."""
        content_bar = self._bars.get(message.digest)
        if content_bar is None:
            return
        content_bar.set(message.hold_ms, message.trials)
        answer = content_bar.answer
        if answer is not None and not answer.done():
            answer.set_result(message.granted)
        elif message.granted:
            # It counts, so the next request may use it.
            content_bar.granted_until = content_bar.until

    def conclude_trial(
        self, content: RequestContent, evidence: CrashEvidence
    ) -> None:
        """Tell the leader of a trial that a target has answered."""
        if evidence.is_survived:
            self._send(ContentSurvived(digest=content.compute_digest()))

    def report_crashes(
        self, content: RequestContent, evidence: CrashEvidence
    ) -> None:
        """Report a request whose lost targets have crashed.

        Does nothing if any target has answered it.
        """
        if evidence.is_survived or not evidence.lost:
            return
        probe = asyncio.ensure_future(
            self._probe(content.compute_digest(), tuple(evidence.lost)),
        )
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)

    async def _request_trial(self, digest: str, content_bar: _Bar) -> bool:
        ask = AskContentTrial(digest=digest, trials=content_bar.trials)
        if not self._send(ask):
            return False
        content_bar.answer = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(_TRIAL_TIMEOUT_S):
                return await content_bar.answer
        except TimeoutError:
            _LOGGER.info(
                'No answer whether a content may be tried.',
                extra={'digest': digest},
            )
            return False
        finally:
            content_bar.answer = None

    def _set(self, message: BarContent) -> None:
        content_bar = self._bars.setdefault(message.digest, _Bar(0, 0))
        content_bar.set(message.hold_ms, message.trials)

    def _is_due(self, content_bar: _Bar) -> bool:
        """Whether the leader is to be asked; one request does so at a time."""
        return (
            content_bar.until <= time.monotonic() and content_bar.answer is None
        )

    def _get_refused_s(self, content_bar: _Bar) -> float:
        remaining_s = content_bar.until - time.monotonic()
        return remaining_s if remaining_s > 0 else _UNANSWERED_S

    def _evict(self) -> None:
        oldest = time.monotonic() - _RETENTION_S
        for digest, content_bar in list(self._bars.items()):
            if content_bar.until < oldest:
                self._bars.pop(digest)

    async def _probe(self, digest: str, lost: Sequence[Target]) -> None:
        await asyncio.sleep(_PROBE_DELAY_S)
        checks = [_is_down(target) for target in lost[:_MAX_PROBES]]
        down = await asyncio.gather(*checks)
        crashed = [
            target.listed.target
            for target, is_down in zip(lost, down, strict=False)
            if is_down
        ]
        if crashed:
            _LOGGER.info(
                'Request lost targets that are down now.',
                extra={'digest': digest, 'targets': crashed},
            )
            await self._send_report(digest, crashed)

    async def _send_report(self, digest: str, targets: Sequence[str]) -> None:
        """Send a report until a leader has stored it.

        Without it, the next leader would count the crashes of the content anew.
        """
        report = CrashReport(
            digest=digest,
            targets=targets,
            report=secrets.token_hex(_REPORT_ID_BYTES),
        )
        if len(self._unconfirmed) >= _MAX_UNCONFIRMED:
            self._send(report)
            return
        confirmed = asyncio.Event()
        self._unconfirmed[report.report] = confirmed
        resend = asyncio.ensure_future(self._resend(report))
        try:
            async with asyncio.timeout(_REPORT_TIMEOUT_S):
                await confirmed.wait()
        except TimeoutError:
            _LOGGER.warning(
                'Crash report was not confirmed.', extra={'digest': digest}
            )
        finally:
            resend.cancel()
            self._unconfirmed.pop(report.report)

    async def _resend(self, report: CrashReport) -> None:
        while True:  # noqa: WPS457 - ends when it is cancelled
            self._send(report)
            await asyncio.sleep(_RESEND_S)


async def _is_down(target: Target) -> bool:
    """Return whether a target does not accept connections."""
    try:
        connection = await target.pool.open(_PROBE_TIMEOUT_S)
    except TargetConnectError:
        target.record_connect_failure()
        return True
    target.pool.release(connection, _PROBE_IDLE_TIMEOUT_S)
    return False
