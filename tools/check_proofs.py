"""Check that the tests detect the removal of each listed mechanism.

Each mutation is applied to a temporary copy of the repository, where the
named test is expected to fail.
"""

import argparse
import shutil
import subprocess  # noqa: S404 - runs pytest only
import sys
import tempfile
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import proofs_answers
import proofs_control
import proofs_targets
from mutations import Edit, Mutation

ROOT = Path(__file__).resolve().parent.parent
_COPIED_PATHS = ('shallotgate', 'testkit', 'tests', 'pyproject.toml')
_TEST_TIMEOUT_S = 200
# Exit status of pytest when at least one test failed.
_PYTEST_TESTS_FAILED = 1
_EXPECTED_VERDICT = 'failed as expected'
_MAX_CAUSE_LENGTH = 100
_IGNORE_PATTERNS = shutil.ignore_patterns('__pycache__')

MUTATIONS = (
    *proofs_answers.MUTATIONS,
    *proofs_control.MUTATIONS,
    *proofs_targets.MUTATIONS,
)


def check_mutation(mutation: Mutation) -> str:
    """Return ``failed as expected`` with the cause, or another verdict."""
    with tempfile.TemporaryDirectory(prefix='check-proofs-') as name:
        directory = Path(name)
        _copy_repository(directory)
        for edit in mutation.edits:
            _apply_edit(directory / edit.path, edit)
        return _run_test(directory, mutation.test)


def _copy_repository(directory: Path) -> None:
    for name in _COPIED_PATHS:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, directory / name, ignore=_IGNORE_PATTERNS)
        else:
            shutil.copy2(source, directory / name)


def _apply_edit(path: Path, edit: Edit) -> None:
    text = path.read_text(encoding='utf-8')
    if text.count(edit.old) != 1:
        raise ValueError(
            f'{edit.path}: expected exactly one match: {edit.old!r}'
        )
    path.write_text(text.replace(edit.old, edit.new), encoding='utf-8')


def _run_test(directory: Path, test: str) -> str:
    command = (sys.executable, '-m', 'pytest', '-rfE', '--tb=line', test)
    # The copy precedes the installed package on the import path.
    environment = {
        'PYTHONPATH': str(directory),
        'PYTHONDONTWRITEBYTECODE': '1',
        # pytest truncates the cause of a failure to the terminal width.
        'COLUMNS': '400',
    }
    try:
        completed = subprocess.run(
            command,
            cwd=directory,
            env=environment,
            capture_output=True,
            text=True,
            timeout=_TEST_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return f'no verdict in {_TEST_TIMEOUT_S} s'
    if completed.returncode == 0:
        return 'still passes'
    # pytest reports a failing fixture as an error, not as a failed test.
    failure = f'FAILED {test}'
    if (
        completed.returncode == _PYTEST_TESTS_FAILED
        and failure in completed.stdout
    ):
        cause = completed.stdout.rpartition(failure)[2].splitlines()[0]
        return f'{_EXPECTED_VERDICT}{cause[:_MAX_CAUSE_LENGTH]}'
    return f'no verdict:\n{completed.stdout}{completed.stderr}'


def main(arguments: Sequence[str] | None = None) -> int:
    """Check all mutations, or those whose description contains a text."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('text', nargs='?', default='')
    parser.add_argument('--jobs', type=int, default=2)
    options = parser.parse_args(arguments)
    selected = [
        mutation
        for mutation in MUTATIONS
        if options.text in _describe(mutation)
    ]
    failures = 0
    with ThreadPoolExecutor(options.jobs) as pool:
        verdicts = pool.map(check_mutation, selected)
        for mutation, verdict in zip(selected, verdicts, strict=True):
            failures += not verdict.startswith(_EXPECTED_VERDICT)
            sys.stdout.write(f'{_describe(mutation)}: {verdict}\n')
            sys.stdout.flush()
    return int(bool(failures))


def _describe(mutation: Mutation) -> str:
    return f'{mutation.guarantee} {mutation.removed}: {mutation.test}'


if __name__ == '__main__':
    sys.exit(main())
