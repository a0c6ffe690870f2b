"""Pace of targets that have just started or recovered."""

from typing import Protocol

from shallotgate.generated.messages import ListedTarget


class TargetPacer(Protocol):
    """Holds requests to targets back."""

    def start(self, listed: ListedTarget, now: float) -> None:
        """Begin the pace of a target that has just been listed."""

    def remove(self, target: str) -> None:
        """Forget a target that is gone."""

    def allows(
        self,
        listed: ListedTarget,
        work_s: float,
        now: float,
        *,
        is_last: bool = False,
    ) -> bool:
        """Return whether a request may be sent to the target now.

        ``work_s`` is the usual duration of its work; ``is_last`` is whether no
        other target is left.
        """

    def record_sent(self, listed: ListedTarget) -> None:
        """Record a request sent to the target."""


class NoPacing:
    """Holds nothing back."""

    def start(self, listed: ListedTarget, now: float) -> None:
        """Do nothing."""

    def remove(self, target: str) -> None:
        """Do nothing."""

    def allows(
        self,
        listed: ListedTarget,
        work_s: float,
        now: float,
        *,
        is_last: bool = False,
    ) -> bool:
        """Return true."""
        return True

    def record_sent(self, listed: ListedTarget) -> None:
        """Do nothing."""
