"""What the load generator records of each query."""

from dataclasses import dataclass

MS_PER_S = 1000


@dataclass(frozen=True)
class Sample:
    """One query as its caller saw it."""

    # Seconds after the start of the measured load at which it was due;
    # negative in the warm-up.
    due_s: float
    # Milliseconds from when it was due to the end of its answer.
    elapsed_ms: float
    # Outcome of the answer, or ``cut`` when there was none.
    outcome: str
    reason: str
    # Shards asked and answered, and attempts sent.
    asked: int
    answered: int
    attempts: int
    # Milliseconds from when it was due until the generator turned to it;
    # part of ``elapsed_ms``, but no fault of the tier.
    lag_ms: float = 0

    @property
    def ended_s(self) -> float:
        """Return when its answer ended, in seconds like ``due_s``."""
        return self.due_s + self.elapsed_ms / MS_PER_S
