"""What the tests of whole tiers share."""

from tests.support._answers import (
    check_answers,
    find_faults,
    list_matches,
    sort_ids,
)
from tests.support._asking import (
    NO_REPLY,
    ask,
)
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
from tests.support._limits import (
    BOUND_S,
    LIMIT_S,
)
from tests.support._load import (
    SteadyLoad,
    make_query,
)
from tests.support._owners import is_owned_by_others
from tests.support._repair import replace, wipe
from tests.support._scene import (
    Load,
    run_scene,
)
from tests.support._search import (
    LABELS,
    PARTITIONS,
)
from tests.support._seeds import (
    choose_seed,
    make_random,
)
from tests.support._standins import (
    change_target,
    check_limits,
    restart_target,
    wait_still,
)
from tests.support._traced import (
    DOMAINS,
    SLOTS,
    TraceLoad,
    make_deployment,
    run_loaded,
)
from tests.support._watch import Watch
from tests.support._workers import Workers

__all__ = (
    'BOUND_S',
    'DOMAINS',
    'LABELS',
    'LIMIT_S',
    'NO_REPLY',
    'PARTITIONS',
    'SLOTS',
    'Load',
    'SteadyLoad',
    'TraceLoad',
    'Watch',
    'Workers',
    'add_domain',
    'ask',
    'change_target',
    'check_answers',
    'check_limits',
    'choose_seed',
    'find_faults',
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
    'run_loaded',
    'run_scene',
    'send_change',
    'sort_ids',
    'wait_complete',
    'wait_still',
    'wipe',
)
