import http.server
import json
import threading
import time

import pytest

from testkit.runner import wait_until
from tests.support import (
    DOMAINS,
    PROPAGATION_BOUND_S,
    SLOTS,
    WAIT_TIMEOUT_S,
    TraceLoad,
    check_no_further_attempts,
    make_deployment,
    run_loaded,
    set_target_behavior,
)

LEAVING = 'trace-0-b'
ENTRIES = len(DOMAINS)


class PlatformStandIn(http.server.ThreadingHTTPServer):
    """Serves the platform's list of live and leaving instances."""

    daemon_threads = True

    def __init__(self):
        super().__init__(('127.0.0.1', 0), ListHandler)
        self.leaving = set()
        self.reads = 0

    @property
    def url(self):
        return f'http://127.0.0.1:{self.server_port}/instances'


class ListHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def do_GET(self):
        """Serve the list."""
        self.server.reads += 1
        instances = [
            {'name': name, 'state': 'leaving'} for name in self.server.leaving
        ]
        body = json.dumps({'instances': instances}).encode()
        self.send_response(200)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        """Log nothing."""


@pytest.fixture
def platform():
    server = PlatformStandIn()
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield server
    server.shutdown()
    server.server_close()


def check_drained(tier, load, since):
    """Check that no attempt reaches the target, not even to be refused."""
    check_no_further_attempts(
        tier, [LEAVING], since, lambda: load.wait_further(300)
    )
    load.stop()
    outcomes = load.count(since)
    assert set(outcomes) == {'complete'}, outcomes


def list_draining(tier):
    """Return entries and targets that they are told to be draining."""
    return [
        (entry, row['target'])
        for entry in tier.instances
        for row in tier.clients.read(entry, '/v1/targets')['targets']
        if row['state']['draining']
    ]


def test_drain_is_learnt_from_replies_alone():
    """Guards against a stale report that overrides a drain in replies."""
    with run_loaded(make_deployment()) as (tier, load):
        set_target_behavior(tier, LEAVING, draining=True, report_lag_ms=10**6)
        check_drained(tier, load, time.monotonic())


def test_drain_is_learnt_from_the_report_alone():
    """Guards against use of an idle target that drains without a reply."""
    with run_loaded(make_deployment()) as (tier, load):
        load.stop()
        set_target_behavior(tier, LEAVING, draining=True, reset=True)
        since = time.monotonic()
        time.sleep(PROPAGATION_BOUND_S)
        again = TraceLoad(tier, seed=load.seed + 1)
        again.start()
        check_drained(tier, again, since)
        assert set_target_behavior(tier, LEAVING)['draining'] == 0


def test_leaving_target_is_learnt_from_the_platform_alone(platform):
    """Guards against attempts at a leaving target that reports no drain."""
    settings = {'platform_url': platform.url}
    with run_loaded(make_deployment(), settings=settings) as (tier, load):
        platform.leaving = {LEAVING}
        since = time.monotonic()
        check_drained(tier, load, since)
        assert platform.reads > 0


def test_report_that_denies_the_drain_is_not_believed():
    """Guards against a false report that overrides replies.

    The product asks the target again when 5 s have passed since a reply, and
    then after twice as long each time, so that an end of the drain is seen.
    """
    with run_loaded(make_deployment()) as (tier, load):
        set_target_behavior(
            tier, LEAVING, draining=True, lie={'draining': False}, reset=True
        )
        since = time.monotonic()
        time.sleep(PROPAGATION_BOUND_S)
        load.wait_further(300)
        seen = set_target_behavior(tier, LEAVING)
        passed_s = time.monotonic() - since
        print(f'{seen["draining"]} attempts refused in {passed_s:.1f} s')
        # Slots in use or queued at the first refusal and at each retry.
        assert seen['ran'] == 0
        assert seen['draining'] <= 2 * (SLOTS + ENTRIES)
        load.stop()
        assert set(load.count(since)) == {'complete'}


def test_report_that_claims_a_drain_is_not_believed():
    """Guards against a false drain report that replies contradict.

    The report is read while the target is idle, and the attempts that follow
    are answered before it takes effect.
    """
    with run_loaded(make_deployment()) as (tier, load):
        load.stop()
        set_target_behavior(tier, LEAVING, lie={'draining': True}, reset=True)
        wait_until(
            lambda: set_target_behavior(tier, LEAVING)['reports'] > 0,
            WAIT_TIMEOUT_S,
            f'a report of {LEAVING} that claims a drain',
        )
        again = TraceLoad(tier, seed=load.seed + 1)
        again.start()
        since = time.monotonic()
        again.wait_further(300)
        assert not list_draining(tier)
        first = set_target_behavior(tier, LEAVING)['ran']
        # Later than the claim would take effect.
        time.sleep(PROPAGATION_BOUND_S)
        again.wait_further(300)
        assert not list_draining(tier)
        assert set_target_behavior(tier, LEAVING)['ran'] > first
        again.stop()
        assert set(again.count(since)) == {'complete'}
