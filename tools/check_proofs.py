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
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import proofs_answers
import proofs_control
import proofs_targets
from mutations import Edit, Mutation

ROOT = Path(__file__).resolve().parent.parent
_COPIED = ('shallotgate', 'testkit', 'tests', 'pyproject.toml')
_LIMIT_S = 200
# Exit status of pytest if a test failed.
_TESTS_FAILED = 1
_EXPECTED = 'failed as expected'
_CAUSE_LENGTH = 100
_IGNORED = shutil.ignore_patterns('__pycache__')

MUTATIONS = (
    *proofs_answers.MUTATIONS,
    *proofs_control.MUTATIONS,
    *proofs_targets.MUTATIONS,
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
    parser.add_argument('--jobs', type=int, default=2)
    options = parser.parse_args(arguments)
    chosen = [one for one in MUTATIONS if options.text in _describe(one)]
    failures = 0
    with ThreadPoolExecutor(options.jobs) as pool:
        verdicts = pool.map(check_mutation, chosen)
        for mutation, verdict in zip(chosen, verdicts, strict=True):
            failures += not verdict.startswith(_EXPECTED)
            sys.stdout.write(f'{_describe(mutation)}: {verdict}\n')
            sys.stdout.flush()
    return int(bool(failures))


def _describe(mutation: Mutation) -> str:
    return f'{mutation.guarantee} {mutation.removed}: {mutation.test}'


if __name__ == '__main__':
    sys.exit(main())
