"""Loses a zone under several brokers as processes, without the fleet's part and with it, and compares.

Stand-in engines in three zones with cores, a cold start and falling over when pushed beyond it; an open load;
a schedule drawn from the seed. Each schedule is played twice. Loopback only, processes started here.
"""

import base64
import contextlib
import json
import random
import re
import secrets
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime
from functools import partial

import gevent
from gevent import socket
from gevent.queue import Queue
from gevent.server import StreamServer

from cypressledge.lab.demo import ask
from cypressledge.lab.engines import ROW
from cypressledge.lab.load import answer
from cypressledge.lab.processes import BrokerProcess, Brokers, until
from cypressledge.lab.site import SETTINGS, free_udp_ports
from cypressledge.lab.udp_proxy import UdpProxies

ZONES = ("room1", "room2", "room3")
RULES = SETTINGS["Rules"]
START, WARM_S = RULES["StartCapacity"], RULES["WarmWithin"] / 1e6
FALL, FALL_S = RULES["FallMultiple"], RULES["Fall"] / 1e6
AIM_S, STRETCH, WAIT_S = 0.6, 1.5, 3.0  # of a lookup
WORK = re.compile(rb"/\* (\d+) ms \*/")
TICK_S = 0.01
CORES, WORK_MS = 4, 100  # of an engine; of a lookup
KINDS = ("silent", "reset", "slow")  # how a whole zone fails


