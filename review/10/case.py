"""A rolling restart forgets which request crashes the backends."""

import asyncio
import os
import signal
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

from deployment import (  # noqa: E402
    Deployment,
    Platform,
    Record,
    make_document,
    make_route,
)

# Bounds of htlw-packline, in the units that their names tell.
BOUNDS = {
    'DrainMs': 3000,
    'GraceS': 6,
    'RetryBudgetRatio': 0.2,
    'RetryWindowS': 10,
    'RetrySlack': 52,
}
CONTACT_S = 4
GRACE_S = 6
# Retries of such a request that may reach backends, and the number of crashes
# after which they count, as the rule has them.
MAX_RETRIES = 3
COUNTED_CRASHES = 3
# "The backend is back after some seconds."
DOWN_S = 3
BACKENDS = 6
POISON = '/again/poison'
# Other clients, and the time that their requests take.
CLIENTS = 6
WORK_S = 0.2
# Pause after a refusal or a failure.
RETURN_AFTER_S = 0.2
# Pause between two times at which the client sends the request again.
RETURN_S = 6
HELD, BROKEN, FAILED = 0, 1, 2


class CrashingPlatform(Platform):
    """Backends that crash when they begin to run one request."""

    def __init__(self, *arguments, **options):
        # Times and ids of the arrivals of that request.
        self.arrivals = []
        self._connections = {}
        super().__init__(*arguments, **options)

    async def _serve(self, reader, writer, name, work_s):
        self._connections.setdefault(name, set()).add(writer)
        try:
            await super()._serve(reader, writer, name, work_s)
        finally:
            self._connections[name].discard(writer)

    async def answer(self, writer, head, headers, body, name, work_s):
        """Run one request, or crash of it."""
        if head.split(' ')[1] != POISON:
            await super().answer(writer, head, headers, body, name, work_s)
            return
        request_id = headers.get('request-id')
        self.arrivals.append((time.monotonic(), request_id))
        self.record.write('backend', name, 'crashes of', request_id)
        await self.crash(name)

    async def crash(self, name):
        """Reset all connections of a backend and refuse others for a time."""
        server = self.servers[name]
        address = server.sockets[0].getsockname()[:2]
        server.close()
        for writer in tuple(self._connections.get(name, ())):
            writer.transport.abort()
        loop = asyncio.get_running_loop()
        loop.call_later(
            DOWN_S, lambda: loop.create_task(self.listen(name, address))
        )


def send_poison(tier, number):
    """Send the request once more, at each entry in turn."""
    entry = f'entry-{number % 2}'
    return tier.request(entry, POISON, f'poison{number:03d}')


def send_others(tier, client, stopped, lost):
    """Send requests of others that may run once only; note those lost."""
    number = 0
    while not stopped.is_set():
        request_id = f'c{client}-{number}'
        # Each has a path of its own: content that was in flight at the crashes
        # of other content is refused like that.
        entry = f'entry-{client % 2}'
        status = tier.request(entry, f'/once/{request_id}', request_id)
        if status == 502:
            lost.append(request_id)
        time.sleep(0.02 if status == 200 else RETURN_AFTER_S)
        number += 1


def count_retries(platform):
    """Return the retries that reached backends, as the rule counts them."""
    if len(platform.arrivals) < COUNTED_CRASHES:
        return 0
    counted_from = platform.arrivals[COUNTED_CRASHES - 1][0] + CONTACT_S
    return len({name for at, name in platform.arrivals if at > counted_from})


def restart_in_turn(record, tier):
    """Stop and start all processes, one at a time, as an operator would."""
    for name in (*tier.controls, 'entry-0', 'entry-1'):
        process = tier.processes[name]
        process.send_signal(signal.SIGTERM)
        record.write('SIGTERM to', name)
        process.wait(GRACE_S + 2)
        tier.start(name)
        time.sleep(1)


def run(record, platform, tier, *, has_trouble):
    for name in tier.machines:
        tier.start(name, bootstrap=True)
    routes = [
        make_route('again', '/again/', 'p1'),
        make_route('once', '/once/', 'p1', RouteType='non_idempotent'),
    ]
    if tier.publish(make_document(5, routes, ['p1']), 20) is None:
        return FAILED
    for entry in ('entry-0', 'entry-1'):
        if not tier.wait_served(entry, '/again/x', 20):
            return FAILED
    time.sleep(CONTACT_S)
    # Requests of others whose backend ended while it was at work on them.
    lost = []
    stopped = threading.Event()
    for client in range(CLIENTS):
        threading.Thread(
            target=send_others, args=(tier, client, stopped, lost), daemon=True
        ).start()
    number = 0
    # The first times, until it has crashed three backends.
    while len(platform.arrivals) < COUNTED_CRASHES and number < 10:
        send_poison(tier, number)
        number += 1
        time.sleep(0.5)
    if len(platform.arrivals) < COUNTED_CRASHES:
        return FAILED
    for _ in range(3):
        time.sleep(RETURN_S)
        send_poison(tier, number)
        number += 1
    record.write(f'{count_retries(platform)} retries reached backends')
    if has_trouble:
        restart_in_turn(record, tier)
    # All machines are in touch again.
    time.sleep(CONTACT_S + 1)
    for _ in range(4):
        for _ in range(2):
            send_poison(tier, number)
            number += 1
        time.sleep(RETURN_S)
    stopped.set()
    retries = count_retries(platform)
    record.write(f'{len(lost)} requests of others were lost with backends')
    record.write(
        f'{number} times sent, {retries} retries reached backends later than '
        f'{CONTACT_S} s after the third crash; {MAX_RETRIES} may'
    )
    return BROKEN if retries > MAX_RETRIES else HELD


def main():
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(HERE / 'record.txt')
    platform = CrashingPlatform(record, ['p1'], copies=BACKENDS, work_s=WORK_S)
    tier = Deployment(record, platform, 3, 2, BOUNDS)
    try:
        status = run(record, platform, tier, has_trouble=has_trouble)
    except Exception as error:
        record.write('failed to run:', repr(error))
        status = FAILED
    finally:
        tier.stop()
    record.write('exit status', status)
    # Skips the wait for the threads of the stand-ins.
    os._exit(status)


main()
