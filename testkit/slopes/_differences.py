"""Bytes and CPU time of state updates that hold differences only."""

import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from shallotgate.control._sessions import SessionTable
from shallotgate.control._updates import make_update
from shallotgate.generated.messages import (
    FetchState,
    MoveOwners,
    OwnerMove,
    StateUpdate,
)
from shallotgate.membership import EMPTY_VIEW, View, update_view
from shallotgate.transport._envelope import decode_envelope, encode_envelope
from testkit.slopes._content import StateBuilder, make_service_edit
from testkit.slopes._fit import fit_line

OWNERS = 100
# Targets of one instance at the size to design for, which move together.
MOVED = 39
_REPEATS = 10
_MS_PER_S = 1000


class _Cost(NamedTuple):
    # Length of the update.
    encoded_bytes: int
    # CPU time in ms of the leader to make and encode it.
    make_ms: float
    # CPU time in ms of the instance to decode and apply it.
    apply_ms: float


def measure_differences(sizes: Sequence[int]) -> dict[str, object]:
    """Return slopes of difference updates per target of the tier."""
    builders = []
    for size in sizes:
        builder = StateBuilder()
        builder.fill(size, OWNERS)
        builders.append(builder)
    return {
        'one_service': _fit(sizes, builders, _change_service),
        'moved_owners': _fit(sizes, builders, _move_owners),
    }


def _fit(
    sizes: Sequence[int],
    builders: Sequence[StateBuilder],
    change: Callable[[StateBuilder, int], None],
) -> dict[str, object]:
    costs = [_measure(builder, change) for builder in builders]
    return {
        'bytes': [cost.encoded_bytes for cost in costs],
        'make_ms': fit_line(sizes, [cost.make_ms for cost in costs]),
        'apply_ms': fit_line(sizes, [cost.apply_ms for cost in costs]),
    }


def _measure(
    builder: StateBuilder,
    change: Callable[[StateBuilder, int], None],
) -> _Cost:
    sessions = SessionTable(max_attempt_s=1)
    request = FetchState(versions=EMPTY_VIEW.versions)
    view = update_view(
        EMPTY_VIEW, make_update(builder.state, sessions, request)
    )
    encoded = b''
    make_s = float(0)
    apply_s = float(0)
    for number in range(1, _REPEATS + 1):
        change(builder, number)
        request = FetchState(versions=view.versions)
        start = time.process_time()
        update = make_update(builder.state, sessions, request)
        encoded = encode_envelope('control-1', 'start', update).content
        make_s += time.process_time() - start
        start = time.process_time()
        view = _apply(view, encoded)
        apply_s += time.process_time() - start
    per_update = _MS_PER_S / _REPEATS
    return _Cost(len(encoded), make_s * per_update, apply_s * per_update)


def _apply(view: View, encoded: bytes) -> View:
    update = decode_envelope(encoded)[1]
    if not isinstance(update, StateUpdate):
        raise TypeError('not an update')
    if update.catalogue is not None or update.ownership is not None:
        raise AssertionError('the update holds a whole part')
    return update_view(view, update)


def _change_service(builder: StateBuilder, number: int) -> None:
    builder.change([make_service_edit(1, slots=number + 10)])


def _move_owners(builder: StateBuilder, number: int) -> None:
    owned = list(builder.state.read().ownership.values())
    moved = owned[number * MOVED : (number + 1) * MOVED]
    moves = [OwnerMove(target=one.target, epoch=one.epoch) for one in moved]
    builder.apply(MoveOwners(moves=moves, time=float(0)))
