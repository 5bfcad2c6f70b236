"""Control processes of the program, followers in the test's own process, and relays between processes."""

import contextlib
import http.client
import json
import os
import sqlite3
import sys
import tempfile
import time
from itertools import pairwise
from pathlib import Path

import gevent
import msgspec
import yaml
from gevent import socket, subprocess
from gevent.server import StreamServer

from cypressledge.broker.metrics import Counters
from cypressledge.controlplane.faults import FAULT_VARIABLE
from cypressledge.controlplane.messages import FORMAT, Hello, encode
from cypressledge.controlplane.settings import ControlSettings
from cypressledge.controlplane.subscriber import BrokerIdentity
from cypressledge.controlplane.subscriber_client import SubscriberClient, SubscriberOptions
from cypressledge.lab.processes import ROOT, BrokerProcess, until
from cypressledge.lab.site import free_port, free_udp_ports
from cypressledge.lab.udp_proxy import UdpProxies

TERM = 1.0
WAIT = 25.0  # seconds that a test waits for an event at most
NAMES = ("c1", "c2", "c3")
SEED = {"engines": {"e0": {"address": "127.0.0.1:7000"}}}


def call(port: int, method: str, path: str, body: dict | None = None) -> tuple[int, dict]:
    """One call of an operator, while the test's other greenlets go on. Raises `OSError`."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT)
    conn.sock = socket.create_connection(("127.0.0.1", port), WAIT)
    try:
        conn.request(method, path, "" if body is None else json.dumps(body))
        answer = conn.getresponse()
        return answer.status, json.loads(answer.read())
    except http.client.HTTPException as err:
        raise ConnectionError(str(err)) from None
    finally:
        conn.close()


def engine(number: int) -> dict:
    """An engine at an address of its own."""
    return {"address": f"127.0.{number // 250}.{number % 250 + 1}:7001"}


class ControlServer(BrokerProcess):
    """One control process as a process, with a settings file of its own."""

    def __init__(self, name: str, folder: Path, port: int, udp: int) -> None:
        self.name, self.folder, self.port, self.udp = name, folder, port, udp
        self.management, self.settings = free_port(), {}
        self.file, self.store = folder / f"{name}.yaml", folder / name
        self.log_file = folder / f"{name}.log"
        self.process, self.stopped = None, False

    def start(self, *flags: str, fault: str = "") -> None:
        """Start it; its log goes on in the same file."""
        self.file.write_text(yaml.safe_dump(self.settings))
        env = {k: v for k, v in os.environ.items() if not k.startswith(("ROUTER_", "CYPRESSLEDGE_"))}
        env |= {"TMPDIR": str(self.folder)} | ({FAULT_VARIABLE: fault} if fault else {})
        with open(self.log_file, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-O",
                    "-m",
                    "cypressledge",
                    "control",
                    "serve",
                    "--settings",
                    str(self.file),
                    "--name",
                    self.name,
                    "--store",
                    str(self.store),
                    *flags,
                ],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        self.stopped = False

    def ask(self, path: str, method: str = "GET", body: dict | None = None) -> tuple[int, dict]:
        """What it answers on /control/…; (0, {}) where it doesn't."""
        if self.stopped or not self.running():
            return 0, {}
        try:
            return call(self.management, method, f"/control/{path}", body)
        except (OSError, ValueError):
            return 0, {}

    def status(self) -> dict:
        """Its status; empty where it doesn't answer."""
        return self.ask("status")[1]

    def logged(self, event: str) -> list[dict]:
        """Lines of its log about an event."""
        return [e for e in self.events() if e["event"] == event]

    def last_stored_position(self) -> tuple[int, int]:
        """(epoch, version) of the newest change on its disk, while it doesn't run."""
        with sqlite3.connect(self.store / "history.sqlite") as db:
            body = db.execute("SELECT body FROM changes ORDER BY version DESC LIMIT 1").fetchone()[0]
        db.close()
        return tuple(msgspec.msgpack.decode(body)[:2])

    def is_halted(self) -> bool:
        """Whether it stands still (SIGSTOP), whoever did that."""
        if not self.running():
            return False
        state = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()[0]
        self.stopped = self.stopped or state == "T"
        return state == "T"

    def memory(self) -> int:
        """Bytes that it holds in memory."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return next(int(line.split()[1]) for line in text.splitlines() if line.startswith("VmRSS")) * 1024


class ControlledBroker(BrokerProcess):
    """A broker of the program that follows a control plane, with the fleet's part or without."""

    def __init__(self, name: str, folder: Path, control: dict, fleet: dict | None = None) -> None:
        super().__init__(name, folder, fleet or {})
        self.control = folder / f"{name}.control.yaml"
        self.control.write_text(yaml.safe_dump(control))

    def start(self, fleet: bool = False) -> None:
        """Start it; its log goes on in the same file."""
        self.fleet_file.write_text(yaml.safe_dump(self.fleet))
        env = {k: v for k, v in os.environ.items() if not k.startswith(("ROUTER_", "CYPRESSLEDGE_"))}
        env |= {"ROUTER_CONFIG": str(self.config_file), "TMPDIR": str(self.folder), "ROUTER_ZONE": "z1"}
        with open(self.log_file, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-O",
                    "-m",
                    "cypressledge",
                    "--control",
                    str(self.control),
                    *(("--fleet", str(self.fleet_file)) if fleet else ()),
                ],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        self.stopped = False

    def show(self, path: str):
        """What it answers on its management address; None where it doesn't."""
        try:
            return call(self.management, "GET", path)[1]
        except (OSError, ValueError):
            return None


