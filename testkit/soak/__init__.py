"""Soak test: seeded load and fault injection on real processes."""

from testkit.soak._checks import check_exchanges, check_versions
from testkit.soak._records import Exchange, Journal

__all__ = ('Exchange', 'Journal', 'check_exchanges', 'check_versions')
