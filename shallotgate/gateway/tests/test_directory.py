"""Selection of targets that may receive requests."""

import pytest

from shallotgate.gateway import Directory
from shallotgate.generated.messages import ListedTarget, ListingUpdate


def make_target(name, **fields):
    return ListedTarget(
        target=name,
        service='s',
        address='127.0.0.1:1',
        **{'domain': 'a', **fields},
    )


@pytest.fixture
def directory():
    directory = Directory()
    directory.update(
        ListingUpdate(
            source='x',
            revision=1,
            full=True,
            targets=[make_target('t1'), make_target('t2', domain='b')],
        ),
    )
    return directory


def list_names(directory):
    return [each.listed.target for each in directory.list_usable('s')]


def update(directory, **fields):
    directory.update(
        ListingUpdate(source='x', revision=2, full=False, **fields),
    )


def test_leaving_target_gets_no_new_work(directory):
    """Guards against requests to a target that is stopping."""
    update(directory, targets=[make_target('t1', leaving=True)])
    assert list_names(directory) == ['t2']


def test_target_that_is_gone_gets_no_new_work(directory):
    """Guards against requests to an address that may be reused."""
    update(directory, gone=['t1'])
    assert list_names(directory) == ['t2']


def test_domain_out_gets_no_new_work_until_it_is_back(directory):
    """Guards against requests to a domain taken out of service."""
    directory.apply_domains_out(5, ['a'])
    assert list_names(directory) == ['t2']
    directory.apply_domains_out(6, [])
    assert list_names(directory) == ['t1', 't2']


def test_older_revision_of_domains_is_ignored(directory):
    """Guards against a late message that restores a domain."""
    directory.apply_domains_out(6, ['a'])
    directory.apply_domains_out(5, [])
    assert list_names(directory) == ['t2']


def test_misdirected_target_is_not_asked_again(directory):
    """Guards against repeated requests to a reassigned address."""
    target = directory.list_usable('s')[0]
    directory.remove_misdirected(target)
    assert list_names(directory) == ['t2']
    update(directory, targets=[make_target('t3')])
    assert list_names(directory) == ['t2', 't3']


def test_full_list_drops_what_it_does_not_name(directory):
    """Guards against stale targets from the list of a former leader."""
    directory.update(
        ListingUpdate(
            source='y',
            revision=1,
            full=True,
            targets=[make_target('t2')],
        ),
    )
    assert list_names(directory) == ['t2']
