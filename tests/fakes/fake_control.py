"""Fakes of the control plane's protocol that run in the process of the test.

A subscriber without a broker, a connection whose messages the test sends, and a control server that sends an
invalid digest.
"""

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

WAIT = 25.0  # s; longest wait of `InvalidDigestControlServer` for a message
SMALL_BUFFER_BYTES = 4096  # receive buffer of a connection that fills up soon
CLUSTER_ID, EPOCH = "liar-1", 5  # of the state of `InvalidDigestControlServer`


@dataclass(frozen=True, slots=True)
class AppliedUpdate:
    """An update that a subscriber has applied."""

    at: float  # s, monotonic clock
    server: str
    epoch: int
    version: int
    is_snapshot: bool


class SimulatedSubscriber(SubscriberClient):
    """A subscriber without a broker, which records the updates that it applies and when it connects."""

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
        """The version of the applied state."""
        return self.state.version

    def server(self) -> str:
        """Return the name of the control process that it follows; empty if there is none."""
        status = self.status()
        return status.server if status.phase == "following" else ""

    def has_never_gone_back(self) -> bool:
        """Return whether each update increased the version or the epoch, and the state matches its digest.

        Neither may decrease in any update.
        """
        return self.state.digest_matches() and all(
            earlier.epoch <= later.epoch
            and earlier.version < later.version
            or earlier.epoch < later.epoch
            and earlier.version == later.version
            for earlier, later in pairwise(self.applied_updates)
        )


class RawConnection:
    """A socket that is connected to a control process, on which the test sends and reads raw bytes."""

    def __init__(self, port: int, small_buffer: bool = False) -> None:
        self.sock = socket.socket()
        if small_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self.sock.connect(("127.0.0.1", port))
        self.port = self.sock.getsockname()[1]
        self.began, self.ended = time.monotonic(), 0.0

    def hello(self, name: str, **more) -> "RawConnection":
        """Send Hello as a broker, and return the connection."""
        self.sock.sendall(encode(Hello(FORMAT, "broker", name, 7, **more)))
        return self

    def read_slowly(self, max_bytes: int = 1, pause_s: float = 1.0) -> None:
        """Read up to `max_bytes` every `pause_s` seconds until the connection ends."""
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
    """A control server that sends a change whose digest does not match.

    It sends a valid snapshot, a change with the digest of another change, and a second valid snapshot. It
    sends the second snapshot when the subscriber requests it. `received` holds the first four messages of the
    subscriber.
    """

    def __init__(self) -> None:
        self.received, self.state = [], FleetState(CLUSTER_ID)
        self.state.apply(self._draft("127.0.0.1:7001"))
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self) -> str:
        """The address on which the server listens, HOST:PORT."""
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
            )  # the value of one change with the digest of the other
            self.received.append(frames.receive(WAIT))
            frames.send(self._snapshot())
            self.received.append(frames.receive(WAIT))
            while True:
                frames.receive(WAIT)
        except ConnectionEndedError:
            pass
        finally:
            frames.close()
