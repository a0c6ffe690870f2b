"""Messages whose loss does no harm."""

from shallotgate.errors import PeerUnreachableError
from shallotgate.logs import get_logger
from shallotgate.transport import Mailbox

_LOGGER = get_logger('consensus')


def send_or_drop(mailbox: Mailbox, peer: str, message: object) -> None:
    """Send a message; one that can't be sent is dropped."""
    try:
        mailbox.send(peer, message)
    except PeerUnreachableError:
        _LOGGER.info('Not sent.', extra={'peer': peer})
