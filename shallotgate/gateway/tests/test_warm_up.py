"""Load pattern: cold targets under full load, without network."""

import time

from testkit.gateway import SimulatedEntry
from testkit.virtual import run_virtual

COLD_S = 10
PER_S = 4
ENTRIES = 8


def play(per_s, entries):
    """Return the times of requests to the cold target, in seconds."""

    async def ask():
        entry = SimulatedEntry(shards=1, warm_up_per_s=per_s)
        entry.gateway.entries = entries
        cold = entry.directory.list_usable('s0')[0]
        cold.cold_until = time.monotonic() + COLD_S
        begun_at = time.monotonic()
        moments = []
        target = entry.targets['s0'][0]
        for warm in entry.targets['s0'][1:]:
            # Warm targets are slow, so that the cold one is preferred.
            warm.service_time_s = 0.2
        for _ in range(100):
            count = len(target.received_ids)
            await entry.send_requests(5, per_s=50)
            moments += [time.monotonic() - begun_at] * (
                len(target.received_ids) - count
            )
        return [moment for moment in moments if moment < COLD_S]

    return run_virtual(ask())


def test_cold_target_gets_no_more_than_the_share_of_one_entry():
    """Guards against entries that together overload a cold target."""
    moments = play(PER_S, ENTRIES)
    assert moments
    assert len(moments) <= COLD_S * PER_S / ENTRIES + 1


def test_without_a_stated_rate_nothing_is_held_back():
    assert len(play(0, ENTRIES)) > 50


def test_entry_that_knows_no_share_sends_nothing_to_a_cold_target():
    """Guards against a restarted entry that takes the rate of the tier."""
    assert not play(PER_S, 0)
