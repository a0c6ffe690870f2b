"""CPU time in which an owner follows one new view, by targets in the view.

``python -m testkit.follow_cost`` calls the walk that ``OwnedTargets`` makes at
each new view. The owner has a fixed share of the targets; no connections are
opened.
"""

import sys
import time
from types import MappingProxyType

import defopt

from shallotgate.generated.catalogue import Catalogue, Service, Target
from shallotgate.generated.messages import Ownership, Versions
from shallotgate.membership import View, list_places
from shallotgate.targets import list_assignments

_MS_PER_S = 1000
_OWNERS = 3100
_SERVICE_TARGETS = 3


def _make_view(targets: int) -> View:
    names = [f't-{number}' for number in range(targets)]
    services = {
        f's-{first}': Service(
            owner='o',
            group='g',
            targets=[
                Target(
                    name=name,
                    address='h:1',
                    domain='d',
                    slots=3,
                    connections=30,
                )
                for name in names[first : first + _SERVICE_TARGETS]
            ],
        )
        for first in range(0, targets, _SERVICE_TARGETS)
    }
    catalogue = Catalogue(version=1, services=services)
    ownership = {
        name: Ownership(
            target=name,
            instance=f'i-{number % _OWNERS}',
            start_id='1',
            epoch=1,
            state='held',
        )
        for number, name in enumerate(names)
    }
    return View(
        catalogue=catalogue,
        ownership=MappingProxyType(ownership),
        quarantine=MappingProxyType({}),
        instances=MappingProxyType({}),
        versions=Versions(),
        places=list_places(catalogue),
    )


def main(*, targets: int = 120_000, rounds: int = 9) -> None:
    """Measure and print the cost.

    :param targets: Targets in the view.
    :param rounds: Walks; the least and the median are printed.
    """
    view = _make_view(targets)
    spent = []
    for _ in range(rounds):
        started = time.thread_time()
        wanted = list_assignments(view, ('i-0', '1'))
        spent.append((time.thread_time() - started) * _MS_PER_S)
    spent.sort()
    sys.stdout.write(
        f'{targets} targets, {len(wanted)} owned: least {spent[0]:.1f} ms, '
        f'median {spent[len(spent) // 2]:.1f} ms of CPU time a walk\n',
    )


if __name__ == '__main__':
    defopt.run(main)
