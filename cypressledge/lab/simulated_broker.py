"""Many simulated brokers in one process: the control plane's real client code, and no statements.

`python -m cypressledge.lab.simulated_broker`, started by the capacity run. Commands come as JSON lines on
standard input (start, kill, cut, heal), answers and figures go as JSON lines to standard output; the end of
the input ends the process. Each simulated broker is a `SubscriberClient` and, where `members` is given, a
`FleetNode` whose peers are those of the state.
"""

import json
import os
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator

import gevent
from gevent.os import make_nonblocking, nb_read

from cypressledge.broker.metrics import Counters
from cypressledge.config import parse_address
from cypressledge.controlplane.settings import ControlSettings, read_control_settings
from cypressledge.controlplane.subscriber import BrokerIdentity
from cypressledge.controlplane.subscriber_client import SubscriberClient, SubscriberOptions
from cypressledge.fleet.clock import LeaseClock
from cypressledge.fleet.event_log import event_logger

FIGURES_S = 1.0
WAKE_S = 0.05  # how often the process looks at how late it is woken
DRIFT_PPM = 10_000


class Gate(deque):
    """An inbox that takes nothing from those beyond a cut. Guards against a cut that would need a relay for
    each two of all brokers."""

    def __init__(self, beyond: Callable[[str], bool]) -> None:
        super().__init__()
        self.beyond = beyond

    def append(self, envelope) -> None:
        """Take one in, unless its sender is cut off."""
        if not self.beyond(envelope.sender):
            super().append(envelope)


class Counted:
    """A datagram socket that counts its bytes."""

    def __init__(self, sock) -> None:
        self.sock, self.bytes = sock, 0

    def sendto(self, raw: bytes, to) -> int:
        """As a socket's."""
        self.bytes += len(raw)
        return self.sock.sendto(raw, to)

    def recvfrom(self, size: int) -> tuple[bytes, tuple]:
        """As a socket's."""
        raw, source = self.sock.recvfrom(size)
        self.bytes += len(raw)
        return raw, source


class Both:
    """What an exchange needs of its socket, with the bytes counted."""

    def __init__(self, sock) -> None:
        self.sock, self._sock = sock, Counted(sock._sock)

    def fileno(self) -> int:
        """The descriptor to wait on."""
        return self.sock.fileno()

    def close(self) -> None:
        """As a socket's."""
        self.sock.close()


class Hollow:
    """One broker without statements. `told`: the command that starts it."""

    def __init__(self, told: dict, settings: ControlSettings, host: "Host") -> None:
        self.name, self.region, self.host = told["broker"], told["region"], host
        self.address, self.members = told["address"], told.get("members")
        self.run = int.from_bytes(os.urandom(7), "big") or 1
        self.counters = Counters()
        self.log = event_logger(self.name, self.run)
        self.node, self.sock = None, None
        self.agent = SubscriberClient(
            BrokerIdentity(self.name, self.run, told["zone"], told["region"], self.address),
            settings,
            self.counters,
            self._changed,
            options=SubscriberOptions(told["record"], self.log),
        )
        if self.members:
            self._join()
        self.greenlets = [gevent.spawn(part) for part in (*self.agent.loops, *self._node_loops())]

    def _node_loops(self) -> list:
        return self.node.loops if self.node else []

    def _join(self) -> None:
        from cypressledge.fleet.leases.electorate import Electorate
        from cypressledge.fleet.leases.participation import LeaseSlot
        from cypressledge.fleet.node import FleetNode, NodeSettings

        told, clock = self.members, LeaseClock()
        term = round(told["term_s"] * 1e6)
        electorate = Electorate(self.name, term, {1: tuple(told["voters"])}, 1, clock.now(), 0)
        self.node = FleetNode(
            self.name,
            NodeSettings(
                listen=parse_address(self.address),
                addresses={self.name: parse_address(self.address)},
                slots=[LeaseSlot(lease, lease, term, False) for lease in told["leases"]],
                drift_ppm=DRIFT_PPM,
                ping_s=told["ping_s"],
                instance_id=self.run,
            ),
            electorate,
            self.counters,
            clock,
            log=self.log,
        )
        self.node.transport.inbox = Gate(self._beyond)
        self.node.transport.sock = self.sock = Both(self.node.transport.sock)

    def _beyond(self, sender: str) -> bool:
        return self.host.is_cut and self.host.regions.get(sender, self.region) != self.region

    def _changed(self, state, change) -> None:
        """Guards against work at each change of a setting: peers are read where a broker's key is touched,
        and by the first only of those that share this process's knowledge of regions."""
        if change is not None and not any(op.key.startswith("broker/") for op in change.ops):
            return
        if self.node is None and self.host.regions_at >= state.version:
            return
        self.host.regions_at = state.version
        found = state.brokers()
        for name, broker in found.items():
            self.host.regions[name] = broker.region
        if self.node is not None:
            addresses = {name: parse_address(broker.address) for name, broker in found.items()}
            self.node.set_peers(addresses | {self.name: parse_address(self.address)})

    def bytes(self) -> int:
        """That have come and gone, of both mechanisms."""
        return sum(self.agent.traffic.bytes.values()) + (self.sock._sock.bytes if self.sock else 0)

    def kill(self) -> None:
        """It is gone, without a word to anyone."""
        self.agent.stop()
        if self.node is not None:
            self.node.close()
        gevent.killall(self.greenlets, block=False)


