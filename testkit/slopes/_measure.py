"""CPU time, bytes and memory against size."""

import time
import tracemalloc
from collections.abc import Callable, Sequence

from shallotgate.codec import encode_tagged
from shallotgate.control._assignment import assign_owners
from shallotgate.control._ranking import OwnerCandidate
from shallotgate.generated.messages import (
    Attempt,
    AttemptReply,
    Heartbeat,
    HeartbeatReply,
    Owner,
    OwnerReport,
    StateUpdate,
    Versions,
)
from shallotgate.membership import EMPTY_VIEW, list_places, update_view
from shallotgate.transport._envelope import decode_envelope, encode_envelope
from testkit.slopes._content import (
    StateBuilder,
    make_record,
    make_service_edit,
    make_target_state,
)
from testkit.slopes._differences import measure_differences
from testkit.slopes._fit import fit_line
from testkit.slopes._reports import measure_reports

SIZES = (1500, 3000, 6000, 12000)
OWNERS = 100
_REPEATS = 200
_US_PER_S = 1_000_000
_MS_PER_S = 1000
_VERSIONS = Versions(catalogue=1, ownership=1, quarantine=1)


def measure_all(sizes: Sequence[int] = SIZES) -> dict[str, object]:
    """Return all slopes; sizes are numbers of targets."""
    return {
        'messages': measure_messages(),
        'state': measure_state(sizes),
        'view': measure_view(sizes),
        'differences': measure_differences(sizes),
        'assignment': measure_assignment(sizes),
        'report': measure_report(),
        'reports_by_change': measure_reports(),
        'instances': measure_instances(),
    }


def measure_messages() -> dict[str, dict[str, float]]:
    """Return bytes and codec time in us of the frequent messages."""
    attempt = Attempt(
        attempt_id='0123456789abcdef-123456',
        request_id='0123456789abcdef-1234',
        target='service-000001-0',
        epoch=7,
        group='group-0001',
        service='service-000001',
        partition=7,
        index_version=42,
        class_name='teller',
        digest='0' * 32,
        body=b'{"cheque":"0123456789","account":"1234567"}',
        limit=10,
        time_left_ms=123.5,
    )
    reply = AttemptReply(
        attempt_id=attempt.attempt_id,
        status='ok',
        index_version=42,
        partition=7,
        matches=b'{"id":"0123456789","score":123,"partition":7}' * 5,
        state=make_target_state(1),
    )
    beat = Heartbeat(
        sequence=1,
        domain='domain-01',
        address='10.0.0.1:7000',
        operator_address='10.0.0.1:7001',
        caller_address='10.0.0.1:7002',
        roles=('entry',),
        readiness='ready',
        versions=_VERSIONS,
        releases=(),
    )
    grant = HeartbeatReply(
        sequence=1,
        granted=True,
        leader='control-1',
        lease_ms=4000,
        versions=_VERSIONS,
    )
    messages = (attempt, reply, beat, grant)
    return {type(one).__name__: _measure_message(one) for one in messages}


def measure_state(sizes: Sequence[int]) -> dict[str, object]:
    """Return slopes of the control group's state per target."""
    snapshot_bytes = []
    snapshot_ms = []
    change_ms = []
    memory_bytes = []
    command = b''
    for size in sizes:
        tracemalloc.start()
        builder = StateBuilder()
        builder.fill(size, OWNERS)
        memory_bytes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        start = time.process_time()
        snapshot_bytes.append(len(builder.state.snapshot()))
        snapshot_ms.append((time.process_time() - start) * _MS_PER_S)
        start = time.process_time()
        for slots in range(1, 11):
            command = builder.change([make_service_edit(1, slots)])
        change_ms.append((time.process_time() - start) * _MS_PER_S / 10)
    return {
        'snapshot_bytes': fit_line(sizes, snapshot_bytes),
        'snapshot_ms': fit_line(sizes, snapshot_ms),
        'change_ms': fit_line(sizes, change_ms),
        'memory_bytes': fit_line(sizes, memory_bytes),
        'change_command_bytes': len(command),
    }


