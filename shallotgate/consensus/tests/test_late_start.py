"""Election timeouts of members that start together after an outage."""

import time
from types import SimpleNamespace

from shallotgate.consensus import ConsensusOptions
from shallotgate.consensus._elector import Elector

MEMBERS = 20
OPTIONS = ConsensusOptions()


class FakeWorker:
    """Ignores subscriptions and delivers no messages."""

    def subscribe(self, mailbox, message_type, handler):
        """Ignore a subscription."""


class RecordingElector(Elector):
    """Records the start of an election instead of requesting votes."""

    has_started_election = False

    def _start_pre_vote(self):
        self.has_started_election = True


def make_elector(contact_age_s):
    state = SimpleNamespace(
        worker=FakeWorker(),
        mailbox=None,
        options=OPTIONS,
        last_leader_contact=time.monotonic() - contact_age_s,
        leadership=None,
        leader=None,
        is_voter=True,
        identity='a',
        journal=SimpleNamespace(group=SimpleNamespace(voters={'a', 'b'})),
    )
    return RecordingElector(state, lambda: None)


def test_members_that_start_late_do_not_stand_all_at_once():
    """Guards against split votes if all election timeouts have elapsed.

    That is the case if the start of the members takes long.
    """
    electors = [make_elector(contact_age_s=5) for _ in range(MEMBERS)]
    for elector in electors:
        elector.tick()
    assert sum(elector.has_started_election for elector in electors) <= 1
    time.sleep(OPTIONS.overdue_election_jitter_s)
    for elector in electors:
        elector.tick()
    assert all(elector.has_started_election for elector in electors)
