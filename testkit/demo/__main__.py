"""Runs the demonstration as ``python -m testkit.demo``."""

import signal
import sys
import threading
import time
from collections import Counter

from shallotgate.cli import ExitCode, HttpClient
from shallotgate.cli import main as run_command
from testkit.deployments import make_small_clearing
from testkit.runner import OPERATOR_TOKENS, Tier, wait_until

_QUERY = '{"account": "40117", "day": "2026-12-04"}'
_COMPLETE_TIMEOUT_S = 30
_PAUSE_S = 0.02
_QUERIES_S = 3
_CALLER_KEY = 'example-key-tellers'


class QueryLoop:
    """Sends queries to an entry in a loop and counts the outcomes."""

    def __init__(self, client: HttpClient) -> None:
        self.outcomes: Counter[str] = Counter()
        self._client = client
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the query thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the query in flight."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        number = 0
        while not self._stop.wait(_PAUSE_S):
            number += 1
            request = {
                'group': 'tracedesk',
                'class_name': 'teller',
                'query': {'account': str(number % 50)},
            }
            reply = self._client.call('POST', '/v1/query', request)
            self.outcomes[reply.content['outcome']] += 1


class Demo:
    """Drives a running tier through the command-line client."""

    def __init__(self, tier: Tier) -> None:
        self.failures: list[str] = []
        self._tier = tier
        self._entry = next(iter(tier.instances))
        addresses = tier.layout.addresses[self._entry]
        self._caller = ('--url', addresses.caller, '--token', _CALLER_KEY)
        token = OPERATOR_TOKENS['platform']
        self._operator = ('--url', addresses.operator, '--token', token)

    def run(self) -> None:
        """Run a query, take a failure domain out, and stop gracefully."""
        _print('Starting three instances and their stand-in targets.')
        self._tier.start()
        wait_until(self._is_complete, _COMPLETE_TIMEOUT_S, 'a complete answer')
        self._run_command('query', 'tracedesk', 'teller', _QUERY, *self._caller)
        self._run_command('instances', *self._operator)
        self._cycle_domain()
        self._run_command('catalogue', 'history', *self._operator)
        _print('Stopping gracefully.')
        statuses = self._tier.stop_all()
        _print(f'Exit statuses: {statuses}')
        self.failures.extend(
            f'{name}: exit status {status}'
            for name, status in statuses.items()
            if status
        )
        self.failures.extend(self._tier.list_breaches())

    def _cycle_domain(self) -> None:
        """Take a failure domain out and return it under load."""
        loop = QueryLoop(self._tier.clients.caller(self._entry, 'tellers'))
        loop.start()
        domain = self._tier.deployment.list_domains()[-1]
        for action in ('take-out', 'return'):
            self._run_command('domain', action, domain, *self._operator)
            time.sleep(_QUERIES_S)
        loop.stop()
        _print(f'Answers meanwhile: {dict(loop.outcomes)}')
        if set(loop.outcomes) != {'complete'}:
            self.failures.append('not all answers were complete')

    def _is_complete(self) -> bool:
        request = {'group': 'tracedesk', 'class_name': 'teller', 'query': {}}
        reply = self._tier.clients.caller(self._entry, 'tellers').call(
            'POST',
            '/v1/query',
            request,
        )
        return bool(reply.content.get('outcome') == 'complete')

    def _run_command(self, *arguments: str) -> None:
        """Print and run a command; record a failure unless it exits with 0."""
        _print(f'$ shallotgate {" ".join(arguments)}')
        code = ExitCode(run_command(arguments))
        if code != ExitCode.OK:
            self.failures.append(f'{arguments[0]}: {code.name}')


def main() -> int:
    """Run the demonstration; return 1 if a step failed."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    started = time.monotonic()
    with Tier(make_small_clearing(entries=3)) as tier:
        demo = Demo(tier)
        demo.run()
    _print(f'Done in {time.monotonic() - started:.0f} s.')
    for failure in demo.failures:
        _print(f'Failed: {failure}')
    return int(bool(demo.failures))


def _print(text: str) -> None:
    sys.stdout.write(f'\n{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
