"""Runs the soak as ``python -m testkit.soak --seed N --minutes M``."""

import json
import signal
import sys

import defopt

from testkit.soak._run import SoakRun


def main(*, seed: int = 1, minutes: float = 2) -> int:
    """Run load and fault injection, then check the guarantees.

    Returns 1 if a guarantee was violated.

    :param seed: Random seed of the load and the faults.
    :param minutes: Duration of fault injection.
    """
    sys.stdout.write(f'seed {seed}\n')
    sys.stdout.flush()
    # Raises SystemExit, so that the child processes are killed on SIGTERM.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    run = SoakRun(seed, minutes)
    failed = True
    try:
        summary = run.run()
        failed = bool(summary['findings'] or summary['breaches'])
    finally:
        run.tier.close(keep_files=failed)
        if failed:
            events = '\n'.join(run.journal.events)
            (run.tier.folder / 'events.txt').write_text(events)
    sys.stdout.write(f'{json.dumps(summary, indent=2)}\n')
    if failed:
        sys.stdout.write(
            f'Failed. Logs: {run.tier.folder}. To repeat: '
            f'python -m testkit.soak --seed {seed} --minutes {minutes}\n',
        )
    return int(failed)


if __name__ == '__main__':
    sys.exit(defopt.run(main))
