"""Bound on extra attempts in any window."""

from hypothesis import given
from hypothesis import strategies as st

from shallotgate.gateway import ExtraAllowance, ExtraBudget

WINDOW_S = 10
ALLOWANCE = ExtraAllowance(ratio=0.2, slack=50, window_s=WINDOW_S)


@given(
    gaps=st.lists(st.floats(0, 3), min_size=1, max_size=300),
    entries=st.integers(1, 8),
)
def test_any_window_keeps_to_ratio_and_slack(gaps, entries):
    """Guards against bursts at the edge of a window.

    All entries spend as much as they can at the same moments.
    """
    budgets = [ExtraBudget(ALLOWANCE, now=0) for _ in range(entries)]
    now = 0
    requests = []
    extras = []
    for gap in gaps:
        now += gap
        for budget in budgets:
            requests.append(now)
            budget.earn(now, entries)
            while budget.take():
                extras.append(now)
    for start in {*requests}:
        spent = sum(start <= at <= start + WINDOW_S for at in extras)
        # Requests of the window before it count too, whichever are more.
        inside = sum(start <= at <= start + WINDOW_S for at in requests)
        before = sum(start - WINDOW_S <= at < start for at in requests)
        allowed = 0.2 * max(inside, before) + ALLOWANCE.slack
        assert spent <= allowed


def test_restarted_entry_has_no_attempts_saved_up():
    """Guards against a share that is spent again after each restart."""
    assert not ExtraBudget(ALLOWANCE, now=5).take()
