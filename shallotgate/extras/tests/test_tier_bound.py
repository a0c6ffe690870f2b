"""Bound on the extra attempts of a whole tier, in virtual time.

Pattern: one service fails for every request, so that all entries spend as much
as they can at once, while entries restart, the leader changes and instances
are added, all within one window.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shallotgate.extras import RetryBudget, RetryBudgetPolicy, RetryGrantPool

WINDOW_S = 10
RATIO = 0.2
STEP_S = 0.5
STEPS = 60
EVENTS = st.lists(
    st.tuples(
        st.integers(0, STEPS - 1),
        st.sampled_from(['restart_all', 'new_leader', 'add']),
    ),
    max_size=5,
)


class Tier:
    """Entries that spend every extra attempt they can get."""

    def __init__(self, entries, slack):
        self.policy = RetryBudgetPolicy(RATIO, slack, WINDOW_S)
        self.budgets = [RetryBudget(self.policy, 0) for _ in range(entries)]
        self.pool = RetryGrantPool(self.policy)
        self.leading_since = -2 * WINDOW_S
        self.pool.activate(self.leading_since, -10 * WINDOW_S)
        self.restarted = set()
        self.requests = []
        self.extras = []

    def restart_all(self, now):
        # A second restart within a window is not covered by the policy.
        if all(now - at > 2 * WINDOW_S for at in self.restarted):
            self.restarted.add(now)
            self.budgets = [RetryBudget(self.policy, now) for _ in self.budgets]

    def new_leader(self, now):
        self.pool = RetryGrantPool(self.policy)
        self.pool.activate(now, self.leading_since)
        self.leading_since = now

    def add(self, now):
        self.budgets += [
            RetryBudget(self.policy, now)
            for _ in range(len(self.budgets) // 10)
        ]

    def spend(self, now):
        for budget in self.budgets:
            budget.record_request(now, len(self.budgets))
            self.requests.append(now)
            while budget.try_spend(now):
                self.extras.append(now)
        self.extras += [now] * self.pool.grant('s', 10_000, now)

    def check(self):
        for step in range(STEPS):
            start = step * STEP_S
            end = start + WINDOW_S
            spent = sum(start <= at <= end for at in self.extras)
            inside = sum(start <= at <= end for at in self.requests)
            before = sum(
                start - WINDOW_S <= at <= start for at in self.requests
            )
            allowed = RATIO * max(inside, before) + self.policy.slack
            assert spent <= allowed, f'{spent} of {allowed} from {start} s on'


def play(entries, slack, events):
    tier = Tier(entries, slack)
    for step in range(STEPS):
        now = step * STEP_S
        for at, event in events:
            if at == step:
                getattr(tier, event)(now)
        # Each entry gets a request every 5 s.
        if step % 10 == 0:
            tier.spend(now)
        tier.extras += [now] * tier.pool.grant('s', 10_000, now)
    tier.check()


@pytest.mark.parametrize(('entries', 'slack'), [(191, 422), (300, 650)])
def test_restart_and_new_leader_keep_to_the_slack(entries, slack):
    """Guards against entries that all forget what they have spent.

    Each entry spent one attempt before and one after the restart, and the new
    leader granted what its predecessor had granted already.
    """
    play(entries, slack, [(31, 'restart_all'), (31, 'new_leader')])
    play(entries, slack, [(31, 'new_leader'), (35, 'restart_all')])


@pytest.mark.parametrize('gap_steps', [0, 1, 19, 20, 21, 22])
def test_leaders_in_quick_succession_keep_to_the_slack(gap_steps):
    """Guards against several leaders that each grant what is kept for one.

    Each of them knows nothing of what the others granted.
    """
    second = 25 + gap_steps
    third = second + gap_steps
    changes = [(step, 'new_leader') for step in (25, second, third)]
    play(191, 422, [*changes, (25, 'restart_all')])


def test_new_leader_grants_in_its_first_window():
    """Guards against a tier without grants after each change of the leader."""
    tier = Tier(191, 422)
    tier.new_leader(20)
    assert tier.pool.grant('s', 10_000, 20) >= 0.1 * 422


@settings(max_examples=60, deadline=None)
@given(
    entries=st.integers(1, 120),
    slack_per_entry=st.sampled_from([0.3, 1.1, 1.6, 2.3, 4.5, 9]),
    events=EVENTS,
)
def test_any_tier_keeps_to_the_slack(entries, slack_per_entry, events):
    """Guards against sizes at which the shares don't add up."""
    play(entries, int(entries * slack_per_entry) + 1, events)
