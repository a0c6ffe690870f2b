"""``python -m testkit.slopes``: print the slopes as JSON."""

import json
import sys
from dataclasses import asdict

from testkit.slopes._measure import measure_all


def main() -> None:
    """Measure and print."""
    text = json.dumps(measure_all(), indent=1, default=asdict)
    sys.stdout.write(f'{text}\n')


if __name__ == '__main__':
    main()
