"""Steps of the leader at one size, in process."""

import gc
import time
from collections.abc import Callable, Sequence

from shallotgate.control._owners import OwnerPlan, OwnerPlanner
from shallotgate.control._sessions import SessionTable
from shallotgate.generated.messages import (
    GrantOwners,
    Heartbeat,
    MoveOwners,
)
from shallotgate.transport import Delivery
from testkit.slopes._content import StateBuilder, make_service_edit

_DOMAINS = 16
_MS_PER_S = 1000
# Time between heartbeats, and between steps while the planner is busy.
_BEAT_S = 0.5
_BUSY_STEP_S = 0.05
_MAX_ATTEMPT_S = 5.0
# Time after the election at which every instance has been heard.
_HEARD_S = 10.0
# Steps without anything to do that show that the planner is done.
_QUIET_STEPS = 3
_MAX_STEPS = 20_000
_CHANGES = 5
# Longer than the lease and the longest attempt.
_LOST_S = 15.0


class _Collections:
    """Measures the CPU time of the garbage collector."""

    def __init__(self) -> None:
        self.spent_s = float(0)
        self._started_at = float(0)
        gc.callbacks.append(self._note)

    def _note(self, phase: str, details: object) -> None:
        if phase == 'start':
            self._started_at = time.process_time()
        else:
            self.spent_s += time.process_time() - self._started_at


class _Leader:
    """A planner with its state and sessions on simulated time."""

    def __init__(self, targets: int, owners: int) -> None:
        self.builder = StateBuilder()
        self.builder.fill(targets, owners=0)
        self.planner = OwnerPlanner()
        self.sessions = SessionTable(_MAX_ATTEMPT_S)
        self.sessions.reset(float(0))
        self.owners = owners
        self.now = _HEARD_S
        self.collections = _Collections()
        # Longest step with collections, in seconds.
        self.longest_s = float(0)
        self.beaten_at = float('-inf')
        self.lost: set[int] = set()
        # CPU time in ms of each step, without its commits.
        self.spent_ms: list[float] = []

    def step(self) -> OwnerPlan:
        """Plan once and commit the plan."""
        if self.now >= self.beaten_at + _BEAT_S:
            self.beaten_at = self.now
            self._beat()
        view = self.sessions.take_snapshot(self.now)
        # Collections of the whole heap are left out: they take as long for
        # any work in a process with so many objects.
        collected_s = self.collections.spent_s
        start = time.process_time()
        plan = self.planner.plan(self.builder.state, view)
        spent_s = time.process_time() - start
        collected_s = self.collections.spent_s - collected_s
        self.spent_ms.append((spent_s - collected_s) * _MS_PER_S)
        self.longest_s = max(self.longest_s, spent_s)
        if plan.grants:
            self.builder.apply(GrantOwners(grants=plan.grants, time=float(0)))
        if plan.moves:
            self.builder.apply(MoveOwners(moves=plan.moves, time=float(0)))
        self.now += _BUSY_STEP_S if plan.has_more_work else _BEAT_S
        return plan

    def run_until(self, is_done: Callable[[OwnerPlan], bool]) -> None:
        """Make steps until a condition held for some of them."""
        quiet = 0
        self.spent_ms.clear()
        self.longest_s = float(0)
        for _ in range(_MAX_STEPS):
            quiet = quiet + 1 if is_done(self.step()) else 0
            if quiet >= _QUIET_STEPS:
                return
        raise AssertionError('the planner is not done')

    def report(self) -> dict[str, float]:
        """Return figures of the steps since the last run."""
        spent = self.spent_ms
        return {
            'steps': len(spent),
            'total_ms': round(sum(spent), 1),
            'longest_ms': round(max(spent), 1),
            'longest_with_collection_ms': round(self.longest_s * _MS_PER_S, 1),
            'last_ms': round(spent[-1], 1),
        }

    def _beat(self) -> None:
        for number in range(self.owners):
            if number not in self.lost:
                sender = f'entry-{number:05d}'
                beat = Heartbeat(
                    sequence=1,
                    domain=f'domain-{number % _DOMAINS:02d}',
                    address='10.0.0.1:7000',
                    roles=('entry',),
                    readiness='ready',
                    versions=self.builder.state.read().versions,
                    releases=(),
                )
                delivery = Delivery(sender, '0123456789abcdef', '', 0, None)
                self.sessions.renew(delivery, beat, self.now)


def measure_steps(targets: int, owners: int) -> dict[str, object]:
    """Return CPU times of the leader's steps.

    Parts are the take-over by a new leader, a step without a change, steps
    after changes of one service, after the loss of one owner, and all steps
    until the spread is not improved any more.
    """
    leader = _Leader(targets, owners)
    leader.run_until(lambda plan: not plan.has_more_work)
    figures: dict[str, object] = {'first_grants': leader.report()}
    leader.planner = OwnerPlanner()
    leader.run_until(lambda plan: not plan.has_more_work)
    figures['take_over'] = leader.report()
    change_ms = _change_services(leader)
    figures['catalogue_change_ms'] = change_ms
    figures['after_catalogue_changes'] = leader.report()
    leader.lost.add(1)
    lost_at = leader.now
    leader.run_until(
        lambda plan: leader.now > lost_at + _LOST_S and not plan.has_more_work,
    )
    figures['owner_lost'] = leader.report()
    return figures


def _change_services(leader: _Leader) -> Sequence[float]:
    """Change one service before each step; return the times to apply it."""
    leader.spent_ms.clear()
    spent = []
    for slots in range(_CHANGES):
        start = time.process_time()
        leader.builder.change([make_service_edit(1, slots=slots + 5)])
        spent.append(round((time.process_time() - start) * _MS_PER_S, 2))
        leader.step()
    return spent
