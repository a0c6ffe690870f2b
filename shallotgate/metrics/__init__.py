"""Counters and HdrHistograms for each caller and class."""

from shallotgate.metrics._registry import QUANTILES, Metrics

__all__ = ('QUANTILES', 'Metrics')
