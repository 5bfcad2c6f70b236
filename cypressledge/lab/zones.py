"""Loses a zone under several brokers as processes, without the fleet's part and with it, and compares.

Stand-in engines in three zones with cores, a cold start and falling over when pushed beyond it; an open load;
a schedule drawn from the seed. Each schedule is played twice. Loopback only, processes started here.
"""

import base64
import json
import random
import re
import secrets
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.queue import Queue
from gevent.server import StreamServer

from cypressledge.lab.demo import ask
from cypressledge.lab.load import answer
from cypressledge.lab.processes import Brokers, until
from cypressledge.lab.relay import udp_ports
from cypressledge.lab.site import SETTINGS

ZONES = ("room1", "room2", "room3")
RULES = SETTINGS["Rules"]
START, WARM_S = RULES["StartCapacity"], RULES["WarmWithin"] / 1e6
FALL, FALL_S = RULES["FallMultiple"], RULES["Fall"] / 1e6
AIM_S, STRETCH, WAIT_S = 0.6, 1.5, 3.0  # of a lookup
ROW = b"1\tbread\t12.5\n"
WORK = re.compile(rb"/\* (\d+) ms \*/")
TICK_S = 0.01
KINDS = ("silent", "reset", "slow")


class CoreEngine:
    """An engine with cores that its queries share. It starts at a part of what it can do and warms up; while
    it does, work that comes at more than `FALL` times what it can do, for `FALL_S`, makes it fall over."""

    def __init__(self, name: str, zone: str, cores: int) -> None:
        self.name, self.zone, self.cores = name, zone, cores
        self.born, self.fallen, self.how = time.monotonic() - 10 * WARM_S, False, ""
        self.running: dict[str, list] = {}  # by query: [work left, s; connection]
        self.came: deque[tuple[float, float]] = deque()  # when work came, and how much, s
        self.wants: list[tuple[float, str]] = []
        self.conns: set = set()
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.part = gevent.spawn(self._run)

    def member(self) -> dict:
        """As a directory lists it."""
        return {"id": self.name, "host_port": f"127.0.0.1:{self.server.server_port}", "locality": self.zone,
                "cell": 0, "flavor": "node-8c", "phase": "Ready", "size": 4, "up_since_ms": 0}

    def capacity(self) -> float:
        """Cores that it has at the moment."""
        age = time.monotonic() - self.born
        warm = min(1.0, START + (1 - START) * age / WARM_S)
        return self.cores * warm * (0.1 if self.how == "slow" else 1.0)

    def fail(self, how: str) -> None:
        """Fall silent, reset all, or slow down tenfold."""
        self.how = how
        if how != "slow":
            self.running.clear()
        if how == "reset":
            for conn in list(self.conns):
                conn.close()

    def mend(self) -> None:
        """Back, cold."""
        self.how, self.born = "", time.monotonic()
        self.came.clear()
        self.running.clear()

    def _serve(self, conn, _) -> None:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.conns.add(conn)
        file = conn.makefile("rb")
        try:
            while line := file.readline():
                words = line.decode().split()
                if words[0] == "want":
                    self._want(conn, words[1], file.read(int(words[3]) + 2))
                elif words[0] in ("stop", "drop", "cancel"):
                    self.running.pop(words[1], None)
        except (OSError, ValueError, IndexError):
            pass
        finally:
            self.conns.discard(conn)

    def _want(self, conn, name: str, statement: bytes) -> None:
        self.wants.append((time.monotonic(), name))
        if self.how == "reset" or self.fallen:
            conn.close()
        elif self.how != "silent":
            found = WORK.search(statement)
            work = int(found[1]) / 1000 if found else 0.05
            self.running[name] = [work, conn]
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
        for name, query in self.running.items():
            query[0] -= each
            if query[0] <= 0:
                done.append(name)
        for name in done:
            conn = self.running.pop(name)[1]
            try:
                conn.sendall(f"{name} 200 count=1 {len(ROW)}\r\n".encode() + ROW + b"\r\n")
            except OSError:
                pass  # the broker is gone

    def _strain(self, now: float) -> None:
        while self.came and now - self.came[0][0] > FALL_S:
            self.came.popleft()
        cold = FALL_S < now - self.born < WARM_S
        if cold and not self.how and sum(w for _, w in self.came) > FALL * self.capacity() * FALL_S:
            self.fallen = True
            self.running.clear()

    def close(self) -> None:
        """It is gone."""
        self.part.kill()
        self.server.stop(timeout=0.1)


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
            try:
                with socket.create_connection(("127.0.0.1", port), 1.0) as sock:
                    sock.settimeout(WAIT_S + 0.5)
                    file = sock.makefile("rb")
                    while True:
                        self._ask(sock, file, self.todo.get())
            except (OSError, ValueError):
                self.counts["broken"] += 1

    def _ask(self, sock, file, came: float) -> None:
        left = WAIT_S - (time.monotonic() - came)
        if left <= 0.01:
            return
        ms = self.work_ms
        statement = base64.b64encode(b"SELECT a FROM sales_%d.orders /* %d ms */" % (
            self.random.randrange(20), ms)).decode()
        self.counts["sent"] += 1
        body = json.dumps({"jsonrpc": "2.0", "id": self.counts["sent"], "method": "lookup", "params": {
            "id": secrets.token_hex(8), "wait": int(left * 1000), "tenant": "sahel", "cost": float(ms),
            "mem": 10, "content": statement}}).encode()
        sock.sendall(b"Content-Length: %d\r\n\r\n" % len(body) + body)
        if "result" in answer(file):
            late = time.monotonic() - came > AIM_S + STRETCH * ms / 1000
            self.counts["late" if late else "kept"] += 1

    def end(self) -> None:
        """No more."""
        gevent.killall(self.parts)


