"""State of one target as observed from replies and reports."""

from collections.abc import Sequence

from shallotgate.generated.messages import TargetVersion
from shallotgate.targets._connector import TargetReport

_NEVER = float('-inf')
# Reports don't override what replies within this period showed.
_REPLY_TRUST_S = 2.0
# After a reply announced a drain, a report without a drain is ignored for this
# period, which doubles with each contradiction.
_DRAIN_HOLD_S = 5.0
_MAX_DRAIN_HOLD_S = 300.0
# Replies on several connections may arrive out of order by up to this time.
_UPTIME_TOLERANCE_MS = 1000.0
_REFUSED_VERSION_TTL_S = 5.0
# A drain that only reports announce takes effect after this time, within which
# a reply can refute it. The time is shorter if the target was not observed for
# long, because new attempts must stop within 5 s of the start of the drain.
_DRAIN_CONFIRMATION_S = 2.0
_MAX_UNOBSERVED_S = 3.5


class Observation:
    """Observed state of one target; replies override reports.

    The caller must hold a lock.
    """

    def __init__(self) -> None:
        self.start_id = ''
        # Whether the target announces a drain, possibly not yet in effect.
        self.draining = False
        self.versions: Sequence[TargetVersion] = ()
        # Monotonic time of the last reply of this start.
        self.reply_at = _NEVER
        self._uptime_ms = float(0)
        self._reply_uptime_ms = _NEVER
        self._drain_uptime_ms = _NEVER
        self._drain_hold_s = _DRAIN_HOLD_S
        self._drain_until = _NEVER
        # Monotonic time from which the drain is in effect.
        self._drain_effective_at = _NEVER
        # Monotonic time of the last observation without a drain.
        self._not_draining_at = _NEVER
        # Whether a reply refuted the drain that reports announce. If a
        # repeated report put the drain into effect again, there would be no
        # attempts whose replies could refute it.
        self._is_drain_refuted = False
        self._refused_versions: dict[tuple[int, int], float] = {}

    def is_draining(self, now: float) -> bool:
        """Return whether a drain is in effect."""
        return self.draining and now >= self._drain_effective_at

    def observe_reply(self, report: TargetReport, now: float) -> bool:
        """Apply the report in a reply; returns whether the target restarted."""
        restarted = self._detect_restart(report)
        self.reply_at = now
        self._reply_uptime_ms = report.uptime_ms
        self.versions = report.versions
        if report.draining:
            if self._drain_until > _NEVER and not self.draining:
                self._drain_hold_s = min(
                    self._drain_hold_s * 2,
                    _MAX_DRAIN_HOLD_S,
                )
            self.draining = True
            self._drain_effective_at = _NEVER
            self._drain_uptime_ms = report.uptime_ms
            self._drain_until = now + self._drain_hold_s
            self._is_drain_refuted = False
        elif report.uptime_ms > self._drain_uptime_ms:
            # The reply is more recent than the announcement of the drain.
            is_report_only = self.draining and self._drain_until == _NEVER
            self._is_drain_refuted = self._is_drain_refuted or is_report_only
            self.draining = False
            self._not_draining_at = now
            self._drain_until = _NEVER
            self._drain_hold_s = _DRAIN_HOLD_S
        return restarted

    def observe_report(self, report: TargetReport, now: float) -> bool:
        """Apply a report; returns whether the target restarted."""
        trusts_replies = now - self.reply_at < _REPLY_TRUST_S
        is_older = (
            report.start_id == self.start_id
            and report.uptime_ms < self._reply_uptime_ms
        )
        if is_older:
            # A report may be arbitrarily old. If an old one were treated as a
            # restart, it would end a drain that replies announced.
            return False
        restarted = self._detect_restart(report)
        if restarted or not trusts_replies:
            self.versions = report.versions
        if report.draining:
            self._record_reported_drain(report, now)
            return restarted
        self._is_drain_refuted = False
        self._not_draining_at = now
        if now >= self._drain_until:
            self.draining = False
        return restarted

    def record_refused_version(
        self, index_version: int, partition: int, now: float
    ) -> None:
        """Record that the target refused a version or partition."""
        self._refused_versions[index_version, partition] = (
            now + _REFUSED_VERSION_TTL_S
        )

    def list_versions(self, now: float) -> Sequence[TargetVersion]:
        """Return the versions except those refused recently."""
        if not self._refused_versions:
            return self.versions
        self._refused_versions = {
            pair: until
            for pair, until in self._refused_versions.items()
            if until > now
        }
        return tuple(
            TargetVersion(
                index_version=version.index_version,
                partitions=version.partitions,
                held=tuple(
                    partition
                    for partition in version.held
                    if (version.index_version, partition)
                    not in self._refused_versions
                ),
            )
            for version in self.versions
        )

    def _record_reported_drain(self, report: TargetReport, now: float) -> None:
        if not self.draining and not self._is_drain_refuted:
            self.draining = True
            self._drain_effective_at = min(
                now + _DRAIN_CONFIRMATION_S,
                self._not_draining_at + _MAX_UNOBSERVED_S,
            )
            self._drain_uptime_ms = report.uptime_ms

    def _detect_restart(self, report: TargetReport) -> bool:
        """Return whether the target restarted, and reset the state if so."""
        has_uptime_dropped = (
            report.uptime_ms + _UPTIME_TOLERANCE_MS < self._uptime_ms
        )
        start_id_changed = report.start_id != self.start_id
        if not start_id_changed and not has_uptime_dropped:
            self._uptime_ms = max(self._uptime_ms, report.uptime_ms)
            return False
        is_first = not self.start_id
        self.start_id = report.start_id
        self._uptime_ms = report.uptime_ms
        self.reply_at = _NEVER
        self._reply_uptime_ms = _NEVER
        self._drain_uptime_ms = _NEVER
        self._drain_until = _NEVER
        self._drain_hold_s = _DRAIN_HOLD_S
        self._drain_effective_at = _NEVER
        self._not_draining_at = _NEVER
        self.draining = False
        self._is_drain_refuted = False
        self._refused_versions.clear()
        return not is_first
