"""Limits of accounts, and how they are divided.

In any window of ``WINDOW_S`` an account may send (1 + ``_OVERRUN``) * (rate *
window + burst) + ``_SLACK`` requests. It is divided so that it holds whoever
leads and whoever is out of touch:

- Leases add up to at most ``LEASED_SHARE`` of the rate. Entries without a
  leader use together what is not leased, or ``FALLBACK_SHARE`` if they don't
  know it. A leader reserves that for entries that it doesn't hear from.
- Places that entries keep count as saved by the bucket until they expire. A
  lease saves up what it yields in ``PLACE_LIFETIME_S``, which is less than the
  overrun of a window.
- The slack pays for the ``EXTRA_BURST`` of the bucket, the ``INITIAL_PLACES``
  of two new leaders, and the places that entries without a leader use at once.
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
# Requests that all entries together may send at once without the leader, of an
# account that is near its limit or unknown, and of others.
_FALLBACK_PLACES_NEAR_LIMIT = 8.0
_FALLBACK_PLACES = 14.0
# The same, as a part of the rate.
_FALLBACK_RATE_S = 0.4
# Parts of the rate that leases may take, and entries without a leader.
LEASED_SHARE = 0.7
FALLBACK_SHARE = 0.3
# Life of a granted place, from the question on, in seconds.
PLACE_LIFETIME_S = 0.5
# Life of a lease, from the question on, and the time for which the leader keeps
# the rate reserved beyond it: clocks of two processes may drift.
LEASE_S = 10.0
LEASE_MARGIN_S = 1.0
# An account is active at an entry while this many requests a second arrive: for
# about half a second after a single one.
MIN_ACTIVE_PER_S = 0.4
# A lease is larger than the demand by this factor, so that chance does not
# empty it.
LEASE_FACTOR = 1.25
# Least requests a second of an account at an entry for which it gets a lease
# although others receive more. Many small leases leave a part of the limit
# unused, as each saves up one or two requests only.
MIN_LEASED_PER_S = 5.0
# Rise in the requests of an account that is reckoned with. The largest seen is
# 6.4 times.
_SURGE = 7.0
# Rise in the requests of an account that is surging already.
_FURTHER_SURGE = 1.5
# An account is taken to use at least this part of its limit, as it may begin at
# any time.
_MIN_USED_SHARE = 0.3
# Part of its limit from which on an account is near it.
_NEAR_LIMIT = 0.8
# Part of its limit below which entries admit requests of an account on credit,
# without waiting for the leader. Usual demand is about half of what a limit
# allows in a window.
CREDIT_USAGE = 0.7


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


def get_fallback_places(
    account: ClientAccount, *, is_near_limit: bool
) -> float:
    """Return the requests that all entries may send at once without a leader.

    An account that was not near its limit has not used its burst, nor the
    overrun of a window.

    >>> account = ClientAccount('a', rate_per_s=10, burst=20)
    >>> get_fallback_places(account, is_near_limit=False)
    38.0
    """
    if is_near_limit:
        return _FALLBACK_PLACES_NEAR_LIMIT
    unused = account.burst + account.rate_per_s * _FALLBACK_RATE_S
    return _FALLBACK_PLACES + unused


def is_calm(
    account: ClientAccount, usual_per_s: float, received: float
) -> bool:
    """Return whether even a surge would stay within the allowance.

    ``usual_per_s`` are the requests a second of all entries over a longer time,
    and ``received`` those in the last window.

    >>> is_calm(ClientAccount('a', rate_per_s=1, burst=2), 0.6, 5)
    True
    >>> is_calm(ClientAccount('a', rate_per_s=1, burst=2), 0.6, 20)
    False
    >>> is_calm(ClientAccount('a', rate_per_s=10, burst=2), 6, 30)
    False
    """
    used = max(usual_per_s, account.rate_per_s * _MIN_USED_SHARE) * WINDOW_S
    most = max(used * _SURGE, received * _FURTHER_SURGE)
    return most <= get_allowance(account)


def is_near_limit(account: ClientAccount, received: float) -> bool:
    """Return whether an account is near its limit or above it.

    ``received`` are the requests of all entries in the last window.
    """
    limit = account.rate_per_s * WINDOW_S + account.burst
    return received >= limit * _NEAR_LIMIT
