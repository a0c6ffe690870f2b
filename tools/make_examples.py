"""Write the files under ``examples`` from the deployments of the test kit.

``--check`` writes nothing and fails if the committed files differ.
"""

import filecmp
import sys
import tempfile
from pathlib import Path
from typing import Any

from testkit.deployments import CLEARING, PACKHOUSE
from testkit.runner import (
    Addresses,
    Deployment,
    dump_yaml,
    make_catalogue_edits,
    write_keys,
    write_settings,
)

EXAMPLES = Path(__file__).resolve().parent.parent / 'examples'
DEPLOYMENTS = (('clearing', CLEARING, 18000), ('packhouse', PACKHOUSE, 19000))
PEER_PORTS = 100
CALLER_PORTS = 200
OPERATOR_PORTS = 300
TARGET_PORTS = 400


def main() -> int:
    """Write all examples, or compare them with ``--check``."""
    stale = []
    for name, deployment, port in DEPLOYMENTS:
        committed = EXAMPLES / name
        if '--check' not in sys.argv:
            committed.mkdir(parents=True, exist_ok=True)
            write_example(committed, deployment, port)
            continue
        with tempfile.TemporaryDirectory() as folder:
            write_example(Path(folder), deployment, port)
            stale.extend(list_differing(Path(folder), committed))
    for path in stale:
        sys.stderr.write(f'{path} differs: run tools/make_examples.py\n')
    return int(bool(stale))


def write_example(folder: Path, deployment: Deployment, port: int) -> None:
    """Write the files of one deployment; ports count from ``port``."""
    addresses = {
        instance.name: Addresses(
            make_address(port + PEER_PORTS + number),
            make_address(port + CALLER_PORTS + number),
            make_address(port + OPERATOR_PORTS + number),
        )
        for number, instance in enumerate(deployment.instances, 1)
    }
    targets = {
        target.name: make_address(port + TARGET_PORTS + number)
        for number, (_, target) in enumerate(deployment.list_targets(), 1)
    }
    groups = sorted({service.owner for service in deployment.services})
    write_settings(folder, deployment, addresses)
    write_keys(folder, groups)
    dump_yaml(
        folder / 'catalogue.yaml',
        {
            'reason': 'install the deployment',
            'edits': make_catalogue_edits(deployment, targets),
        },
    )
    dump_yaml(folder / 'deployment.yaml', describe(deployment))


def describe(deployment: Deployment) -> dict[str, Any]:
    """Return what neither catalogue nor settings tell."""
    return {
        'region': deployment.region,
        'failure_domains': deployment.list_domains(),
        'one_way_latency_ms': {
            'between_failure_domains': deployment.cross_domain_latency_ms,
            'to_callers': deployment.caller_latency_ms,
        },
        'caller_keys': {
            caller.name: caller.key for caller in deployment.callers
        },
        'shards': {
            service.name: {
                'partitions': service.partitions,
                'held': list(service.held),
            }
            for service in deployment.services
        },
    }


def make_address(port: int) -> str:
    """Return a loopback address."""
    return f'127.0.0.1:{port}'


def list_differing(fresh: Path, committed: Path) -> list[Path]:
    """Return committed files that differ from the fresh ones."""
    comparison = filecmp.dircmp(fresh, committed, ignore=['data'])
    names = [*comparison.left_only, *comparison.right_only]
    names += [
        name
        for name in comparison.common_files
        if not filecmp.cmp(fresh / name, committed / name, shallow=False)
    ]
    return [committed / name for name in names]


if __name__ == '__main__':
    sys.exit(main())
