"""Limits over all callers, derived from the machine."""

from shallotgate.generated.node import NodeSettings
from shallotgate.node._caller_limits import (
    make_control_totals,
    make_entry_totals,
)


def make_settings(**settings):
    return NodeSettings(
        name='a', domain='d', peer_address='a:1', seeds=[], **settings
    )


def test_small_machine_serves_hundreds_of_callers_within_its_memory():
    """Guards against limits that ordinary callers of an entry would meet."""
    totals = make_entry_totals(
        make_settings(
            machine_memory_bytes=152_000_000, machine_descriptors=1535
        )
    )
    assert (totals.max_connections, totals.max_incomplete) == (511, 255)
    assert totals.max_bytes == 15_200_000


def test_settings_take_precedence():
    settings = make_settings(
        machine_memory_bytes=152_000_000,
        max_caller_bytes=5000,
        max_caller_connections=7,
        max_caller_incomplete=6,
    )
    for totals in (make_entry_totals(settings), make_control_totals(settings)):
        assert totals.max_bytes == 5000
        assert (totals.max_connections, totals.max_incomplete) == (7, 6)


def test_control_holds_a_document_of_legal_size_on_any_machine():
    """Guards against an operator's document that is always refused."""
    totals = make_control_totals(make_settings(machine_memory_bytes=10_000_000))
    assert totals.max_bytes >= 3 * 8 * 1024 * 1024
