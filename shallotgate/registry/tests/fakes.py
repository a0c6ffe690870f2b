"""Fake mailbox and log for the services of a control member."""


class FakeMailbox:
    """Delivers messages to a service and records what it sends."""

    def __init__(self):
        self.sent = []
        self.handlers = {}

    def subscribe(self, message_type, handler):
        self.handlers[message_type] = handler

    def handler(self, delivery):
        self.handlers[type(delivery.message)](delivery)

    def send(self, peer, message):
        self.sent.append((peer, message))


class FakeLog:
    """Log with settable leadership."""

    leads = False
    # Unknown, which is given as a time that is not in the past.
    previous_leadership_at = float('inf')

    term = 1

    def is_leading(self):
        return self.leads

    def get_leading_term(self):
        return self.term if self.leads else None

    def on_leadership(self, callback):
        self.notify = callback


class FakeStore:
    """Store that all leaders have in common; saves at once."""

    def __init__(self):
        self.contents = {}
        self.is_failing = False

    def read(self):
        return tuple(self.contents.values())

    def save(self, digest, content, on_saved):
        if self.is_failing:
            on_saved(False)
            return
        self.contents.pop(digest, None)
        if content is not None:
            self.contents[digest] = content
        on_saved(True)
