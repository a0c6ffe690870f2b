import pytest

from shallotgate.consensus.tests.cluster import ask_vote, wait_for
from shallotgate.generated.messages import (
    Append,
    AppendReply,
    LogRecord,
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
)


def make_records(term, first, commands):
    return [
        LogRecord(index=index, term=term, kind='command', payload=command)
        for index, command in enumerate(commands, first)
    ]


class Probe:
    """Sends messages to follower b in the role of leader a."""

    def __init__(self, cluster):
        leader = cluster.wait_leader()
        leader.log.propose(b'x', 5)
        self.last = leader.log.status().last_index
        self.term = leader.log.status().term
        self.node = cluster.nodes['b']
        wait_for(lambda: self.node.log.status().commit == self.last)
        cluster.stop('a', 'c')
        self.mailbox = cluster.open_probe('a')

    def append(self, term, prev, records=(), commit=0):
        message = Append(
            term=term,
            identity=f'leader-{term}',
            prev_index=prev[0],
            prev_term=prev[1],
            commit=commit,
            round=1,
            records=list(records),
        )
        return self.mailbox.call('b', message, 5)


@pytest.fixture
def probe(cluster):
    probe = Probe(cluster)
    yield probe
    probe.mailbox.stop()


def test_records_that_do_not_fit_are_refused(probe):
    """Guards against a log with a gap or with records of another leader."""
    gap = probe.append(50, (probe.last + 5, 50))
    assert (gap.success, gap.match_index) == (False, probe.last)
    other = probe.append(50, (probe.last, probe.term + 1))
    assert (other.success, other.match_index) == (False, probe.last - 1)
    assert not probe.append(1, (probe.last, probe.term)).success


def test_conflicting_suffix_is_replaced_and_only_matches_commit(probe):
    """Guards against a commit of records that a later leader overwrites."""
    base = (probe.last, probe.term)
    first = probe.last + 1
    old = make_records(50, first, [b'old1', b'old2', b'old3'])
    assert probe.append(50, base, old).match_index == probe.last + 3
    # The heartbeat does not verify the records after prev_index.
    reply = probe.append(51, base, commit=probe.last + 3)
    assert reply.match_index == probe.last
    assert probe.node.log.status().commit == probe.last
    new = make_records(51, first, [b'new'])
    reply = probe.append(51, base, new, commit=first)
    assert reply.match_index == first
    assert probe.node.log.status().last_index == first
    wait_for(lambda: probe.node.machine.items == [b'x', b'new'])


def test_outdated_candidate_gets_no_vote(probe):
    """Guards against a leader that lacks committed records."""
    term = probe.term + 50
    shorter = (probe.last - 1, probe.term)
    assert not ask_vote(probe.mailbox, 'b', shorter, term)
    older = (probe.last + 5, probe.term - 1)
    assert not ask_vote(probe.mailbox, 'b', older, term + 1)
    assert ask_vote(probe.mailbox, 'b', (probe.last, probe.term), term + 2)


def test_one_vote_a_term(probe):
    """Guards against two leaders in one term."""
    last = (probe.last, probe.term)
    term = probe.term + 50
    assert ask_vote(probe.mailbox, 'b', last, term, 'one')
    assert not ask_vote(probe.mailbox, 'b', last, term, 'two')
    # A repeated request of the same candidate is granted again.
    assert ask_vote(probe.mailbox, 'b', last, term, 'one')


def test_repeated_records_are_taken_once(probe):
    """Guards against duplicate records if a message is resent."""
    base = (probe.last, probe.term)
    records = make_records(50, probe.last + 1, [b'one', b'two'])
    for _ in range(3):
        reply = probe.append(50, base, records, commit=probe.last + 2)
        assert reply.match_index == probe.last + 2
    # A late, shorter message must not truncate the log.
    assert probe.append(50, base, records[:1]).match_index == probe.last + 1
    assert probe.node.log.status().last_index == probe.last + 2
    wait_for(lambda: probe.node.machine.items == [b'x', b'one', b'two'])


class GrantingVoter:
    """Replaces member a: votes for b and acknowledges a given index."""

    def __init__(self, probe, acked_index):
        self.acked_index = acked_index
        self.mailbox = probe.mailbox
        self.rounds = set()
        self.identity = next(
            each.identity
            for each in probe.node.log.status().members
            if each.instance == 'a'
        )
        self.mailbox.subscribe(PreVote, self.answer_pre_vote)
        self.mailbox.subscribe(Vote, self.answer_vote)
        self.mailbox.subscribe(Append, self.answer_append)

    def answer_pre_vote(self, delivery):
        reply = PreVoteReply(
            term=delivery.message.term - 1,
            identity=self.identity,
            granted=True,
            asked_term=delivery.message.term,
        )
        self.mailbox.send(delivery.sender, reply)

    def answer_vote(self, delivery):
        reply = VoteReply(
            term=delivery.message.term, identity=self.identity, granted=True
        )
        self.mailbox.send(delivery.sender, reply)

    def answer_append(self, delivery):
        self.rounds.add(delivery.message.round)
        reply = AppendReply(
            term=delivery.message.term,
            identity=self.identity,
            success=True,
            match_index=self.acked_index,
            round=delivery.message.round,
        )
        self.mailbox.reply(delivery, reply)


def test_records_of_former_terms_commit_with_one_of_this_term(probe):
    """Guards against a commit that a later leader may still overwrite."""
    former = probe.last + 1
    records = make_records(probe.term + 1, former, [b'former'])
    probe.append(probe.term + 1, (probe.last, probe.term), records)
    voter = GrantingVoter(probe, acked_index=former)
    wait_for(lambda: len(voter.rounds) > 3)
    status = probe.node.log.status()
    assert status.role == 'leader'
    # The member may not know yet that the former record is committed.
    assert status.commit <= probe.last
    assert not probe.node.log.is_leading()
    voter.acked_index = former + 1
    wait_for(lambda: probe.node.log.status().commit == former + 1)
    wait_for(probe.node.log.is_leading)
