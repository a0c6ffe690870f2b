"""Best-effort sending of messages that may be lost."""

from shallotgate.errors import PeerUnreachableError
from shallotgate.logs import get_logger
from shallotgate.transport import Mailbox

_LOGGER = get_logger('consensus')


def send_or_drop(mailbox: Mailbox, peer: str, message: object) -> None:
    """Send a message; drop it if the peer is unreachable."""
    try:
        mailbox.send(peer, message)
    except PeerUnreachableError:
        _LOGGER.info(
            'Message dropped because the peer is unreachable.',
            extra={'peer': peer},
        )