class CoreEngine:
    """An engine with cores that its queries share. It starts at a part of what it can do and warms up; while
    it does, work that comes at more than `FALL` times what it can do, for `FALL_S`, makes it fall over. Each
    broker has an address of its own for it, so that paths can fail one by one."""

    def __init__(self, name: str, zone: str, cores: int, brokers: list[str], warm_s: float = WARM_S) -> None:
        self.name, self.zone, self.cores, self.warm_s = name, zone, cores, warm_s
        self.born, self.fallen, self.how = time.monotonic() - 10 * warm_s, False, ""
        self.falls = 0
        self.running: dict[tuple, list] = {}  # by broker and query: [work left, s; connection]
        self.came: deque[tuple[float, float]] = deque()  # when work came, and how much, s
        self.wants: list[tuple[float, str, str]] = []
        self.conns: dict[object, str] = {}
        self.blocked: dict[str, str] = {}  # by broker: how the path to it fails
        self.servers = {b: StreamServer(("127.0.0.1", 0), partial(self._serve, b)) for b in brokers}
        for server in self.servers.values():
            server.start()
        self.part = gevent.spawn(self._run)

    def member(self, broker: str) -> dict:
        """As a directory lists it to a broker."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.servers[broker].server_port}",
            "locality": self.zone,
            "cell": 0,
            "flavor": "node-8c",
            "phase": "Ready",
            "size": 4,
            "up_since_ms": 0,
        }

    def capacity(self) -> float:
        """Cores that it has at the moment."""
        age = time.monotonic() - self.born
        warm = min(1.0, START + (1 - START) * age / self.warm_s)
        return self.cores * warm * (0.1 if self.how == "slow" else 1.0)

    def fail(self, how: str) -> None:
        """Fall silent, reset all, or slow down tenfold."""
        self.how = how
        if how != "slow":
            self.running.clear()
        if how == "reset":
            self._drop(set(self.servers))

    def block(self, brokers: set[str], how: str) -> None:
        """The paths to some brokers alone fail: silent or reset."""
        self.blocked |= dict.fromkeys(brokers, how)
        if how == "reset":
            self._drop(brokers)

    def _drop(self, brokers: set[str]) -> None:
        for conn in [c for c, broker in self.conns.items() if broker in brokers]:
            conn.close()

    def mend(self, cold: bool = True) -> None:
        """Back, cold where it was away."""
        self.blocked.clear()
        if cold:
            self.how, self.born, self.fallen = "", time.monotonic(), False
            self.came.clear()
            self.running.clear()

    def _serve(self, broker: str, conn, _) -> None:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.conns[conn] = broker
        file = conn.makefile("rb")
        try:
            while line := file.readline():
                words = line.decode().split()
                if words[0] == "want":
                    self._want(broker, conn, words[1], file.read(int(words[3]) + 2))
                elif words[0] in ("stop", "drop", "cancel"):
                    self.running.pop((broker, words[1]), None)
        except (OSError, ValueError, IndexError):
            pass
        finally:
            self.conns.pop(conn, None)

    def _want(self, broker: str, conn, name: str, statement: bytes) -> None:
        self.wants.append((time.monotonic(), broker, name))
        how = self.blocked.get(broker) or self.how
        if how == "reset" or self.fallen:
            conn.close()
        elif how != "silent":
            found = WORK.search(statement)
            work = int(found[1]) / 1000 if found else 0.05
            self.running[broker, name] = [work, conn]
            self.came.append((time.monotonic(), work))

    def _run(self) -> None:
        last = time.monotonic()
        while True:
            gevent.sleep(TICK_S)
            now = time.monotonic()
            self._work(now - last)
            self._strain(now)
            last = now

    def _work(self, span: float) -> None:
        if not self.running or self.how in ("silent", "reset"):
            return
        each = min(1.0, self.capacity() / len(self.running)) * span
        done = []
        for key, query in self.running.items():
            query[0] -= each
            if query[0] <= 0:
                done.append(key)
        for key in done:
            conn, name = self.running.pop(key)[1], key[1]
            with contextlib.suppress(OSError):  # the broker is gone
                conn.sendall(f"{name} 200 count=1 {len(ROW)}\r\n".encode() + ROW + b"\r\n")

    def _strain(self, now: float) -> None:
        while self.came and now - self.came[0][0] > FALL_S:
            self.came.popleft()
        cold = FALL_S < now - self.born < self.warm_s
        if cold and not self.how and sum(w for _, w in self.came) > FALL * self.capacity() * FALL_S:
            self.fallen = True
            self.falls += 1
            self.running.clear()

    def close(self) -> None:
        """It is gone."""
        self.part.kill()
        for server in self.servers.values():
            server.stop(timeout=0.1)


class Load:
    """An open load: queries come at a rate, whatever becomes of those before."""

    def __init__(self, ports: list[int], rate: float, work_ms: int, seed: int) -> None:
        self.ports, self.rate, self.work_ms = ports, rate, work_ms
        self.random = random.Random(seed)
        self.todo: Queue = Queue()
        self.counts: Counter[str] = Counter()
        self.parts = [gevent.spawn(self._client, n) for n in range(96)]
        self.parts.append(gevent.spawn(self._arrive))

    def _arrive(self) -> None:
        due = time.monotonic()
        while True:
            due += self.random.expovariate(self.rate)
            gevent.sleep(max(0.0, due - time.monotonic()))
            self.counts["asked"] += 1
            self.todo.put(time.monotonic())

    def _client(self, number: int) -> None:
        while True:
            port = self.ports[number % len(self.ports)]
            number += 1  # a front layer sends clients of a broker that is down to the next one
            try:
                with socket.create_connection(("127.0.0.1", port), 1.0) as sock:
                    sock.settimeout(WAIT_S + 0.5)
                    file = sock.makefile("rb")
                    while True:
                        self._ask(sock, file, self.todo.get())
            except (OSError, ValueError):
                self.counts["broken"] += 1
                gevent.sleep(0.02)

    def _ask(self, sock, file, came: float) -> None:
        left = WAIT_S - (time.monotonic() - came)
        if left <= 0.01:
            return
        ms = self.work_ms
        statement = base64.b64encode(
            b"SELECT a FROM sales_%d.orders /* %d ms */" % (self.random.randrange(20), ms)
        ).decode()
        self.counts["sent"] += 1
        body = json.dumps(
            {
                "jsonrpc": "2.0",
                "id": self.counts["sent"],
                "method": "lookup",
                "params": {
                    "id": secrets.token_hex(8),
                    "wait": int(left * 1000),
                    "tenant": "sahel",
                    "cost": float(ms),
                    "mem": 10,
                    "content": statement,
                },
            }
        ).encode()
        sock.sendall(b"Content-Length: %d\r\n\r\n" % len(body) + body)
        if "result" in answer(file):
            late = time.monotonic() - came > AIM_S + STRETCH * ms / 1000
            self.counts["late" if late else "kept"] += 1

    def end(self) -> None:
        """No more."""
        gevent.killall(self.parts)


class Field:
    """Brokers as processes, engines in three zones, and a load; with `relayed`, relays between every two
    brokers. `rate`: of all engines' cores."""

    def __init__(
        self,
        count: int,
        on: bool,
        seed: int,
        rate: float,
        relayed: bool = False,
        hold_s: float = 3.0,
        warm_s: float = WARM_S,
        regions: list[dict] | None = None,
    ) -> None:
        self.names = [f"n{i}" for i in range(count)]
        self.on, self.seed, self.rate, self.hold_s, self.warm_s = on, seed, rate, hold_s, warm_s
        self.regions, self.load = regions or [], None
        self.ports = free_udp_ports(self.names)
        self.relays = UdpProxies(self.ports, seed) if relayed else None
        self.engines = [
            CoreEngine(f"s-{z[-1]}{n}", z, CORES, self.names, warm_s) for z in ZONES for n in range(3)
        ]
        self.fleet = Brokers()

    def __getitem__(self, name: str) -> BrokerProcess:
        return self.fleet.all[name]

    def of(self, zone: str) -> list[CoreEngine]:
        """A zone's engines."""
        return [e for e in self.engines if e.zone == zone]

    def start(self) -> "Field":
        """Start all; the load begins once they have a plan, where there is to be one."""
        rules = SETTINGS["Rules"] | {"WarmWithin": round(self.warm_s * 1e6)}
        family = SETTINGS["FamilyInfo"] | {"CoresByKind": [CORES, CORES]}
        for slot, name in enumerate(self.names):
            self.fleet.add(
                name,
                self._settings(name),
                [e.member(name) for e in self.engines],
                {"Rules": rules, "FamilyInfo": family, "SlotNo": slot, "PeersTotal": len(self.names)},
            ).start(self.on)
        brokers = self.fleet.all.values()
        if not until(lambda: all("listening on" in b.words() or not b.running() for b in brokers), 30) or (
            not all(b.running() for b in brokers)
        ):
            raise RuntimeError("the brokers did not start: " + "".join(b.words()[-500:] for b in brokers))
        if self.on and not until(lambda: all(self.status(n).get("token") for n in self.names), 20):
            raise RuntimeError("no planner")
        total = sum(e.cores for e in self.engines)
        ports, rate = [self[n].port for n in self.names], self.rate * total * 1000 / WORK_MS
        self.load = Load(ports, rate, WORK_MS, self.seed)
        return self

    def _settings(self, name: str) -> dict:
        def where(peer: str) -> str:
            near = self.relays is None or peer == name
            return f"127.0.0.1:{self.ports[peer]}" if near else self.relays.address(name, peer)

        voting = self.names[: 3 if len(self.names) < 5 else 5]
        return {
            "peers": [
                {"name": n, "address": where(n), "zone": ZONES[i % 3]} for i, n in enumerate(self.names)
            ],
            "voters": [{"version": 1, "names": voting}],
            "term_s": 1.5,
            "ping_s": 0.2,
            "zone_pace": {"hold_s": self.hold_s},
            "leases": [{"name": "zones"}],
            "regions": self.regions,
            "tasks": [{"kind": "zones", "lease": "zones", "longest_s": 0.5, "priority": 0}],
        }

    def status(self, name: str) -> dict:
        """How a broker sees the zones; empty where it does not answer."""
        return ask(self[name], "/zone/status") or {}

    def zone(self, name: str, zone: str) -> dict:
        """One zone's row of it."""
        return next((z for z in self.status(name).get("zones", ()) if z["zone"] == zone), {})

    def shares(self, zone: str, among: list[str] | None = None) -> list[float | None]:
        """A zone's share at each broker that runs."""
        return [self.zone(n, zone).get("share") for n in among or self.names if self[n].running()]

    def planner(self, but: str = "") -> str:
        """Who plans, as those that run have it; nobody while they differ."""
        told = {self.status(n).get("planner") for n in self.names if self[n].running()}
        name = told.pop() if len(told) == 1 else ""
        return name if name and name != but and self[name].running() else ""

    def events(self, *kinds: str) -> list[dict]:
        """The brokers' events of these kinds, in order of time."""
        found = [e for b in self.fleet.all.values() for e in b.events() if e["event"] in kinds]
        return sorted(found, key=moment)

    def last_want(self, zone: str) -> float:
        """When an engine of a zone was last sent something, on the monotonic clock."""
        return max((w[0] for e in self.of(zone) for w in e.wants), default=0.0)

    def close(self) -> None:
        """Nothing is left behind."""
        if self.load is not None:
            self.load.end()
        self.fleet.end()
        if self.relays is not None:
            self.relays.close()
        for engine in self.engines:
            engine.close()


