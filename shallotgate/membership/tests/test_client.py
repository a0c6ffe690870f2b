import pytest

from shallotgate.codec import encode_tagged
from shallotgate.errors import (
    CallTimeoutError,
    CommitUnknownError,
    NoLeaderError,
    PeerUnreachableError,
)
from shallotgate.generated.messages import (
    AdvanceTime,
    Done,
    LeaderCallReply,
    ProposeReply,
)
from shallotgate.membership import ControlClient, DirectLink, LeaderCallError
from shallotgate.membership.tests.fakes import ScriptedLink

COMMAND = AdvanceTime(time=0)
DONE = ProposeReply(status='done', outcome=encode_tagged(Done(changed=True)))
NOT_LEADER = ProposeReply(status='not_leader')
UNKNOWN = ProposeReply(status='unknown')


def run(*replies, timeout_s=0.3):
    """Propose a command; the last reply repeats."""
    queue = list(replies)

    def answer(peer, message, call_s):
        return queue.pop(0) if len(queue) > 1 else queue[0]

    return ControlClient(ScriptedLink(answer)).propose(COMMAND, timeout_s)


@pytest.mark.parametrize(
    'replies',
    [
        [NOT_LEADER, DONE],
        [UNKNOWN, DONE],
        [CallTimeoutError('lost'), NOT_LEADER, DONE],
        [PeerUnreachableError('no route'), DONE],
    ],
)
def test_command_is_sent_again_until_it_is_settled(replies):
    """Guards against failing a command during a leader change."""
    assert run(*replies, timeout_s=5) == Done(changed=True)


@pytest.mark.parametrize(
    ('replies', 'error'),
    [
        ([NOT_LEADER], NoLeaderError),
        ([PeerUnreachableError('no route')], NoLeaderError),
        ([CallTimeoutError('lost'), NOT_LEADER], CommitUnknownError),
        ([UNKNOWN], CommitUnknownError),
    ],
)
def test_error_tells_whether_it_may_have_been_taken(replies, error):
    """Guards against reporting "not run" after a reply was lost."""
    with pytest.raises(error):
        run(*replies)


def test_failed_operation_is_an_error():
    """Guards against a failure that is returned as a result."""
    replies = {
        'm1': LeaderCallReply(status='not_leader', leader='m2', body=b''),
        'm2': LeaderCallReply(status='failed', body=b'no such member'),
    }
    client = ControlClient(ScriptedLink(lambda peer, *_: replies[peer]))
    with pytest.raises(LeaderCallError, match='no such member'):
        client.call_leader('replace_member', {'instance': 'x'}, 1)
    replies['m2'] = LeaderCallReply(status='done', body=b'{"a": 1}')
    assert client.call_leader('status', None, 1) == {'a': 1}


def test_link_goes_round_and_follows_hints():
    """Guards against retrying a single member only."""
    link = DirectLink(None, ['m1', 'm2', 'm3'])
    link.mark_refused('m1', '')
    assert link.choose() == 'm2'
    # A second report about the same member does not skip another one.
    link.mark_refused('m1', '')
    assert link.choose() == 'm2'
    link.mark_refused('m2', 'm9')
    assert link.choose() == 'm9'
    link.mark_refused('m9', '')
    assert link.choose() == 'm1'
    link.mark_refused('m1', 'm1')
    assert link.choose() == 'm2'