def measure_view(sizes: Sequence[int]) -> dict[str, object]:
    """Return slopes of an instance's view per target."""
    updates = [_make_full_update(size) for size in sizes]
    costs = [_measure_update(update) for update in updates]
    spent_ms = [_measure_apply(update) for update in updates]
    return {
        'update_bytes': fit_line(sizes, [len(update) for update in updates]),
        'apply_ms': fit_line(sizes, spent_ms),
        'apply_ms_traced': fit_line(sizes, [cost[0] for cost in costs]),
        'memory_bytes': fit_line(sizes, [cost[1] for cost in costs]),
    }


def measure_assignment(sizes: Sequence[int]) -> dict[str, object]:
    """Return the time to assign all owners, per target."""
    spent_ms = []
    for size in sizes:
        builder = StateBuilder()
        builder.fill(size, OWNERS)
        places = list_places(builder.state.read().catalogue)
        candidates = [
            OwnerCandidate(
                Owner(instance=f'entry-{number:05d}', start_id='s'),
                f'domain-{number % 16:02d}',
            )
            for number in range(OWNERS)
        ]
        start = time.process_time()
        present = assign_owners(places, candidates, {})
        assign_owners(places, candidates, present)
        spent_ms.append((time.process_time() - start) * _MS_PER_S / 2)
    return {'assign_ms': fit_line(sizes, spent_ms)}


def measure_report() -> dict[str, object]:
    """Return slopes of an owner's report per owned target."""
    sizes = (10, 20, 40, 80)
    figures = [
        _measure_message(
            OwnerReport(
                states=[make_target_state(number) for number in range(size)],
            ),
        )
        for size in sizes
    ]
    return {
        'bytes': fit_line(sizes, [figure['bytes'] for figure in figures]),
        'codec_us': fit_line(sizes, [figure['us'] for figure in figures]),
    }


def measure_instances() -> dict[str, object]:
    """Return slopes of the list of instances per instance."""
    sizes = (100, 400, 1600)
    lengths = [
        len(
            encode_tagged(
                StateUpdate(
                    versions=_VERSIONS,
                    term=1,
                    instances=[make_record(number) for number in range(size)],
                ),
            ),
        )
        for size in sizes
    ]
    return {'bytes': fit_line(sizes, lengths)}


def _make_full_update(targets: int) -> bytes:
    builder = StateBuilder()
    builder.fill(targets, OWNERS)
    versions, catalogue = builder.state.encode_catalogue()
    update = StateUpdate(
        versions=versions,
        term=1,
        catalogue=catalogue,
        ownership=tuple(builder.state.read().ownership.values()),
    )
    return encode_envelope('control-1', 'start', update).content


def _measure_update(encoded: bytes) -> tuple[float, int]:
    """Return the CPU time in ms to apply an update and its memory."""
    tracemalloc.start()
    start = time.process_time()
    view = update_view(EMPTY_VIEW, decode_envelope(encoded)[1])
    spent_ms = (time.process_time() - start) * _MS_PER_S
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    if not view.places:
        raise AssertionError('the view has no targets')
    return spent_ms, memory_bytes


def _measure_apply(encoded: bytes) -> float:
    """Return the CPU time in ms to apply an update without tracing."""
    start = time.process_time()
    update_view(EMPTY_VIEW, decode_envelope(encoded)[1])
    return (time.process_time() - start) * _MS_PER_S


def _measure_message(message: object) -> dict[str, float]:
    encoded = encode_envelope(
        'entry-00001', '0123456789abcdef', message
    ).content
    encode_s = _time(lambda: encode_envelope('entry-1', 'start', message))
    decode_s = _time(lambda: decode_envelope(encoded))
    return {
        'bytes': len(encoded),
        'us': round((encode_s + decode_s) * _US_PER_S, 1),
    }


def _time(action: Callable[[], object]) -> float:
    start = time.process_time()
    for _ in range(_REPEATS):
        action()
    return (time.process_time() - start) / _REPEATS
