"""Remove one mechanism at a time and see that a proof notices it.

Each mutation is made in a copy of the repository in a temporary folder; the
named test is expected to fail there.
"""

import argparse
import shutil
import subprocess  # noqa: S404 - runs pytest only
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
_COPIED = ('shallotgate', 'testkit', 'tests', 'pyproject.toml')
_LIMIT_S = 200
# Exit status of pytest if a test failed.
_TESTS_FAILED = 1
_EXPECTED = 'failed as expected'
_CAUSE_LENGTH = 100
_IGNORED = shutil.ignore_patterns('__pycache__')


@dataclass(frozen=True)
class Edit:
    """A text that occurs once in a file and what replaces it."""

    path: str
    old: str
    new: str


@dataclass(frozen=True)
class Mutation:
    """One mechanism removed, and the test that must notice."""

    guarantee: str
    removed: str
    test: str
    # A mechanism that two layers check needs an edit of each.
    edits: tuple[Edit, ...]


_EDGE = 'shallotgate/targets/_http.py'
_RUN = 'shallotgate/query/_run.py'
_ONCE = 'shallotgate/query/_once.py'
_SERVICE = 'shallotgate/query/_service.py'
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
                'if (reply.index_version, reply.partition) != asked:',
                'if not reply:',
            ),
            Edit(
                _EDGE,
                'if any((match.version, match.partition) != asked',
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
        'G6',
        'count of the attempts that a target may have run',
        f'{_REFUSAL_TESTS}deadline_while_a_target_runs_is_no_refusal',
        (
            Edit(
                'shallotgate/query/_exchange.py',
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
                'if self._parts.lease.remaining_s() <= 0:\n'
                "            return 'no_lease'",
                "if not self._parts.lease:\n            return 'no_lease'",
            ),
            Edit(
                _SERVICE,
                'if self._parts.lease.remaining_s() <= 0:\n'
                '            # It may',
                'if not self._parts.lease:\n            # It may',
            ),
            Edit(
                'shallotgate/targets/_gate.py',
                'if left_s <= 0:',
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
        'restriction of a release to what was not run',
        f'{_ONCE_TESTS}stalled_target_is_not_followed_by_another',
        (
            Edit(
                _ONCE,
                'if reply is not None and reply.status in NOT_RUN:\n'
                '            return self._give_back('
                'reply.reason or reply.status)',
                "if reply is None or reply.status != 'ok':\n"
                "            return self._give_back('deadline')",
            ),
        ),
    ),
)


def check_mutation(mutation: Mutation) -> str:
    """Return ``failed as expected`` with the cause, or what was seen."""
    with tempfile.TemporaryDirectory(prefix='check-proofs-') as name:
        folder = Path(name)
        _copy(folder)
        for edit in mutation.edits:
            _apply(folder / edit.path, edit)
        return _run(folder, mutation.test)


def _copy(folder: Path) -> None:
    for name in _COPIED:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, folder / name, ignore=_IGNORED)
        else:
            shutil.copy2(source, folder / name)


def _apply(path: Path, edit: Edit) -> None:
    text = path.read_text(encoding='utf-8')
    if text.count(edit.old) != 1:
        raise ValueError(f'{edit.path}: not found once: {edit.old!r}')
    path.write_text(text.replace(edit.old, edit.new), encoding='utf-8')


def _run(folder: Path, test: str) -> str:
    command = (sys.executable, '-m', 'pytest', '-rfE', '--tb=line', test)
    # The copy comes first on the path, before the installed package.
    environment = {
        'PYTHONPATH': str(folder),
        'PYTHONDONTWRITEBYTECODE': '1',
        # pytest cuts the cause of a failure at the width of the terminal.
        'COLUMNS': '400',
    }
    try:
        ended = subprocess.run(
            command,
            cwd=folder,
            env=environment,
            capture_output=True,
            text=True,
            timeout=_LIMIT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return f'no verdict in {_LIMIT_S} s'
    if ended.returncode == 0:
        return 'still passes'
    # A fixture that fails is an error, not a failure of the test.
    failure = f'FAILED {test}'
    if ended.returncode == _TESTS_FAILED and failure in ended.stdout:
        cause = ended.stdout.rpartition(failure)[2].splitlines()[0]
        return f'{_EXPECTED}{cause[:_CAUSE_LENGTH]}'
    return f'no verdict:\n{ended.stdout}{ended.stderr}'


def main(arguments: Sequence[str] | None = None) -> int:
    """Check all mutations, or those whose line has a given text."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('text', nargs='?', default='')
    wanted = parser.parse_args(arguments).text
    failures = 0
    for mutation in MUTATIONS:
        line = f'{mutation.guarantee} {mutation.removed}: {mutation.test}'
        if wanted not in line:
            continue
        verdict = check_mutation(mutation)
        failures += not verdict.startswith(_EXPECTED)
        sys.stdout.write(f'{line}: {verdict}\n')
        sys.stdout.flush()
    return int(bool(failures))


if __name__ == '__main__':
    sys.exit(main())
