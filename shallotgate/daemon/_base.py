"""Components shared by all roles."""

import random
import secrets
from dataclasses import dataclass

from shallotgate.generated.settings import Policy, Settings
from shallotgate.membership import ControlClient, Session, TierView
from shallotgate.metrics import Metrics
from shallotgate.timers import TimerService
from shallotgate.transport import Mailbox

_START_ID_BYTES = 8


@dataclass(frozen=True)
class Base:
    """Components shared by the roles of one process."""

    settings: Settings
    # Random identifier of this process start.
    start_id: str
    policy: Policy
    generator: random.Random
    timers: TimerService
    metrics: Metrics
    mailbox: Mailbox
    view: TierView
    session: Session
    # Sends commands and calls to the control leader.
    client: ControlClient


def make_base(settings: Settings) -> Base:
    """Wire the components shared by all roles."""
    start_id = secrets.token_hex(_START_ID_BYTES)
    timers = TimerService()
    metrics = Metrics()
    view = TierView()
    mailbox = Mailbox(
        instance=settings.instance,
        start_id=start_id,
        listen_address=settings.peer_address,
        routes=settings.peer_routes,
    )
    session = Session(
        mailbox=mailbox,
        timers=timers,
        settings=settings,
        start_id=start_id,
        tier_view=view,
        metrics=metrics,
    )
    return Base(
        settings=settings,
        start_id=start_id,
        policy=settings.policy or Policy(),
        generator=random.Random(settings.seed or None),  # noqa: S311
        timers=timers,
        metrics=metrics,
        mailbox=mailbox,
        view=view,
        session=session,
        client=ControlClient(session.link),
    )
