"""The processes of a capacity run: control processes, simulated and real brokers, and regions' proxies.

Starts its own processes and ends its own by their ids, whatever happens. What goes from one of the two
regions to the other passes proxies in the harness, so that it can be cut; each region has settings files of
its own.
"""

from dataclasses import dataclass
from pathlib import Path

import gevent
import msgspec
import yaml
from gevent import socket

from cypressledge.lab.capacity.control_process import ControlProcess
from cypressledge.lab.capacity.day import REGION, ZONES
from cypressledge.lab.capacity.process_cost import ProcessCost
from cypressledge.lab.capacity.simulated_broker_host import SimulatedBrokerHost
from cypressledge.lab.engines import LabEngine
from cypressledge.lab.load import Client
from cypressledge.lab.processes import Brokers, until
from cypressledge.lab.simulated_broker_commands import MembersSettings, StartCommand
from cypressledge.lab.site import SETTINGS, free_port
from cypressledge.lab.tcp_proxy import TcpProxy
from cypressledge.lab.udp_proxy import LinkConditions, UdpProxies

CONTROL_PROCESSES = 8
CONTROL_VOTERS = 5  # of them
CONTROL_TERM_S = 2.0  # of the control processes' own leases
CONTROL_PING_S = 0.3
BROKERS_PER_HOST = 60  # simulated ones, at most
LIVE_ZONE = "live"  # of the engines that answer: real brokers use no other
FAKE_ENGINES = 6
LOOKUP_INTERVAL_S = 1.0  # at a real broker: it is to serve, at next to no cost of that
MEMBERS_TERM_S = 4.0  # of simulated brokers' own leases
MEMBERS_VOTERS = 5
MEMBERS_LEASES = 8


class ScaleError(Exception):
    """The run can't go on; its text is one plain line."""


@dataclass(slots=True)
class PlacedBroker:
    """A broker of the run: where it is, and its host; a real broker has none."""

    name: str
    zone: str
    address: str
    host: SimulatedBrokerHost | None
    up: bool = False

    @property
    def region(self) -> str:
        """The region of its zone."""
        return REGION[self.zone]


@dataclass
class FleetSize:
    """How large a run is. `ping_s`: the members' ping interval; 0: simulated brokers are no members."""

    brokers: int
    engines: int
    real_brokers: int
    controls: int = CONTROL_PROCESSES
    ping_s: float = 0.0


