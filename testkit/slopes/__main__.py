"""``python -m testkit.slopes``: print the slopes as JSON."""

import json
import sys
from dataclasses import asdict

import defopt

from testkit.slopes._measure import measure_all
from testkit.slopes._steps import measure_steps


def main(*, step_targets: int = 0, step_owners: int = 3100) -> None:
    """Measure and print.

    Args:
        step_targets: Measure only the steps of a leader, at so many targets.
        step_owners: Entries that own them.
    """
    figures = (
        measure_steps(step_targets, step_owners)
        if step_targets
        else measure_all()
    )
    text = json.dumps(figures, indent=1, default=asdict)
    sys.stdout.write(f'{text}\n')


if __name__ == '__main__':
    defopt.run(main)
