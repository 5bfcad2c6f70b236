"""The processes of a scale run: control processes, hosts of hollow brokers, real brokers, relays.

Starts its own, ends its own by their ids, whatever happens. Two regions: what goes from one to the other
passes relays in the harness, so that it can be cut; each side has settings files of its own.
"""

import json
import os
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import gevent
import yaml
from gevent import socket, subprocess

from cypressledge.lab.capacity.day import REGION, ZONES
from cypressledge.lab.engines import LabEngine
from cypressledge.lab.load import Client
from cypressledge.lab.processes import ROOT, Brokers, OwnProcess, until
from cypressledge.lab.site import SETTINGS, free_port
from cypressledge.lab.tcp_proxy import TcpProxy
from cypressledge.lab.udp_proxy import LinkConditions, UdpProxies

TICKS = os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / (1 << 20)
VOTERS, CONTROLS = 5, 8
EACH_MOST = 60  # hollow brokers of one host
LIVE = "live"  # the zone of the engines that answer: real brokers use no other
TERM_S, PING_S = 2.0, 0.3  # of the control processes' own leases
STANDINS = 6
ASK_EVERY_S = 1.0  # between lookups at a real broker: it is to serve, at next to no cost of that
MEMBERS = {"term_s": 4.0, "voters": 5, "leases": 8}


class ScaleError(Exception):
    """The run can't go on: one plain line."""


@dataclass(slots=True)
class Cost:
    """What a process has taken while it was looked at, over all its lives."""

    cpu_s: float = 0.0
    seconds: float = 0.0
    rss_mb: float = 0.0
    start_cpu_s: float = 0.0  # that a life had taken at its first look, at the most
    net: int = 0  # bytes, both ways
    last: tuple[int, float, float] | None = None  # pid, when, cpu s
    last_net: int = 0

    def look(self, pid: int) -> None:
        """One more look at a process that runs."""
        try:
            stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
            pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            self.last = None
            return
        now, cpu = time.monotonic(), (int(stat[11]) + int(stat[12])) / TICKS
        if self.last is not None and self.last[0] == pid:
            self.cpu_s += cpu - self.last[2]
            self.seconds += now - self.last[1]
        else:
            self.start_cpu_s = max(self.start_cpu_s, cpu)
        self.last = (pid, now, cpu)
        self.rss_mb = max(self.rss_mb, pages * PAGE_MB)

    def count(self, total: int) -> None:
        """The process has passed so many bytes in this life; a lower figure is a new life's."""
        self.net += total - self.last_net if total >= self.last_net else total
        self.last_net = total

    @property
    def cpu_pct(self) -> float:
        """Percent of one core."""
        return 100 * self.cpu_s / self.seconds if self.seconds else 0.0

    @property
    def net_kb_s(self) -> float:
        """KB a second."""
        return self.net / 1000 / self.seconds if self.seconds else 0.0


def http(port: int, method: str, path: str, body: bytes = b"", seconds: float = 8.0) -> tuple[int, object]:
    """A process's answer on its management address: status and JSON. Raises `OSError`, `ValueError`."""
    with socket.create_connection(("127.0.0.1", port), 1.0) as sock:
        sock.settimeout(seconds)
        sock.sendall(
            f"{method} {path} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        raw = b""
        while chunk := sock.recv(65_536):
            raw += chunk
    head, _, rest = raw.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(rest)


class Control(OwnProcess):
    """One control process. `zone`, `votes`: where it is and whether it counts."""

    def __init__(self, name: str, zone: str, votes: bool, folder: Path) -> None:
        self.name, self.zone, self.votes, self.folder = name, zone, votes, folder
        self.region = REGION[zone]
        self.port, self.management = free_port(), free_port()
        self.fleet = free_port(socket.SOCK_DGRAM)
        self.settings = folder / f"{name}.yaml"
        self.record, self.log = folder / f"{name}.control.jsonl", folder / f"{name}.log"
        self.cost = Cost()

    def start(self, first: Path | None = None) -> None:
        """Start it; with `first`, in an empty store with what that file says."""
        more = ["--first", str(first)] if first else []
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-O",
                    "-m",
                    "cypressledge",
                    "control",
                    "serve",
                    "--settings",
                    str(self.settings),
                    "--name",
                    self.name,
                    "--store",
                    str(self.folder / f"{self.name}.store"),
                    *more,
                ],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        self.stopped = False

    def status(self, seconds: float = 1.0) -> dict:
        """As operators see it; empty where it does not answer."""
        try:
            return http(self.management, "GET", "/control/status", seconds=seconds)[1]
        except (OSError, ValueError, IndexError):
            return {}


