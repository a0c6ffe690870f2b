"""Two lost disks of six leave no configuration, as the group had shrunk."""

import os
import sys
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

# Bounds of htlw-packline-grown, in the units that their names tell.
BOUNDS = {
    'DrainMs': 4000,
    'GraceS': 6,
    'RetryBudgetRatio': 0.2,
    'RetryWindowS': 10,
    'RetrySlack': 158,
}
SYNC_S = 6
RECOVERY_S = 15
CONTACT_S = 5
CONTROLS = 6
HELD, BROKEN, FAILED = 0, 1, 2


def make_version(version):
    route = make_route('one', '/one/', 'p1')
    # Each version has a route of its own.
    probe = make_route(f'v{version}', f'/v{version}/', 'p1')
    return make_document(version, [route, probe], ['p1'])


def run(record, tier, *, has_trouble):
    for name in tier.machines:
        tier.start(name, bootstrap=True)
    if tier.publish(make_version(5), 20) is None:
        return FAILED
    if not tier.wait_served('entry-0', '/one/x', 20):
        return FAILED
    time.sleep(SYNC_S)
    first, second, *_, fourth, fifth, sixth = tier.controls
    if has_trouble:
        # One machine fails; two others fail before it is back.
        tier.kill(sixth)
        time.sleep(4)
        tier.kill(fourth, fifth)
        time.sleep(1)
        tier.start(sixth)
        time.sleep(SYNC_S + 2)
    acknowledged_s = tier.publish(
        make_version(9), 6, [first, second, tier.controls[2], sixth]
    )
    if acknowledged_s is None:
        record.write('version 9 was not acknowledged')
        return FAILED
    if has_trouble:
        # The final fault: all that run lose power, two of them their disks.
        tier.kill(first, second, tier.controls[2], sixth, 'entry-0')
        tier.lose_disk(first)
        tier.lose_disk(second)
        time.sleep(1)
        for name in tier.machines:
            tier.start(name)
    back_at = time.monotonic()
    # For RecoveryS, and as long again as the operator reads at least.
    version = tier.read_version(RECOVERY_S + 2 * CONTACT_S)
    is_served = tier.wait_served('entry-0', '/one/x', 5)
    later_s = tier.publish(make_version(12), 10)
    elapsed_s = time.monotonic() - back_at
    record.write(
        f'{elapsed_s:.1f} s after all are back: version read back {version}, '
        f'requests served {is_served}, next version acknowledged '
        f'{later_s is not None}'
    )
    # Requests and the later version are noted; the rule is about the read.
    return HELD if version == 9 else BROKEN


def main():
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(HERE / 'record.txt')
    platform = Platform(record, ['p1'])
    tier = Deployment(record, platform, CONTROLS, 1, BOUNDS)
    try:
        status = run(record, tier, has_trouble=has_trouble)
    except Exception as error:
        record.write('failed to run:', repr(error))
        status = FAILED
    finally:
        if os.environ.get('KEEP_LOGS'):
            os.system(f'cp {tier.folder}/*.log {os.environ["KEEP_LOGS"]}/')
        tier.stop()
    record.write('exit status', status)
    # Skips the wait for the threads of the stand-ins.
    os._exit(status)


main()
