"""An order that was sent to a frozen control member is applied after its thaw.

The order is the withdrawal of an evacuation. It was acknowledged by another
member meanwhile, and the zone was evacuated anew since.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.backends import Backend  # noqa: E402
from standins.callers import make_config, make_route, make_service  # noqa: E402
from standins.case import Case, run_case  # noqa: E402
from standins.tier import BOUNDS, ZONES  # noqa: E402

SERVICE = 'auditvault'
EVACUATED = ZONES[2]
# Control member in the zone that is evacuated.
FROZEN = 'control-2'
FREEZE_S = 4.0
GAP_S = 0.04
# Pause between two reads of the operator.
READ_GAP_S = 0.7
# Time for which requests are looked at once the rule binds.
LOOK_S = 6.0


async def read_on(case: Case) -> None:
    """Read the configuration from one node after the other."""
    while True:
        for name in case.tier.controls:
            asyncio.ensure_future(case.operator.read_config(name))
            await asyncio.sleep(READ_GAP_S)


async def play(case: Case) -> int:
    """Evacuate a zone, withdraw that, and evacuate it again."""
    route = make_route('pull', '/pull/', Service=SERVICE)
    await case.start(make_config(1, [route], [make_service(SERVICE)]))
    operator, tier = case.operator, case.tier
    loads = [
        asyncio.ensure_future(case.clients.load(entry, '/pull/', GAP_S))
        for entry in tier.entries
    ]
    loads.append(asyncio.ensure_future(read_on(case)))
    await asyncio.sleep(3)
    path = f'/-/evacuation/{EVACUATED}'
    await operator.order('POST', path, first=['control-0'])
    await asyncio.sleep(3)
    frozen_at = time.monotonic()
    if case.has_trouble:
        tier.send(FROZEN, signal.SIGSTOP)
    # The operator does not know that the node is frozen. After a second it
    # moves on to the next one.
    await operator.order('DELETE', path, first=[FROZEN, 'control-0'])
    await asyncio.sleep(0.5)
    # Acknowledged after the withdrawal was, so this order is the newest.
    evacuated_at = await operator.order('POST', path, first=['control-1'])
    await asyncio.sleep(max(frozen_at + FREEZE_S - time.monotonic(), 0))
    thawed_at = time.monotonic()
    if case.has_trouble:
        tier.send(FROZEN, signal.SIGCONT)
    binds_at = max(
        evacuated_at + BOUNDS['EvacuateMs'] / 1000,
        thawed_at + BOUNDS['ContactMs'] / 1000,
    )
    await asyncio.sleep(binds_at + LOOK_S - time.monotonic())
    until = time.monotonic()
    for load in loads:
        load.cancel()
    # Requests that got 421 do not count.
    late = sum(
        arrival.ran and binds_at < arrival.at < until
        for backend in case.backends
        if backend.zone == EVACUATED
        for arrival in backend.arrivals
    )
    others = sum(
        arrival.ran and binds_at < arrival.at < until
        for backend in case.backends
        if backend.zone != EVACUATED
        for arrival in backend.arrivals
    )
    return case.conclude(
        broken=late > 0,
        in_the_evacuated_zone=late,
        in_other_zones=others,
        acknowledged=case.record.since_start(evacuated_at),
        rule_binds_from=case.record.since_start(binds_at),
    )


run_case(
    Case(
        FOLDER,
        [
            Backend(f'i-{zone}-{copy}', SERVICE, zone)
            for zone in ZONES
            for copy in range(2)
        ],
    ),
    play,
)