class HollowHost:
    """A process of hollow brokers, and what it says."""

    def __init__(self, number: int, folder: Path) -> None:
        self.number, self.cost, self.late = number, Cost(), []
        self.started: dict[str, int] = {}
        self.killed: dict[tuple[str, int], int] = {}  # by broker and run: when, µs
        self.counts: Counter[str] = Counter()
        self.alive, self.held = 0, 0
        with open(folder / f"host{number}.log", "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", "cypressledge.lab.simulated_broker"],
                cwd=ROOT,
                stdout=subprocess.PIPE,
                stderr=log,
                stdin=subprocess.PIPE,
                start_new_session=True,
            )
        self.reader = gevent.spawn(self._read)

    def tell(self, **command) -> None:
        """One command. Raises `OSError` where the host is gone."""
        self.process.stdin.write(json.dumps(command).encode() + b"\n")
        self.process.stdin.flush()

    def _read(self) -> None:
        for line in self.process.stdout:
            told = json.loads(line)
            if told["event"] == "started":
                self.started[told["broker"]] = told["run"]
            elif told["event"] == "killed":
                self.killed[told["broker"], told["run"]] = told["at"]
            elif told["event"] == "figures":
                self.late.append(told["late"])
                self.counts = Counter(told["counts"])
                self.cost.count(told["bytes"])
                self.alive, self.held = told["members"]

    def end(self) -> None:
        """It is gone, and its brokers with it."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.reader.kill()


@dataclass(slots=True)
class Placed:
    """A broker of the run: where it is, and who runs it (a host, or nobody for a real one)."""

    name: str
    zone: str
    address: str
    host: HollowHost | None
    up: bool = False

    @property
    def region(self) -> str:
        """Of its zone."""
        return REGION[self.zone]


@dataclass
class Size:
    """How large a run is. `ping_s`: the members' ping period; 0: hollow brokers have no members."""

    brokers: int
    engines: int
    real: int
    controls: int = CONTROLS
    ping_s: float = 0.0


