"""``python -m testkit.bench``: run scenarios and print their figures."""

import sys
from collections.abc import Mapping, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

import defopt
from ruamel.yaml import YAML

from testkit.bench._report import format_table, write_results
from testkit.bench._run import make_content, run_scenario
from testkit.bench._scenario import Scenario, list_scenarios, load_scenario
from testkit.bench._target_watch import format_readings

DEFAULT_FOLDER = Path('out')


def parse_pairs(pairs: Sequence[str]) -> dict[str, Any]:
    """Parse NAME=VALUE pairs, values as in YAML.

    >>> parse_pairs(['hedging=false', 'limits=split'])
    {'hedging': False, 'limits': 'split'}
    """
    yaml = YAML(typ='safe')
    parsed = {}
    for pair in pairs:
        name, _, text = pair.partition('=')
        parsed[name] = yaml.load(text)
    return parsed


def main(
    *scenarios: str,
    policy: Sequence[str] = (),
    change: Sequence[str] = (),
    label: str = '',
    seed: int = 1,
    out: Path = DEFAULT_FOLDER,
) -> None:
    """Run scenarios one after the other.

    :param scenarios: Names of scenario files; none runs all.
    :param policy: Settings of the policy as NAME=VALUE, for baselines.
    :param change: Fields of the scenario to change as NAME=VALUE.
    :param label: Added to the names of the results.
    :param seed: Seed of the load.
    :param out: Folder for the results.
    """
    for name in scenarios or list_scenarios():
        scenario = replace(load_scenario(name), **parse_pairs(change))
        _run(scenario, parse_pairs(policy), label, seed, out)


def _run(
    scenario: Scenario,
    policy: Mapping[str, Any],
    label: str,
    seed: int,
    out: Path,
) -> None:
    result = run_scenario(scenario, policy, seed)
    content = make_content(scenario, policy, seed, result)
    name = '-'.join(filter(None, (scenario.name, label)))
    write_results(out, name, content, result.samples)
    sys.stdout.write(
        f'\n{name}: {scenario.purpose}\n'
        f'policy {dict(policy)}, seed {seed}, load {scenario.load}, '
        f'{result.cpu_ms_per_attempt} ms CPU per attempt, '
        f'heartbeat p99 {result.heartbeat_p99_ms} ms, '
        f'{len(result.breaches)} breaches\n'
        f'{format_table(result.figures)}\n'
        f'{format_readings(result.targets)}\n',
    )


if __name__ == '__main__':
    defopt.run(main)
