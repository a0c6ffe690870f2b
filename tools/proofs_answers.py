"""Mutations that the tests of answers must notice."""

from mutations import Edit, Mutation

_EDGE = 'shallotgate/targets/_http.py'
_RUN = 'shallotgate/query/_run.py'
_ONCE = 'shallotgate/query/_once.py'
_SERVICE = 'shallotgate/query/_service.py'
_DRIVER = 'shallotgate/query/_driver.py'
_OWNED = 'shallotgate/targets/_owned.py'
_COVERAGE = 'shallotgate/query/_coverage.py'
_SNAPSHOT_TESTS = 'tests/test_one_snapshot.py::test_'
_ANSWER_TESTS = 'tests/test_own_answer.py::test_'
_REFUSAL_TESTS = 'tests/test_true_refusals.py::test_'
_ONCE_TESTS = 'tests/test_at_most_once.py::test_'

MUTATIONS = (
    Mutation(
        'G1',
        'check of the version and partition of a reply',
        f'{_SNAPSHOT_TESTS}reply_of_another_version_is_not_merged',
        (
            Edit(
                _EDGE,
                'if (reply.index_version, reply.partition) != expected:',
                'if not reply:',
            ),
            Edit(
                _EDGE,
                'if any((match.version, match.partition) != expected',
                'if any(not match',
            ),
            Edit(_RUN, 'if not is_expected:', 'if not reply:'),
            Edit(
                _RUN,
                'sent.attempt.index_version == reply.index_version,',
                'bool(sent),',
            ),
        ),
    ),
    Mutation(
        'G1',
        'restart of a query whose version is retired',
        f'{_SNAPSHOT_TESTS}query_restarts_when_its_version_is_retired',
        (
            Edit(
                _DRIVER,
                'elif self.dispatcher.usage.restarts:',
                'elif self._deps:',
            ),
        ),
    ),
    Mutation(
        'G1',
        'count of the attempts before a restart',
        f'{_SNAPSHOT_TESTS}query_restarts_when_its_version_is_retired',
        (
            Edit(
                _RUN,
                'self.dispatcher.usage.restarts += 1',
                'self.dispatcher.usage.restarts += 1\n'
                '        self.dispatcher.usage.sent = 0',
            ),
        ),
    ),
    Mutation(
        'G1',
        'new shards for a restarted query',
        f'{_SNAPSHOT_TESTS}query_restarts_when_its_version_is_retired',
        (
            Edit(
                _RUN,
                '            self.shards = tuple(\n'
                '                Shard(partition, candidates)\n'
                '                for partition, candidates in '
                'enumerate(route.shards)\n'
                '            )\n',
                '            kept = [one for one in self.shards '
                'if one.matches is not None]\n'
                '            self.shards = (*kept, *(\n'
                '                Shard(partition, candidates)\n'
                '                for partition, candidates in '
                'enumerate(route.shards)\n'
                '                if partition not in '
                '{one.partition for one in kept}\n'
                '            ))\n',
            ),
        ),
    ),
    Mutation(
        'G2',
        'word of a target that it covered a part only',
        f'{_SNAPSHOT_TESTS}partly_covered_partition_is_told[plain]',
        (Edit(_OWNED, 'covered=reply.covered', 'covered=True'),),
    ),
    Mutation(
        'G2',
        'outcome of an answer that covers a part of a partition',
        f'{_SNAPSHOT_TESTS}partly_covered_partition_is_told[screened]',
        (Edit(_COVERAGE, 'elif uncovered:', 'elif not answered:'),),
    ),
    Mutation(
        'G2',
        'missing shards in the coverage',
        f'{_SNAPSHOT_TESTS}lost_shard_is_told_as_missing[kill]',
        (
            Edit(
                _COVERAGE,
                'return _make_merged_answer('
                'task, usage, index_version, answered, missing)',
                'return _make_merged_answer('
                'task, usage, index_version, answered, ())',
            ),
        ),
    ),
    Mutation(
        'G2',
        'missing shards in matches_full',
        f'{_SNAPSHOT_TESTS}lost_shard_is_told_as_missing[freeze]',
        (Edit(_COVERAGE, 'not (missing or uncovered', 'not (uncovered'),),
    ),
    Mutation(
        'G2',
        'whether the limit cut the merged list',
        f'{_SNAPSHOT_TESTS}matches_that_a_limit_cuts_are_told',
        (Edit(_COVERAGE, 'or truncated or is_cut)', 'or truncated)'),),
    ),
    Mutation(
        'G5',
        'check of the attempt id of a reply',
        f'{_ANSWER_TESTS}crossed_replies_of_a_target_are_not_used',
        (
            Edit(
                _EDGE,
                'if reply.attempt_id != attempt.attempt_id:',
                'if not reply:',
            ),
        ),
    ),
    Mutation(
        'G5',
        'attempt id by which replies of owners are matched',
        f'{_ANSWER_TESTS}cuts_between_entries_mix_no_answers[plain]',
        (
            # Any attempt for the same partition gets the reply.
            Edit(
                'shallotgate/routing/_mailbox_port.py',
                '        pending = self._pending.pop(reply.attempt_id, None)\n'
                '        if pending is None:\n'
                '            self._metrics',
                '        waiting = tuple(self._pending.items())\n'
                '        pending = self._pending.pop(next((\n'
                '            key for key, one in waiting\n'
                '            if one.attempt.partition == reply.partition\n'
                "        ), ''), None)\n"
                '        if pending is None:\n'
                '            self._metrics',
            ),
            Edit(
                'shallotgate/query/_dispatcher.py',
                'sent = self._active.pop(reply.attempt_id, None)',
                'sent = self._active.pop(next((\n'
                '            key for key, one in self._active.items()\n'
                '            if one.shard.partition == reply.partition\n'
                "        ), ''), None)",
            ),
        ),
    ),
    Mutation(
        'G6',
        'count of the attempts that a target may have run',
        f'{_REFUSAL_TESTS}deadline_while_a_target_runs_is_no_refusal',
        (
            Edit(
                'shallotgate/query/_dispatcher.py',
                '        self.usage.may_have_run += 1\n',
                '',
            ),
        ),
    ),
    Mutation(
        'G6',
        'lease checks on the way to a dispatch',
        f'{_REFUSAL_TESTS}lost_majority_stops_service_until_it_returns',
        (
            Edit(
                _SERVICE,
                'if self._deps.lease.remaining_s() <= 0:\n'
                "            return 'no_lease'",
                "if not self._deps.lease:\n            return 'no_lease'",
            ),
            Edit(
                _SERVICE,
                'if self._deps.lease.remaining_s() <= 0:\n            # It may',
                'if not self._deps.lease:\n            # It may',
            ),
            Edit(
                'shallotgate/targets/_gate.py',
                'if remaining_s <= 0:',
                'if not self._lease:',
            ),
        ),
    ),
    Mutation(
        'G7',
        'claim of a key before its dispatch',
        f'{_ONCE_TESTS}resends_get_the_recorded_answer',
        (
            Edit(
                _ONCE,
                "if claimed.status == 'claimed' "
                'and claimed.claim == self._claim:',
                'if claimed:',
            ),
        ),
    ),
    Mutation(
        'G7',
        'digest of the content of a key',
        f'{_ONCE_TESTS}key_with_other_content_is_not_run',
        (
            Edit(
                'shallotgate/state/_once.py',
                'if record.digest != command.digest:',
                'if not record:',
            ),
        ),
    ),
    Mutation(
        'G7',
        'claim that stays in progress when its entry is lost',
        f'{_ONCE_TESTS}loss_after_dispatch_makes_no_second_run[entry]',
        (
            Edit(
                'shallotgate/state/_once.py',
                "if record.status == 'in_progress':",
                "if record.status == 'unused':",
            ),
            Edit(
                'shallotgate/state/_once.py',
                "before.status == 'released',",
                'bool(before),',
            ),
        ),
    ),
    Mutation(
        'G7',
        'claim that stays in progress when its entry and a disk are lost',
        f'{_ONCE_TESTS}entry_and_a_disk_are_lost_between_claim_and_record'
        '[claimed]',
        (
            Edit(
                'shallotgate/state/_once.py',
                "if record.status == 'in_progress':",
                "if record.status == 'unused':",
            ),
            Edit(
                'shallotgate/state/_once.py',
                "before.status == 'released',",
                'bool(before),',
            ),
        ),
    ),
    Mutation(
        'G7',
        'majority of the members that a claim is committed by',
        f'{_ONCE_TESTS}entry_and_a_disk_are_lost_between_claim_and_record'
        '[begun]',
        (
            Edit(
                'shallotgate/consensus/_group.py',
                'len(voters & identities) >= self.quorum',
                'len(voters & identities) >= 1',
            ),
        ),
    ),
    Mutation(
        'G7',
        'restriction of a release to what was not run',
        f'{_ONCE_TESTS}stalled_target_is_not_followed_by_another',
        (
            Edit(
                _ONCE,
                'if reply is not None and reply.status in NOT_RUN:\n'
                '            return self._abandon_claim('
                'reply.reason or reply.status)',
                "if reply is None or reply.status != 'ok':\n"
                "            return self._abandon_claim('deadline')",
            ),
        ),
    ),
)