class World:
    """All of it. `folder`: where files go."""

    def __init__(self, size: Size, seed: int, folder: Path) -> None:
        self.size, self.seed, self.folder = size, seed, folder
        self.controls = [Control(f"c{i + 1}", ZONES[i % 3], i < VOTERS, folder) for i in range(size.controls)]
        self.by_name = {c.name: c for c in self.controls}
        self.udp = UdpProxies(
            {c.name: c.fleet for c in self.controls},
            seed,
            lambda a, b: self.by_name[a].region != self.by_name[b].region,
        )
        self.tcp = {c.name: TcpProxy(("127.0.0.1", c.port)) for c in self.controls}
        self.standins = [LabEngine(f"live{i}", LIVE, 0.005) for i in range(min(STANDINS, size.engines))]
        self.real = Brokers(str(folder / "real"))
        self.hosts: list[HollowHost] = []
        self.brokers: dict[str, Placed] = {}
        self.clients: list[Client] = []
        self.greenlets: list = []
        self.real_cost: dict[str, Cost] = {}
        self.is_cut = False

    # Files

    def _servers(self, region: str, me: str = "") -> list[dict]:
        """The control processes as they are seen from a region, or by one of them."""

        def fleet(c: Control) -> str:
            near = not me or c.region == region
            return f"127.0.0.1:{c.fleet}" if near else self.udp.address(me, c.name)

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
            yaml.safe_dump({"servers": servers, "term_s": TERM_S, "ping_s": PING_S, "grace_s": 1.0, **lab})
        )
        return path

    def seed_file(self) -> Path:
        """What the history begins with: settings and engines."""
        config = SETTINGS | {
            "Dcs": [LIVE, *ZONES],
            "Classes": [k | {"DcsOpen": [0]} for k in SETTINGS["Classes"]],
        }
        engines = {e.name: engine(e.member()["host_port"], LIVE) for e in self.standins}
        for n in range(self.size.engines - len(self.standins)):
            engines[f"e{n:03}"] = engine(ghost(n), ZONES[n % 3])
        path = self.folder / "seed.yaml"
        path.write_text(yaml.safe_dump({"config": config, "engines": engines}))
        return path

    # Starting

    def start(self) -> None:
        """Control processes, then brokers; returns once all have all of it. Raises `ScaleError`."""
        self.start_controls()
        self.start_hollow()
        self.start_real()

    def start_controls(self) -> None:
        """The history begins."""
        for c in self.controls:
            self._file(c.settings, self._servers(c.region, c.name), c.record)
        for region in set(REGION.values()):
            self._file(self.folder / f"{region}.yaml", self._servers(region), None)
        first = self.seed_file()
        for c in self.controls:
            c.start(first)
        if not until(lambda: any(self.newest()), 40, 0.1):
            raise ScaleError("no primary: " + "".join(c.log.read_text()[-300:] for c in self.controls))

    def newest(self) -> list[tuple[int, str]]:
        """What the control processes that answer hold as committed, and where; no answer is left out."""
        told = [(c.status(), c.name) for c in self.controls if c.running() and not c.stopped]
        return [(s["commit"], name) for s, name in told if s.get("commit")]

    def start_hollow(self) -> None:
        """The hosts and their brokers, a host at a time."""
        count = self.size.brokers - self.size.real
        for n in range(-(-count // EACH_MOST)):
            self.hosts.append(HollowHost(n, self.folder))
        for n in range(count):
            host = self.hosts[n % len(self.hosts)]
            self.brokers[f"b{n:03}"] = Placed(f"b{n:03}", ZONES[n % 3], new_address(), host)
        self.up(list(self.brokers))
        if not until(lambda: sum(len(h.started) for h in self.hosts) == count, 20 + count / 5, 0.1):
            raise ScaleError("hollow brokers did not start")

    def start_real(self) -> None:
        """Brokers of the program, with stand-in engines and a small load."""
        for n in range(self.size.real):
            name = f"real{n}"
            zone = ZONES[n % 3]
            self.brokers[name] = Placed(name, zone, new_address(), None)
            self._real(name)
            self.real_cost[name] = Cost()
        self.up([f"real{n}" for n in range(self.size.real)])
        ports = [b.port for b in self.real.all.values()]
        self.clients = [Client([port], ASK_EVERY_S, 0) for port in ports]
        self.greenlets += [gevent.spawn(c.run) for c in self.clients]
        ready = until(lambda: all("listening on" in b.words() for b in self.real.all.values()), 40, 0.1)
        if not ready:
            raise ScaleError(
                "real brokers did not start: " + "".join(b.words()[-500:] for b in self.real.all.values())
            )

    def record(self, name: str) -> Path:
        """Where a broker writes down what it has in force."""
        return self.folder / f"{name}.broker.jsonl"

    def _real(self, name: str) -> None:
        placed = self.brokers[name]
        config = {"Dcs": [LIVE, *ZONES], "Classes": [k | {"DcsOpen": [0]} for k in SETTINGS["Classes"]]}
        self.real.add(name, {}, [e.member() for e in self.standins], config)
        self._file(self.real.folder / f"{name}.control.yaml", self._servers(placed.region), self.record(name))

    # Brokers come and go

    def up(self, names: list[str]) -> None:
        """Start these, wherever they are."""
        for name in names:
            placed = self.brokers[name]
            placed.up = True
            if placed.host is None:
                file = str(self.real.folder / f"{name}.control.yaml")
                self.real.all[name].start(
                    False, ("--control", file), {"ROUTER_ZONE": placed.zone, "ROUTER_REGION": placed.region}
                )
                continue
            placed.host.tell(
                do="start",
                broker=name,
                zone=placed.zone,
                region=placed.region,
                address=placed.address,
                settings=str(self.folder / f"{placed.region}.yaml"),
                record=str(self.record(name)),
                members=self._members(),
            )

    def _members(self) -> dict | None:
        if not self.size.ping_s:
            return None
        return {
            "ping_s": self.size.ping_s,
            "term_s": MEMBERS["term_s"],
            "voters": [f"b{n:03}" for n in range(MEMBERS["voters"])],
            "leases": [f"lease{n}" for n in range(MEMBERS["leases"])],
        }

    def down(self, names: list[str]) -> None:
        """Kill these."""
        for name in names:
            placed = self.brokers[name]
            placed.up = False
            if placed.host is None:
                self.real.all[name].kill()
            else:
                placed.host.tell(do="kill", broker=name)

    def move(self, name: str) -> None:
        """A broker that is down has another address when it comes back."""
        self.brokers[name].address = new_address()

    # Regions

    def cut(self, how: str) -> None:
        """Nothing passes between the regions any more."""
        self.is_cut = True
        for pair in self.udp.paths:
            self.udp.paths[pair] = LinkConditions(cut=True)
        for relay in self.tcp.values():
            relay.cut(how)
        for host in self.hosts:
            host.tell(do="cut")

    def heal(self) -> None:
        """It passes again."""
        self.is_cut = False
        self.udp.heal()
        for relay in self.tcp.values():
            relay.heal()
        for host in self.hosts:
            host.tell(do="heal")

    # Looking

    def look(self) -> None:
        """One look at every process's use of the machine."""
        for c in self.controls:
            if c.running():
                c.cost.look(c.process.pid)
        for host in self.hosts:
            host.cost.look(host.process.pid)
        for name, broker in self.real.all.items():
            if broker.running() and broker.listening():  # what a start takes is no cost of control
                self.real_cost[name].look(broker.process.pid)

    def memory_mb(self) -> float:
        """Of all its processes together, as far as seen, MB."""
        return sum(
            c.rss_mb
            for c in (
                *(c.cost for c in self.controls),
                *(h.cost for h in self.hosts),
                *self.real_cost.values(),
            )
        )

    def processes(self) -> int:
        """That were started and run."""
        return (
            sum(c.running() for c in self.controls)
            + len(self.hosts)
            + sum(b.running() for b in self.real.all.values())
        )

    def end(self) -> None:
        """Nothing is left behind."""
        gevent.killall(self.greenlets)
        for host in self.hosts:
            host.end()
        self.real.end()
        for c in self.controls:
            c.kill()
        self.udp.close()
        for relay in self.tcp.values():
            relay.close()
        for standin in self.standins:
            standin.close()


def engine(at: str, zone: str, state: str = "ready") -> dict:
    """An engine's value in the state."""
    return {"address": at, "kind": "node-8c", "zone": zone, "cell": 0, "state": state, "born_ms": 0}


def ghost(number: int) -> str:
    """An address of the loopback where nobody listens, another for each number."""
    return f"127.0.{1 + number // 250}.{1 + number % 250}:9"


def new_address() -> str:
    """A fleet socket's."""
    return f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"
