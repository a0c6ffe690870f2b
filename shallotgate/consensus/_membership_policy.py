"""Decisions on the members of a group, without threads or a network.

The pattern: members fail one after the other and come back, members with empty
disks join, and then as many disks are lost as the group could bear at its full
size. What it committed meanwhile has to be readable. Some never come back, also
such that have no vote yet, and what waits for one of them must not keep out the
change that removes it.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Literal

from shallotgate.consensus._group import Group
from shallotgate.consensus._leadership import Leadership
from shallotgate.consensus._options import ConsensusOptions
from shallotgate.generated.messages import MemberIdentity
from shallotgate.timers import read_lease_clock

Action = Literal['replace', 'remove', 'promote', 'add']


@dataclass(frozen=True)
class GroupView:
    """What a leader knows of the members of its group."""

    group: Group
    # Instance id of the leader.
    leader: str
    # Seconds since a member last acknowledged a message, by identity. The begin
    # of the leadership and the admission of a member count as one.
    ack_ages_s: Mapping[str, float]
    # Seconds since the admission of a member, or since the leadership began.
    admission_ages_s: Mapping[str, float]
    # Latest identity of each instance that has sent something.
    identities: Mapping[str, str]
    # Identities that have replied to this leader lately.
    live: frozenset[str]
    # Those that have replied within a lease.
    responsive: frozenset[str]
    # Responsive identities that hold all committed records.
    caught_up: frozenset[str]
    # Identities of instances that are no members and request to join.
    newcomers: Mapping[str, str]
    # Instances whose replacement an operator requests, and whether they have
    # replied since then.
    requested: Mapping[str, bool]


@dataclass(frozen=True)
class MembershipChange:
    """One record that changes the group."""

    action: Action
    instance: str
    # Group once the record is in the log.
    group: Group
    # Why it can't be proposed now; empty if it can.
    obstacle: str = ''


@dataclass(frozen=True)
class MembershipPlan:
    """The next change of a group, and those that can't be made yet."""

    change: MembershipChange | None
    waiting: tuple[MembershipChange, ...]


def make_view(
    leadership: Leadership,
    group: Group,
    leader: str,
    commit_index: int,
    options: ConsensusOptions,
) -> GroupView:
    """Return what the leader knows now; requires ``changed`` to be held."""
    oldest_valid = read_lease_clock() - options.join_request_ttl_s
    responsive = leadership.list_live_identities(options.lease_s)
    return GroupView(
        group=group,
        leader=leader,
        ack_ages_s={
            member.identity: leadership.read_member_ack_age_s(member.identity)
            for member in group.members
        },
        admission_ages_s={
            member.identity: leadership.read_admission_age_s(member.identity)
            for member in group.members
        },
        identities=dict(leadership.identities),
        live=leadership.list_live_identities(options.replace_unresponsive_s),
        responsive=responsive,
        caught_up=frozenset(
            identity
            for identity, progress in leadership.progress.items()
            if identity in responsive and progress.match_index >= commit_index
        ),
        newcomers={
            instance: leadership.identities[instance]
            for instance, requested_at in leadership.join_requests.items()
            if requested_at > oldest_valid and group.find(instance) is None
        },
        requested={
            request.instance: leadership.has_replied_since(*request)
            for request in leadership.replacements
        },
    )


def plan_change(view: GroupView, options: ConsensusOptions) -> MembershipPlan:
    """Return the next change of the group.

    Only a change that the members that respond can commit is chosen, so that
    none keeps out another one by waiting for somebody who is lost.
    """
    changes = list(_iter_changes(view, options))
    return MembershipPlan(
        change=next((each for each in changes if not each.obstacle), None),
        waiting=tuple(each for each in changes if each.obstacle),
    )


