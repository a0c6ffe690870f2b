"""Shared context of fault injection."""

from dataclasses import dataclass

from testkit.runner import Tier
from testkit.soak._load import Load
from testkit.soak._records import Journal
from testkit.soak._targets import StandIns


@dataclass(frozen=True)
class FaultContext:
    """Parts of a run that faults act on."""

    tier: Tier
    journal: Journal
    load: Load
    stand_ins: StandIns