class Host:
    """The process's hollow brokers, its commands and figures."""

    def __init__(self, say: Callable[[dict], None]) -> None:
        self.say, self.brokers = say, {}
        self.settings: dict[str, ControlSettings] = {}
        self.regions: dict[str, str] = {}  # of brokers, by name
        self.regions_at = 0  # version that they are of
        self.is_cut = False
        self.gone_bytes, self.gone_counts = 0, {}
        self.late: list[float] = []

    def obey(self, told: dict) -> None:
        """Do as one command says."""
        do = told["do"]
        if do == "start":
            self._start(told)
        elif do == "kill":
            self._kill(told["broker"])
        else:
            self.is_cut = do == "cut"

    def _start(self, told: dict) -> None:
        file = told["settings"]
        if file not in self.settings:
            self.settings[file] = read_control_settings(file)
        broker = self.brokers[told["broker"]] = Hollow(told, self.settings[file], self)
        self.say({"event": "started", "broker": broker.name, "run": broker.run, "at": LeaseClock().now()})

    def _kill(self, name: str) -> None:
        broker = self.brokers.pop(name, None)
        if broker is None:
            return
        self.gone_bytes += broker.bytes()
        for key, count in self._counts(broker).items():
            self.gone_counts[key] = self.gone_counts.get(key, 0) + count
        broker.kill()
        self.say({"event": "killed", "broker": name, "run": broker.run, "at": LeaseClock().now()})

    @staticmethod
    def _counts(broker: Hollow) -> dict[str, int]:
        counts = {f"frames.{k}": n for k, n in broker.agent.traffic.frames.items()}
        return counts | {
            k: n for k, n in broker.counters.counts.items() if k.startswith(("control.", "fleet."))
        }

    def figures(self) -> dict:
        """What the process has done so far, and how late it was woken since the last time (s)."""
        counts = dict(self.gone_counts)
        for broker in self.brokers.values():
            for key, count in self._counts(broker).items():
                counts[key] = counts.get(key, 0) + count
        late, self.late = self.late, []
        total = self.gone_bytes + sum(b.bytes() for b in self.brokers.values())
        return {
            "event": "figures",
            "at": LeaseClock().now(),
            "brokers": len(self.brokers),
            "counts": counts,
            "members": self._members(),
            "bytes": total,
            "late": round(max(late, default=0.0), 4),
        }

    def _members(self) -> tuple[int, int]:
        """The fewest others that any broker here has for alive, itself too; leases held here."""
        nodes = [b.node for b in self.brokers.values() if b.node is not None]
        now = LeaseClock().now()
        return (
            min((len(n.alive()) for n in nodes), default=0),
            sum(len(n.lease_manager.held_leases(now)) for n in nodes),
        )

    def watch(self) -> None:
        """A greenlet: how late this process is woken."""
        while True:
            due = time.monotonic() + WAKE_S
            gevent.sleep(WAKE_S)
            self.late.append(time.monotonic() - due)

    def tell(self) -> None:
        """A greenlet: the figures, every so often."""
        while True:
            gevent.sleep(FIGURES_S)
            self.say(self.figures())


def main() -> int:
    """Obey until the input ends."""

    def say(told: dict) -> None:
        sys.stdout.write(json.dumps(told) + "\n")
        sys.stdout.flush()

    host = Host(say)
    gevent.spawn(host.watch)
    gevent.spawn(host.tell)
    for line in lines(sys.stdin.fileno()):
        host.obey(json.loads(line))
    return 0


def lines(number: int) -> Iterator[bytes]:
    """Whole lines of a descriptor until its end. Guards against a turn of all brokers for each line: what has
    come is read at once."""
    make_nonblocking(number)
    rest = b""
    while data := nb_read(number, 65_536):
        *whole, rest = (rest + data).split(b"\n")
        yield from whole


if __name__ == "__main__":
    sys.exit(main())
