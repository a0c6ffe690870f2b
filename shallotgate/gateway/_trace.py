"""Trace of the decisions on one request."""

import time

# Maximum steps of one request, and additional steps for each shard: a part is
# sent, may fail in between and is sent again.
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
        # Whether the request has to be logged, as its answer is partial.
        self.is_notable = False
        # Whether the request was refused for lack of a known key.
        self.is_unauthenticated = False

    def add(self, step: str, **inputs: object) -> None:
        """Record a decision with its inputs."""
        if len(self._steps) < self._max_steps:
            self._steps.append((time.monotonic(), step, inputs))
        else:
            self.left_out += 1

    def list_steps(self) -> list[dict[str, object]]:
        """Return the steps with their offsets in milliseconds."""
        return [
            {
                'step': step,
                'at_ms': round((at - self._started_at) * _MS_PER_S, 1),
                **{
                    name: round(input_value, 1)
                    if isinstance(input_value, float)
                    else input_value
                    for name, input_value in inputs.items()
                },
            }
            for at, step, inputs in self._steps
        ]
