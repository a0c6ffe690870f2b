"""Mutations that the tests of query answers must detect."""

from mutations import Edit, Mutation

_TARGET_CONNECTOR = 'shallotgate/targets/_http.py'
_QUERY_RUN = 'shallotgate/query/_run.py'
_QUERY_ONCE = 'shallotgate/query/_once.py'
_QUERY_SERVICE = 'shallotgate/query/_service.py'
_QUERY_DRIVER = 'shallotgate/query/_driver.py'
_OWNED_TARGETS = 'shallotgate/targets/_owned.py'
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
                _TARGET_CONNECTOR,
                'if (reply.index_version, reply.partition) != expected:',
                'if not reply:',
            ),
            Edit(
                _TARGET_CONNECTOR,
                'if any((match.version, match.partition) != expected',
                'if any(not match',
            ),
            Edit(_QUERY_RUN, 'if not is_expected:', 'if not reply:'),
            Edit(
                _QUERY_RUN,
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
                _QUERY_DRIVER,
                'elif self.dispatcher.usage.restarts:',
                'elif self._deps:',
            ),
        ),
    ),
    Mutation(
        'G1',
        'attempt count carried over a restart',
        f'{_SNAPSHOT_TESTS}query_restarts_when_its_version_is_retired',
        (
            Edit(
                _QUERY_RUN,
                'self.dispatcher.usage.restarts += 1',
                'self.dispatcher.usage.restarts += 1\n'
                '        self.dispatcher.usage.sent = 0',
            ),
        ),
    ),
    Mutation(
        'G1',
        'discard of shard results when a query restarts',
        f'{_SNAPSHOT_TESTS}query_restarts_when_its_version_is_retired',
        (
            Edit(
                _QUERY_RUN,
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
        'partial coverage reported by a target',
        f'{_SNAPSHOT_TESTS}partly_covered_partition_is_told[plain]',
        (Edit(_OWNED_TARGETS, 'covered=reply.covered', 'covered=True'),),
    ),
    Mutation(
        'G2',
        'outcome of an answer with a partly covered partition',
        f'{_SNAPSHOT_TESTS}partly_covered_partition_is_told[screened]',
        (Edit(_COVERAGE, 'elif uncovered:', 'elif not answered:'),),
    ),
    Mutation(
        'G2',
        'missing shards in the reported coverage',
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
        'report that the limit truncated the merged matches',
        f'{_SNAPSHOT_TESTS}matches_that_a_limit_cuts_are_told',
        (Edit(_COVERAGE, 'or truncated or is_cut)', 'or truncated)'),),
    ),
    Mutation(
        'G5',
        'check of the attempt id of a reply',
        f'{_ANSWER_TESTS}crossed_replies_of_a_target_are_not_used',
        (
            Edit(
                _TARGET_CONNECTOR,
                'if reply.attempt_id != attempt.attempt_id:',
                'if not reply:',
            ),
        ),
    ),
    Mutation(
        'G5',
        'match of owner replies by attempt id',
        f'{_ANSWER_TESTS}cuts_between_entries_mix_no_answers[plain]',
        (
            # Matches a reply to any attempt at the same partition.
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
        'lease checks before a dispatch',
        f'{_REFUSAL_TESTS}lost_majority_stops_service_until_it_returns',
        (
            Edit(
                _QUERY_SERVICE,
                'if self._deps.lease.remaining_s() <= 0:\n'
                "            return 'no_lease'",
                "if not self._deps.lease:\n            return 'no_lease'",
            ),
            Edit(
                _QUERY_SERVICE,
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
        'claim of an idempotency key before dispatch',
        f'{_ONCE_TESTS}resends_get_the_recorded_answer',
        (
            Edit(
                _QUERY_ONCE,
                "if claimed.status == 'claimed' "
                'and claimed.claim == self._claim:',
                'if claimed:',
            ),
        ),
    ),
    Mutation(
        'G7',
        'check of the content digest of a key',
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
        'claim kept in progress after the loss of its entry',
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
        'claim kept in progress after the loss of its entry and a disk',
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
        'majority required to commit a claim',
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
        'release of a claim only if the request was not run',
        f'{_ONCE_TESTS}stalled_target_is_not_followed_by_another',
        (
            Edit(
                _QUERY_ONCE,
                'if reply is not None and reply.status in NOT_RUN:\n'
                '            return self._abandon_claim('
                'reply.reason or reply.status)',
                "if reply is None or reply.status != 'ok':\n"
                "            return self._abandon_claim('deadline')",
            ),
        ),
    ),
)
