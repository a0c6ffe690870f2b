"""In-process consensus cluster with partitions and restarts."""

import contextlib
import queue
import random
import shutil
import socket
import time
from collections.abc import Callable
from pathlib import Path

from shallotgate.consensus import ConsensusOptions, ReplicatedLog
from shallotgate.generated.messages import Vote, VoteReply
from shallotgate.generated.settings import Member
from shallotgate.timers import TimerService
from shallotgate.transport import Delivery, Mailbox
from shallotgate.transport._envelope import EncodedMessage

PORT_CHOOSER = random.SystemRandom()


def wait_for(condition: Callable[[], object], timeout_s: float = 10) -> object:
    """Return the first true value of a condition; fail on timeout."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        assert time.monotonic() < deadline, 'the condition was not met'
        time.sleep(0.01)


def free_address() -> str:
    """Return an address with a free port below the ephemeral range.

    A port of the ephemeral range may be taken by an outgoing connection while
    its member is stopped, and a peer that dials it may connect to itself.
    """
    while True:
        port = PORT_CHOOSER.randrange(20_000, 32_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(('127.0.0.1', port))
            return f'127.0.0.1:{port}'


class PartitionedMailbox(Mailbox):
    """Silently drops messages between partitioned peers."""

    dropped_links: set[tuple[str, str]]

    def _send_encoded(self, peer: str, encoded: EncodedMessage) -> None:
        if (self.instance, peer) not in self.dropped_links:
            super()._send_encoded(peer, encoded)


class ListMachine:
    """State machine that appends each command to a list."""

    def __init__(self) -> None:
        self.items: list[bytes] = []

    def apply(self, index: int, command: bytes) -> object:
        self.items.append(command)
        return len(self.items)

    def snapshot(self) -> bytes:
        return b'\n'.join(self.items)

    def restore(self, snapshot: bytes) -> None:
        self.items = snapshot.split(b'\n') if snapshot else []


class Node:
    """A running member of the cluster."""

    def __init__(self, cluster: 'Cluster', name: str, bootstrap: bool) -> None:
        self.name = name
        self.machine = ListMachine()
        self.timers = TimerService()
        self.mailbox = PartitionedMailbox(
            name, f'{name}-{time.monotonic_ns()}', cluster.addresses[name]
        )
        self.mailbox.dropped_links = cluster.dropped_links
        for other, address in cluster.addresses.items():
            self.mailbox.set_address(other, address)
        self.log = ReplicatedLog(
            self.mailbox,
            self.timers,
            self.machine,
            cluster.folder / name,
            name,
            [
                Member(instance=each, address=address)
                for each, address in cluster.addresses.items()
                if each in (cluster.founders or cluster.addresses)
            ],
            bootstrap,
            cluster.options,
        )
        self.timers.start()
        self.mailbox.start()
        self.log.start()

    def stop(self) -> None:
        self.mailbox.dropped_links = {(self.name, peer) for peer in 'abcdef'}
        self.timers.stop()
        self.log.stop()
        self.mailbox.stop()


class Cluster:
    """Members of one group on loopback ports."""

    def __init__(
        self,
        folder: Path,
        names: str = 'abc',
        options: ConsensusOptions | None = None,
    ) -> None:
        self.folder = folder
        self.options = options or ConsensusOptions()
        self.addresses = {name: free_address() for name in names}
        # Members that are listed in the settings and bootstrap the group; all
        # members if empty.
        self.founders = ''
        self.dropped_links: set[tuple[str, str]] = set()
        self.nodes: dict[str, Node] = {}

    def start(self, *names: str, bootstrap: bool = True) -> None:
        for name in names or self.addresses:
            self.nodes[name] = Node(self, name, bootstrap)

    def stop(self, *names: str) -> None:
        for name in names or tuple(self.nodes):
            self.nodes.pop(name).stop()

    def wipe(self, name: str) -> None:
        shutil.rmtree(self.folder / name)

    def isolate(self, name: str) -> None:
        for other in self.addresses:
            self.dropped_links |= {(name, other), (other, name)}

    def heal(self) -> None:
        self.dropped_links.clear()

    def find_leader(self) -> Node | None:
        nodes = list(self.nodes.values())
        return next((node for node in nodes if node.log.is_leading()), None)

    def wait_leader(self, timeout_s: float = 10) -> Node:
        return wait_for(self.find_leader, timeout_s)

    def open_probe(self, name: str) -> Mailbox:
        """Return a running mailbox at the address of a stopped member."""
        probe = Mailbox(name, 'probe', self.addresses[name])
        for other, address in self.addresses.items():
            probe.set_address(other, address)
        probe.start()
        return probe

    def propose(self, command: bytes, timeout_s: float = 5) -> object:
        return self.wait_leader().log.propose(command, timeout_s)


def ask_vote(
    probe: Mailbox,
    name: str,
    last: tuple[int, int],
    term: int = 99,
    identity: str = 'probe',
) -> bool:
    """Request a vote for a candidate with the given last index and term.

    The request is marked as a leadership transfer, so that the reply does not
    depend on recent contact to a leader.
    """
    replies: queue.SimpleQueue[Delivery] = queue.SimpleQueue()
    probe.subscribe(VoteReply, replies.put)
    vote = Vote(
        term=term,
        identity=identity,
        last_index=last[0],
        last_term=last[1],
        transfer=True,
    )
    probe.send(name, vote)
    return bool(replies.get(timeout=5).message.granted)
