"""Decisions on the voters of a group, without threads or a network.

The pattern: members fail one after the other and come back, members with empty
disks join, and then as many disks are lost as the group could bear at its full
size. What it committed meanwhile has to be readable.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from shallotgate.consensus._group import Group
from shallotgate.consensus._leadership import Leadership
from shallotgate.consensus._options import ConsensusOptions
from shallotgate.generated.messages import MemberIdentity


@dataclass(frozen=True)
class GroupView:
    """What a leader knows of the members of its group."""

    group: Group
    # Instance id of the leader.
    leader: str
    # Seconds since a member last acknowledged a message, by identity. The begin
    # of the leadership counts as one for members that have not replied yet.
    ack_ages_s: Mapping[str, float]
    # Whether an instance that is not a member requests to join.
    has_newcomer: bool
    # Identities that have replied to this leader lately.
    live: frozenset[str]


def make_view(
    leadership: Leadership,
    group: Group,
    leader: str,
    options: ConsensusOptions,
    *,
    has_newcomer: bool = False,
) -> GroupView:
    """Return what the leader knows now; requires ``changed`` to be held."""
    return GroupView(
        group=group,
        leader=leader,
        ack_ages_s={
            member.identity: leadership.read_member_ack_age_s(member.identity)
            for member in group.members
        },
        has_newcomer=has_newcomer,
        live=leadership.list_live_identities(options.replace_unresponsive_s),
    )


def choose_removal(
    view: GroupView, options: ConsensusOptions
) -> MemberIdentity | None:
    """Return the unresponsive member to remove next; None to remove none.

    A voter goes only if the rest tolerates as many lost disks as the group has
    ever tolerated, because its disk may be intact and needed again. Where each
    vote counts, its successor gets one first.
    """
    others = [
        member
        for member in view.group.members
        if member.instance != view.leader
    ]
    if not others:
        return None
    group = view.group
    if len(group.voters) <= group.min_voters:
        others = [member for member in others if not member.voter]
    limit_s = options.remove_unresponsive_s
    if view.has_newcomer:
        limit_s = options.replace_unresponsive_s
    member = max(
        others,
        key=lambda each: view.ack_ages_s[each.identity],
        default=None,
    )
    if member is None or view.ack_ages_s[member.identity] < limit_s:
        return None
    return member


def may_promote(view: GroupView, member: MemberIdentity) -> bool:
    """Return whether a member that has caught up may get its vote.

    A vote that raises the number of losses to be tolerated is granted only
    while all voters respond. If a lost voter counted, the group could not
    remove it any more.
    """
    group = view.group
    promoted = group.with_member(member.instance, member.identity, voter=True)
    return promoted.tolerance == group.tolerance or group.voters <= view.live
