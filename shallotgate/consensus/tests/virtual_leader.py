"""A leader on a clock of its own, whose members reply as a test tells them."""

from pathlib import Path
from types import SimpleNamespace

import pytest

from shallotgate.consensus import ConsensusOptions
from shallotgate.consensus._group import Group, encode_group
from shallotgate.consensus._leader import Leader
from shallotgate.consensus._leadership import Leadership
from shallotgate.consensus._member_state import MemberState
from shallotgate.consensus._membership import MembershipManager
from shallotgate.generated.messages import LogRecord, MemberIdentity
from shallotgate.storage import DataFolder

_CLOCK_USERS = ('_leadership', '_membership', '_membership_policy')


class VirtualLeader:
    """Leader a of a group; nothing runs but the turns of the test."""

    def __init__(
        self,
        folder: Path,
        monkeypatch: pytest.MonkeyPatch,
        voters: str,
        options: ConsensusOptions,
    ) -> None:
        self.now = 100.0
        for module in _CLOCK_USERS:
            monkeypatch.setattr(
                f'shallotgate.consensus.{module}.read_lease_clock',
                lambda: self.now,
            )
        mailbox = SimpleNamespace(subscribe=lambda *_: None)
        self.state = MemberState(
            'a', mailbox, DataFolder(folder / 'a'), options
        )
        self.state.load()
        # Identity of each instance that replies, and whether it takes records.
        self.replying: dict[str, str] = {name: name for name in voters[1:]}
        self.lagging: set[str] = set()
        # Instances that request to join.
        self.joining: dict[str, str] = {}
        self._begin(voters)
        leader = Leader(self.state)
        monkeypatch.setattr(leader, 'replicate_to', lambda *_: None)
        self.manager = MembershipManager(self.state, leader)

    @property
    def group(self) -> Group:
        """Group in effect."""
        return self.state.journal.group

    @property
    def voters(self) -> str:
        """Instances with a vote."""
        return self._list_members(voter=True)

    @property
    def learners(self) -> str:
        """Members without a vote."""
        return self._list_members(voter=False)

    @property
    def waits(self) -> set[tuple[str, str]]:
        """Changes that wait."""
        return {
            (wait.action, wait.instance) for wait in self.manager.list_waits()
        }

    def run(self, seconds: float) -> None:
        """Let members reply and the leader take its turns."""
        until = self.now + seconds
        while self.now < until - self.state.options.tick_interval_s / 2:
            self.now += self.state.options.tick_interval_s
            self._let_members_reply()
            self.manager.tick()

    def find_time(self, condition, limit_s: float = 20) -> float:
        """Run until a condition holds; return the seconds that it took."""
        since = self.now
        while not condition():
            assert self.now - since < limit_s, (self.voters, self.waits)
            self.run(self.state.options.tick_interval_s)
        return self.now - since

    def close(self) -> None:
        """Close the files."""
        self.state.folder.close()

    def _begin(self, voters: str) -> None:
        state = self.state
        identities = {'a': state.identity, **self.replying}
        members = tuple(
            MemberIdentity(instance=name, identity=identity, voter=True)
            for name, identity in identities.items()
        )
        payload = encode_group(Group(members))
        state.journal.append(
            [LogRecord(index=1, term=1, kind='members', payload=payload)]
        )
        state.persist()
        state.store_vote(1, state.identity)
        with state.changed:
            state.leadership = Leadership(
                1, state.identity, state.options.lease_s
            )
            state.leadership.is_ready = True
        self._let_members_reply()

    def _let_members_reply(self) -> None:
        state = self.state
        leadership = state.leadership
        with state.changed:
            for name, identity in self.replying.items():
                if self.group.find(name) is not None:
                    is_lagging = name in self.lagging
                    match_index = 0 if is_lagging else state.journal.last_index
                    leadership.record_reply(
                        name, identity, self.now, match_index
                    )
            for name, identity in self.joining.items():
                leadership.join_requests[name] = self.now
                leadership.identities[name] = identity
            state.advance_leader_commit(leadership)
            state.changed.notify_all()

    def _list_members(self, *, voter: bool) -> str:
        return ''.join(
            sorted(
                member.instance
                for member in self.group.members
                if member.voter == voter
            )
        )