class TcpProxies:
    """A TCP relay for each ordered pair. A cut one swallows what comes, as a cut line does; healed, it ends
    what was open, so that nothing comes late."""

    def __init__(self, ports: dict[str, int]) -> None:
        self.cut: set[tuple[str, str]] = set()
        self.open: list[tuple[tuple[str, str], socket.socket]] = []
        self.servers = {}
        for pair in ((a, b) for a in ports for b in ports if a != b):
            server = StreamServer(("127.0.0.1", 0), lambda sock, _, p=pair: self._join(p, ports[p[1]], sock))
            server.start()
            self.servers[pair] = server

    def address(self, source: str, to: str) -> str:
        """Where `source` has to connect for `to`."""
        return f"127.0.0.1:{self.servers[source, to].server_port}"

    def _join(self, pair: tuple[str, str], port: int, sock) -> None:
        try:
            other = socket.create_connection(("127.0.0.1", port), 2)
        except OSError:
            return
        other.settimeout(None)
        self.open += [(pair, sock), (pair, other)]
        back = gevent.spawn(self._pass, pair[::-1], other, sock)
        self._pass(pair, sock, other)
        back.join()

    def _pass(self, way: tuple[str, str], source, to) -> None:
        try:
            while raw := source.recv(65_536):
                if way not in self.cut:
                    to.sendall(raw)
        except OSError:
            pass
        for sock in (source, to):
            shut(sock)

    def heal(self) -> None:
        """All lines are whole, and new."""
        self.cut.clear()
        for _, sock in self.open:
            shut(sock)
        self.open.clear()

    def close(self) -> None:
        """End all."""
        self.heal()
        for server in self.servers.values():
            server.stop()


