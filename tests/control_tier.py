"""Parts that the tests of the control group share."""

import itertools
import os
import random
import subprocess
import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from shallotgate.cli import (
    ServerUnreachableError,
    UnknownOutcomeError,
    make_dated_id,
)
from testkit.deployments import make_small_clearing
from testkit.runner import OPERATOR_TOKENS, Tier, wait_until

ROOT = Path(__file__).resolve().parent.parent
# Bound of G10.
IN_FORCE_S = 5
# Limits of waits that have no stated bound; a busy machine may be slow.
LIMIT_S = 60
POLL_S = 0.05
NO_REPLY = (ServerUnreachableError, UnknownOutcomeError)


def choose_seed():
    """Return the seed of a test and print it."""
    seed = int(os.environ.get('TEST_SEED') or random.randrange(10**6))
    print(f'TEST_SEED={seed}')
    return seed


def make_tier(seed, **settings):
    """Return four entries, three of them control members, behind proxies."""
    return Tier(
        make_small_clearing(entries=4, tracedesk=2, stopline=1),
        proxied=True,
        settings={'abort_on_breach': True, 'seed': seed} | settings,
    )


def list_members(tier):
    """Return the names of the control members."""
    return [plan.name for plan in tier.deployment.instances if plan.control]


def find_leader(tier, *names):
    """Wait until the named instances agree on a leader and return it."""
    names = names or tuple(tier.list_running())

    def is_agreed():
        pages = [tier.clients.read(name, '/v1/status') for name in names]
        found.clear()
        found.update(page['leader'] if page else None for page in pages)
        return len(found) == 1 and None not in found

    found = set()
    wait_until(is_agreed, LIMIT_S, 'a leader')
    return found.pop()


def recover(tier):
    """Undo the faults of a test and wait until the tier is whole."""
    tier.proxy.heal()
    for process in tier.instances.values():
        if process.is_running():
            process.wake()
        else:
            process.start()
    tier.wait_ready(*tier.instances)
    find_leader(tier)
    versions = [tier.clients.read_version(name) for name in tier.instances]
    tier.clients.wait_version(max(versions), tier.instances, LIMIT_S)


def wipe(tier, name):
    """Kill a member, remove its data and start it again."""
    tier.instances[name].kill()
    tier.wipe(name)
    tier.instances[name].start()


def replace(tier, name, through):
    """Run ``shallotgate control replace`` until it succeeds."""
    address = tier.layout.addresses[through].operator
    command = [sys.executable, '-m', 'shallotgate.cli', 'control', 'replace']
    environment = {
        'SHALLOTGATE_URL': f'http://{address}',
        'SHALLOTGATE_TOKEN': OPERATOR_TOKENS['admin'],
        'PYTHONPATH': str(ROOT),
    }

    def is_replaced():
        done = subprocess.run(
            [*command, name],
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            check=False,
        )
        print(done.returncode, done.stdout, done.stderr)
        return done.returncode == 0

    wait_until(is_replaced, LIMIT_S, f'{name} replaced')


def make_change(base, name, owner='admin', reason='test'):
    """Return a change that adds one failure domain."""
    spec = {'owner': owner, 'region': 'spare'}
    edit = {'op': 'put', 'kind': 'domains', 'name': name, 'spec': spec}
    return {
        'change_id': make_dated_id(),
        'base_version': base,
        'edits': [edit],
        'reason': reason,
    }


def send_change(tier, instance, change, operator='admin'):
    """Send a change until it has a verdict and return the reply."""
    replies = []

    def has_verdict():
        try:
            reply = tier.clients.operator(instance, operator).call(
                'POST',
                '/v1/catalogue',
                change,
            )
        except NO_REPLY:
            return False
        replies.append(reply)
        return reply.status not in {503, 504}

    wait_until(has_verdict, LIMIT_S, 'a verdict')
    return replies[-1]


def add_domain(tier, instance, name):
    """Add a failure domain and return the accepted version."""
    base = tier.clients.read_version(instance)
    reply = send_change(tier, instance, make_change(base, name))
    assert reply.status == 200, reply
    return reply.content['version']


