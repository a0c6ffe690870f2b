"""One run of a scenario."""

import os
import re
import time
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass
from functools import partial
from pathlib import Path
from typing import Any

import urllib3

from testkit.bench._actions import run_events
from testkit.bench._deployment import GROUP, make_deployment, read_capacity
from testkit.bench._load import LoadGenerator
from testkit.bench._report import PhaseFigures, summarize
from testkit.bench._sample import MS_PER_S, Sample
from testkit.bench._scenario import Scenario
from testkit.bench._target_watch import TargetsReading, TargetWatch
from testkit.runner import OPERATOR_TOKENS, InstancePlan, Tier, wait_until

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12
_SNAPSHOT_LIMIT_S = 60
_HEARTBEAT_P99 = re.compile(r'heartbeat_ms\{quantile="0\.99"\} (\S+)')


@dataclass(frozen=True)
class RunResult:
    """Samples and figures of a run."""

    # Warm-up included.
    samples: Sequence[Sample]
    figures: Sequence[PhaseFigures]
    # CPU time of all instances for each attempt, in milliseconds; counts
    # queries, heartbeats and everything else that they do.
    cpu_ms_per_attempt: float
    # Longest 99th percentile of a heartbeat's time among the instances.
    heartbeat_p99_ms: float
    # Cold targets and total limit over time, warm-up included.
    targets: Sequence[TargetsReading]
    breaches: Sequence[str]


def run_scenario(
    scenario: Scenario,
    policy: Mapping[str, Any],
    seed: int,
) -> RunResult:
    """Start a deployment, offer the load and return what was measured."""
    deployment = make_deployment(scenario, {'policy': dict(policy)})
    with Tier(deployment) as tier:
        tier.start()
        _wait_complete(tier)
        before_s = _read_cpu_s(tier)
        load = LoadGenerator(
            scenario,
            read_capacity(scenario) * scenario.load,
            seed,
            lambda: _list_entries(tier),
            deployment.callers[0].key,
        )
        load.start()
        events = run_events(tier, scenario, load.read_elapsed_s)
        watch = TargetWatch(tier, load.read_elapsed_s)
        with watch:
            samples = load.wait()
        cpu_s = _read_cpu_s(tier) - before_s
        events.join()
        attempts = sum(sample.attempts for sample in samples) or 1
        return RunResult(
            samples=samples,
            figures=summarize(scenario, samples),
            cpu_ms_per_attempt=round(cpu_s * MS_PER_S / attempts, 3),
            heartbeat_p99_ms=_read_heartbeat_ms(tier),
            targets=watch.readings,
            breaches=tier.list_breaches(),
        )


def make_content(
    scenario: Scenario,
    policy: Mapping[str, Any],
    seed: int,
    result: RunResult,
) -> dict[str, object]:
    """Return what is written to the results file."""
    return {
        'scenario': asdict(scenario),
        'policy': dict(policy),
        'seed': seed,
        'time': time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime()),
        'cpu_ms_per_attempt': result.cpu_ms_per_attempt,
        'heartbeat_p99_ms': result.heartbeat_p99_ms,
        'figures': [asdict(row) for row in result.figures],
        'targets': [asdict(row) for row in result.targets],
        'breaches': list(result.breaches),
    }


def _wait_complete(tier: Tier) -> None:
    """Wait until every entry answers a query completely."""
    for plan in _list_entry_plans(tier):
        wait_until(
            partial(_is_complete, tier, plan.name),
            _SNAPSHOT_LIMIT_S,
            f'{plan.name} complete',
        )


def _is_complete(tier: Tier, instance: str) -> bool:
    client = tier.clients.caller(instance, tier.deployment.callers[0].name)
    request = {'group': GROUP, 'class_name': 'teller', 'query': {}}
    answer = client.call('POST', '/v1/query', request).content
    return bool(answer.get('outcome') == 'complete')


def _list_entry_plans(tier: Tier) -> list[InstancePlan]:
    return [plan for plan in tier.deployment.instances if plan.entry]


def _list_entries(tier: Tier) -> list[str]:
    running = set(tier.list_running())
    return [
        tier.layout.addresses[plan.name].caller
        for plan in _list_entry_plans(tier)
        if plan.name in running
    ]


def _read_heartbeat_ms(tier: Tier) -> float:
    longest: float = 0
    for name in tier.list_running():
        address = tier.layout.addresses[name].operator
        page = urllib3.request(
            'GET',
            f'http://{address}/metrics',
            headers={'Authorization': f'Bearer {OPERATOR_TOKENS["admin"]}'},
        )
        found = _HEARTBEAT_P99.search(page.data.decode())
        if found:
            longest = max(longest, float(found[1]))
    return longest


def _read_cpu_s(tier: Tier) -> float:
    total: float = 0
    for name in tier.list_running():
        path = Path(f'/proc/{tier.instances[name].pid}/stat')
        fields = path.read_text().rpartition(')')[2].split()
        ticks = int(fields[_USER_TICKS_FIELD]) + int(
            fields[_SYSTEM_TICKS_FIELD],
        )
        total += ticks / _TICKS_PER_S
    return total
