"""Record of what a case sent, got answered and ran."""

import os
import time
from pathlib import Path


class Record:
    """Writes lines with the seconds since the start to a file."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._stream = path.open('w')

    def add(self, kind: str, **fields: object) -> None:
        """Write a line."""
        now = time.monotonic() - self._started_at
        text = ' '.join(f'{key}={item}' for key, item in fields.items())
        self._stream.write(f'{now:8.3f} {kind} {text}\n')
        self._stream.flush()

    def since_start(self, moment: float) -> float:
        """Return a monotonic time as seconds since the start."""
        return round(moment - self._started_at, 3)


def has_trouble() -> bool:
    """Return whether the disruption of the case is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'
