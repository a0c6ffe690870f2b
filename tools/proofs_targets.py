"""Mutations that the integration tests of targets must detect.

Each mutation removes one mechanism; the named test fails without it.
"""

from mutations import make_mutation

MUTATIONS = (
    # Wait for the end of a lost owner's lease and of its longest attempt.
    make_mutation(
        'shallotgate/control/_sessions.py',
        'held_s = (LEASE_S + self.max_attempt_s) * (1 + MAX_CLOCK_DRIFT)',
        'held_s = MAX_CLOCK_DRIFT',
        'tests/test_target_limits.py'
        '::test_limits_hold_while_owners_change[isolate]',
    ),
    # Reduced concurrency limit of a cold target.
    make_mutation(
        'shallotgate/targets/_limiter.py',
        """        if not self._cold_start:
            return
        self.limit = 1
""",
        """        if self._cold_start:
            return
        self.limit = 1
""",
        'tests/test_target_limits.py::test_cold_target_is_not_overfed',
    ),
    # Reset to cold of targets whose domain was taken out of service.
    make_mutation(
        'shallotgate/targets/_owned.py',
        """        if view.is_taken_out(pool.target.domain):
            with""",
        """        if not pool.target.domain:
            with""",
        'tests/test_domain_out.py::test_domain_leaves_and_returns_under_load',
    ),
    # Check for domains out of service, at target selection and at dispatch.
    make_mutation(
        'shallotgate/membership/_view.py',
        'return entry is not None and entry.taken_out',
        'return entry is None',
        'tests/test_domain_out.py::test_domain_leaves_and_returns_under_load',
    ),
    # Lease check before a dispatch.
    make_mutation(
        'shallotgate/targets/_gate.py',
        '        if remaining_s <= 0:\n',
        "        if remaining_s == float('inf'):\n",
        'tests/test_domain_out.py'
        '::test_domain_is_out_despite_an_unaware_owner[isolate]',
    ),
    # Second attempt after an owner stopped replying.
    make_mutation(
        'shallotgate/query/_extra_attempts.py',
        '        if age_s < STALL_TIMEOUT_S:\n',
        '        if age_s >= 0:\n',
        'tests/test_domain_out.py'
        '::test_domain_is_out_despite_an_unaware_owner[freeze]',
    ),
    # Drain state reported in replies.
    make_mutation(
        'shallotgate/targets/_observation.py',
        """                )
            self.draining = True
""",
        """                )
""",
        'tests/test_leaving_targets.py'
        '::test_drain_is_learnt_from_replies_alone',
    ),
    # Leaving instances in the platform's list.
    make_mutation(
        'shallotgate/daemon/_entry.py',
        'lambda _, leaving: self.owned.mark_leaving(leaving)',
        'lambda _, leaving: self.owned.mark_leaving(())',
        'tests/test_leaving_targets.py'
        '::test_leaving_target_is_learnt_from_the_platform_alone',
    ),
    # Record that a reply refuted a claimed drain.
    make_mutation(
        'shallotgate/targets/_observation.py',
        'self._is_drain_refuted = self._is_drain_refuted or is_report_only',
        'self._is_drain_refuted = False',
        'tests/test_leaving_targets.py'
        '::test_report_that_claims_a_drain_is_not_believed',
    ),
)
