"""Runs a deployment as real processes and injects faults into them."""

from testkit.runner._clients import Clients
from testkit.runner._plan import (
    CallerPlan,
    Deployment,
    InstancePlan,
    ServicePlan,
    TargetPlan,
    make_catalogue_edits,
)
from testkit.runner._process import ManagedProcess, choose_address
from testkit.runner._settings import (
    OPERATOR_TOKENS,
    Addresses,
    dump_yaml,
    make_settings,
    write_keys,
    write_settings,
)
from testkit.runner._tier import Tier
from testkit.runner._waiting import WaitTimeoutError, wait_until

__all__ = (
    'OPERATOR_TOKENS',
    'Addresses',
    'CallerPlan',
    'Clients',
    'Deployment',
    'InstancePlan',
    'ManagedProcess',
    'ServicePlan',
    'TargetPlan',
    'Tier',
    'WaitTimeoutError',
    'choose_address',
    'dump_yaml',
    'make_catalogue_edits',
    'make_settings',
    'wait_until',
    'write_keys',
    'write_settings',
)
