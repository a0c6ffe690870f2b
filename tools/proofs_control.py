"""Mutations that tests of the control group must find.

Each one takes a mechanism out; the named test fails with it in force.
"""

from mutations import make_mutation

MUTATIONS = (
    # The lease counts before the versions it names are in force.
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
    # The caller address stays ready while the entry leaves.
    make_mutation(
        path='shallotgate/daemon/_process.py',
        old="""\
        entry.leave()
""",
        new='',
        test='tests/test_graceful_stop.py::test_rolling_restart_cuts_no_request',
    ),
    # Verdicts on change ids are forgotten.
    make_mutation(
        path='shallotgate/state/_verdicts.py',
        old='return self._table.get(change_id)',
        new='return None',
        test=(
            'tests/test_configuration.py'
            '::test_resent_change_gets_its_first_verdict'
        ),
    ),
    # One vote is a majority, so a member leads beside a wiped one.
    make_mutation(
        path='shallotgate/consensus/_group.py',
        old='len(voters & identities) >= self.quorum',
        new='len(voters & identities) >= 1',
        test=(
            'tests/test_lost_disk.py'
            '::test_wiped_member_that_was_not_replaced_never_votes'
        ),
    ),
    # Targets that an entry lets go are not reported.
    make_mutation(
        path='shallotgate/targets/_owned.py',
        old="if self._policy.limits == 'owner' and not is_kept:",
        new="if self._policy.limits == 'none':",
        test='tests/test_graceful_stop.py::test_rolling_restart_cuts_no_request',
    ),
)
