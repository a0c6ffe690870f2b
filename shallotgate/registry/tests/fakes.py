"""Mailbox and log of a control member, for parts that answer entries."""


class FakeMailbox:
    """Hands messages to a part and keeps what it sends."""

    def __init__(self):
        self.sent = []

    def subscribe(self, message_type, handler):
        self.handler = handler

    def send(self, peer, message):
        self.sent.append((peer, message))


class FakeLog:
    """Log of a member that leads, or does not."""

    leads = False

    def is_leading(self):
        return self.leads

    def on_leadership(self, callback):
        self.notify = callback
