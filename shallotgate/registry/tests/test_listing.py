import time

import pytest

from shallotgate.errors import ShallotgateError
from shallotgate.gateway import Directory
from shallotgate.generated.messages import ListedTarget
from shallotgate.registry import ListingPoller


class Listing:
    """Editable fake of the list.

    ``on_read`` is called after the targets were read and before they are
    returned.
    """

    on_read = staticmethod(lambda: None)

    def __init__(self):
        self.targets = {}
        # Error of the next reads; None if they succeed.
        self.error = None
        self.reads = 0

    def put(self, name, **fields):
        self.targets[name] = ListedTarget(
            **{
                'target': name,
                'service': 's',
                'address': '127.0.0.1:1',
                'domain': 'a',
                **fields,
            }
        )

    def read(self):
        self.reads += 1
        if self.error is not None:
            raise self.error
        targets = list(self.targets.values())
        self.on_read()
        return targets


@pytest.fixture
def listing():
    listing = Listing()
    listing.put('t1')
    listing.put('t2')
    return listing


@pytest.fixture
def reader(listing):
    term = [1]
    reader = ListingPoller(lambda: listing, 'me', 0.01, lambda: term[0])
    reader.term = term
    reader.start()
    wait(lambda: reader.make_update('', -1))
    yield reader
    reader.stop()


def wait(condition):
    deadline = time.monotonic() + 5
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.005)


def follow(directory, reader):
    update = reader.make_update(directory.source, directory.revision)
    if update is not None:
        directory.update(update)
    return update


def test_followers_get_what_changed(reader, listing):
    """Guards against a full list to every follower on each change."""
    directory = Directory()
    assert follow(directory, reader).full
    assert follow(directory, reader) is None
    listing.put('t3')
    listing.put('t1', leaving=True)
    del listing.targets['t2']
    wait(lambda: reader.make_update('me', directory.revision))
    # The changes may be spread over several reads.
    time.sleep(0.1)
    update = follow(directory, reader)
    assert not update.full
    assert {each.target for each in update.targets} == {'t1', 't3'}
    assert list(update.gone) == ['t2']
    names = [each.listed.target for each in directory.list_usable('s')]
    assert names == ['t3']


def test_follower_of_another_leader_gets_the_full_list(reader):
    """Guards against a difference to a list that the follower does not have."""
    update = reader.make_update('former leader', 1)
    assert update.full


def test_follower_that_is_far_behind_gets_the_full_list(reader, listing):
    for number in range(70):
        listing.put(f'new-{number}')
        reads = listing.reads
        wait(lambda: listing.reads > reads + 1)  # noqa: B023
    assert reader.make_update('me', 1).full


@pytest.mark.parametrize(
    'error', [ShallotgateError('no answer'), RecursionError(), ValueError()]
)
def test_failed_read_keeps_the_list(reader, listing, error):
    """Guards against a platform outage that removes all targets.

    Also against an error of another kind that ends the polling.
    """
    listing.error = error
    reads = listing.reads
    wait(lambda: listing.reads > reads + 2)
    assert len(reader.make_update('', -1).targets) == 2
    listing.error = None
    listing.put('t3')
    wait(lambda: len(reader.make_update('', -1).targets) == 3)


def test_list_of_a_former_leadership_is_not_served(reader, listing):
    """Guards against a target that gets requests again although it leaves.

    Another leader told the entries so before this member led again, and the
    platform is slow to tell its list.
    """
    reader.term[0] = None
    listing.put('t1', leaving=True)
    listing.error = ShallotgateError('no answer')
    reads = listing.reads
    reader.term[0] = 3
    assert reader.make_update('other leader', 7) is None
    wait(lambda: listing.reads > reads + 1)
    assert reader.make_update('other leader', 7) is None
    listing.error = None
    wait(lambda: reader.make_update('other leader', 7))
    targets = reader.make_update('other leader', 7).targets
    assert {each.target for each in targets if each.leaving} == {'t1'}


def test_read_that_began_before_the_leadership_is_not_served(reader, listing):
    """Guards against a slow answer that is older than another leader's list."""

    def lead_again():
        listing.put('t1', leaving=True)
        reader.term[0] = 3
        listing.on_read = lambda: None
        listing.error = ShallotgateError('no answer')

    listing.on_read = lead_again
    wait(lambda: reader.term[0] == 3)
    reads = listing.reads
    wait(lambda: listing.reads > reads + 1)
    assert reader.make_update('other leader', 7) is None


def test_first_list_of_a_leadership_is_sent_whole(reader, listing):
    """Guards against a difference without targets that are gone since."""
    directory = Directory()
    follow(directory, reader)
    reader.term[0] = None
    del listing.targets['t2']
    reader.term[0] = 3
    wait(lambda: follow(directory, reader))
    names = [each.listed.target for each in directory.list_usable('s')]
    assert names == ['t1']


def test_only_the_leader_reads(reader, listing):
    """Guards against every member polling the platform."""
    reader.term[0] = None
    time.sleep(0.1)
    reads = listing.reads
    time.sleep(0.1)
    assert listing.reads == reads


@pytest.mark.parametrize(
    'fields',
    [
        {'address': '127.0.0.1:0'},
        {'address': '127.0.0.1:70000'},
        {'address': '127.0.0.1:http'},
        {'address': '127.0.0.1:\u0663'},
        {'address': '127.0.0.1:' + '9' * 900},
        {'address': ':80'},
        {'address': '127.0.0.1'},
        {'address': ''},
        {'slots': 0},
        {'slots': -1},
        {'slots': 2**70},
        {'warm_up_ms': int(1e308)},
        {'warm_up_ms': -1},
        {'service': ''},
        {'target': ''},
        {'target': 't3\r\nX-Odd: 1'},
        {'target': 't' * 100_000},
    ],
)
def test_odd_entry_is_left_out_and_logged_once(reader, listing, fields, caplog):
    """Guards against an entry of another writer that harms the others.

    It must not be sent to entries: they can't connect to it, choose it for all
    requests, or don't get the list at all.
    """
    listing.put('odd', **fields)
    listing.put('t3')
    wait(lambda: len(reader.make_update('', -1).targets) == 3)
    reads = listing.reads
    wait(lambda: listing.reads > reads + 2)
    names = {target.target for target in reader.make_update('', -1).targets}
    assert names == {'t1', 't2', 't3'}
    lines = [one for one in caplog.messages if 'left out' in one]
    assert len(lines) == 1
