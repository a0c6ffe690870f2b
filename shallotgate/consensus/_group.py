"""Membership of the control group."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from shallotgate.codec import decode_tagged, encode_tagged
from shallotgate.generated.messages import MemberIdentity, MemberList


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
        return Group(
            tuple(
                replace(member, identity=identity, voter=voter)
                if member.instance == instance
                else member
                for member in self.members
            ),
        )

    def with_learner(self, instance: str, identity: str) -> 'Group':
        """Return the group with an additional non-voting member."""
        learner = MemberIdentity(
            instance=instance,
            identity=identity,
            voter=False,
        )
        return Group((*self.members, learner))

    def without(self, instance: str) -> 'Group':
        """Return the group without the member of an instance."""
        return Group(
            tuple(
                member for member in self.members if member.instance != instance
            ),
        )


def encode_group(group: Group) -> bytes:
    """Encode a group as the payload of a members record."""
    return encode_tagged(MemberList(members=list(group.members)))


def decode_group(payload: bytes) -> Group:
    """Decode the payload of a members record."""
    return Group(tuple(decode_tagged(payload).members))
