"""In-process tier for tests: fake targets, port and control group."""

import dataclasses
import random
import threading
from types import MappingProxyType

from shallotgate.codec import encode_json
from shallotgate.errors import NoLeaderError
from shallotgate.generated.answers import QueryRequest
from shallotgate.generated.catalogue import (
    Caller,
    Catalogue,
    ClassPolicy,
    Domain,
    Service,
)
from shallotgate.generated.messages import (
    AttemptReply,
    ClaimOnce,
    Done,
    GrantTrial,
    Judgement,
    OnceResult,
    RecordOutcome,
    ReleaseClaim,
    Versions,
)
from shallotgate.generated.settings import Policy
from shallotgate.membership import TierView, View, list_places
from shallotgate.metrics import Metrics
from shallotgate.query import QueryDependencies, QueryService
from shallotgate.routing import (
    IndexMap,
    LatencyTracker,
    ReplicaChooser,
    TargetObservations,
)
from shallotgate.routing.tests.builders import (
    DOMAINS,
    SEED,
    make_ownership,
    make_state,
    make_target,
    make_version,
)

CLASSES = {
    'coverage': {'mode': 'coverage', 'deadline_ms': 2000},
    'latency': {'mode': 'latency', 'deadline_ms': 2000, 'soft_limit_ms': 60},
    'plain': {'mode': 'coverage', 'deadline_ms': 2000, 'screen': False},
    'short': {'mode': 'coverage', 'deadline_ms': 120, 'screen': False},
    'print': {'mode': 'coverage', 'deadline_ms': 2000, 'once_only': True},
}
KEY = '20261204T062622Z-label-0001'


def make_catalogue(shards=3, replicas=3):
    services = {
        f's{number}': Service(
            owner='o',
            group='trace',
            targets=[
                make_target(f's{number}-{DOMAINS[replica]}', DOMAINS[replica])
                for replica in range(replicas)
            ],
        )
        for number in range(shards)
    }
    printers = [make_target(f'p-{domain}', domain) for domain in DOMAINS]
    services['p'] = Service(owner='o', group='print', targets=printers)
    return Catalogue(
        version=1,
        callers={
            'teller': Caller(
                owner='o',
                key_sha256='0' * 64,
                classes=list(CLASSES),
                rate_per_s=1e6,
                concurrent=1000,
            )
        },
        classes={
            name: ClassPolicy(owner='o', **fields)
            for name, fields in CLASSES.items()
        },
        services=services,
        domains={name: Domain(owner='o', region='r') for name in DOMAINS},
    )


class Port:
    """Replies to attempts by per-target behaviours; a full reply by default."""

    def __init__(self):
        self.lock = threading.Lock()
        self.sent = []
        self.cancelled = []
        self.silent = False
        self.behaviours = {}
        # Called after each attempt has been replied to.
        self.after = lambda attempt: None

    def submit(self, owner, attempt, sink):
        with self.lock:
            self.sent.append(attempt)
        behave = self.behaviours.get(attempt.target, reply_ok)
        reply = behave(attempt)
        if isinstance(reply, Delayed):
            timer = threading.Timer(reply.after_s, sink.put, [reply.reply])
            timer.daemon = True
            timer.start()
        elif reply is not None:
            for one in reply if isinstance(reply, list) else [reply]:
                sink.put(one)
        self.after(attempt)

    def cancel(self, owner, attempt):
        self.cancelled.append(attempt.attempt_id)

    def is_silent(self, owner, since):
        return self.silent


@dataclasses.dataclass
class ObservingPort:
    """Port of one entry; applies the target states contained in replies."""

    port: Port
    observations: TargetObservations

    def submit(self, owner, attempt, sink):
        self.port.submit(owner, attempt, ObservingSink(sink, self.observations))

    def cancel(self, owner, attempt):
        self.port.cancel(owner, attempt)

    def is_silent(self, owner, since):
        return self.port.is_silent(owner, since)


@dataclasses.dataclass
class ObservingSink:
    sink: object
    observations: TargetObservations

    def put(self, reply):
        if reply.state is not None:
            self.observations.apply_state(reply.state)
        self.sink.put(reply)


@dataclasses.dataclass
class Delayed:
    after_s: float
    reply: AttemptReply


def make_matches(attempt):
    version = attempt.index_version
    return encode_json(
        [
            {
                'id': f'{attempt.partition}-{number}',
                'score': number,
                'v': version,
            }
            for number in range(3)
        ]
    )


def reply_ok(attempt, **changes):
    fields = {
        'attempt_id': attempt.attempt_id,
        'status': 'ok',
        'index_version': attempt.index_version,
        'partition': attempt.partition,
        'matches': make_matches(attempt),
        **changes,
    }
    return AttemptReply(**fields)


def reply_with(status, reason=''):
    return lambda attempt: AttemptReply(
        attempt_id=attempt.attempt_id, status=status, reason=reason
    )


def reply_late(after_s):
    return lambda attempt: Delayed(after_s, reply_ok(attempt))


def reply_never(attempt):
    return None