@dataclass
class Half:
    """One schedule, with the fleet's part on or off, and what came of it."""

    seed: int
    on: bool
    brokers: int = 4
    last_send: float = 0.0  # s after the zone was lost, of the last new send into it
    kept: float = 0.0  # percent of what was asked that was answered in time, from the loss on
    fallen: int = 0
    further: int = 0
    ration_broken: int = 0
    away_s: float = 0.0
    false: int = 0
    events: list[dict] = field(default_factory=list)

    def play(self, kind: str, zone: str, out_s: float, back_s: float) -> "Half":
        """Start, lose, bring back, end. `kind` nothing: a day without a loss."""
        engines = [CoreEngine(f"s-{z[-1]}{n}", z, 2) for z in ZONES for n in range(3)]
        fleet, load = Brokers(), None
        try:
            names = [f"n{i}" for i in range(self.brokers)]
            told = self._settings(names)
            for name in names:
                fleet.add(name, told, [e.member() for e in engines]).start(self.on)
            brokers = list(fleet.all.values())
            if not until(lambda: all("listening on" in b.words() for b in brokers), 30):
                raise RuntimeError("the brokers did not start")
            if self.on:
                until(lambda: all((ask(b, "/zone/status") or {}).get("token") for b in brokers), 20)
            load = Load([b.port for b in brokers], 0.55 * 18 / 0.05, 50, self.seed)
            gevent.sleep(4)
            before = Counter(load.counts)
            lost_at = time.monotonic()
            lost = [e for e in engines if e.zone == zone]
            if kind:
                for engine in lost:
                    engine.fail(kind)
            gevent.sleep(out_s)
            sends = [at - lost_at for e in lost for at, _ in e.wants if at >= lost_at]
            self.last_send = max(sends, default=0.0) if kind else 0.0
            for engine in lost if kind else ():
                engine.mend()
            gevent.sleep(back_s)
            asked = load.counts["asked"] - before["asked"]
            self.kept = 100 * (load.counts["kept"] - before["kept"]) / max(1, asked)
            self.fallen = sum(e.fallen for e in engines)
            self._ration(engines)
            self.events = [e for b in brokers for e in b.events()]
            left = [e for e in self.events if e["event"] in ("zone_leaving", "zones_left_alone")]
            self.false = sum(1 for e in left if not kind or zone not in e.get("zone", e.get("zones", "")))
        finally:
            if load is not None:
                load.end()
            fleet.end()
            for engine in engines:
                engine.close()
        return self

    def _settings(self, names: list[str]) -> dict:
        ports = udp_ports(names)
        return {
            "peers": [{"name": n, "address": f"127.0.0.1:{p}", "zone": ZONES[i % 3]}
                      for i, (n, p) in enumerate(ports.items())],
            "voters": [{"version": 1, "names": names[:3]}], "term_s": 1.5, "ping_s": 0.2,
            "zone_pace": {"hold_s": 3.0}, "leases": [{"name": "zones"}],
            "tasks": [{"kind": "zones", "lease": "zones", "longest_s": 0.5, "priority": 0}]}

    def _ration(self, engines: list[CoreEngine]) -> None:
        """Attempts beyond each query's first, over all brokers together: at most 3 a broker and a tenth of
        the queries, in any 5 s."""
        sends = sorted(w for e in engines for w in e.wants)
        seen, firsts, further = set(), [], []
        for at, name in sends:
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
        out_s, back_s = rng.uniform(6, 9), rng.uniform(16, 20)
        off = Half(n, False).play("" if how == "none" else how, zone, out_s, back_s)
        on = Half(n, True).play("" if how == "none" else how, zone, out_s, back_s)
        offs.append(off)
        ons.append(on)
        for half in (off, on):
            say(f"seed {n} {'on ' if half.on else 'off'}: {zone} {how} for {out_s:.1f} s: last send into it "
                f"{half.last_send:.2f} s, kept {half.kept:.1f}%, fallen over {half.fallen}, further "
                f"attempts {half.further}, false departures {half.false}")

    def most(halves, of):
        return max(of(h) for h in halves)

    def mean(halves, of):
        return sum(map(of, halves)) / len(halves)

    broken = sum(h.ration_broken for h in offs + ons)
    false = sum(h.false for h in ons)
    last_off, last_on = most(offs, lambda h: h.last_send), most(ons, lambda h: h.last_send)
    say(f"zones: seeds {runs}, last send into the lost zone off {last_off:.2f} s / on {last_on:.2f} s, worth "
        f"kept off {mean(offs, lambda h: h.kept):.1f}% / on "
        f"{mean(ons, lambda h: h.kept):.1f}%, engines fallen over off {sum(h.fallen for h in offs)} / on "
        f"{sum(h.fallen for h in ons)}, ration broken {broken}, false departures {false}")
    if broken or false:
        return 1
    return 3 if kind != "none" and not any(h.last_send for h in offs) else 0
