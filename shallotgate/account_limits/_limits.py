"""Limits of accounts, and how they are divided.

In any window of ``WINDOW_S`` an account may send (1 + ``_OVERRUN``) * (rate *
window + burst) + ``_SLACK`` requests. It is divided so that it holds whoever
leads and whoever is out of touch:

- Leases add up to at most ``LEASED_SHARE`` of the rate, and what entries use
  without a leader to ``FALLBACK_SHARE``. Both together are the rate.
- A place is used within ``PLACE_LIFETIME_S`` after the leader has counted it,
  and a lease saves up no more than it yields in that time. That shifts at most
  a tenth of the rate of a window into it, which is the overrun.
- The slack pays for the ``EXTRA_BURST`` of the bucket, the ``INITIAL_PLACES``
  of two new leaders, and the ``FALLBACK_PLACES``.
"""

from shallotgate.routes import ClientAccount

# Window over which the limit holds, in seconds, and what may be exceeded.
WINDOW_S = 5.0
_OVERRUN = 0.1
_SLACK = 20.0
# Requests that the leader saves up beyond the burst of an account, so that a
# small account is not refused for the chance arrival of two requests at once.
EXTRA_BURST = 6.0
# Places at the start of a leadership. Small accounts would be refused until
# their bucket holds one.
INITIAL_PLACES = 3.0
# Requests that all entries together may send at once without the leader.
FALLBACK_PLACES = 8.0
# Parts of the rate that leases may take, and entries without a leader.
LEASED_SHARE = 0.7
FALLBACK_SHARE = 0.3
# Life of a granted place, from the question on, in seconds.
PLACE_LIFETIME_S = 0.5
# Life of a lease, from the question on, and the time for which the leader keeps
# the rate reserved beyond it: clocks of two processes may drift.
LEASE_S = 10.0
LEASE_MARGIN_S = 1.0
# Least requests a second of an account at an entry for which it gets a lease. A
# lease of less would not save up one whole request.
MIN_LEASED_PER_S = 2.0
# Rise in the requests of an account that is reckoned with. The largest seen is
# 6.4 times.
_SURGE = 7.0
# An account is taken to use at least this part of its limit, as it may begin at
# any time.
_MIN_USED_SHARE = 0.3


def is_limited(account: ClientAccount) -> bool:
    """Return whether an account has a limit."""
    return account.rate_per_s > 0


def get_allowance(account: ClientAccount) -> float:
    """Return the most requests that may run in a window.

    >>> round(get_allowance(ClientAccount('a', rate_per_s=10, burst=50)), 3)
    130.0
    """
    limit = account.rate_per_s * WINDOW_S + account.burst
    return limit * (1 + _OVERRUN) + _SLACK


def get_capacity(account: ClientAccount) -> float:
    """Return the places that the leader saves up."""
    return account.burst + EXTRA_BURST


def is_calm(account: ClientAccount, received: float) -> bool:
    """Return whether even a surge would stay within the allowance.

    ``received`` are the requests of all entries in the last window.

    >>> is_calm(ClientAccount('a', rate_per_s=1, burst=2), 3)
    True
    >>> is_calm(ClientAccount('a', rate_per_s=10, burst=2), 3)
    False
    """
    floor = account.rate_per_s * WINDOW_S * _MIN_USED_SHARE
    return max(received, floor) * _SURGE <= get_allowance(account)
