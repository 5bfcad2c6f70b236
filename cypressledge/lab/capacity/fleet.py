"""Processes of a capacity run: control processes, simulated and real brokers, proxies between regions.

The run kills only processes that it started, by their ids. Traffic between the two regions passes through
proxies in the harness, so that it can be cut; each region therefore has its own settings files.
"""

import math
from dataclasses import dataclass
from pathlib import Path

import gevent
import yaml
from gevent import socket

from cypressledge.lab.capacity.control_process import ControlProcess
from cypressledge.lab.capacity.day import REGION, ZONES
from cypressledge.lab.capacity.process_cost import ProcessCost
from cypressledge.lab.capacity.simulated_broker_host import SimulatedBrokerHost
from cypressledge.lab.engines import LabEngine
from cypressledge.lab.load import Client
from cypressledge.lab.processes import Brokers, until
from cypressledge.lab.simulated_broker_messages import (
    CutCommand,
    HealCommand,
    KillCommand,
    MembersSettings,
    StartCommand,
)
from cypressledge.lab.site import SETTINGS, free_port
from cypressledge.lab.tcp_proxy import TcpProxy
from cypressledge.lab.udp_proxy import LinkConditions, UdpProxies

CONTROL_PROCESSES = 8
CONTROL_VOTERS = 5  # control processes that are voters
CONTROL_TERM_S = 2.0  # s; term of the control processes' own leases
CONTROL_PING_S = 0.3  # s; interval of the control processes' pings
BROKERS_PER_HOST = 60  # maximum number of simulated brokers in one process
LIVE_ZONE = "live"  # zone of the engines that answer; real brokers use only this one
FAKE_ENGINES = 6
LOOKUP_INTERVAL_S = 1.0  # s; between lookups at a real broker, whose cost is thereby negligible
MEMBERS_TERM_S = 4.0  # s; term of the simulated brokers' own leases
MEMBERS_VOTERS = 5
MEMBERS_LEASES = 8
CONTROL_START_TIMEOUT_S = 40  # s; until a control process has committed a version
REAL_START_TIMEOUT_S = 40  # s; until the real brokers listen
START_POLL_S = 0.1  # s; between checks whether processes have started


class CapacityRunError(Exception):
    """Raised when a capacity run can't continue; the message is printed to the user."""


@dataclass(slots=True)
class PlacedBroker:
    """A broker of the run with its zone, address and host; `host` is None for a real broker."""

    name: str
    zone: str
    address: str
    host: SimulatedBrokerHost | None
    up: bool = False

    @property
    def region(self) -> str:
        """The region that the broker's zone belongs to."""
        return REGION[self.zone]


@dataclass
class FleetSize:
    """The size of a run. `ping_s`: the members' ping interval; 0: simulated brokers don't run membership."""

    brokers: int
    engines: int
    real_brokers: int
    controls: int = CONTROL_PROCESSES
    ping_s: float = 0.0


