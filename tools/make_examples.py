"""Generate the files in ``examples`` from the deployments of the test kit.

``--check`` writes nothing and fails if the committed files are out of date.
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
PEER_PORT_OFFSET = 100
CALLER_PORT_OFFSET = 200
OPERATOR_PORT_OFFSET = 300
TARGET_PORT_OFFSET = 400


def main() -> int:
    """Write all examples, or with ``--check`` compare the committed ones."""
    stale = []
    for name, deployment, base_port in DEPLOYMENTS:
        committed = EXAMPLES / name
        if '--check' not in sys.argv:
            committed.mkdir(parents=True, exist_ok=True)
            write_example(committed, deployment, base_port)
            continue
        with tempfile.TemporaryDirectory() as directory:
            write_example(Path(directory), deployment, base_port)
            stale.extend(list_stale_files(Path(directory), committed))
    for path in stale:
        sys.stderr.write(f'{path} differs: run tools/make_examples.py\n')
    return int(bool(stale))


def write_example(
    directory: Path, deployment: Deployment, base_port: int
) -> None:
    """Write the files of one deployment; ports count from ``base_port``."""
    addresses = {
        instance.name: Addresses(
            make_address(base_port + PEER_PORT_OFFSET + number),
            make_address(base_port + CALLER_PORT_OFFSET + number),
            make_address(base_port + OPERATOR_PORT_OFFSET + number),
        )
        for number, instance in enumerate(deployment.instances, 1)
    }
    targets = {
        target.name: make_address(base_port + TARGET_PORT_OFFSET + number)
        for number, (_, target) in enumerate(deployment.list_targets(), 1)
    }
    groups = sorted({service.owner for service in deployment.services})
    write_settings(directory, deployment, addresses)
    write_keys(directory, groups)
    dump_yaml(
        directory / 'catalogue.yaml',
        {
            'reason': 'install the deployment',
            'edits': make_catalogue_edits(deployment, targets),
        },
    )
    dump_yaml(directory / 'deployment.yaml', describe_deployment(deployment))


def describe_deployment(deployment: Deployment) -> dict[str, Any]:
    """Return the properties that neither catalogue nor settings contain."""
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


def list_stale_files(generated: Path, committed: Path) -> list[Path]:
    """Return the committed files that differ from the generated ones."""
    comparison = filecmp.dircmp(generated, committed, ignore=['data'])
    names = [*comparison.left_only, *comparison.right_only]
    names += [
        name
        for name in comparison.common_files
        if not filecmp.cmp(generated / name, committed / name, shallow=False)
    ]
    return [committed / name for name in names]


if __name__ == '__main__':
    sys.exit(main())
