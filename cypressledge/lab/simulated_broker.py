"""Many simulated brokers in one process, with the control plane's real client code and without statements.

The capacity run starts it as `python -m cypressledge.lab.simulated_broker`. It reads commands as JSON lines
from standard input and writes reports as JSON lines to standard output (`simulated_broker_messages.py`); it
exits at the end of its input. Each simulated broker is a `SubscriberClient` and, if `members` is given, a
`FleetNode` whose peers are the brokers in the control plane's state.
"""

from __future__ import annotations

import os
import sys
import time
from collections import Counter, deque
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

import gevent
import msgspec
from gevent import socket
from gevent.os import make_nonblocking, nb_read

from cypressledge.broker.metrics import Counters
from cypressledge.config import parse_address
from cypressledge.controlplane.messages import Change
from cypressledge.controlplane.settings import ControlSettings, read_control_settings
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.subscriber import BrokerIdentity
from cypressledge.controlplane.subscriber_client import SubscriberClient, SubscriberOptions
from cypressledge.fleet.clock import LeaseClock
from cypressledge.fleet.event_log import event_logger
from cypressledge.fleet.messages import Envelope
from cypressledge.lab.simulated_broker_messages import (
    BrokerKilled,
    BrokerStarted,
    Command,
    CutCommand,
    KillCommand,
    MembersFigures,
    MembersSettings,
    ProcessFigures,
    Report,
    StartCommand,
)

if TYPE_CHECKING:
    from cypressledge.fleet.node import FleetNode

FIGURES_INTERVAL_S = 1.0
WAKE_UP_INTERVAL_S = 0.05  # s; sleep whose overrun is measured as the process's wake-up delay
DRIFT_PPM = 10_000
READ_BYTES = 65_536  # maximum bytes of commands read at once
COUNTED_PREFIXES = ("control.", "fleet.")  # prefixes of the counters that are reported


class FilteredInbox(deque[Envelope]):
    """An inbox that drops envelopes from senders that are cut off.

    Without it, a network cut between regions would need a proxy for each pair of brokers.
    """

    def __init__(self, is_cut_off: Callable[[str], bool]) -> None:
        super().__init__()
        self.is_cut_off = is_cut_off

    def append(self, envelope: Envelope) -> None:
        """Append an envelope, unless its sender is cut off."""
        if not self.is_cut_off(envelope.sender):
            super().append(envelope)


class _CountingSocket:
    """A datagram socket that counts the bytes it sends and receives."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.bytes = 0

    def sendto(self, raw: bytes, to: tuple[str, int]) -> int:
        """Send a datagram, count its bytes and return what the socket returns."""
        self.bytes += len(raw)
        return self.sock.sendto(raw, to)

    def recvfrom(self, size: int) -> tuple[bytes, tuple[str, int]]:
        """Receive a datagram, count its bytes and return it with its source address."""
        raw, source = self.sock.recvfrom(size)
        self.bytes += len(raw)
        return raw, source


class CountingGeventSocket:
    """The part of a gevent socket that a transport uses; its inner socket (`_sock`) counts the bytes."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._sock = _CountingSocket(sock._sock)

    @property
    def bytes(self) -> int:
        """The number of bytes sent and received."""
        return self._sock.bytes

    def fileno(self) -> int:
        """Return the file descriptor to wait on."""
        return self.sock.fileno()

    def close(self) -> None:
        """Close the wrapped gevent socket."""
        self.sock.close()


class SimulatedBroker:
    """A simulated broker: a control plane client and optionally a fleet member, without statements."""

    def __init__(self, command: StartCommand, settings: ControlSettings, host: SimulatedBrokers) -> None:
        self.name = command.broker
        self.region = command.region
        self.address = command.address
        self.host = host
        self.run = int.from_bytes(os.urandom(7), "big") or 1
        self.counters = Counters()
        self.log = event_logger(self.name, self.run)
        self.node: FleetNode | None = None
        self.sock: CountingGeventSocket | None = None
        self.client = SubscriberClient(
            BrokerIdentity(self.name, self.run, command.zone, command.region, self.address),
            settings,
            self.counters,
            self._on_change,
            options=SubscriberOptions(command.record, self.log),
        )
        if command.members:
            self._join(command.members)
        loops = (*self.client.loops, *(self.node.loops if self.node else ()))
        self.greenlets = [gevent.spawn(loop) for loop in loops]

    def _join(self, members: MembersSettings) -> None:
        """Become a member of the fleet.

        The imports are local, because the memory of brokers that are not members is measured as well.
        """
        from cypressledge.fleet.leases.electorate import Electorate
        from cypressledge.fleet.leases.lease import LeaseSlot
        from cypressledge.fleet.node import FleetNode, NodeSettings

        clock = LeaseClock()
        term = round(members.term_s * 1e6)
        self.node = FleetNode(
            self.name,
            NodeSettings(
                listen=parse_address(self.address),
                addresses={self.name: parse_address(self.address)},
                slots=[LeaseSlot(lease, lease, term, False) for lease in members.leases],
                drift_ppm=DRIFT_PPM,
                ping_s=members.ping_s,
                instance_id=self.run,
            ),
            Electorate(self.name, term, {1: tuple(members.voters)}, 1, clock.now(), 0),
            self.counters,
            clock,
            log=self.log,
        )
        self.sock = CountingGeventSocket(self.node.transport.sock)
        self.node.transport.inbox = FilteredInbox(self._is_cut_off)
        self.node.transport.sock = self.sock

    def _is_cut_off(self, sender: str) -> bool:
        return self.host.is_cut and self.host.regions.get(sender, self.region) != self.region

    def _on_change(self, state: FleetState, change: Change | None) -> None:
        """Update peers and regions from the state if a change concerns a broker's key.

        Changes of other keys are ignored to save work. Simulated brokers that are not members of the fleet
        need no peers, and the first of them to see a version updates the regions of the whole process.
        """
        if change is not None and not any(op.key.startswith("broker/") for op in change.ops):
            return
        if self.node is None and self.host.regions_version >= state.version:
            return
        self.host.regions_version = state.version
        brokers = state.brokers()
        for name, broker in brokers.items():
            self.host.regions[name] = broker.region
        if self.node is not None:
            addresses = {name: parse_address(broker.address) for name, broker in brokers.items()}
            self.node.set_peers(addresses | {self.name: parse_address(self.address)})

    def bytes(self) -> int:
        """Return the bytes sent and received over the control plane and between members."""
        return sum(self.client.traffic.bytes.values()) + (self.sock.bytes if self.sock else 0)

    def counts(self) -> Counter[str]:
        """Return the broker's control plane and fleet counters, and its frames by kind."""
        counts = Counter({f"frames.{kind}": count for kind, count in self.client.traffic.frames.items()})
        for name, count in self.counters.counts.items():
            if name.startswith(COUNTED_PREFIXES):
                counts[name] = count
        return counts

    def kill(self) -> None:
        """Stop the broker without notifying its peers or the control plane, as a killed process would."""
        self.client.stop()
        if self.node is not None:
            self.node.close()
        gevent.killall(self.greenlets, block=False)