def shut(sock) -> None:
    """End a connection, which may have ended."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


class ControlCluster:
    """Three control processes, with relays between them where asked for. `zones`: one for each."""

    def __init__(self, relays: bool = False, fault: str = "", more: dict | None = None) -> None:
        self._own = tempfile.TemporaryDirectory(prefix="cypressledge-control-")
        self.folder, self.more = Path(self._own.name), more or {}
        udp = free_udp_ports(list(NAMES))
        self.servers = {n: ControlServer(n, self.folder, free_port(), udp[n]) for n in NAMES}
        self.lines = TcpProxies({n: s.port for n, s in self.servers.items()}) if relays else None
        self.relays = UdpProxies(udp, 1) if relays else None
        self.subscribers: list[SimulatedSubscriber] = []
        self.processes: list[BrokerProcess] = []
        (self.folder / "seed.yaml").write_text(yaml.safe_dump(SEED))
        for server in self.servers.values():
            server.settings = self.settings(server.name)
            server.start("--first", str(self.folder / "seed.yaml"), fault=fault)

    def settings(self, whose: str = "") -> dict:
        """The settings file of one of them, or of everybody else."""
        rows = []
        for server in self.servers.values():
            far = self.lines is not None and whose and whose != server.name
            rows.append(
                {
                    "name": server.name,
                    "management": f"127.0.0.1:{server.management}",
                    "address": self.lines.address(whose, server.name) if far else f"127.0.0.1:{server.port}",
                    "fleet": self.relays.address(whose, server.name) if far else f"127.0.0.1:{server.udp}",
                    "zone": f"z{server.name[1:]}",
                }
            )
        return {"servers": rows, "term_s": TERM, "ping_s": 0.2, "grace_s": 1.0} | self.more

    def __getitem__(self, name: str) -> ControlServer:
        return self.servers[name]

    def others(self, *names: str) -> list[ControlServer]:
        """All but these."""
        return [s for n, s in self.servers.items() if n not in names]

    # What operators do

    def primary(self, *but: str) -> ControlServer:
        """Wait for a primary, another one than these."""

        def found():
            return next((s for s in self.others(*but) if s.status().get("role") == "primary"), None)

        return self.wait(found, "a primary")

    def post(self, server: ControlServer, sets: dict, request: str = "", **more) -> tuple[int, dict]:
        """One change, asked for once, at one of them."""
        return server.ask("change", "POST", {"request": request, "who": "test", "ops": {"set": sets}} | more)

    def change(self, sets: dict, request: str, **more) -> dict:
        """A change, repeated until it is done; what was answered."""

        def done():
            for server in self.servers.values():
                told = self.post(server, sets, request, **more)[1]
                if told.get("answer") == "done":
                    return told
                assert told.get("answer") in (None, "unknown", "not primary"), told
            return None

        return self.wait(done, f"the change {request}")

    def changes(self, server: ControlServer) -> list[tuple]:
        """The history that one of them keeps."""
        return [
            (c["epoch"], c["version"], c["request"], *c["set"], *c["removed"])
            for c in server.ask("history?from=0")[1].get("changes", ())
        ]

    def position(self, server: ControlServer) -> tuple:
        """What one of them has committed."""
        told = server.status()
        return told.get("version", -1), told.get("digest", ""), told.get("lineage", "")

    def one_history(self, least: int = 1) -> int:
        """Wait until all hold the same one, up to a version at least; its last version."""

        def same():
            got = [self.position(s) for s in self.servers.values()]
            return got[0][0] if len(set(got)) == 1 and got[0][0] >= least else None

        version = self.wait(same, "one history everywhere")
        # What each still has in memory begins where it started: compare the part that all have.
        told = [{c[1]: c for c in self.changes(s)} for s in self.servers.values()]
        shared = set.intersection(*(set(t) for t in told))
        assert all(told[0][v] == t[v] for v in shared for t in told)
        return version

    def in_force(self, key: str) -> int:
        """The version that set a key, the same everywhere."""
        got = {
            s.ask(f"state?prefix={key}")[1]["entries"].get(key, {}).get("version", -1)
            for s in self.servers.values()
        }
        assert len(got) == 1, got
        return got.pop()

    def requests(self, name: str) -> int:
        """How often a request stands in the history, at whoever keeps the most of it."""
        return max(sum(c[2] == name for c in self.changes(s)) for s in self.servers.values())

    # What is round them

    def follow(
        self, name: str, zone: str = "", only: tuple[str, ...] = NAMES, **more
    ) -> "SimulatedSubscriber":
        """A follower in this process."""
        told = self.settings()
        told["servers"] = [row for row in told["servers"] if row["name"] in only]
        self.subscribers.append(
            SimulatedSubscriber(name, msgspec.convert(told, ControlSettings), zone, **more)
        )
        return self.subscribers[-1]

    def cut(self, name: str) -> None:
        """Nothing passes between one of them and the others any more."""
        for pair in self.relays.paths:
            if name in pair:
                self.relays.paths[pair].cut = True
                self.lines.cut.add(pair)

    def heal(self) -> None:
        """Everything passes."""
        self.relays.heal()
        self.lines.heal()

    def wait(self, holds, what: str, seconds: float = WAIT):
        """Wait, within bounds, until something holds; what it gave."""

        def held():
            dead = [s.name for s in self.servers.values() if s.process.poll() in (1, 3)]
            assert not dead, f"{dead} failed while waiting for {what}\n" + self.words()
            return holds()

        got = until(held, seconds)
        assert got is not None, f"waited in vain for {what}\n" + self.words()
        return got

    def words(self) -> str:
        """The ends of all logs."""
        return "\n".join(
            f"--- {s.name}\n{s.words()[-2500:]}" for s in (*self.servers.values(), *self.processes)
        )

    def end(self) -> None:
        """All are gone."""
        for agent in self.subscribers:
            agent.stop()
        for process in (*self.servers.values(), *self.processes):
            process.kill()
        if self.lines is not None:
            self.lines.close()
            self.relays.close()
        self._own.cleanup()


class SimulatedSubscriber(SubscriberClient):
    """A broker's end without a broker: keeps (monotonic s, server, epoch, version, whether whole)."""

    def __init__(
        self, name: str, settings: ControlSettings, zone: str = "", fleet_address: str = "", seed: int = 1
    ) -> None:
        self.taken: list[tuple[float, str, int, int, bool]] = []
        self.dials: list[float] = []
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
        self.taken.append((time.monotonic(), server, state.epoch, state.version, change is None))

    def _connect(self, server) -> None:
        self.dials.append(time.monotonic())
        super()._connect(server)

    @property
    def version(self) -> int:
        """What is in force."""
        return self.state.version

    def server(self) -> str:
        """Whom it follows; empty where nobody."""
        told = self.status()
        return told.server if told.phase == "following" else ""

    def has_never_gone_back(self) -> bool:
        """Whether versions and epochs only went on, and the state is what its digest says."""
        positions = [(epoch, version) for _, _, epoch, version, _ in self.taken]
        return self.state.digest_matches() and all(
            a[0] <= b[0] and a[1] < b[1] or a[0] < b[0] and a[1] == b[1] for a, b in pairwise(positions)
        )


class RawConnection:
    """A socket to a control process, that says and reads what the test wants."""

    def __init__(self, port: int, small: bool = False) -> None:
        self.sock = socket.socket()
        if small:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.connect(("127.0.0.1", port))
        self.port = self.sock.getsockname()[1]
        self.began, self.ended = time.monotonic(), 0.0

    def hello(self, name: str, **more) -> "RawConnection":
        """Say Hello as a broker."""
        self.sock.sendall(encode(Hello(FORMAT, "broker", name, 7, **more)))
        return self

    def read_slowly(self, most: int = 1, pause: float = 1.0) -> None:
        """Read so many bytes each so many seconds until it ends."""
        try:
            while self.sock.recv(most):
                gevent.sleep(pause)
        except OSError:
            pass
        self.ended = time.monotonic()

    def close(self) -> None:
        """Done."""
        self.sock.close()
