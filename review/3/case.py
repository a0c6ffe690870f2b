"""A table is acknowledged and does not reach entries in time.

Open connections between the nodes have fallen silent a moment before.
"""

import asyncio
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
CONTACT_S = BOUNDS['ContactMs'] / 1000
APPLY_S = BOUNDS['ConfigApplyMs'] / 1000
# Times that connections fall silent, and the pause after each.
TURNS = 10
PAUSE_S = 1.0
# Time from the silence to the change.
CHANGE_AFTER_S = 3.0
# Time for which requests are looked at once the rule binds.
LOOK_S = 1.0
PROBE_GAP_S = 0.1


async def probe(case: Case, path: str, until: float) -> list:
    """Send requests on a route to each entry, in turn, until a time."""
    sent = []
    while time.monotonic() < until:
        for entry in case.tier.entries:
            sent.append(await case.clients.request(entry, path))
        await asyncio.sleep(PROBE_GAP_S)
    return sent


async def play(case: Case) -> int:
    """Add a route shortly after connections have fallen silent, in turn."""
    routes = [make_route('pull', '/pull/', Service=SERVICE)]
    services = [make_service(SERVICE)]
    await case.start(make_config(1, routes, services))
    for entry in case.tier.entries:
        asyncio.ensure_future(case.clients.load(entry, '/pull/', 0.1))
    await asyncio.sleep(CONTACT_S)
    refused = []
    for turn in range(TURNS):
        version = turn + 2
        silent_at = time.monotonic()
        if case.has_trouble:
            case.tier.links.silence()
        await asyncio.sleep(CHANGE_AFTER_S)
        path = f'/added-{version}/'
        added = make_route(f'added-{version}', path, Service=SERVICE)
        acknowledged_at = await case.operator.order(
            'PUT', '/-/config', make_config(version, [*routes, added], services)
        )
        # All are in touch again before the time for the table begins, so that
        # an unstable core stretches nothing.
        binds_at = max(silent_at + CONTACT_S, acknowledged_at) + APPLY_S
        sent = await probe(case, f'{path}1', binds_at + LOOK_S)
        late = [
            each
            for each in sent
            if each.at > binds_at and each.answer and each.answer.status == 404
        ]
        case.record.add(
            'turn',
            version=version,
            acknowledged=case.record.since_start(acknowledged_at),
            rule_binds_from=case.record.since_start(binds_at),
            refused=len(late),
            entries=','.join(sorted({each.entry for each in late})),
        )
        refused.append(len(late))
        await asyncio.sleep(PAUSE_S)
    return case.conclude(
        broken=any(refused),
        refused_with_404_by_turn=','.join(map(str, refused)),
    )


run_case(
    Case(
        FOLDER,
        [Backend(f'i-{zone}', SERVICE, zone) for zone in ZONES],
        has_links=True,
    ),
    play,
)
