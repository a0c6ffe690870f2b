"""A link to the control group that follows a script."""

import threading

from shallotgate.errors import CallTimeoutError
from shallotgate.generated.messages import (
    HeartbeatReply,
    StateUpdate,
    Versions,
)


class NoMailbox:
    """Takes what the session tells a mailbox."""

    instance = 'e1'

    def __init__(self):
        self.learnt = {}

    def learn(self, peer, address):
        self.learnt[peer] = address


class ScriptedLink:
    """Answers by a function of peer and message."""

    def __init__(self, answer, members=('m1', 'm2')):
        self.answer = answer
        self.members = members
        self.position = 0
        self.lock = threading.Lock()
        self.asked = []

    def choose(self):
        return self.members[self.position % len(self.members)]

    def call(self, peer, message, timeout_s):
        self.asked.append((peer, message))
        reply = self.answer(peer, message, timeout_s)
        if isinstance(reply, Exception):
            raise reply
        return reply

    def mark_leader(self, peer):
        self.position = self.members.index(peer)

    def mark_refused(self, peer, leader):
        with self.lock:
            if self.choose() != peer:
                return
            if leader:
                self.position = self.members.index(leader)
            else:
                self.position += 1


def grant(message, versions=None, instances_version=0):
    return HeartbeatReply(
        sequence=message.sequence,
        granted=True,
        lease_ms=4000,
        versions=versions or Versions(),
        instances_version=instances_version,
    )


def refuse(message, leader=''):
    return HeartbeatReply(
        sequence=message.sequence, granted=False, leader=leader
    )


def make_update(catalogue):
    return StateUpdate(
        versions=Versions(catalogue=catalogue),
        term=1,
        catalogue=b'{"version": %d}' % catalogue,
    )


def wait_silently(stopped, timeout_s):
    stopped.wait(timeout_s)
    return CallTimeoutError('silent')
