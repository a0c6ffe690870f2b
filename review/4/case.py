"""A member that leads again tells the list of its former leadership.

Entries then send to a backend that has stated that it leaves.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.backends import Backend  # noqa: E402
from standins.callers import make_config, make_route, make_service  # noqa: E402
from standins.case import Case, run_case  # noqa: E402
from standins.tier import BOUNDS, ZONES  # noqa: E402

SERVICE = 'auditvault'
GAP_S = 0.01
CUT_S = 4.0
DRAIN_S = BOUNDS['DrainMs'] / 1000
# From the third cut on, each member has led before.
CUTS = 5


async def play(case: Case) -> int:
    """Cut off the leader of control again and again, as backends leave."""
    route = make_route('pull', '/pull/', Service=SERVICE)
    await case.start(make_config(1, [route], [make_service(SERVICE)]))
    tier = case.tier
    for entry in tier.entries:
        asyncio.ensure_future(case.clients.load(entry, '/pull/', GAP_S))
    await asyncio.sleep(3)
    for leaving in case.backends[:CUTS]:
        leaving.is_leaving = True
        case.publish()
        case.record.add('leaves', backend=leaving.name)
        await asyncio.sleep(DRAIN_S + 2)
        leader = tier.find_leader()
        case.record.add('leader', node=leader)
        if case.has_trouble:
            await tier.links.cut_off(tier.hosts[leader][1], CUT_S)
        else:
            await asyncio.sleep(CUT_S)
        await asyncio.sleep(BOUNDS['ContactMs'] / 1000)
        leaving.end()
        case.publish()
    late = [late for each in case.backends for late in find_late(case, each)]
    for sent in late:
        case.record.add(
            'late', request=sent.request_id, entry=sent.entry, path='/pull/'
        )
    return case.conclude(
        broken=bool(late),
        requests_to_leaving_backends=len(late),
        sent_at=','.join(str(case.record.since_start(each.at)) for each in late),
    )


def find_late(case: Case, backend: Backend) -> list:
    """Return what reached a backend that had stated that it leaves.

    Counted are requests that a client sent later than ``DrainMs`` after the
    same entry had passed on an answer with that statement.
    """
    arrived = {each.request_id for each in backend.arrivals}
    told: dict[str, float] = {}
    late = []
    for sent in sorted(case.clients.sent, key=lambda each: each.at):
        if sent.request_id not in arrived:
            continue
        if sent.at > told.get(sent.entry, float('inf')) + DRAIN_S:
            late.append(sent)
        if sent.answer and 'server-leaving' in sent.answer.headers:
            told.setdefault(sent.entry, sent.answered_at)
    return late


run_case(
    Case(
        FOLDER,
        [
            Backend(f'i-{zone}-{copy}', SERVICE, zone)
            for copy in range(3)
            for zone in ZONES
        ],
        has_links=True,
    ),
    play,
)