class CapacityFleet:
    """All processes and proxies of one run. `folder`: where their files go."""

    def __init__(self, size: FleetSize, seed: int, folder: Path) -> None:
        self.size, self.seed, self.folder = size, seed, folder
        self.controls = [
            ControlProcess(f"c{i + 1}", ZONES[i % 3], i < CONTROL_VOTERS, folder)
            for i in range(size.controls)
        ]
        self.control_by_name = {c.name: c for c in self.controls}
        self.udp = UdpProxies(
            {c.name: c.fleet for c in self.controls},
            seed,
            lambda a, b: self.control_by_name[a].region != self.control_by_name[b].region,
        )
        self.tcp = {c.name: TcpProxy(("127.0.0.1", c.port)) for c in self.controls}
        self.fake_engines = [
            LabEngine(f"live{i}", LIVE_ZONE, 0.005) for i in range(min(FAKE_ENGINES, size.engines))
        ]
        self.real_brokers = Brokers(str(folder / "real"))
        self.hosts: list[SimulatedBrokerHost] = []
        self.brokers: dict[str, PlacedBroker] = {}
        self.clients: list[Client] = []
        self.greenlets: list[gevent.Greenlet] = []
        self.real_costs: dict[str, ProcessCost] = {}
        self.is_cut = False

    # Files

    def _servers(self, region: str, me: str = "") -> list[dict]:
        """Return the control processes as they are seen from a region, or by one of them (`me`)."""

        def fleet(c: ControlProcess) -> str:
            is_local = not me or c.region == region
            return f"127.0.0.1:{c.fleet}" if is_local else self.udp.address(me, c.name)

        return [
            {
                "name": c.name,
                "fleet": fleet(c),
                "management": f"127.0.0.1:{c.management}",
                "zone": c.zone,
                "address": f"127.0.0.1:{c.port}" if c.region == region else self.tcp[c.name].address,
                "region": c.region,
                "votes": c.votes,
            }
            for c in self.controls
        ]

    def _file(self, path: Path, servers: list[dict], record: Path | None) -> Path:
        lab = {"lab": {"record": str(record)}} if record else {}
        path.write_text(
            yaml.safe_dump(
                {
                    "servers": servers,
                    "term_s": CONTROL_TERM_S,
                    "ping_s": CONTROL_PING_S,
                    "grace_s": 1.0,
                    **lab,
                }
            )
        )
        return path

    def seed_file(self) -> Path:
        """Write what the history begins with: settings and engines."""
        config = SETTINGS | {
            "Dcs": [LIVE_ZONE, *ZONES],
            "Classes": [k | {"DcsOpen": [0]} for k in SETTINGS["Classes"]],
        }
        engines = {e.name: engine_value(e.member()["host_port"], LIVE_ZONE) for e in self.fake_engines}
        for n in range(self.size.engines - len(self.fake_engines)):
            engines[f"e{n:03}"] = engine_value(unused_address(n), ZONES[n % 3])
        path = self.folder / "seed.yaml"
        path.write_text(yaml.safe_dump({"config": config, "engines": engines}))
        return path

    # Starting

    def start(self) -> None:
        """Start control processes, then brokers; return once all run. Raises `ScaleError`."""
        self.start_controls()
        self.start_simulated()
        self.start_real_brokers()

    def start_controls(self) -> None:
        """Start the control processes, and wait until a leader has committed. Raises `ScaleError`."""
        for c in self.controls:
            self._file(c.settings, self._servers(c.region, c.name), c.record)
        for region in set(REGION.values()):
            self._file(self.folder / f"{region}.yaml", self._servers(region), None)
        first = self.seed_file()
        for c in self.controls:
            c.start(first)
        if not until(lambda: any(self.committed_versions()), 40, 0.1):
            raise ScaleError("no primary: " + "".join(c.log.read_text()[-300:] for c in self.controls))

    def committed_versions(self) -> list[tuple[int, str]]:
        """Return the committed versions that control processes answer with, and their names."""
        statuses = [(c.status(), c.name) for c in self.controls if c.running() and not c.stopped]
        return [(s["commit"], name) for s, name in statuses if s.get("commit")]

    def start_simulated(self) -> None:
        """Start the hosts and their brokers. Raises `ScaleError`."""
        count = self.size.brokers - self.size.real_brokers
        for n in range(-(-count // BROKERS_PER_HOST)):
            self.hosts.append(SimulatedBrokerHost(n, self.folder))
        for n in range(count):
            host = self.hosts[n % len(self.hosts)]
            self.brokers[f"b{n:03}"] = PlacedBroker(f"b{n:03}", ZONES[n % 3], new_fleet_address(), host)
        self.up(list(self.brokers))
        if not until(lambda: sum(len(h.started) for h in self.hosts) == count, 20 + count / 5, 0.1):
            raise ScaleError("simulated brokers did not start")

    def start_real_brokers(self) -> None:
        """Start brokers of the program, with fake engines and a small load. Raises `ScaleError`."""
        for n in range(self.size.real_brokers):
            name = f"real{n}"
            zone = ZONES[n % 3]
            self.brokers[name] = PlacedBroker(name, zone, new_fleet_address(), None)
            self._real(name)
            self.real_costs[name] = ProcessCost()
        self.up([f"real{n}" for n in range(self.size.real_brokers)])
        ports = [b.port for b in self.real_brokers.all.values()]
        self.clients = [Client([port], LOOKUP_INTERVAL_S, 0) for port in ports]
        self.greenlets += [gevent.spawn(c.run) for c in self.clients]
        ready = until(
            lambda: all("listening on" in b.words() for b in self.real_brokers.all.values()), 40, 0.1
        )
        if not ready:
            raise ScaleError(
                "real brokers did not start: "
                + "".join(b.words()[-500:] for b in self.real_brokers.all.values())
            )

    def record(self, name: str) -> Path:
        """Return the file in which a broker records what it has in force."""
        return self.folder / f"{name}.broker.jsonl"

    def _real(self, name: str) -> None:
        placed = self.brokers[name]
        config = {"Dcs": [LIVE_ZONE, *ZONES], "Classes": [k | {"DcsOpen": [0]} for k in SETTINGS["Classes"]]}
        self.real_brokers.add(name, {}, [e.member() for e in self.fake_engines], config)
        self._file(
            self.real_brokers.folder / f"{name}.control.yaml", self._servers(placed.region), self.record(name)
        )

    # Brokers come and go

    def up(self, names: list[str]) -> None:
        """Start these brokers."""
        for name in names:
            placed = self.brokers[name]
            placed.up = True
            if placed.host is None:
                file = str(self.real_brokers.folder / f"{name}.control.yaml")
                self.real_brokers.all[name].start(
                    False, ("--control", file), {"ROUTER_ZONE": placed.zone, "ROUTER_REGION": placed.region}
                )
                continue
            command = StartCommand(
                broker=name,
                zone=placed.zone,
                region=placed.region,
                address=placed.address,
                settings=str(self.folder / f"{placed.region}.yaml"),
                record=str(self.record(name)),
                members=self._members(),
            )
            placed.host.send_command(do="start", **msgspec.to_builtins(command))

    def _members(self) -> MembersSettings | None:
        if not self.size.ping_s:
            return None
        return MembersSettings(
            ping_s=self.size.ping_s,
            term_s=MEMBERS_TERM_S,
            voters=[f"b{n:03}" for n in range(MEMBERS_VOTERS)],
            leases=[f"lease{n}" for n in range(MEMBERS_LEASES)],
        )

    def down(self, names: list[str]) -> None:
        """Kill these brokers."""
        for name in names:
            placed = self.brokers[name]
            placed.up = False
            if placed.host is None:
                self.real_brokers.all[name].kill()
            else:
                placed.host.send_command(do="kill", broker=name)

    def move(self, name: str) -> None:
        """Give a broker that is down another address for when it comes back."""
        self.brokers[name].address = new_fleet_address()

    # Regions

    def cut(self, mode: str) -> None:
        """Let nothing pass between the regions; `mode` as of `TcpProxy.cut`."""
        self.is_cut = True
        for pair in self.udp.paths:
            self.udp.paths[pair] = LinkConditions(cut=True)
        for proxy in self.tcp.values():
            proxy.cut(mode)
        for host in self.hosts:
            host.send_command(do="cut")

    def heal(self) -> None:
        """Let everything pass between the regions again."""
        self.is_cut = False
        self.udp.heal()
        for proxy in self.tcp.values():
            proxy.heal()
        for host in self.hosts:
            host.send_command(do="heal")

    # Looking

    def sample(self) -> None:
        """Sample every process's use of the machine."""
        for control in self.controls:
            if control.running():
                control.cost.sample(control.pid)
        for host in self.hosts:
            host.cost.sample(host.process.pid)
        for name, broker in self.real_brokers.all.items():
            if broker.running() and broker.listening():  # what a start takes is no cost of control
                self.real_costs[name].sample(broker.pid)

    def hosted_by(self, host: SimulatedBrokerHost) -> int:
        """Return how many brokers a host runs."""
        return sum(broker.host is host for broker in self.brokers.values())

    def memory_mb(self) -> float:
        """Return the memory of all processes together, as far as sampled, MB."""
        costs = (
            *(control.cost for control in self.controls),
            *(host.cost for host in self.hosts),
            *self.real_costs.values(),
        )
        return sum(cost.rss_mb for cost in costs)

    def processes(self) -> int:
        """Return how many processes run."""
        controls = sum(control.running() for control in self.controls)
        brokers = sum(broker.running() for broker in self.real_brokers.all.values())
        return controls + len(self.hosts) + brokers

    def end(self) -> None:
        """End all processes, proxies and greenlets."""
        gevent.killall(self.greenlets)
        for host in self.hosts:
            host.end()
        self.real_brokers.end()
        for control in self.controls:
            control.kill()
        self.udp.close()
        for proxy in self.tcp.values():
            proxy.close()
        for fake_engine in self.fake_engines:
            fake_engine.close()


def engine_value(address: str, zone: str, state: str = "ready") -> dict:
    """Return an engine's value in the control state."""
    return {"address": address, "kind": "node-8c", "zone": zone, "cell": 0, "state": state, "born_ms": 0}


def unused_address(number: int) -> str:
    """Return an address of the loopback where nobody listens, another one for each number."""
    return f"127.0.{1 + number // 250}.{1 + number % 250}:9"


def new_fleet_address() -> str:
    """Return a free address for a fleet socket."""
    return f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"
