"""Shared helpers of the integration tests of whole tiers."""

from tests.support._answers import (
    check_answers,
    find_answer_errors,
    list_matches,
    sort_ids,
)
from tests.support._configuration_poller import ConfigurationPoller
from tests.support._control import (
    add_domain,
    find_leader,
    is_serving,
    list_members,
    make_change,
    make_tier,
    recover,
    send_change,
    wait_complete,
)
from tests.support._harness import (
    Load,
    run_harness,
)
from tests.support._load import (
    SteadyLoad,
    make_query,
)
from tests.support._ownership import is_owned_by_others
from tests.support._queries import (
    NO_REPLY,
    ask,
)
from tests.support._repair import replace, wipe
from tests.support._search_deployment import (
    LABEL_GROUP,
    PARTITIONS,
)
from tests.support._seeds import (
    choose_seed,
    make_random,
)
from tests.support._stand_ins import (
    check_limits,
    check_no_further_attempts,
    restart_target,
    set_target_behavior,
)
from tests.support._timeouts import (
    PROPAGATION_BOUND_S,
    WAIT_TIMEOUT_S,
)
from tests.support._trace_load import (
    DOMAINS,
    SLOTS,
    TraceLoad,
    make_deployment,
    run_loaded,
)
from tests.support._worker_threads import WorkerThreads

__all__ = (
    'DOMAINS',
    'LABEL_GROUP',
    'NO_REPLY',
    'PARTITIONS',
    'PROPAGATION_BOUND_S',
    'SLOTS',
    'WAIT_TIMEOUT_S',
    'ConfigurationPoller',
    'Load',
    'SteadyLoad',
    'TraceLoad',
    'WorkerThreads',
    'add_domain',
    'ask',
    'check_answers',
    'check_limits',
    'check_no_further_attempts',
    'choose_seed',
    'find_answer_errors',
    'find_leader',
    'is_owned_by_others',
    'is_serving',
    'list_matches',
    'list_members',
    'make_change',
    'make_deployment',
    'make_query',
    'make_random',
    'make_tier',
    'recover',
    'replace',
    'restart_target',
    'run_harness',
    'run_loaded',
    'send_change',
    'set_target_behavior',
    'sort_ids',
    'wait_complete',
    'wipe',
)