class CapacityFleet:
    """All processes and proxies of one run. `folder`: the folder of their files."""

    def __init__(self, size: FleetSize, seed: int, folder: Path) -> None:
        self.size, self.seed, self.folder = size, seed, folder
        self.controls = [
            ControlProcess(f"c{number + 1}", ZONES[number % 3], number < CONTROL_VOTERS, folder)
            for number in range(size.controls)
        ]
        self.control_by_name = {control.name: control for control in self.controls}
        self.udp = UdpProxies(
            {control.name: control.fleet for control in self.controls},
            seed,
            self._are_in_two_regions,
        )
        self.tcp = {control.name: TcpProxy(("127.0.0.1", control.port)) for control in self.controls}
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

    def _are_in_two_regions(self, source: str, to: str) -> bool:
        return self.control_by_name[source].region != self.control_by_name[to].region

    # Settings files

    def _servers(self, region: str, me: str = "") -> list[dict]:
        """Return the list of control processes for a region's brokers, or for the control process `me`."""
        return [
            {
                "name": control.name,
                "fleet": self._fleet_address(control, region, me),
                "management": f"127.0.0.1:{control.management}",
                "zone": control.zone,
                "address": self._broker_address(control, region),
                "region": control.region,
                "votes": control.votes,
            }
            for control in self.controls
        ]

    def _fleet_address(self, control: ControlProcess, region: str, me: str) -> str:
        """Return the address at which other control processes reach one: a proxy from the other region."""
        if not me or control.region == region:
            return f"127.0.0.1:{control.fleet}"
        return self.udp.address(me, control.name)

    def _broker_address(self, control: ControlProcess, region: str) -> str:
        """Return the address at which brokers reach a control process: a proxy from the other region."""
        if control.region == region:
            return f"127.0.0.1:{control.port}"
        return self.tcp[control.name].address

    def _write_settings(self, path: Path, servers: list[dict], record: Path | None) -> None:
        """Write a control settings file. `record`: file for the process's event records, if any."""
        settings = {
            "servers": servers,
            "term_s": CONTROL_TERM_S,
            "ping_s": CONTROL_PING_S,
            "grace_s": 1.0,
        }
        if record:
            settings["lab"] = {"record": str(record)}
        path.write_text(yaml.safe_dump(settings))

    def seed_file(self) -> Path:
        """Write the initial settings and engines of the history to a file; return its path."""
        config = SETTINGS | _site_settings()
        engines = {
            engine.name: engine_value(engine.member()["host_port"], LIVE_ZONE) for engine in self.fake_engines
        }
        for number in range(self.size.engines - len(self.fake_engines)):
            engines[f"e{number:03}"] = engine_value(unused_address(number), ZONES[number % 3])
        path = self.folder / "seed.yaml"
        path.write_text(yaml.safe_dump({"config": config, "engines": engines}))
        return path

    # Start of the processes

    def start(self) -> None:
        """Start control processes, then brokers; return once all run.

        Raises `CapacityRunError` if some don't start in time.
        """
        self.start_controls()
        self.start_simulated()
        self.start_real_brokers()

    def start_controls(self) -> None:
        """Start the control processes, and wait until a leader has committed a version.

        Raises `CapacityRunError` at a timeout, with the end of the processes' logs.
        """
        for control in self.controls:
            self._write_settings(
                control.settings, self._servers(control.region, control.name), control.record
            )
        for region in set(REGION.values()):
            self._write_settings(self.folder / f"{region}.yaml", self._servers(region), None)
        first = self.seed_file()
        for control in self.controls:
            control.start(first)
        if not until(self._has_committed, CONTROL_START_TIMEOUT_S, START_POLL_S):
            logs = "".join(control.log.read_text()[-300:] for control in self.controls)
            raise CapacityRunError(f"no control process has committed a version: {logs}")

    def _has_committed(self) -> bool:
        """Return whether any control process reports a committed version."""
        return any(control.status().get("commit") for control in self.controls if control.responsive())

    def start_simulated(self) -> None:
        """Start the hosts with their simulated brokers. Raises `CapacityRunError` at a timeout."""
        count = self.size.brokers - self.size.real_brokers
        for number in range(math.ceil(count / BROKERS_PER_HOST)):
            self.hosts.append(SimulatedBrokerHost(number, self.folder))
        for number in range(count):
            name = f"b{number:03}"
            host = self.hosts[number % len(self.hosts)]
            self.brokers[name] = PlacedBroker(name, ZONES[number % 3], new_fleet_address(), host)
        self.start_brokers(list(self.brokers))
        timeout_s = 20 + count / 5
        if not until(lambda: self._count_started() == count, timeout_s, START_POLL_S):
            raise CapacityRunError(f"not all of {count} simulated brokers started")

    def _count_started(self) -> int:
        """Return how many simulated brokers their hosts reported as started."""
        return sum(len(host.started) for host in self.hosts)

    def start_real_brokers(self) -> None:
        """Start real broker processes, with fake engines and a small load.

        Raises `CapacityRunError` at a timeout, with the end of the brokers' output.
        """
        names = [f"real{number}" for number in range(self.size.real_brokers)]
        for number, name in enumerate(names):
            self.brokers[name] = PlacedBroker(name, ZONES[number % 3], new_fleet_address(), None)
            self._add_real_broker(name)
            self.real_costs[name] = ProcessCost()
        self.start_brokers(names)
        brokers = self.real_brokers.all.values()
        self.clients = [Client([broker.port], LOOKUP_INTERVAL_S, 0) for broker in brokers]
        self.greenlets += [gevent.spawn(client.run) for client in self.clients]
        if not until(self._all_real_brokers_listen, REAL_START_TIMEOUT_S, START_POLL_S):
            logs = "".join(broker.words()[-500:] for broker in brokers)
            raise CapacityRunError(f"real brokers did not start listening: {logs}")

    def _all_real_brokers_listen(self) -> bool:
        return all("listening on" in broker.words() for broker in self.real_brokers.all.values())

    def record(self, name: str) -> Path:
        """Return the file in which a broker records the versions that it applied."""
        return self.folder / f"{name}.broker.jsonl"

    def _add_real_broker(self, name: str) -> None:
        placed = self.brokers[name]
        members = [engine.member() for engine in self.fake_engines]
        self.real_brokers.add(name, {}, members, _site_settings())
        settings = self.real_brokers.folder / f"{name}.control.yaml"
        self._write_settings(settings, self._servers(placed.region), self.record(name))

    # Starts, kills and replacement of brokers

    def start_brokers(self, names: list[str]) -> None:
        """Start the named brokers, real or simulated."""
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
            placed.host.send(command)

    def _members(self) -> MembersSettings | None:
        if not self.size.ping_s:
            return None
        return MembersSettings(
            ping_s=self.size.ping_s,
            term_s=MEMBERS_TERM_S,
            voters=[f"b{number:03}" for number in range(MEMBERS_VOTERS)],
            leases=[f"lease{number}" for number in range(MEMBERS_LEASES)],
        )

    def kill_brokers(self, names: list[str]) -> None:
        """Kill the named brokers, real or simulated."""
        for name in names:
            placed = self.brokers[name]
            placed.up = False
            if placed.host is None:
                self.real_brokers.all[name].kill()
            else:
                placed.host.send(KillCommand(name))

    def assign_new_address(self, name: str) -> None:
        """Give a killed broker another address, which it uses from its next start on."""
        self.brokers[name].address = new_fleet_address()

    # Cuts between regions

    def cut(self, mode: str) -> None:
        """Block all traffic between the regions; `mode` as in `TcpProxy.cut`."""
        self.is_cut = True
        for pair in self.udp.paths:
            self.udp.paths[pair] = LinkConditions(cut=True)
        for proxy in self.tcp.values():
            proxy.cut(mode)
        for host in self.hosts:
            host.send(CutCommand())

    def heal(self) -> None:
        """Allow traffic between the regions again."""
        self.is_cut = False
        self.udp.heal()
        for proxy in self.tcp.values():
            proxy.heal()
        for host in self.hosts:
            host.send(HealCommand())

    # Resource usage of the processes

    def sample(self) -> None:
        """Sample the processor time and memory of every process."""
        for control in self.controls:
            if control.running():
                control.cost.sample(control.pid)
        for host in self.hosts:
            host.cost.sample(host.process.pid)
        for name, broker in self.real_brokers.all.items():
            if broker.running() and broker.listening():  # the cost of a start is no cost of the control part
                self.real_costs[name].sample(broker.pid)

    def hosted_by(self, host: SimulatedBrokerHost) -> int:
        """Return how many simulated brokers a host runs."""
        return sum(broker.host is host for broker in self.brokers.values())

    def memory_mb(self) -> float:
        """Return the total memory of all processes as last sampled, MB."""
        costs = (
            *(control.cost for control in self.controls),
            *(host.cost for host in self.hosts),
            *self.real_costs.values(),
        )
        return sum(cost.rss_mb for cost in costs)

    def processes(self) -> int:
        """Return how many processes of this fleet run."""
        controls = sum(control.running() for control in self.controls)
        brokers = sum(broker.running() for broker in self.real_brokers.all.values())
        return controls + len(self.hosts) + brokers

    def end(self) -> None:
        """Kill all processes of this fleet and close its proxies and greenlets."""
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


def _site_settings() -> dict:
    """Return the settings that differ from the defaults: all zones, and classes only in the live zone."""
    classes = [settings | {"DcsOpen": [0]} for settings in SETTINGS["Classes"]]
    return {"Dcs": [LIVE_ZONE, *ZONES], "Classes": classes}


def engine_value(address: str, zone: str, state: str = "ready") -> dict:
    """Return an engine's value as the control plane stores it."""
    return {"address": address, "kind": "node-8c", "zone": zone, "cell": 0, "state": state, "born_ms": 0}


def unused_address(number: int) -> str:
    """Return a loopback address at which nothing listens, a different one for each number."""
    return f"127.0.{1 + number // 250}.{1 + number % 250}:9"


def new_fleet_address() -> str:
    """Return a free loopback address for a broker's fleet socket."""
    return f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"
