"""Which entries keep idle connections to which targets."""

import random
from dataclasses import dataclass

from shallotgate.gateway._directory import Target


@dataclass(frozen=True)
class ConnectionShare:
    """Decides whether an entry keeps an idle connection to a target.

    For targets that accept fewer connections than there are entries. Each entry
    draws a number for each target once, and keeps a connection if the number is
    below the share of the entries for which there is room. Entries need not
    know of each other for that, and one entry keeps to the same targets.
    """

    # Connections to one target that all entries may keep.
    room: float
    entries: int
    generator: random.Random

    def keeps(self, target: Target, domains: int, *, is_local: bool) -> bool:
        """Return whether to keep a connection.

        Entries in the domain of a target come first, and those in others share
        the room that is left. With only one domain of targets left, all
        entries share the room evenly. ``domains`` is the number of domains that
        have a target; if entries are in others too, fewer are local.
        """
        if target.connection_draw is None:
            target.connection_draw = self.generator.random()
        local = self.entries / domains
        if domains == 1 or is_local:
            return target.connection_draw * local < self.room
        others = self.entries - local
        return target.connection_draw * others < self.room - local
