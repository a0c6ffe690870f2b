"""Number of shards that an answer requires."""

import math

from shallotgate.routes import Route

# Tolerance for rounding errors of a floating-point product.
_ROUNDING_TOLERANCE = 1e-9


def count_needed(route: Route) -> int:
    """Return how many replies an answer of a route requires.

    The product of a share like 0.56 and 25 is slightly above the whole number
    that it stands for.
    """
    share = route.min_coverage * len(route.shards)
    return max(math.ceil(share - _ROUNDING_TOLERANCE), 1)
