"""Counters, gauges and HdrHistograms with labels."""

from shallotgate.metrics._registry import QUANTILES, Metrics

__all__ = ('QUANTILES', 'Metrics')