def moment(event: dict) -> float:
    """When an event was logged, s of the wall clock."""
    return datetime.fromisoformat(event["timestamp"]).timestamp()


@dataclass
class Half:
    """One schedule, with the fleet's part on or off, and what came of it."""

    seed: int
    on: bool
    brokers: int = 10
    rate: float = 0.55  # of all engines' cores
    last_send: float = 0.0  # s after the zone was lost, of the last new send into it
    left_at: float | None = None  # s after it, when the last broker had taken the plan that leaves it
    kept: float = 0.0  # percent of what was asked that was answered in time, from the loss on
    fallen: int = 0
    further: int = 0
    ration_broken: int = 0
    back_s: float | None = None  # s after the zone came back, when its share was whole
    false: int = 0
    events: list[dict] = field(default_factory=list)

    def play(self, kind: str, zone: str, out_s: float, back_s: float) -> "Half":
        """Start, lose, bring back, end. `kind` nothing: a day without a loss."""
        place = Field(self.brokers, self.on, self.seed, self.rate)
        try:
            load = place.start().load
            gevent.sleep(4)
            before, lost_at, at = Counter(load.counts), time.monotonic(), time.time()
            self._fail(kind, zone, place.engines, place.names, out_s)
            self.last_send = max(0.0, place.last_want(zone) - lost_at) if kind in KINDS else 0.0
            for engine in place.engines:
                engine.mend(cold=kind in KINDS and engine.zone == zone)
            back = time.time()
            gevent.sleep(back_s)
            asked = load.counts["asked"] - before["asked"]
            self.kept = 100 * (load.counts["kept"] - before["kept"]) / max(1, asked)
            self.fallen = sum(e.falls for e in place.engines)
            self._ration(place.engines)
            self.events = place.events("plan_taken", "zone_leaving", "zones_left_alone")
            self._times(zone, at, back)
            self.false = sum(
                1
                for e in self.events
                if e["event"] != "plan_taken"
                and (kind not in KINDS or zone not in e.get("zone", e.get("zones", "")))
            )
        finally:
            place.close()
        return self

    def _fail(
        self, kind: str, zone: str, engines: list[CoreEngine], names: list[str], seconds: float
    ) -> None:
        lost = [e for e in engines if e.zone == zone]
        end = time.monotonic() + seconds
        if kind in KINDS:
            for engine in lost:
                engine.fail(kind)
        elif kind == "cut":  # the path from the next zone's brokers to this one's engines
            place = (ZONES.index(zone) + 1) % len(ZONES)
            for engine in lost:
                engine.block({n for i, n in enumerate(names) if i % 3 == place}, "silent")
        elif kind == "blind":  # one broker, to whom everything fails
            for engine in engines:
                engine.block({names[1]}, "reset")
        elif kind == "release":
            for engine in lost:
                engine.fail("reset")
                gevent.sleep(seconds / len(lost))
                engine.mend()
        gevent.sleep(max(0.0, end - time.monotonic()))

    def _times(self, zone: str, lost_at: float, back_at: float) -> None:
        """When all had taken the plan that leaves the zone, and when it was whole again."""
        took: dict[str, float] = {}
        for event in self.events:
            if event["event"] == "plan_taken":
                if event["shares"].get(zone) == 0:
                    took.setdefault(event["broker"], moment(event) - lost_at)
                elif event["shares"].get(zone) == 1000 and moment(event) > back_at:
                    self.back_s = moment(event) - back_at
        if len(took) == self.brokers:
            self.left_at = max(took.values())

    def line(self, how: str, zone: str, out_s: float) -> str:
        """The run in one line."""
        left = "" if self.left_at is None else f", left by all after {self.left_at:.2f} s"
        back = "" if self.back_s is None else f", whole again after {self.back_s:.1f} s"
        return (
            f"seed {self.seed} {'on ' if self.on else 'off'}: {zone} {how} for {out_s:.1f} s: last send "
            f"into it {self.last_send:.2f} s{left}, kept {self.kept:.1f}%, fallen over {self.fallen}, "
            f"further attempts {self.further}, false departures {self.false}{back}"
        )

    def _ration(self, engines: list[CoreEngine]) -> None:
        """Attempts beyond each query's first, over all brokers together: at most 3 a broker and a tenth of
        the queries, in any 5 s."""
        sends = sorted(w for e in engines for w in e.wants)
        seen, firsts, further = set(), [], []
        for at, _, name in sends:
            query = name.partition(".")[0]
            (further if query in seen else firsts).append(at)
            seen.add(query)
        self.further = len(further)
        for at in further:
            span = sum(at - 5 <= x <= at for x in further)
            taken = sum(at - 5.5 <= x <= at for x in firsts)
            self.ration_broken += span > 3 * self.brokers + 0.1 * taken + 1


