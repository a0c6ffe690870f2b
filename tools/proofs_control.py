"""Mutations that the tests of the control group must detect.

Each mutation removes one mechanism; the named test fails without it.
"""

from mutations import make_mutation

MUTATIONS = (
    # Accepts a lease before the versions that it requires are applied.
    make_mutation(
        path='shallotgate/membership/_session.py',
        old="""\
        if not self._applier.covers(reply):
            self._applier.fetch(heartbeat.peer, reply)
        if self._applier.covers(reply):
            self.lease""",
        new="""\
        if reply.granted:
            self.lease""",
        test=(
            'tests/test_configuration.py'
            '::test_lease_waits_for_the_version_that_it_names'
        ),
    ),
    # Keeps the caller address ready during a graceful stop.
    make_mutation(
        path='shallotgate/daemon/_process.py',
        old="""\
        entry.leave()
""",
        new='',
        test='tests/test_graceful_stop.py::test_rolling_restart_cuts_no_request',
    ),
    # Drops the recorded verdicts of changes.
    make_mutation(
        path='shallotgate/state/_verdicts.py',
        old='return self._table.get(change_id)',
        new='return None',
        test=(
            'tests/test_configuration.py'
            '::test_resent_change_gets_its_first_verdict'
        ),
    ),
    # Accepts one vote as a majority, so a member and a wiped one elect a
    # leader.
    make_mutation(
        path='shallotgate/consensus/_group.py',
        old='len(voters & identities) >= self.quorum',
        new='len(voters & identities) >= 1',
        test=(
            'tests/test_lost_disk.py'
            '::test_wiped_member_that_was_not_replaced_never_votes'
        ),
    ),
    # Omits released targets from the report to the leader.
    make_mutation(
        path='shallotgate/targets/_owned.py',
        old="if self._policy.limits == 'owner' and not is_kept:",
        new="if self._policy.limits == 'none':",
        test='tests/test_graceful_stop.py::test_rolling_restart_cuts_no_request',
    ),
)
