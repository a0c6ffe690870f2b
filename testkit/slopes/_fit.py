"""Straight lines through measured points."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Fit:
    """A straight line, and how well it fits."""

    # Change of the value for one more unit of size.
    slope: float
    # Value at size 0.
    base: float
    # Pearson correlation of the points.
    correlation: float

    def predict(self, size: float) -> float:
        """Return the value at a size.

        >>> Fit(slope=2, base=1, correlation=1).predict(10)
        21
        """
        return self.base + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a line by least squares.

    >>> fit_line([1, 2, 3], [3, 5, 7])
    Fit(slope=2.0, base=1.0, correlation=1.0)
    """
    line = statistics.linear_regression(sizes, values)
    return Fit(
        slope=round(line.slope, 6),
        base=round(line.intercept, 6),
        correlation=round(statistics.correlation(sizes, values), 4),
    )
