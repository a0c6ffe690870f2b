"""Version in force of each service, and the rules that entries follow."""

from collections.abc import Iterable, Mapping, Sequence

from shallotgate.generated.messages import ListedTarget, ServiceVersions
from shallotgate.rollouts._records import RolloutRecords

# Time in seconds without a target of the version in force after which another
# one takes its place: targets that restart are missing from the list for less.
_MISSING_S = 3.0
# Slots of the candidate that suffice for all requests, as a share of those of
# the version in force.
_MIN_SLOTS_SHARE = 0.6

# Targets of one service that are not leaving, by version.
_Lists = dict[str, list[ListedTarget]]
_ByVersion = Mapping[str, Sequence[ListedTarget]]


class VersionWatch:
    """Decides which version is in force where no order is running.

    Targets of another version get nothing while those of the version in force
    serve. Until the first order the list comes first: as soon as a target of
    the version in force leaves, all are used as listed, because others take
    their place one by one. ``now`` is in monotonic seconds.
    """

    def __init__(self) -> None:
        # Time since which the version in force has no target, by service.
        self._missing_since: dict[str, float] = {}
        # Targets of the version in force when another one appeared.
        self._held: dict[str, frozenset[str]] = {}

    def review(
        self,
        records: RolloutRecords,
        targets: Iterable[ListedTarget],
        now: float,
    ) -> dict[str, str]:
        """Return the services whose version is to be recorded anew."""
        changes: dict[str, str] = {}
        for service, by_version in _group(targets).items():
            rollout = records.find(service)
            if '' in by_version or (rollout and rollout.is_running):
                continue
            known = records.get_version(service)
            chosen = self._choose(service, known, by_version, records, now)
            if chosen != known and chosen is not None:
                changes[service] = chosen
        return changes

    def _choose(
        self,
        service: str,
        known: str | None,
        by_version: _ByVersion,
        records: RolloutRecords,
        now: float,
    ) -> str | None:
        if known and known in by_version:
            self._missing_since.pop(service, None)
            return self._hold(service, known, by_version, records)
        rollout = records.find(service)
        rolled_back = ''
        if rollout is not None and rollout.state == 'rolled_back':
            rolled_back = rollout.target_version
        others = [each for each in by_version if each != rolled_back]
        if len(others) != 1:
            return known
        if known:
            since = self._missing_since.setdefault(service, now)
            if now - since < _MISSING_S:
                return known
        self._missing_since.pop(service, None)
        return others[0]

    def _hold(
        self,
        service: str,
        known: str,
        by_version: _ByVersion,
        records: RolloutRecords,
    ) -> str:
        """Return the version in force, or none if targets are replaced."""
        if records.orders or len(by_version) == 1:
            self._held.pop(service, None)
            return known
        serving = frozenset(each.target for each in by_version[known])
        held = self._held.setdefault(service, serving)
        if held <= serving:
            return known
        self._held.pop(service)
        return ''


def make_rules(
    records: RolloutRecords, targets: Iterable[ListedTarget]
) -> list[ServiceVersions]:
    """Return the rules for all services that are not used as listed."""
    versions = dict(records.versions)
    rules = [
        ServiceVersions(
            service=rollout.service,
            in_force=versions.get(rollout.service, rollout.previous_version),
            other=''
            if rollout.state == 'completed'
            else rollout.target_version,
            order=rollout.order if rollout.is_running else 0,
        )
        for rollout in records.orders
    ]
    ordered = {rule.service for rule in rules}
    rules.extend(
        ServiceVersions(service=service, in_force=versions[service], other='')
        for service, by_version in _group(targets).items()
        if service not in ordered
        and versions.get(service)
        and versions[service] in by_version
        and len(by_version) > 1
    )
    return sorted(rules, key=lambda rule: rule.service)


def has_capacity(
    service: str, version: str, targets: Iterable[ListedTarget]
) -> bool:
    """Return whether targets of a version can take over a service."""
    by_version = _group(targets).get(service, {})
    slots = {
        each: sum(target.slots for target in listed)
        for each, listed in by_version.items()
    }
    candidate = slots.pop(version, 0)
    return candidate > 0 and candidate >= _MIN_SLOTS_SHARE * sum(slots.values())


def _group(targets: Iterable[ListedTarget]) -> dict[str, _ByVersion]:
    grouped: dict[str, _Lists] = {}
    for target in targets:
        if not target.leaving:
            by_version = grouped.setdefault(target.service, {})
            by_version.setdefault(target.version, []).append(target)
    return {**grouped}
