"""Fakes that speak the control plane's messages in the test's own process: a broker's end without a broker, a
connection that sends what a test wants, and a control process that lies."""

import time
from dataclasses import dataclass
from itertools import pairwise

import gevent
from gevent import socket
from gevent.server import StreamServer

from cypressledge.broker.metrics import Counters
from cypressledge.controlplane.change_history import compress_snapshot
from cypressledge.controlplane.framing import ConnectionEndedError, FramedConnection
from cypressledge.controlplane.messages import (
    FORMAT,
    Change,
    CompleteSnapshot,
    Deltas,
    Hello,
    HelloAccepted,
    Op,
    encode,
)
from cypressledge.controlplane.settings import ControlSettings
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_values import encode_value
from cypressledge.controlplane.subscriber import BrokerIdentity
from cypressledge.controlplane.subscriber_client import SubscriberClient, SubscriberOptions
from cypressledge.controlplane.traffic_counters import TrafficCounters

WAIT = 25.0  # seconds that a lying control process waits for a message at most
SMALL_BUFFER_BYTES = 4096
CLUSTER_ID, EPOCH = "liar-1", 5  # of the control process that lies


@dataclass(frozen=True, slots=True)
class AppliedUpdate:
    """An update that a subscriber has put in force."""

    at: float  # monotonic s
    server: str
    epoch: int
    version: int
    is_snapshot: bool


class SimulatedSubscriber(SubscriberClient):
    """A broker's end without a broker; it keeps what it has taken."""

    def __init__(
        self, name: str, settings: ControlSettings, zone: str = "", fleet_address: str = "", seed: int = 1
    ) -> None:
        self.applied_updates: list[AppliedUpdate] = []
        self.connect_times: list[float] = []
        super().__init__(
            BrokerIdentity(name, 1 + seed, zone, "", fleet_address),
            settings,
            Counters(),
            self._keep,
            options=SubscriberOptions(seed=seed),
        )
        self.greenlet = gevent.spawn(self.run)

    def _keep(self, state, change) -> None:
        server = self.subscriber.selector.server.name
        update = AppliedUpdate(time.monotonic(), server, state.epoch, state.version, change is None)
        self.applied_updates.append(update)

    def _connect(self, server) -> None:
        self.connect_times.append(time.monotonic())
        super()._connect(server)

    @property
    def version(self) -> int:
        """The version that is in force."""
        return self.state.version

    def server(self) -> str:
        """Whom it follows; empty where nobody."""
        status = self.status()
        return status.server if status.phase == "following" else ""

    def has_never_gone_back(self) -> bool:
        """Whether versions and epochs only went on, and the state is what its digest says."""
        return self.state.digest_matches() and all(
            earlier.epoch <= later.epoch
            and earlier.version < later.version
            or earlier.epoch < later.epoch
            and earlier.version == later.version
            for earlier, later in pairwise(self.applied_updates)
        )


class RawConnection:
    """A socket to a control process, that sends and reads what the test wants."""

    def __init__(self, port: int, small_buffer: bool = False) -> None:
        self.sock = socket.socket()
        if small_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self.sock.connect(("127.0.0.1", port))
        self.port = self.sock.getsockname()[1]
        self.began, self.ended = time.monotonic(), 0.0

    def hello(self, name: str, **more) -> "RawConnection":
        """Send Hello as a broker."""
        self.sock.sendall(encode(Hello(FORMAT, "broker", name, 7, **more)))
        return self

    def read_slowly(self, max_bytes: int = 1, pause_s: float = 1.0) -> None:
        """Read so many bytes each so many seconds until it ends."""
        try:
            while self.sock.recv(max_bytes):
                gevent.sleep(pause_s)
        except OSError:
            pass
        self.ended = time.monotonic()

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()


class InvalidDigestControlServer:
    """A control process that sends a right snapshot, then a change whose digest is another's, and a right
    snapshot again when asked. `received`: what it was sent."""

    def __init__(self) -> None:
        self.received, self.state = [], FleetState(CLUSTER_ID)
        self.state.apply(self._draft("127.0.0.1:7001"))
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self) -> str:
        """Where it listens, HOST:PORT."""
        return f"127.0.0.1:{self.server.server_port}"

    def _draft(self, address: str) -> Change:
        return self.state.draft_change(EPOCH, [Op("engine/e1", encode_value({"address": address}))])

    def _snapshot(self) -> CompleteSnapshot:
        return CompleteSnapshot(compress_snapshot(self.state.snapshot()))

    def _serve(self, sock, _peer) -> None:
        frames = FramedConnection(sock, TrafficCounters())
        try:
            self.received.append(frames.receive(WAIT))
            frames.send(HelloAccepted("c1", 1, CLUSTER_ID))
            frames.send(self._snapshot())
            self.received.append(frames.receive(WAIT))
            change = self._draft("127.0.0.1:7002")
            other_change = self._draft("127.0.0.1:7003")
            self.state.apply(change)
            frames.send(
                Deltas([Change(EPOCH, 2, other_change.ops, change.digest)])
            )  # one's value, the other's digest
            self.received.append(frames.receive(WAIT))
            frames.send(self._snapshot())
            self.received.append(frames.receive(WAIT))
            while True:
                frames.receive(WAIT)
        except ConnectionEndedError:
            pass
        finally:
            frames.close()
