"""Membership of the control group."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from shallotgate.codec import decode_tagged, encode_tagged
from shallotgate.generated.messages import MemberIdentity, MemberList

# The least number of voters of a group that has had more. If one of two voters
# lost its disk, the other could never commit anything again, even if the member
# that was removed came back.
_MIN_VOTERS = 3


@dataclass(frozen=True)
class Group:
    """Immutable list of the members of the group and their identities.

    >>> group = Group(
    ...     tuple(
    ...         MemberIdentity(instance=name, identity=f'id-{name}', voter=True)
    ...         for name in 'abc'
    ...     )
    ... )
    >>> group.quorum_value({'id-a': 7, 'id-b': 5})
    5
    """

    members: tuple[MemberIdentity, ...] = ()
    # Number of lost voters that this group or a former one could survive.
    known_tolerance: int = 0

    @property
    def tolerance(self) -> int:
        """Greatest number of lost voters that the group could ever survive.

        >>> voters = [
        ...     MemberIdentity(instance=name, identity=name, voter=True)
        ...     for name in 'abcdef'
        ... ]
        >>> Group(tuple(voters)).without('a').without('b').tolerance
        2
        """
        return max(self.known_tolerance, (len(self.voters) - 1) // 2)

    @property
    def min_voters(self) -> int:
        """Least number of voters that keeps the tolerance.

        >>> voters = [
        ...     MemberIdentity(instance=name, identity=name, voter=True)
        ...     for name in 'abcdef'
        ... ]
        >>> [Group(tuple(voters[:size])).min_voters for size in (2, 4, 5, 6)]
        [3, 3, 5, 5]
        """
        return max(2 * self.tolerance + 1, _MIN_VOTERS)

    @property
    def voters(self) -> frozenset[str]:
        """Identities of the voting members."""
        return frozenset(
            member.identity for member in self.members if member.voter
        )

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def find(self, instance: str) -> MemberIdentity | None:
        """Return the member with an instance id; None if there is none."""
        for member in self.members:
            if member.instance == instance:
                return member
        return None

    def includes(self, identity: str) -> bool:
        """Return whether an identity is a member, with or without a vote."""
        return any(member.identity == identity for member in self.members)

    def has_majority(self, identities: set[str]) -> bool:
        """Return whether the identities include a majority of the voters."""
        voters = self.voters
        return bool(voters) and len(voters & identities) >= self.quorum

    def quorum_value(self, values: Mapping[str, float]) -> float:
        """Return the greatest value that a majority of voters has reached.

        A voter without a value counts as minus infinity.
        """
        reached = sorted(
            (values.get(voter, float('-inf')) for voter in self.voters),
            reverse=True,
        )
        return reached[self.quorum - 1] if reached else float('-inf')

    def with_member(
        self, instance: str, identity: str, *, voter: bool
    ) -> 'Group':
        """Return the group with the identity of one instance replaced."""
        return self._with_members(
            replace(member, identity=identity, voter=voter)
            if member.instance == instance
            else member
            for member in self.members
        )

    def with_learner(self, instance: str, identity: str) -> 'Group':
        """Return the group with an additional non-voting member."""
        learner = MemberIdentity(
            instance=instance,
            identity=identity,
            voter=False,
        )
        return self._with_members((*self.members, learner))

    def without(self, instance: str) -> 'Group':
        """Return the group without the member of an instance."""
        return self._with_members(
            member for member in self.members if member.instance != instance
        )

    def _with_members(self, members: Iterable[MemberIdentity]) -> 'Group':
        return Group(tuple(members), self.tolerance)


def make_member_list(group: Group) -> MemberList:
    """Return the message that describes a group."""
    return MemberList(members=list(group.members), tolerance=group.tolerance)


def read_member_list(message: MemberList) -> Group:
    """Return the group that a message describes."""
    return Group(tuple(message.members), message.tolerance)


def encode_group(group: Group) -> bytes:
    """Encode a group as the payload of a members record."""
    return encode_tagged(make_member_list(group))


def decode_group(payload: bytes) -> Group:
    """Decode the payload of a members record."""
    return read_member_list(decode_tagged(payload))
