"""Metric registry with Prometheus text rendering."""

import functools
import importlib
import threading
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 120_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_MS = 1000
QUANTILES = (0.5, 0.9, 0.99, 0.999)

_SeriesKey = tuple[str, tuple[tuple[str, str], ...]]


def _make_key(name: str, labels: Mapping[str, str]) -> _SeriesKey:
    return name, tuple(sorted(labels.items())) if labels else ()


def _format_key(key: _SeriesKey, *extra: tuple[str, str]) -> str:
    name, labels = key
    pairs = [f'{label}="{_escape(text)}"' for label, text in (*labels, *extra)]
    joined = ','.join(pairs)
    return f'{name}{{{joined}}}' if pairs else name


def _escape(text: str) -> str:
    return text.replace('\\', r'\\').replace('"', r'\"').replace('\n', r'\n')


@functools.cache
def load_histograms() -> type['HdrHistogram']:
    """Import the histograms' library and return its class.

    The import takes a noticeable part of the start-up time of a process, and
    nothing needs it before the first duration is recorded.
    """
    module = importlib.import_module('hdrh.histogram')
    return module.HdrHistogram  # type: ignore[no-any-return]


class Metrics:
    """Thread-safe registry of metrics, rendered as Prometheus text.

    >>> metrics = Metrics()
    >>> metrics.count('attempts_total', service='trace-01')
    >>> metrics.record_ms('answer_ms', 12.5, caller='tellers')
    >>> metrics.get_counter('attempts_total', service='trace-01')
    1
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: dict[_SeriesKey, int] = {}
        self._gauges: dict[_SeriesKey, Callable[[], float]] = {}
        self._histograms: dict[_SeriesKey, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increment a counter."""
        key = _make_key(name, labels)
        with self._lock:
            self._counters[key] = self._counters.get(key, 0) + amount

    def register_gauge(
        self, name: str, read: Callable[[], float], **labels: str
    ) -> None:
        """Register a gauge whose function is called on each rendering."""
        with self._lock:
            self._gauges[_make_key(name, labels)] = read

    def record_ms(self, name: str, duration_ms: float, **labels: str) -> None:
        """Record a duration in milliseconds in a histogram."""
        key = _make_key(name, labels)
        value_us = min(
            max(int(duration_ms * _US_PER_MS), _LOWEST_US), _HIGHEST_US
        )
        with self._lock:
            histogram = self._histograms.get(key)
            if histogram is None:
                histogram = load_histograms()(
                    _LOWEST_US,
                    _HIGHEST_US,
                    _SIGNIFICANT_DIGITS,
                )
                self._histograms[key] = histogram
            histogram.record_value(value_us)

    def get_counter(self, name: str, **labels: str) -> int:
        """Return the value of a counter, 0 if it was never incremented."""
        with self._lock:
            return self._counters.get(_make_key(name, labels), 0)

    def render(self) -> str:
        """Render all metrics in the Prometheus text format."""
        with self._lock:
            lines = [*self._render_counters(), *self._render_histograms()]
            gauges = dict(self._gauges)
        lines += [
            f'{_format_key(key)} {read()}' for key, read in gauges.items()
        ]
        lines.append('')
        return '\n'.join(lines)

    def _render_counters(self) -> Iterator[str]:
        for key, amount in self._counters.items():
            yield f'{_format_key(key)} {amount}'

    def _render_histograms(self) -> Iterator[str]:
        for key, histogram in self._histograms.items():
            name, labels = key
            for quantile in QUANTILES:
                value_us = histogram.get_value_at_percentile(quantile * 100)
                label = ('quantile', str(quantile))
                yield f'{_format_key(key, label)} {value_us / _US_PER_MS}'
            count_key = (f'{name}_count', labels)
            total = histogram.get_total_count()
            yield f'{_format_key(count_key)} {total}'
