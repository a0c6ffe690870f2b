"""Best-effort sending of messages that may be lost."""

from shallotgate.errors import PeerUnreachableError
from shallotgate.logs import get_logger
from shallotgate.transport import Mailbox

_LOGGER = get_logger('consensus')


def send_or_drop(mailbox: Mailbox, peer: str, message: object) -> None:
    """Send a message; drop it if the peer can't be reached."""
    try:
        mailbox.send(peer, message)
    except PeerUnreachableError:
        _LOGGER.info(
            'Message dropped: peer unreachable or send queue full.',
            extra={'peer': peer},
        )
