"""Replies to entries that follow this member."""

import time
from dataclasses import replace

from shallotgate.generated.messages import TierUpdate
from shallotgate.logs import get_logger
from shallotgate.registry._update_tracker import UpdateTracker
from shallotgate.transport import Delivery, Mailbox

_LOGGER = get_logger('followers')


class UpdateSender:
    """Sends updates to entries, without what cannot be sent.

    List, conditions and limits come from others. An error in them must not
    keep a table or a change of the domains from the entries.
    """

    def __init__(self, mailbox: Mailbox, tracker: UpdateTracker) -> None:
        self._mailbox = mailbox
        self._tracker = tracker
        # Text of the last error.
        self._error = ''

    def send(
        self, delivery: Delivery, update: TierUpdate, *, is_overdue: bool
    ) -> bool:
        """Reply with an update; return whether one was sent.

        Without what cannot be sent, there may be nothing left to say; then a
        reply is sent only if it ``is_overdue``, because the entry asks again
        at once.
        """
        if self._try_send(delivery, update):
            return True
        rest = replace(update, listing=None, conditions=None, limits=None)
        if not (rest.table or rest.domains or rest.versions or is_overdue):
            return False
        return self._try_send(delivery, rest)

    def _try_send(self, delivery: Delivery, update: TierUpdate) -> bool:
        try:
            self._mailbox.reply(delivery, update)
        except Exception as error:
            # Logged once, because all entries get the same list.
            if str(error) != self._error:
                _LOGGER.exception('Update of an entry cannot be sent whole.')
            self._error = str(error)
            return False
        if update.table is not None:
            self._tracker.record_sent(
                delivery.sender, update.table.version, time.monotonic()
            )
        return True
