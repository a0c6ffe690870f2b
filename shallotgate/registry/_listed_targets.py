"""Check of the entries of the list of targets."""

from collections.abc import Iterable, Iterator, Mapping, Sequence

from shallotgate.generated.messages import ListedTarget
from shallotgate.logs import get_logger

_LOGGER = get_logger('listing')
_MAX_PORT = 65535
# Greatest number of slots and longest warm-up. Beyond them an entry is a
# mistake: it would attract all requests, or none for days.
_MAX_SLOTS = 100_000
_MAX_WARM_UP_MS = 24 * 3600 * 1000
# Longest id, service, domain and address.
_MAX_TEXT_LENGTH = 1024


class ListedTargetFilter:
    """Leaves out entries that name no usable target, and logs each once."""

    def __init__(self) -> None:
        # Faults of the entries left out of the last list, by id.
        self._faults: Mapping[str, str] = {}

    def select(self, targets: Iterable[ListedTarget]) -> list[ListedTarget]:
        """Return the entries without a fault."""
        selected: list[ListedTarget] = []
        faults: dict[str, str] = {}
        for target in targets:
            fault = next(_iter_faults(target), '')
            if fault:
                faults[target.target] = fault
            else:
                selected.append(target)
        for name in faults.keys() - self._faults.keys():
            _LOGGER.warning(
                'List entry left out: %s.',
                faults[name],
                extra={'target': name[:_MAX_TEXT_LENGTH]},
            )
        self._faults = faults
        return selected


def _iter_faults(target: ListedTarget) -> Iterator[str]:
    """Yield what is wrong with an entry.

    >>> target = ListedTarget(
    ...     target='t', service='s', address='10.0.0.1:0', domain='d', slots=0)
    >>> list(_iter_faults(target))
    ['the port must be from 1 to 65535', 'slots must be from 1 to 100000']
    """
    texts = (target.target, target.service, target.domain, target.address)
    yield from _iter_text_faults(texts)
    if len(target.version) > _MAX_TEXT_LENGTH:
        yield f'the version is longer than {_MAX_TEXT_LENGTH} characters'
    host, _, port = target.address.rpartition(':')
    if not host:
        yield 'the address must name host and port'
    if not (port.isdigit() and 0 < int(port) <= _MAX_PORT):
        yield f'the port must be from 1 to {_MAX_PORT}'
    if not 0 < target.slots <= _MAX_SLOTS:
        yield f'slots must be from 1 to {_MAX_SLOTS}'
    if not 0 <= target.warm_up_ms <= _MAX_WARM_UP_MS:
        yield f'the warm-up must be from 0 to {_MAX_WARM_UP_MS} ms'


def _iter_text_faults(texts: Sequence[str]) -> Iterator[str]:
    if not all(texts):
        yield 'id, service, domain and address must not be empty'
    if max(map(len, texts)) > _MAX_TEXT_LENGTH:
        yield f'a text is longer than {_MAX_TEXT_LENGTH} characters'
    # The id is sent in a header, in which a line break would begin another one.
    if not all(text.isascii() and text.isprintable() for text in texts):
        yield 'a text holds other characters than printable ASCII'
