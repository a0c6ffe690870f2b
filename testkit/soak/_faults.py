"""Scheduling of faults, drawn at random from the seed of the run."""

import random
import threading
import time
from collections.abc import Callable, Mapping

from testkit.soak._context import FaultContext
from testkit.soak._instance_faults import InstanceFaults
from testkit.soak._target_faults import TargetFaults

_CONCURRENT_FAULT_SHARE = 0.3
_MAX_PAUSE_S = 3

_InjectFault = Callable[[random.Random], None]


class FaultRunner:
    """Injects faults one after another, sometimes two concurrently."""

    def __init__(self, context: FaultContext, generator: random.Random) -> None:
        self._journal = context.journal
        self._generator = generator
        instances = InstanceFaults(context)
        targets = TargetFaults(context)
        self._faults: Mapping[str, _InjectFault] = {
            'kill': instances.kill,
            'stop': instances.stop,
            'freeze': instances.freeze,
            'cut': instances.cut,
            'isolate': instances.isolate,
            'wipe': instances.wipe,
            'target_crash': targets.crash_target,
            'target_cold': targets.reset_target_to_cold,
            'index_version': targets.repartition,
            'crash_request': targets.send_crashing_request,
            'domain_out': targets.take_domain_out,
        }

    def run(self, seconds: float) -> None:
        """Inject faults for a duration; each is healed before the next."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            count = 1 + (self._generator.random() < _CONCURRENT_FAULT_SHARE)
            kinds = self._generator.sample(list(self._faults), count)
            threads = [self._start(kind) for kind in kinds]
            for thread in threads:
                thread.join()
            time.sleep(self._generator.uniform(0, _MAX_PAUSE_S))

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
        self._journal.log_event(f'{kind} begins')
        try:
            self._faults[kind](generator)
        except Exception as error:
            self._journal.findings.append(f'{kind}: {error!r}')
        self._journal.log_event(f'{kind} ends')