def run(seed: int, runs: int, kind: str, say: Callable[[str], None]) -> int:
    """Play so many schedules, each twice. 1: a rule was broken, or a zone was left for nothing. 3: nothing
    was in fact lost."""
    offs, ons = [], []
    for n in range(seed, seed + runs):
        rng = random.Random(n)
        how = kind or rng.choice(KINDS)
        zone = rng.choice(ZONES)
        out_s, back_s = rng.uniform(6, 9), rng.uniform(20, 22)
        off = Half(n, False).play(how, zone, out_s, back_s)
        on = Half(n, True).play(how, zone, out_s, back_s)
        offs.append(off)
        ons.append(on)
        for half in (off, on):
            say(half.line(how, zone, out_s))

    def most(halves, of):
        return max(of(h) for h in halves)

    def mean(halves, of):
        return sum(map(of, halves)) / len(halves)

    broken = sum(h.ration_broken for h in offs + ons)
    false = sum(h.false for h in ons)
    last_off, last_on = most(offs, lambda h: h.last_send), most(ons, lambda h: h.last_send)
    say(
        f"zones: seeds {runs}, last send into the lost zone off {last_off:.2f} s / on {last_on:.2f} s, worth "
        f"kept off {mean(offs, lambda h: h.kept):.1f}% / on "
        f"{mean(ons, lambda h: h.kept):.1f}%, engines fallen over off {sum(h.fallen for h in offs)} / on "
        f"{sum(h.fallen for h in ons)}, ration broken {broken}, false departures {false}"
    )
    if broken or false:
        return 1
    return 3 if (not kind or kind in KINDS) and not any(h.last_send for h in offs) else 0
