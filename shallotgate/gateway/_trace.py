"""Decisions on one request, kept until it is known whether to log them."""

import time

# Decisions kept of one request, and besides for each of its shards: a part is
# sent, sent again and may fail in between.
_MAX_STEPS = 32
_MAX_SHARD_STEPS = 4
_MS_PER_S = 1000

_Step = tuple[float, str, dict[str, object]]


class RequestTrace:
    """Steps of one request with their times.

    >>> trace = RequestTrace()
    >>> trace.add('sent', target='i-1')
    >>> [step['step'] for step in trace.list_steps()]
    ['sent']
    """

    def __init__(self, shards: int = 0) -> None:
        self._max_steps = _MAX_STEPS + shards * _MAX_SHARD_STEPS
        self._started_at = time.monotonic()
        self._steps: list[_Step] = []
        self.left_out = 0
        # Whether the answer lacks something, so that the request is logged.
        self.is_notable = False

    def add(self, step: str, **inputs: object) -> None:
        """Note a decision and the inputs that decided it."""
        if len(self._steps) < self._max_steps:
            self._steps.append((time.monotonic(), step, inputs))
        else:
            self.left_out += 1

    def list_steps(self) -> list[dict[str, object]]:
        """Return the steps with their times in milliseconds."""
        return [
            {
                'step': step,
                'at_ms': round((at - self._started_at) * _MS_PER_S, 1),
                **{
                    name: round(one, 1) if isinstance(one, float) else one
                    for name, one in inputs.items()
                },
            }
            for at, step, inputs in self._steps
        ]
