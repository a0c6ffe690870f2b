"""Rates at which the tier uses targets that state a limit.

Over any time t all entries together send at most (1 + FALLBACK_SHARE) * limit
* t requests and the capacity of one bucket, whoever leads and whoever is out of
touch: the leader grants at most the limit, and entries that get no answer use
the fallback share together.
"""

# Seconds of the limit that the leader saves up for a burst, and least number
# of requests.
_BURST_S = 0.5
_MIN_BURST = 3.0
# Part of the limit that entries without an answer of the leader use together.
FALLBACK_SHARE = 0.25
# Least rate in requests a second. Without any request nobody would learn that a
# target takes more again.
_MIN_PER_S = 0.25


def get_rate(limit_per_s: float) -> float:
    """Return the requests a second to grant for a stated limit."""
    return max(limit_per_s, _MIN_PER_S)


def get_burst(limit_per_s: float) -> float:
    """Return the number of requests that may be granted at once.

    >>> get_burst(20)
    10.0
    >>> get_burst(1)
    3.0
    """
    return max(limit_per_s * _BURST_S, _MIN_BURST)
