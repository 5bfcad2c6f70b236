"""The connections between control processes. Uses gevent.

Each process sends over the connection that it dialled itself and only receives over the other one, so two
processes that dial each other at the same time need no rule about which connection to keep.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import gevent

from cypressledge.broker.metrics import Counters
from cypressledge.config import parse_address
from cypressledge.controlplane.broker_connections import MAX_SILENCE_S, reject_connection
from cypressledge.controlplane.change_history import ChangeHistory
from cypressledge.controlplane.faults import FaultInjection
from cypressledge.controlplane.framing import (
    HELLO_TIMEOUT_S,
    ConnectionEndedError,
    FramedConnection,
    connect,
)
from cypressledge.controlplane.inbox import Inbox
from cypressledge.controlplane.messages import (
    FORMAT,
    MAX_FRAME_BYTES,
    AppendEntries,
    Disconnect,
    Hello,
    HelloAccepted,
    Message,
)
from cypressledge.controlplane.process_events import EventLogger, ProcessEvents
from cypressledge.controlplane.settings import ServerSpec
from cypressledge.controlplane.traffic_counters import TrafficCounters

BACKOFF_MIN_S, BACKOFF_MAX_S = 0.05, 1.0  # s; time between attempts to reach a peer, doubled each time
REJECTED_RETRY_MS = 1_000  # ms; time after which a rejected peer may reconnect
FLUSH_TIMEOUT_S = 1.0  # s; maximum time for sending a frame before an injected fault takes effect


class ClusterIdentity(Protocol):
    """Provides the identity of the history that this process belongs to."""

    @property
    def cluster_id(self) -> str:
        """The identity of the history; empty while there is none."""


class PeerHandler(Protocol):
    """Callbacks for peers' messages and connections, run by the process's main greenlet; `now` is in µs."""

    def received(self, now: int, peer: str, message: Message) -> None:
        """Process a message from a peer."""

    def disconnected(self, now: int, peer: str) -> None:
        """Handle the end of a peer's incoming connection: no messages arrive until the next one."""

    def reachable(self, now: int, peer: str) -> None:
        """Handle a new outgoing connection to a peer; messages sent over the previous one may be lost."""


class PeerSender:
    """Sends messages over the connections that this process dialled."""

    def __init__(self, counters: Counters, faults: FaultInjection) -> None:
        self._counters, self._faults = counters, faults
        self._connections: dict[str, FramedConnection] = {}

    @property
    def reachable(self) -> frozenset[str]:
        """The names of the peers to which there is a connection."""
        return frozenset(self._connections)

    def add(self, peer: str, frames: FramedConnection) -> None:
        """Use a new connection for a peer."""
        self._connections[peer] = frames

    def remove(self, peer: str, frames: FramedConnection) -> bool:
        """Remove an ended connection; return whether it was the one in use."""
        if self._connections.get(peer) is not frames:
            return False
        del self._connections[peer]
        return True

    def send(self, peer: str, message: Message) -> None:
        """Queue a message for a peer; without a connection it is dropped, and the caller has to repeat it."""
        frames = self._connections.get(peer)
        if frames is None:
            self._counters.add("control.peer_unreachable")
            return
        is_due = self._counts_for_fault(message) and self._faults.is_due(str(message.__struct_config__.tag))
        if is_due and self._faults.timing == "before":
            self._faults.inject()
        frames.send(message)
        if is_due and self._faults.timing == "after":
            frames.writer.flushed.wait(FLUSH_TIMEOUT_S)
            self._faults.inject()

    @staticmethod
    def _counts_for_fault(message: Message) -> bool:
        """Return whether fault injection counts a message.

        An `AppendEntries` counts only with an operator's change, because heartbeats are sent at any time.
        """
        return not isinstance(message, AppendEntries) or any(change.request_id for change in message.changes)

    def finish(self) -> None:
        """Finish sending on all connections."""
        for frames in self._connections.values():
            frames.finish_sending()


