"""Which targets of a service an entry may use, by their version."""

import secrets
import time
from collections.abc import Callable
from typing import Literal, Protocol

from shallotgate.generated.messages import (
    ListedTarget,
    ServiceVersions,
    VersionsUpdate,
)
from shallotgate.logs import get_logger
from shallotgate.rollouts import ExposureTracker, ReplySums

_LOGGER = get_logger('versions')
_SOURCE_BYTES = 8
# Multiple of the usual duration from which a reply is slow: versions that are
# bad in this way are several times slower, and most others vary less.
_SLOW_FACTOR = 2.5
# Multiple of the time to set up a connection that is added for its first reply:
# targets spend time on each new connection, and few requests of an entry go to
# candidates, so most of their connections are new.
_NEW_CONNECTION_FACTOR = 2.0

Outcome = Literal['good', 'failed', 'slow']
# Takes service, version, route and outcome of a reply.
ReplyCounter = Callable[[str, str, str, Outcome], None]


class _Versioned(Protocol):
    """A target of the directory."""

    @property
    def listed(self) -> ListedTarget:
        """What the list says about it."""


def classify(
    duration_ms: float, median_ms: float, connect_ms: float
) -> Literal['good', 'slow']:
    """Return whether a good reply was slow.

    ``connect_ms`` is the time to set up its connection; 0 for one that carried
    others before.

    >>> classify(20, 10, 0), classify(30, 10, 0), classify(30, 10, 4)
    ('good', 'slow', 'good')
    """
    usual_ms = median_ms * _SLOW_FACTOR + connect_ms * _NEW_CONNECTION_FACTOR
    return 'slow' if duration_ms > usual_ms else 'good'


class VersionSelector:
    """Follows the leader's rules; candidates are used with its permits only.

    Used on the event loop, except ``revision``.
    """

    def __init__(self) -> None:
        # Revision of the rules last received; 0 without any.
        self.revision = 0
        self.tracker = ExposureTracker(secrets.token_hex(_SOURCE_BYTES))
        self._rules: dict[str, ServiceVersions] = {}
        # Called for each reply of a service with a rule.
        self.count_reply: ReplyCounter | None = None

    def apply(self, update: VersionsUpdate) -> None:
        """Replace the rules."""
        self.revision = update.revision
        self._rules = {rule.service: rule for rule in update.services}
        self.tracker.apply_rules(self._rules)
        _LOGGER.info(
            'Rules for versions changed.',
            extra={
                'revision': update.revision,
                'rules': [
                    [rule.service, rule.in_force, rule.other, rule.order]
                    for rule in update.services
                ],
            },
        )

    def is_open(self, listed: ListedTarget) -> bool:
        """Return whether a target may be used without a permit."""
        rule = self._rules.get(listed.service)
        if rule is None:
            return True
        if rule.in_force:
            return listed.version == rule.in_force
        return listed.version != rule.other

    def is_candidate(self, listed: ListedTarget) -> bool:
        """Return whether a target may be used with a permit."""
        rule = self._rules.get(listed.service)
        if rule is None or not rule.order:
            return False
        return listed.version == rule.other and not self.is_open(listed)

    def holds_permit(self, service: str) -> bool:
        """Return whether the next request may go to a candidate."""
        return self.tracker.holds_permit(service, time.monotonic())

    def claim(self, target: _Versioned) -> bool:
        """Count a request that is about to be sent; use up its permit.

        Returns false if the target must not be used now.
        """
        listed = target.listed
        if not self.is_open(listed) and not (
            self.is_candidate(listed)
            and self.tracker.spend(listed.service, time.monotonic())
        ):
            return False
        self.tracker.record_request(listed.service)
        return True

    def record_reply(
        self, target: _Versioned, route: str, outcome: Outcome
    ) -> None:
        """Count a reply."""
        listed = target.listed
        if listed.service not in self._rules:
            return
        sums = ReplySums(1, int(outcome == 'failed'), int(outcome == 'slow'))
        self.tracker.record_reply(
            listed.service, listed.version, (route, listed.target), sums
        )
        if self.count_reply is not None:
            self.count_reply(listed.service, listed.version, route, outcome)