class Control:
    """Fake control group; implements the commands that queries propose."""

    def __init__(self, tier_view):
        self.view = tier_view
        self.claims = {}
        self.judgements = {}
        self.commands = []
        self.reachable = True
        # Whether judgements are published to the view.
        self.is_published = True

    def propose(self, command, timeout_s):
        if not self.reachable:
            raise NoLeaderError('no leader')
        self.commands.append(command)
        return getattr(self, f'_do_{type(command).__name__}')(command)

    def suspect(self, digest, target):
        known = self.judgements.get(digest)
        targets = [*(known.targets if known else []), target]
        status = known.status if known else 'suspect'
        if status == 'trial':
            status = 'quarantined'
        self._judge(digest, status, targets)

    def _judge(self, digest, status, targets):
        self.judgements[digest] = Judgement(
            digest=digest, status=status, targets=targets, since=0
        )
        if not self.is_published:
            return
        view = self.view.current()
        versions = dataclasses.replace(
            view.versions, quarantine=view.versions.quarantine + 1
        )
        self.view.replace(
            dataclasses.replace(
                view, quarantine=dict(self.judgements), versions=versions
            )
        )

    def _do_GrantTrial(self, command: GrantTrial):
        known = self.judgements.get(command.digest)
        if known is None:
            return Done(changed=False, reason='not a suspect')
        if known.status != 'suspect':
            return Done(changed=False, reason=f'status is {known.status}')
        self._judge(command.digest, 'trial', known.targets)
        return Done(changed=True)

    def _do_ClaimOnce(self, command: ClaimOnce):
        claim, answer = self.claims.setdefault(
            command.key, (command.claim, None)
        )
        if answer is not None:
            return OnceResult(status='finished', claim=claim, answer=answer)
        status = 'claimed' if claim == command.claim else 'in_progress'
        return OnceResult(status=status, claim=claim)

    def _do_RecordOutcome(self, command: RecordOutcome):
        self.claims[command.key] = (command.claim, command.answer)
        return OnceResult(status='recorded')

    def _do_ReleaseClaim(self, command: ReleaseClaim):
        self.claims.pop(command.key)
        return OnceResult(status='released')


class FixedLease:
    left_s = 4.0

    def remaining_s(self):
        return self.left_s


class Tier:
    """A catalogue with its targets and any number of entries."""

    def __init__(self, shards=3, replicas=3, **policy):
        self.view = TierView()
        self.catalogue = make_catalogue(shards, replicas)
        self.places = list_places(self.catalogue)
        self.port = Port()
        self.control = Control(self.view)
        self.policy = Policy(**policy)
        self.lease = FixedLease()
        self.observations = []
        self.index_maps = []
        self.view.replace(
            View(
                catalogue=self.catalogue,
                ownership={name: make_ownership(name) for name in self.places},
                quarantine=MappingProxyType({}),
                instances={},
                versions=Versions(catalogue=1, ownership=1),
                places=self.places,
            )
        )
        self.entry = self.add_entry()

    def add_entry(self):
        observations = TargetObservations()
        index_map = IndexMap()
        self.observations.append(observations)
        self.index_maps.append(index_map)
        chooser = ReplicaChooser(
            observations,
            index_map,
            self.view,
            'e1',
            'x',
            rng=random.Random(SEED),
        )
        deps = QueryDependencies(
            view=self.view,
            lease=self.lease,
            port=ObservingPort(self.port, observations),
            commands=self.control,
            chooser=chooser,
            latency=LatencyTracker(),
            metrics=Metrics(),
            policy=self.policy,
            domain='x',
            start_id=f'entry{len(self.observations)}',
        )
        self.deps = deps
        for number in range(self._shards()):
            for target in self.catalogue.services[f's{number}'].targets:
                self.report(
                    target.name,
                    versions=[make_version(1, self._shards(), [number])],
                )
        for target in self.catalogue.services['p'].targets:
            self.report(target.name)
        return QueryService(deps)

    def report(self, target, versions=None, **changes):
        """Apply an owner's report of a target on all entries."""
        for observations, index_map in zip(
            self.observations, self.index_maps, strict=True
        ):
            known = observations.record_for(target).state
            state = known or make_state(target)
            if versions is not None:
                changes['versions'] = versions
            state = dataclasses.replace(state, **changes)
            observations.apply_state(state)
            group = self.places[target].service.group
            index_map.update_target(group, target, state.versions)

    def report_all(self, versions_of):
        """Report the versions of each target of the group ``trace``."""
        for name, place in self.places.items():
            if place.service.group == 'trace':
                self.report(name, versions=versions_of(int(name[1])))

    def ask(self, entry=None, **fields):
        request = {
            'group': 'trace',
            'class_name': 'plain',
            'query': {'seed': SEED},
            **fields,
        }
        return (entry or self.entry).answer(QueryRequest(**request), 'teller')

    def count(self, name, **labels):
        return self.deps.metrics.get_counter(name, **labels)

    def _shards(self):
        return len(self.catalogue.services) - 1


def name_replicas(shard):
    return [f's{shard}-{domain}' for domain in 'xyz']
