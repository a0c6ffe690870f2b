"""Model of the membership of a group: disks, logs and who is down.

A log is a sequence of groups. As in Raft, each disk holds a prefix of it, a
group is in effect as soon as it is in the log, and what a majority of that
group holds is committed. Instances that can't be told apart are tried once.

Each state is checked twice: what is committed survives the disks that may be
lost, and if nothing else happens, the leader ends all changes that are due.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from functools import cached_property
from itertools import combinations

from shallotgate.consensus import ConsensusOptions
from shallotgate.consensus._group import Group
from shallotgate.consensus._membership_policy import GroupView, plan_change
from shallotgate.generated.messages import MemberIdentity

OPTIONS = ConsensusOptions(automatic_membership=True)
LONG_S = 10.0
# Ends the name of an instance that came in place of another.
SUCCESSOR_MARK = "'"
# Times that one instance after the other may be lost for good in one place.
MAX_SUCCESSORS = 2
# Changes in which any group of the model has to reach its final members.
MAX_CHANGES = 30


@dataclass(frozen=True)
class Disk:
    """An instance and its disk."""

    name: str
    identity: str
    # Number of groups of the log that it holds.
    length: int
    is_up: bool = True
    # Whether the leader has missed its replies for long enough.
    is_noticed: bool = False


@dataclass(frozen=True)
class State:
    """Logs, disks, and what is committed."""

    log: tuple[Group, ...]
    disks: tuple[Disk, ...]
    committed: int
    # Instances whose disk was lost and has not been replaced yet.
    lost: frozenset[str] = frozenset()

    @cached_property
    def up(self) -> tuple[Disk, ...]:
        """Disks of the instances that run."""
        return tuple(disk for disk in self.disks if disk.is_up)

    @cached_property
    def key(self) -> object:
        """Equal for states that differ in names only."""
        return (self.committed, len(self.log), self._list_classes())

    def classify(self, disk: Disk) -> object:
        """Return what tells an instance from others."""
        roles = tuple(
            member and (member.voter, member.identity == disk.identity)
            for member in (group.find(disk.name) for group in self.log)
        )
        return (
            tuple(str(role) for role in roles),
            disk.length,
            disk.is_up,
            disk.is_noticed,
            disk.name in self.lost,
        )

    def pick(self, disks: tuple[Disk, ...]) -> list[Disk]:
        """Return one instance of each kind."""
        return list({self.classify(disk): disk for disk in disks}.values())

    def with_disk(self, changed: Disk) -> 'State':
        """Return the state with another disk of the same instance."""
        disks = tuple(
            changed if disk.name == changed.name else disk
            for disk in self.disks
        )
        return replace(self, disks=disks)

    def _list_classes(self) -> tuple[str, ...]:
        return tuple(sorted(str(self.classify(disk)) for disk in self.disks))


def make_state(voters: int) -> State:
    """Return a group whose members all run and hold its first record."""
    names = 'abcdefg'[:voters]
    members = tuple(
        MemberIdentity(instance=name, identity=name, voter=True)
        for name in names
    )
    disks = tuple(Disk(name, name, 1) for name in names)
    return State((Group(members),), disks, 1)


def list_electable(
    log: tuple[Group, ...], disks: tuple[Disk, ...]
) -> list[Disk]:
    """Return the candidates that a majority of their group votes for."""
    electable = []
    for candidate in disks:
        if not candidate.length:
            continue
        group = log[candidate.length - 1]
        votes = {
            disk.identity
            for disk in disks
            if disk.length <= candidate.length and is_willing(log, disk)
        }
        if candidate.identity in group.voters and group.has_majority(votes):
            electable.append(candidate)
    return electable


def is_willing(log: tuple[Group, ...], disk: Disk) -> bool:
    """Return whether an instance votes at all, as its own log has it."""
    return bool(disk.length) and log[disk.length - 1].includes(disk.identity)


def find_leader(state: State) -> Disk | None:
    """Return the instance that leads."""
    electable = list_electable(state.log, state.up)
    return max(electable, key=lambda disk: disk.length, default=None)


def iter_environment(state: State, losable: int) -> Iterator[tuple[str, State]]:
    """Yield what may happen to instances."""
    for disk in state.pick(state.disks):
        if disk.is_up:
            yield (
                f'down {disk.name}',
                state.with_disk(replace(disk, is_up=False)),
            )
        else:
            yield (
                f'back {disk.name}',
                state.with_disk(replace(disk, is_up=True, is_noticed=False)),
            )
            if not disk.is_noticed:
                yield (
                    f'notice {disk.name}',
                    state.with_disk(replace(disk, is_noticed=True)),
                )
        if len(state.lost) < losable and disk.name not in state.lost:
            wiped = replace(disk, identity=f'{disk.identity}*', length=0)
            yield (
                f'empty {disk.name}',
                replace(state.with_disk(wiped), lost=state.lost | {disk.name}),
            )
            yield f'gone {disk.name}', replace_instance(state, disk)
        elif is_learner(state, disk):
            # Its disk counts as lost already, until it has a vote.
            yield f'gone again {disk.name}', replace_instance(state, disk)


def is_learner(state: State, disk: Disk) -> bool:
    """Return whether a successor has no vote yet and may be lost itself."""
    member = state.log[-1].find(disk.name)
    return (
        disk.name in state.lost
        and disk.name.count(SUCCESSOR_MARK) in range(1, MAX_SUCCESSORS)
        and member is not None
        and not member.voter
    )


def replace_instance(state: State, gone: Disk) -> State:
    """Let an instance with an empty disk come in place of another."""
    name = f'{gone.name}{SUCCESSOR_MARK}'
    disks = tuple(
        Disk(name, name, 0) if disk is gone else disk for disk in state.disks
    )
    return replace(state, disks=disks, lost=(state.lost - {gone.name}) | {name})


def list_predecessors(name: str) -> list[str]:
    """Return the instances in whose place one came.

    >>> list_predecessors("a''")
    ['a', "a'"]
    """
    root = name.rstrip(SUCCESSOR_MARK)
    count = len(name) - len(root)
    return [root + SUCCESSOR_MARK * number for number in range(count)]


def iter_steps(state: State) -> Iterator[tuple[str, State]]:
    """Yield what the leader may do next, with each outcome."""
    leader = find_leader(state)
    if leader is None:
        return
    state = cut_after(state, leader)
    group = state.log[-1]
    behind = tuple(
        disk
        for disk in state.up
        if disk.length < len(state.log) and group.find(disk.name) is not None
    )
    if behind:
        yield 'catch up', spread(state, behind)
    if not is_held(state, len(state.log)):
        return
    state = replace(state, committed=len(state.log))
    step = choose_step(state, leader, group)
    if step is not None:
        yield from iter_outcomes(state, leader, *step)
    if state.log[-2:-1] != (group,):
        # A command, which leaves the group as it is.
        yield from iter_outcomes(state, leader, 'command', group)


def cut_after(state: State, leader: Disk) -> State:
    """Drop what the leader lacks: it was not committed."""
    disks = tuple(
        replace(disk, length=min(disk.length, leader.length))
        for disk in state.disks
    )
    return replace(state, log=state.log[: leader.length], disks=disks)


def iter_outcomes(
    state: State, leader: Disk, name: str, changed: Group
) -> Iterator[tuple[str, State]]:
    """Yield how far a record of the leader gets."""
    longer = replace(
        state.with_disk(replace(leader, length=leader.length + 1)),
        log=(*state.log, changed),
    )
    yield f'{name}, only written', longer
    others = [
        disk
        for disk in state.up
        if disk.name != leader.name and changed.includes(disk.identity)
    ]
    for count in {changed.quorum - 1, len(others)}:
        for holders in combinations(others, count):
            yield (
                f'{name} at {[disk.name for disk in holders]}',
                spread(longer, holders),
            )


def spread(state: State, disks: tuple[Disk, ...]) -> State:
    """Let instances take the whole log; note what is committed then."""
    length = len(state.log)
    for disk in disks:
        state = state.with_disk(replace(disk, length=length))
    if not is_held(state, length):
        return state
    group = state.log[-1]
    lost = frozenset(
        disk.name
        for disk in state.disks
        if disk.name in state.lost
        and not (
            disk.identity in group.voters
            and not any(map(group.find, list_predecessors(disk.name)))
        )
    )
    return replace(state, committed=length, lost=lost)


def is_held(state: State, length: int) -> bool:
    """Return whether a majority holds so much of the log."""
    holders = {disk.identity for disk in state.disks if disk.length >= length}
    return state.log[length - 1].has_majority(holders)


def choose_step(
    state: State, leader: Disk, group: Group
) -> tuple[str, Group] | None:
    """Return the change that the leader proposes, as the product does."""
    change = plan_change(make_view(state, leader, group), OPTIONS).change
    if change is None:
        return None
    return f'{change.action} {change.instance}', change.group


def make_view(state: State, leader: Disk, group: Group) -> GroupView:
    """Return what the leader knows.

    An instance that has just failed still counts as live, and its replies as
    new.
    """
    known = [disk for disk in state.disks if not disk.is_noticed]
    live = frozenset(disk.identity for disk in known)
    return GroupView(
        group=group,
        leader=leader.name,
        ack_ages_s={
            member.identity: 0 if member.identity in live else LONG_S
            for member in group.members
        },
        admission_ages_s=dict.fromkeys(
            (member.identity for member in group.members), LONG_S
        ),
        identities={disk.name: disk.identity for disk in known},
        live=live,
        responsive=live,
        caught_up=frozenset(
            disk.identity for disk in known if disk.length == len(state.log)
        ),
        newcomers={
            disk.name: disk.identity
            for disk in state.up
            if group.find(disk.name) is None
        },
        requested={},
    )


def find_endless_wait(state: State) -> str | None:
    """Return what the leader never ends although nothing else happens.

    Who is down stays down. Nothing is found where those who run can't elect a
    leader or commit its records.
    """
    state = replace(
        state,
        disks=tuple(
            replace(disk, is_noticed=not disk.is_up) for disk in state.disks
        ),
    )
    for _ in range(MAX_CHANGES):
        leader = find_leader(state)
        if leader is None:
            return None
        state = spread_to_all(cut_after(state, leader))
        if not is_held(state, len(state.log)):
            return None
        step = choose_step(state, leader, state.log[-1])
        if step is None:
            return find_unfinished(state)
        name, changed = step
        state = spread_to_all(replace(state, log=(*state.log, changed)))
        if not is_held(state, len(state.log)):
            return f'{name} is never committed'
    return 'changes without end'


def spread_to_all(state: State) -> State:
    """Let all members that run take the whole log."""
    group = state.log[-1]
    # Records go to all members, whatever identity they reply with.
    members = tuple(
        disk for disk in state.up if group.find(disk.name) is not None
    )
    return spread(state, members)


def find_unfinished(state: State) -> str | None:
    """Return an instance that runs without a vote or a lost member."""
    group = state.log[-1]
    for disk in state.up:
        if disk.identity not in group.voters:
            return f'{disk.name} never gets its vote'
    running = {disk.identity for disk in state.up}
    for member in group.members:
        may_go = not member.voter or len(group.voters) > group.min_voters
        if may_go and member.identity not in running:
            return f'{member.instance} is never removed'
    return None


def find_loss(state: State, losable: int) -> str | None:
    """Return the loss of further disks that the group does not survive.

    All instances are back then. The group has to elect a leader, and each
    leader that it can elect has to hold all that was committed.
    """
    intact = [disk for disk in state.disks if disk.name not in state.lost]
    for names in combinations(
        [disk.name for disk in intact], losable - len(state.lost)
    ):
        rest = tuple(disk for disk in state.disks if disk.name not in names)
        electable = list_electable(state.log, rest)
        if not electable:
            return f'no leader without {names}'
        if any(disk.length < state.committed for disk in electable):
            return f'a leader without committed records, without {names}'
    return None


def explore(voters: int, depth: int) -> tuple[list[str] | None, int]:
    """Try all orders of events; return the first that breaks a check.

    Returns the events and what is broken, or None, and the number of states.
    """
    losable = (voters - 1) // 2
    start = make_state(voters)
    seen = {start.key}
    layer: list[tuple[State, tuple[str, ...]]] = [(start, ())]
    for _ in range(depth):
        following = []
        for state, events in layer:
            steps = (*iter_steps(state), *iter_environment(state, losable))
            for event, successor in steps:
                if successor.key in seen:
                    continue
                seen.add(successor.key)
                path = (*events, event)
                broken = find_loss(successor, losable) or find_endless_wait(
                    successor
                )
                if broken is not None:
                    return [*path, broken], len(seen)
                following.append((successor, path))
        layer = following
    return None, len(seen)
