"""Candidates for the target of an attempt."""

from dataclasses import dataclass

from shallotgate.routing._observations import TargetObservation


@dataclass(frozen=True, slots=True)
class Candidate:
    """A usable target and its owner."""

    target: str
    service: str
    # Instance id of the owner.
    owner: str
    epoch: int
    # Whether the target is in this entry's failure domain.
    in_local_domain: bool
    observation: TargetObservation
    # Failure domain of the target.
    domain: str = ''
