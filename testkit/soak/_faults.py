"""Faults of a run, drawn from its seed."""

import random
import threading
import time
from collections.abc import Callable, Mapping

from testkit.soak._instance_faults import InstanceFaults
from testkit.soak._context import Scene
from testkit.soak._target_faults import TargetFaults

_DOUBLE_SHARE = 0.3
_LONGEST_PAUSE_S = 3

_Fault = Callable[[random.Random], None]


class FaultRunner:
    """Puts faults in force one after another, at times two at once."""

    def __init__(self, scene: Scene, generator: random.Random) -> None:
        self._journal = scene.journal
        self._generator = generator
        instances = InstanceFaults(scene)
        targets = TargetFaults(scene)
        self._faults: Mapping[str, _Fault] = {
            'kill': instances.kill,
            'stop': instances.stop,
            'freeze': instances.freeze,
            'cut': instances.cut,
            'isolate': instances.isolate,
            'wipe': instances.wipe,
            'target_crash': targets.crash_target,
            'target_cold': targets.chill_target,
            'index_version': targets.repartition,
            'crash_request': targets.send_crash,
            'domain_out': targets.take_domain_out,
        }

    def run(self, seconds: float) -> None:
        """Run faults until the time is over; each one is healed."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            count = 1 + (self._generator.random() < _DOUBLE_SHARE)
            kinds = self._generator.sample(list(self._faults), count)
            threads = [self._start(kind) for kind in kinds]
            for thread in threads:
                thread.join()
            time.sleep(self._generator.uniform(0, _LONGEST_PAUSE_S))

    def _start(self, kind: str) -> threading.Thread:
        generator = random.Random(self._generator.random())
        thread = threading.Thread(
            target=self._apply,
            args=(kind, generator),
            name=kind,
            daemon=True,
        )
        thread.start()
        return thread

    def _apply(self, kind: str, generator: random.Random) -> None:
        self._journal.faults[kind] += 1
        self._journal.note(f'{kind} begins')
        try:
            self._faults[kind](generator)
        except Exception as error:
            self._journal.findings.append(f'{kind}: {error!r}')
        self._journal.note(f'{kind} ends')
