"""Counters, gauges and HdrHistograms with labels."""

from shallotgate.metrics._registry import QUANTILES, Metrics, load_histograms

__all__ = ('QUANTILES', 'Metrics', 'load_histograms')
