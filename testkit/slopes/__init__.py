"""Measured slopes from which docs/CAPACITY.md is worked out."""

from testkit.slopes._fit import Fit, fit_line
from testkit.slopes._measure import measure_all

__all__ = ('Fit', 'fit_line', 'measure_all')
