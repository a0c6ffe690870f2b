"""Members that start together after all were down."""

import time
from types import SimpleNamespace

from shallotgate.consensus import ConsensusOptions
from shallotgate.consensus._elector import Elector

MEMBERS = 20
OPTIONS = ConsensusOptions()


class FakeWorker:
    """Takes subscriptions and delivers nothing."""

    def subscribe(self, mailbox, message_type, handler):
        """Ignore a subscription."""


class StandingElector(Elector):
    """Notes when it stands for election instead of asking for votes."""

    stood = False

    def _start_pre_vote(self):
        self.stood = True


def make_elector(silent_s):
    core = SimpleNamespace(
        worker=FakeWorker(),
        mailbox=None,
        options=OPTIONS,
        heard_at=time.monotonic() - silent_s,
        leadership=None,
        leader=None,
        is_voter=True,
        identity='a',
        journal=SimpleNamespace(group=SimpleNamespace(voters={'a', 'b'})),
    )
    return StandingElector(core, lambda: None)


def test_members_that_start_late_do_not_stand_all_at_once():
    """Guards against votes that split because a start took long."""
    electors = [make_elector(silent_s=5) for _ in range(MEMBERS)]
    for elector in electors:
        elector.tick()
    assert sum(elector.stood for elector in electors) <= 1
    time.sleep(OPTIONS.overdue_election_jitter_s)
    for elector in electors:
        elector.tick()
    assert all(elector.stood for elector in electors)
