"""What replies and reports show of one target."""

from collections.abc import Sequence

from shallotgate.generated.messages import TargetVersion
from shallotgate.targets._connector import TargetReport

_NEVER = float('-inf')
# While replies are this recent, reports can't change what replies show.
_REPLY_TRUST_S = 2.0
# After a reply said that the target drains, a report that denies it is
# believed only after this time, which doubles with each contradiction.
_DRAIN_HOLD_S = 5.0
_MAX_DRAIN_HOLD_S = 300.0
# Replies of several connections arrive out of order by less than this.
_UPTIME_SLACK_MS = 1000.0
_DENIAL_S = 5.0
# A drain that only reports claim takes effect after this time, in which a
# reply can refute the claim. It ends sooner if the target was not observed
# for long, because new work must end 5 s after the drain began.
_CONFIRMATION_S = 2.0
_LONGEST_UNOBSERVED_S = 3.5


class Observation:
    """Own observation goes before reports; the caller holds a lock."""

    def __init__(self) -> None:
        self.start_id = ''
        # Whether the target says so, though not necessarily in effect yet.
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
        self._drain_from = _NEVER
        # Monotonic time of the last observation without a drain.
        self._clear_at = _NEVER
        # Whether a reply denied the drain that reports claim. A report that
        # repeats the claim would leave no reply to refute it again.
        self._is_claim_refuted = False
        self._denied: dict[tuple[int, int], float] = {}

    def is_draining(self, now: float) -> bool:
        """Return whether the target is to get no new work."""
        return self.draining and now >= self._drain_from

    def see_reply(self, report: TargetReport, now: float) -> bool:
        """Take the report inside a reply; returns whether it restarted."""
        restarted = self._follow_start(report)
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
            self._drain_from = _NEVER
            self._drain_uptime_ms = report.uptime_ms
            self._drain_until = now + self._drain_hold_s
            self._is_claim_refuted = False
        elif report.uptime_ms > self._drain_uptime_ms:
            # Said later than whatever claimed that it drains.
            is_claim = self.draining and self._drain_until == _NEVER
            self._is_claim_refuted = self._is_claim_refuted or is_claim
            self.draining = False
            self._clear_at = now
            self._drain_until = _NEVER
            self._drain_hold_s = _DRAIN_HOLD_S
        return restarted

    def see_report(self, report: TargetReport, now: float) -> bool:
        """Take a report; returns whether the target restarted."""
        trusts_replies = now - self.reply_at < _REPLY_TRUST_S
        is_older = (
            report.start_id == self.start_id
            and report.uptime_ms < self._reply_uptime_ms
        )
        if is_older:
            # Reports may lag without bound. Taken as a restart, a lagging one
            # would end a drain that replies showed.
            return False
        restarted = self._follow_start(report)
        if restarted or not trusts_replies:
            self.versions = report.versions
        if report.draining:
            self._note_claim(report, now)
            return restarted
        self._is_claim_refuted = False
        self._clear_at = now
        if now >= self._drain_until:
            self.draining = False
        return restarted

    def deny(self, index_version: int, partition: int, now: float) -> None:
        """Note that the target refused a version or partition."""
        self._denied[index_version, partition] = now + _DENIAL_S

    def list_versions(self, now: float) -> Sequence[TargetVersion]:
        """Return the versions without what was refused lately."""
        if not self._denied:
            return self.versions
        self._denied = {
            pair: until for pair, until in self._denied.items() if until > now
        }
        return tuple(
            TargetVersion(
                index_version=version.index_version,
                partitions=version.partitions,
                held=tuple(
                    partition
                    for partition in version.held
                    if (version.index_version, partition) not in self._denied
                ),
            )
            for version in self.versions
        )

    def _note_claim(self, report: TargetReport, now: float) -> None:
        if not self.draining and not self._is_claim_refuted:
            self.draining = True
            self._drain_from = min(
                now + _CONFIRMATION_S,
                self._clear_at + _LONGEST_UNOBSERVED_S,
            )
            self._drain_uptime_ms = report.uptime_ms

    def _follow_start(self, report: TargetReport) -> bool:
        """Return whether this is another start than the one known."""
        fell = report.uptime_ms + _UPTIME_SLACK_MS < self._uptime_ms
        changed = report.start_id != self.start_id
        if not changed and not fell:
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
        self._drain_from = _NEVER
        self._clear_at = _NEVER
        self.draining = False
        self._is_claim_refuted = False
        self._denied.clear()
        return not is_first