@dataclass(frozen=True)
class Sample:
    """What one instance told at one moment."""

    instance: str
    # Monotonic time before the first question was sent.
    asked_at: float
    # Whether the caller address was ready.
    ready: bool
    version: int


class Watch:
    """Polls each instance on a thread of its own.

    Readiness is asked before the version, so an instance that was ready and
    then tells an old version was ready with an older version or the same.
    """

    def __init__(self, tier):
        self._tier = tier
        self._ended = threading.Event()
        self.samples = []
        self._threads = [
            threading.Thread(target=self._poll, args=(name,), daemon=True)
            for name in tier.instances
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._ended.set()
        for thread in self._threads:
            thread.join(LIMIT_S)

    def _poll(self, name):
        while not self._ended.wait(POLL_S):
            asked_at = time.monotonic()
            ready = is_serving(self._tier, name)
            version = self._tier.clients.read_version(name)
            if version >= 0:
                sample = Sample(name, asked_at, ready, version)
                self.samples.append(sample)

    def list_faults(self, version, accepted_at):
        """Return each sample that breaks G10 for an accepted version."""
        late = [
            sample
            for sample in self.samples
            if sample.ready
            and sample.version < version
            and sample.asked_at > accepted_at + IN_FORCE_S
        ]
        return late + list(self._list_reverts())

    def _list_reverts(self):
        highest = Counter()
        for sample in self.samples:
            # A process that has just started has no catalogue yet.
            if 0 < sample.version < highest[sample.instance]:
                yield sample
            highest[sample.instance] = max(
                highest[sample.instance],
                sample.version,
            )


def is_serving(tier, instance):
    """Return whether the caller address of an instance is ready."""
    try:
        reply = tier.clients.caller(instance, 'tellers').call('GET', '/readyz')
    except NO_REPLY:
        return False
    return reply.status == 200


def query(tier, instance, item, timeout_s=30):
    """Send a query; return the answer, None without one."""
    request = {
        'group': 'tracedesk',
        'class_name': 'teller',
        'query': {'item': item},
        'limit': 1000,
    }
    try:
        reply = tier.clients.caller(instance, 'tellers').call(
            'POST',
            '/v1/query',
            request,
            timeout_s,
        )
    except NO_REPLY:
        return None
    return reply.content


def wait_complete(tier):
    """Wait until each entry is ready for callers and answers in full."""
    for name in tier.list_running():
        wait_until(
            lambda name=name: is_serving(tier, name),
            LIMIT_S,
            f'{name} ready for callers',
        )
        wait_until(
            lambda name=name: (
                (query(tier, name, 0) or {}).get('outcome') == 'complete'
            ),
            LIMIT_S,
            f'complete answer of {name}',
        )


class SteadyLoad:
    """Sends queries to the entries of a rotation until the end."""

    def __init__(self, tier, seed, rotation, workers=4):
        self._tier = tier
        self._rotation = rotation
        self._ended = threading.Event()
        # Entry, monotonic time of sending, outcome and reason.
        self.answers = []
        self._threads = [
            threading.Thread(
                target=self._work,
                args=(random.Random(f'{seed}-{number}'),),
                daemon=True,
            )
            for number in range(workers)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._ended.set()
        for thread in self._threads:
            thread.join(LIMIT_S)

    def count(self):
        """Return the number of answers by outcome."""
        return Counter(outcome for *_, outcome, _ in self.answers)

    def list_bad(self, *outcomes):
        """Return the answers with one of the outcomes."""
        return [entry for entry in self.answers if entry[2] in outcomes]

    def wait_more(self, count):
        """Wait until so many further answers came."""
        wanted = len(self.answers) + count
        wait_until(
            lambda: len(self.answers) >= wanted,
            LIMIT_S,
            f'{count} further answers',
        )

    def _work(self, generator):
        turns = itertools.count()
        while not self._ended.wait(generator.uniform(0.01, 0.06)):
            entries = self._rotation()
            if not entries:
                self.answers.append(('', time.monotonic(), 'no_entry', ''))
                continue
            entry = entries[next(turns) % len(entries)]
            sent_at = time.monotonic()
            answer = query(self._tier, entry, generator.randrange(100))
            found = answer or {'outcome': 'cut'}
            self.answers.append(
                (entry, sent_at, found['outcome'], found.get('reason', '')),
            )
