"""The connections between control processes. Uses gevent.

Each process sends over the connection that it dialled itself, and only receives over the other: two
processes that dial each other at once need no rule which connection stays.
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

BACKOFF_MIN_S, BACKOFF_MAX_S = 0.05, 1.0  # between attempts to reach a peer, doubling
REJECTED_RETRY_MS = 1_000  # that a rejected peer stays away
FLUSH_S = 1.0  # for a frame to leave before the laboratory's fault


class HistoryOwner(Protocol):
    """Who knows which history this process belongs to."""

    @property
    def cluster_id(self) -> str:
        """The identity of the history; empty while there is none."""


class PeerHandler(Protocol):
    """Who takes what other control processes send, called in the owner's greenlet; `now` in µs."""

    def received(self, now: int, peer: str, message: Message) -> None:
        """A message of a peer."""

    def disconnected(self, now: int, peer: str) -> None:
        """A peer's connection to here has ended: nothing is heard of it until the next one."""

    def reachable(self, now: int, peer: str) -> None:
        """A connection to a peer is up. What was sent over the former one may be lost."""


class PeerSender:
    """The connections that were dialled here, to send over."""

    def __init__(self, counters: Counters, faults: FaultInjection) -> None:
        self._counters, self._faults = counters, faults
        self._connections: dict[str, FramedConnection] = {}

    @property
    def reachable(self) -> frozenset[str]:
        """Names of the peers to whom there is a connection."""
        return frozenset(self._connections)

    def add(self, peer: str, frames: FramedConnection) -> None:
        """A new connection."""
        self._connections[peer] = frames

    def remove(self, peer: str, frames: FramedConnection) -> bool:
        """A connection has ended; whether it was the one in use."""
        if self._connections.get(peer) is not frames:
            return False
        del self._connections[peer]
        return True

    def send(self, peer: str, message: Message) -> None:
        """Queue a message; dropped where there is no connection: whoever sends repeats it."""
        frames = self._connections.get(peer)
        if frames is None:
            self._counters.add("control.peer_unreachable")
            return
        is_due = self._counts_for_fault(message) and self._faults.is_due(str(message.__struct_config__.tag))
        if is_due and self._faults.timing == "before":
            self._faults.inject()
        frames.send(message)
        if is_due and self._faults.timing == "after":
            frames.writer.flushed.wait(FLUSH_S)
            self._faults.inject()

    @staticmethod
    def _counts_for_fault(message: Message) -> bool:
        """Of AppendEntries only those with an operator's change count: signs of life come at any moment."""
        return not isinstance(message, AppendEntries) or any(change.request_id for change in message.changes)

    def finish(self) -> None:
        """Nothing more is sent."""
        for frames in self._connections.values():
            frames.finish_sending()


@dataclass(frozen=True, slots=True)
class PeerHandshake:
    """Says and checks who is at the two ends of a connection. `owner`: who knows the history's identity."""

    name: str
    instance_id: int
    server_names: frozenset[str]
    history: ChangeHistory
    owner: HistoryOwner
    events: ProcessEvents

    def hello(self) -> Hello:
        """The first frame over a connection that is dialled here."""
        state = self.history.state
        return Hello(
            FORMAT,
            "control",
            self.name,
            self.instance_id,
            self.owner.cluster_id,
            state.epoch,
            state.version,
            state.digest,
        )

    def answer(self) -> HelloAccepted:
        """The first frame over a connection that is taken."""
        return HelloAccepted(self.name, self.instance_id, self.owner.cluster_id)

    def rejection_reason(self, hello: Hello) -> str:
        """Why a control process is rejected; empty: it isn't."""
        if hello.format != FORMAT:
            return "format"
        if hello.name == self.name or hello.name not in self.server_names:
            return "nonsense"
        return "lineage" if self._is_other_history(hello.cluster_id) else ""

    def check_answer(self, peer: str, message: Message | None) -> None:
        """Raises `ConnectionEndedError` unless the other end is who it should be."""
        if isinstance(message, Disconnect):
            raise ConnectionEndedError(f"peer disconnected: {message.reason}")
        if not isinstance(message, HelloAccepted) or message.name != peer:
            raise ConnectionEndedError("no answer to hello")
        if self._is_other_history(message.cluster_id):
            self.events.emit("peer_rejected", peer=peer, why="lineage", lineage=message.cluster_id)
            raise ConnectionEndedError("other cluster")

    def _is_other_history(self, cluster_id: str) -> bool:
        own = self.owner.cluster_id
        return bool(own and cluster_id) and own != cluster_id


@dataclass(frozen=True, slots=True)
class PeerDialer:
    """Keeps a connection to each other control process, to send over."""

    handshake: PeerHandshake
    sender: PeerSender
    handler: PeerHandler
    inbox: Inbox
    traffic: TrafficCounters
    counters: Counters
    log: EventLogger

    def maintain(self, peer: ServerSpec, is_stopping: Callable[[], bool]) -> None:
        """A greenlet: dials one peer again and again until this process stops."""
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
    """The connections that other control processes dialled, to receive over."""

    def __init__(self, handshake: PeerHandshake, handler: PeerHandler, inbox: Inbox) -> None:
        self._handshake, self._handler, self._inbox = handshake, handler, inbox
        self._connections: dict[str, FramedConnection] = {}

    def serve(self, hello: Hello, frames: FramedConnection) -> None:
        """Read what a peer sends until its connection ends. Raises `ConnectionEndedError` then."""
        why = self._handshake.rejection_reason(hello)
        if why:
            self._handshake.events.emit("peer_rejected", peer=hello.name, why=why, lineage=hello.cluster_id)
            reject_connection(frames, Disconnect(why, REJECTED_RETRY_MS))
            return
        former = self._connections.get(hello.name)
        if former is not None:
            former.close()
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
        """Nothing more is sent over them either."""
        for frames in self._connections.values():
            frames.finish_sending()