class SimulatedBrokers:
    """All simulated brokers of this process; executes commands and reports figures."""

    def __init__(self, send: Callable[[Report], None]) -> None:
        self.send = send
        self.brokers: dict[str, SimulatedBroker] = {}
        self.settings: dict[str, ControlSettings] = {}  # by file
        self.regions: dict[str, str] = {}  # region of each broker, by name
        self.regions_version = 0  # version of the state that `regions` was read from
        self.is_cut = False
        self.killed_bytes = 0  # bytes sent and received by brokers that were killed
        self.killed_counts: Counter[str] = Counter()
        self.late: list[float] = []  # s; delay of each wake-up since the last figures

    def execute(self, command: Command) -> None:
        """Start or kill a broker, or cut or heal the network between regions."""
        if isinstance(command, StartCommand):
            self._start(command)
        elif isinstance(command, KillCommand):
            self._kill(command.broker)
        else:
            self.is_cut = isinstance(command, CutCommand)

    def _start(self, command: StartCommand) -> None:
        file = command.settings
        if file not in self.settings:
            self.settings[file] = read_control_settings(file)
        broker = self.brokers[command.broker] = SimulatedBroker(command, self.settings[file], self)
        self.send(BrokerStarted(broker.name, broker.run, LeaseClock().now()))

    def _kill(self, name: str) -> None:
        broker = self.brokers.pop(name, None)
        if broker is None:
            return
        self.killed_bytes += broker.bytes()
        self.killed_counts.update(broker.counts())
        broker.kill()
        self.send(BrokerKilled(broker.name, broker.run, LeaseClock().now()))

    def figures(self) -> ProcessFigures:
        """Return the process's totals so far and its longest wake-up delay (s) since the last call."""
        counts = Counter(self.killed_counts)
        for broker in self.brokers.values():
            counts.update(broker.counts())
        late, self.late = self.late, []
        return ProcessFigures(
            at=LeaseClock().now(),
            brokers=len(self.brokers),
            counts=dict(counts),
            members=MembersFigures(self._fewest_alive(), self._leases_held()),
            bytes=self.killed_bytes + sum(broker.bytes() for broker in self.brokers.values()),
            late=round(max(late, default=0.0), 4),
        )

    def _nodes(self) -> list[FleetNode]:
        return [broker.node for broker in self.brokers.values() if broker.node is not None]

    def _fewest_alive(self) -> int:
        """Return the smallest number of members that any node here considers alive, itself included."""
        return min((len(node.alive()) for node in self._nodes()), default=0)

    def _leases_held(self) -> int:
        now = LeaseClock().now()
        return sum(len(node.lease_manager.held_leases(now)) for node in self._nodes())

    def measure_lateness(self) -> None:
        """Record continuously how late this process wakes up; runs as a greenlet."""
        while True:
            due = time.monotonic() + WAKE_UP_INTERVAL_S
            gevent.sleep(WAKE_UP_INTERVAL_S)
            self.late.append(time.monotonic() - due)

    def report_figures(self) -> None:
        """Report the figures periodically; runs as a greenlet."""
        while True:
            gevent.sleep(FIGURES_INTERVAL_S)
            self.send(self.figures())


def main() -> int:
    """Execute commands until the input ends."""
    brokers = SimulatedBrokers(_send)
    gevent.spawn(brokers.measure_lateness)
    gevent.spawn(brokers.report_figures)
    decoder = msgspec.json.Decoder(Command)
    for line in read_lines(sys.stdin.fileno()):
        brokers.execute(decoder.decode(line))
    return 0


def _send(report: Report) -> None:
    sys.stdout.write(msgspec.json.encode(report).decode() + "\n")
    sys.stdout.flush()


def read_lines(descriptor: int) -> Iterator[bytes]:
    """Yield the complete lines of a descriptor until its end.

    Reads all available bytes at once: waiting for each line separately would run all brokers between two
    lines.
    """
    make_nonblocking(descriptor)
    rest = b""
    while data := nb_read(descriptor, READ_BYTES):
        *complete, rest = (rest + data).split(b"\n")
        yield from complete


if __name__ == "__main__":
    sys.exit(main())