def may_promote(view: GroupView, member: MemberIdentity) -> bool:
    """Return whether a member that has caught up may get its vote.

    A vote that raises the number of losses to be tolerated is granted only
    while all voters respond, and have replied since the member was admitted: it
    may be the successor of one that was lost just before. If a lost voter
    counted, the group could not remove it any more.
    """
    group = view.group
    promoted = group.with_member(member.instance, member.identity, voter=True)
    if promoted.tolerance == group.tolerance:
        return True
    admission_age_s = view.admission_ages_s[member.identity]
    return group.voters <= view.live and all(
        view.ack_ages_s[voter.identity] < admission_age_s
        for voter in group.members
        if voter.voter and voter.instance != view.leader
    )


def _iter_changes(
    view: GroupView, options: ConsensusOptions
) -> Iterator[MembershipChange]:
    """Yield all changes that are due, in the order of their urgency."""
    yield from _iter_replacements(view, options)
    if options.automatic_membership:
        yield from _iter_removals(view, options)
    yield from _iter_promotions(view)
    if options.automatic_membership:
        for instance, identity in view.newcomers.items():
            yield MembershipChange(
                'add', instance, view.group.with_learner(instance, identity)
            )


def _iter_replacements(
    view: GroupView, options: ConsensusOptions
) -> Iterator[MembershipChange]:
    """Yield members whose disk was lost, to be replaced by what they are now.

    The record takes the vote of the former identity; the new one gets a vote
    with a second record. Majorities before and after each overlap; a single
    record for both would not ensure that.
    """
    for member in view.group.members:
        instance = member.instance
        identity = view.identities.get(instance, member.identity)
        is_due = instance in view.requested or (
            options.automatic_membership and identity in view.live
        )
        has_replied = view.requested.get(instance, True)
        if not is_due or (has_replied and identity == member.identity):
            continue
        obstacle = _explain_lag(view, identity)
        if not has_replied:
            obstacle = 'the member has not replied since the request'
        yield _check_majority(
            view,
            MembershipChange(
                'replace',
                instance,
                view.group.with_member(instance, identity, voter=False),
                obstacle,
            ),
        )


def _iter_removals(
    view: GroupView, options: ConsensusOptions
) -> Iterator[MembershipChange]:
    """Yield unresponsive members, the longest silent one first.

    A voter goes only if the rest tolerates as many lost disks as the group has
    ever tolerated, because its disk may be intact and needed again. Where each
    vote counts, its successor gets one first.
    """
    limit_s = options.remove_unresponsive_s
    if view.newcomers:
        limit_s = options.replace_unresponsive_s
    silent = [
        member
        for member in view.group.members
        if member.instance != view.leader
        and view.ack_ages_s[member.identity] >= limit_s
    ]
    silent.sort(key=lambda each: view.ack_ages_s[each.identity], reverse=True)
    for member in silent:
        obstacle = ''
        if member.voter and len(view.group.voters) <= view.group.min_voters:
            obstacle = 'each vote counts until a successor has one'
        yield _check_majority(
            view,
            MembershipChange(
                'remove',
                member.instance,
                view.group.without(member.instance),
                obstacle,
            ),
        )


def _iter_promotions(view: GroupView) -> Iterator[MembershipChange]:
    """Yield members without a vote.

    One whose disk was lost again is left out: without automatic changes, an
    operator has to request the replacement of its new identity as well.
    """
    for member in view.group.members:
        current = view.identities.get(member.instance, member.identity)
        if member.voter or current != member.identity:
            continue
        obstacle = _explain_lag(view, member.identity)
        if not obstacle and not may_promote(view, member):
            obstacle = 'a voter that does not respond would count for good'
        yield _check_majority(
            view,
            MembershipChange(
                'promote',
                member.instance,
                view.group.with_member(
                    member.instance, member.identity, voter=True
                ),
                obstacle,
            ),
        )


def _explain_lag(view: GroupView, identity: str) -> str:
    if identity in view.caught_up:
        return ''
    if identity in view.responsive:
        return 'the member has not caught up'
    return 'the member does not respond'


def _check_majority(
    view: GroupView, change: MembershipChange
) -> MembershipChange:
    """Add the obstacle that the responsive voters could commit nothing."""
    if change.obstacle or change.group.has_majority(set(view.responsive)):
        return change
    return MembershipChange(
        change.action,
        change.instance,
        change.group,
        'too few other voters respond to form a majority',
    )
