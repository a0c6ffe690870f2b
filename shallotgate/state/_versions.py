"""Comparison of the versions of the state's parts."""

from shallotgate.generated.messages import Versions


def covers(present: Versions, named: Versions) -> bool:
    """Return whether every part is at least at the named version.

    >>> covers(Versions(catalogue=2), Versions(catalogue=1))
    True
    >>> covers(Versions(catalogue=2), Versions(quarantine=1))
    False
    """
    return (
        present.catalogue >= named.catalogue
        and present.ownership >= named.ownership
        and present.quarantine >= named.quarantine
    )