@dataclass(frozen=True, slots=True)
class PeerHandshake:
    """Creates and checks the first frames of a connection between control processes.

    `cluster` provides the identity of this process's history.
    """

    name: str
    instance_id: int
    server_names: frozenset[str]
    history: ChangeHistory
    cluster: ClusterIdentity
    events: ProcessEvents

    def hello(self) -> Hello:
        """Return the first frame for a connection that this process dials."""
        state = self.history.state
        return Hello(
            FORMAT,
            "control",
            self.name,
            self.instance_id,
            self.cluster.cluster_id,
            state.epoch,
            state.version,
            state.digest,
        )

    def answer(self) -> HelloAccepted:
        """Return the first frame for a connection that this process accepts."""
        return HelloAccepted(self.name, self.instance_id, self.cluster.cluster_id)

    def rejection_reason(self, hello: Hello) -> str:
        """Return why a peer is rejected; an empty string if it is accepted."""
        if hello.format != FORMAT:
            return "format"
        if hello.name == self.name or hello.name not in self.server_names:
            return "nonsense"
        return "lineage" if self._is_other_history(hello.cluster_id) else ""

    def check_answer(self, peer: str, message: Message | None) -> None:
        """Raise `ConnectionEndedError` unless the answer is from the expected peer of the same cluster."""
        if isinstance(message, Disconnect):
            raise ConnectionEndedError(f"peer disconnected: {message.reason}")
        if not isinstance(message, HelloAccepted) or message.name != peer:
            raise ConnectionEndedError("no answer to hello")
        if self._is_other_history(message.cluster_id):
            self.events.emit("peer_rejected", peer=peer, why="lineage", lineage=message.cluster_id)
            raise ConnectionEndedError("other cluster")

    def _is_other_history(self, cluster_id: str) -> bool:
        own = self.cluster.cluster_id
        return bool(own and cluster_id) and own != cluster_id


@dataclass(frozen=True, slots=True)
class PeerDialer:
    """Maintains an outgoing connection to each other control process."""

    handshake: PeerHandshake
    sender: PeerSender
    handler: PeerHandler
    inbox: Inbox
    traffic: TrafficCounters
    counters: Counters
    log: EventLogger

    def maintain(self, peer: ServerSpec, is_stopping: Callable[[], bool]) -> None:
        """Keep dialling one peer until this process stops; runs as a greenlet."""
        backoff = BACKOFF_MIN_S
        while not is_stopping():
            frames = None
            try:
                frames = connect(parse_address(peer.address), self.traffic)
                frames.send(self.handshake.hello())
                self.handshake.check_answer(peer.name, frames.receive(HELLO_TIMEOUT_S))
                backoff = BACKOFF_MIN_S
                self.sender.add(peer.name, frames)
                self.inbox.put(self.handler.reachable, peer.name)
                while True:
                    frames.receive(MAX_SILENCE_S)
            except ConnectionEndedError as err:
                self.counters.add("control.peer_connection_ended")
                if frames is not None and self.sender.remove(peer.name, frames):
                    self.log.info("peer_disconnected", peer=peer.name, why=str(err))
            finally:
                if frames is not None:
                    frames.close()
                    self.sender.remove(peer.name, frames)
            gevent.sleep(backoff)
            backoff = min(2 * backoff, BACKOFF_MAX_S)


class PeerReceiver:
    """Receives messages over the connections that other control processes dialled."""

    def __init__(self, handshake: PeerHandshake, handler: PeerHandler, inbox: Inbox) -> None:
        self._handshake, self._handler, self._inbox = handshake, handler, inbox
        self._connections: dict[str, FramedConnection] = {}

    def serve(self, hello: Hello, frames: FramedConnection) -> None:
        """Read a peer's messages until its connection ends, then raise `ConnectionEndedError`.

        Returns without reading if the peer is rejected.
        """
        why = self._handshake.rejection_reason(hello)
        if why:
            self._handshake.events.emit("peer_rejected", peer=hello.name, why=why, lineage=hello.cluster_id)
            reject_connection(frames, Disconnect(why, REJECTED_RETRY_MS))
            return
        previous = self._connections.get(hello.name)
        if previous is not None:
            previous.close()
        self._connections[hello.name] = frames
        frames.set_max_frame_bytes(MAX_FRAME_BYTES)
        frames.send(self._handshake.answer())
        try:
            while True:
                message = frames.receive(MAX_SILENCE_S)
                if message is not None:
                    self._inbox.put(self._handler.received, hello.name, message)
        finally:
            if self._connections.get(hello.name) is frames:
                del self._connections[hello.name]
                self._inbox.put(self._handler.disconnected, hello.name)

    def finish(self) -> None:
        """Finish sending on all incoming connections."""
        for frames in self._connections.values():
            frames.finish_sending()
