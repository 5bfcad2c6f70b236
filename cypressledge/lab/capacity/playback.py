"""Plays a scale run's day on its world: an operator's changes, and faults. Notes what came of them."""

import json
import math
import random
import signal
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import gevent
from gevent.lock import BoundedSemaphore

from cypressledge.lab.capacity.checks import Acked, Loss, Seen, Span
from cypressledge.lab.capacity.day import Event
from cypressledge.lab.capacity.fleet import LIVE, World, engine, http
from cypressledge.lab.capacity.fleet import ghost as address_of
from cypressledge.lab.site import SETTINGS

ASK_S = 20.0  # seconds after which the operator gives a change up
PAUSE_S = 0.2
SETTLE_S = 2.5  # after a fault is mended, until times count as quiet again
PART_KILLED = 0.04  # of the brokers, at a time


def now() -> int:
    """µs of CLOCK_BOOTTIME: the clock of all records."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


@dataclass(slots=True)
class Answer:
    """What became of a request. `told`: taken, refused, or nothing for not known."""

    told: str
    version: int = 0
    digest: str = ""
    why: str = ""


class Operator:
    """Asks for changes over HTTP, as an operator does: any control process, on to the primary, and again
    under the same name where no answer came."""

    def __init__(self, world: World, seed: int) -> None:
        self.world, self.random = world, random.Random(seed)
        self.acked: list[Acked] = []
        self.wrongs: list[str] = []
        self.counts: Counter[str] = Counter()
        self.version, self.number, self.fresh = 0, 0, 0
        self.first = world.controls[0].management
        self.engines: dict[str, str] = {
            f"e{n:03}": "ready" for n in range(world.size.engines - len(world.standins))
        }
        self.busy: set[str] = set()  # keys that a change is under way for
        self.settings = BoundedSemaphore(1)  # all settings are one unit: one change of them at a time
        self.gap = 0.0  # seconds of the longest wait for an answer

    def do(self, event: Event) -> None:
        """One event of the day."""
        self.counts[event.kind] += 1
        getattr(self, "_" + event.kind.replace(" ", "_"))()

    # Asking

    def ask(self, ops: dict, base: int | None, request: str = "", lose: bool = False) -> Answer:
        """The answer to one change, tried until it is known, or for `ASK_S`. `lose`: the first answer is not
        read, as if it had been lost."""
        if not request:
            self.number += 1
            request = f"lab-{self.number}"
        body = json.dumps(
            {"base": base, "request": request, "who": "lab", "why": "scale run", "ops": ops}
        ).encode()
        end, why = now() + ASK_S * 1e6, ""
        began = now()
        while now() < end:
            told = self._once(body, lose)
            lose = False
            why = str(told.get("why", ""))
            if told.get("answer") == "done":
                return self._taken(told, request, began)
            if told.get("answer") not in (None, "not primary", "unknown"):
                return Answer("refused", why=f"{told['answer']}: {why}")
            gevent.sleep(PAUSE_S)
        self.counts["not known"] += 1
        return Answer("", why=why)

    def _once(self, body: bytes, lose: bool) -> dict:
        try:
            status, told = http(self.first, "POST", "/control/change", body, 0.02 if lose else 6.0)
        except (OSError, ValueError, IndexError):
            self.counts["no answer"] += 1
            if not lose:
                self._next()
            return {}
        if told.get("answer") == "not primary" or status == 503:
            self._next(told.get("at", ""))
        return told

    def _next(self, at: str = "") -> None:
        """Another control process: where the primary is said to be, or any."""
        port = at.rpartition(":")[2]
        ports = [c.management for c in self.world.controls]
        self.first = int(port) if port.isdigit() and int(port) in ports else self.random.choice(ports)

    def _taken(self, told: dict, request: str, began: int) -> Answer:
        got = Answer("taken", told["version"], told.get("digest", ""))
        self.acked.append(Acked(now(), got.version, request, got.digest))
        self.version = max(self.version, got.version)
        self.gap = max(self.gap, (now() - began) / 1e6)
        return got

    def _change(self, key: str, ops: dict, **how) -> Answer:
        """A change of one key, on the newest version known; nobody else asks for that key meanwhile."""
        self.busy.add(key)
        try:
            got = self.ask(ops, self.version, **how)
        finally:
            self.busy.discard(key)
        self.counts[got.told or "not known"] += 1
        if got.told == "refused" and not self._expected(got.why):
            self.wrongs.append(f"a good change of {key} was refused: {got.why}")
        return got

    def _expected(self, why: str) -> bool:
        """Whether a refusal may be: after an answer that was not known, the newest version known is old."""
        return "clash" in why and self.counts["not known"] > 0

    # Kinds of changes

    def _rules(self) -> dict:
        self.fresh += 1
        return {"set": {"config/Rules": SETTINGS["Rules"] | {"DrainGrace": 2_000_000 + self.fresh}}}

    def _settings(self) -> None:
        with self.settings:
            self._change("config/Rules", self._rules())

    def _some(self, state: str) -> str:
        names = sorted(n for n, s in self.engines.items() if s == state and f"engine/{n}" not in self.busy)
        return self.random.choice(names) if names else ""

    def _engine_drains(self) -> None:
        if name := self._some("ready"):
            self._engine(name, "draining")

    def _engine(self, name: str, state: str, **how) -> Answer:
        number = int(name[1:])
        value = engine(address_of(number), f"z{'abc'[number % 3]}", state)
        got = self._change(f"engine/{name}", {"set": {f"engine/{name}": value}}, **how)
        if got.told == "taken":
            self.engines[name] = state
        return got

    def _engine_goes(self) -> None:
        if name := self._some("draining") or self._some("ready"):
            got = self._change(f"engine/{name}", {"remove": [f"engine/{name}"]})
            if got.told == "taken":
                del self.engines[name]

    def _engine_comes(self) -> None:
        self.fresh += 1
        self._engine(f"e{1000 + self.fresh}", "ready")

    def _repeat(self) -> None:
        """A request whose first answer was lost, asked twice more: it is done once."""
        self.number += 1
        request = f"lab-again-{self.number}"
        with self.settings:
            ops, base = self._rules(), self.version
            first = self._change("config/Rules", ops, request=request, lose=True)
        if first.told != "taken":
            return
        again = self.ask(ops, base, request)
        self.counts["repeated"] += 1
        if again.told == "refused" or (again.told and again.version != first.version):
            self.wrongs.append(f"{request} was version {first.version}, and then {again}")

    def _clash(self) -> None:
        """Two changes of one key that were made on the same version: one is refused."""
        name = self._some("ready")
        if not name:
            return
        key, base = f"engine/{name}", self.version
        self.busy.add(key)
        number = int(name[1:])
        values = [engine(address_of(number), f"z{'abc'[number % 3]}", s) for s in ("draining", "ready")]
        both = [gevent.spawn(self.ask, {"set": {key: v}}, base) for v in values]
        gevent.joinall(both)
        self.busy.discard(key)
        told = [g.value.told for g in both]
        self.counts["clashed"] += told.count("refused")
        if told.count("taken") > 1:
            self.wrongs.append(f"two changes of {key} on version {base} were both taken")
        if told.count("refused") > 1 and not any(self._expected(g.value.why) for g in both):
            self.wrongs.append(
                f"two changes of {key} on version {base} were both refused: " f"{[g.value.why for g in both]}"
            )
        for got, value in zip(both, values, strict=True):
            if got.value.told == "taken":
                self.engines[name] = value["state"]

    def _bad(self) -> None:
        """What no state can take: it is refused, and nothing changes."""
        taken = self.world.standins[0].member()["host_port"]
        ops = self.random.choice(
            (
                {"set": {"config/Rules": {"DrainGrace": 1}}},
                {"remove": ["config/Classes"]},
                {"set": {"engine/bad": engine(taken, LIVE)}},
                {"set": {"engine/bad": {"address": "nowhere"}}},
                {"set": {"engine/no good": engine(address_of(9999), LIVE)}},
                {"set": {"nothing/x": 1}},
            )
        )
        got = self.ask(ops, None)
        self.counts["bad refused"] += got.told == "refused"
        if got.told == "taken":
            self.wrongs.append(f"a bad change was taken as version {got.version}: {ops}")


@dataclass(slots=True)
class Faults:
    """Plays faults; notes the spans."""

    world: World
    random: random.Random
    down: list[Span] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    losses: list[Loss] = field(default_factory=list)
    kills: list[tuple[str, int]] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)

    def play(self, event: Event) -> None:
        """One fault, whole: it begins, lasts, and is mended."""
        began = now()
        self.counts[event.kind] += 1
        getattr(self, "_" + event.kind.replace(" ", "_"))(event)
        self.spans.append(Span(began, now() + round(SETTLE_S * 1e6), event.kind))

    def primary(self) -> str:
        """Who is the primary now, by what the control processes wrote; empty: none has said so."""
        return primary_of(r for c in self.world.controls if c.record.exists() for r in tail(c.record))

    def _awaited(self) -> str:
        for _ in range(100):
            name = self.primary()
            if name and self.world.by_name[name].running() and not self.world.by_name[name].stopped:
                return name
            gevent.sleep(0.1)
        return ""

    def _lost(self, who: str, kind: str) -> None:
        self.losses.append(Loss(now(), who, kind))

    def _kill(self, names: list[str]) -> None:
        self.world.down(names)
        at = now()
        self.kills += [(name, at) for name in names]

    # Kinds of faults

    def _a_primary_killed(self, event: Event) -> None:
        if name := self._awaited():
            self._lost(name, event.kind)
            self.world.by_name[name].kill()
            gevent.sleep(event.span)
            self.world.by_name[name].start()

    def _a_primary_stopped(self, event: Event) -> None:
        if name := self._awaited():
            self._lost(name, event.kind)
            self.world.by_name[name].signal(signal.SIGSTOP)
            gevent.sleep(event.span)
            self.world.by_name[name].signal(signal.SIGCONT)

    def _all_control_processes_restarted(self, event: Event) -> None:
        began = now()
        for c in self.world.controls:
            c.kill()
        self.losses.append(Loss(began, "", event.kind, now()))
        gevent.sleep(event.span)
        for c in self.world.controls:
            c.start()

    def _some_brokers(self) -> list[str]:
        """A few of the hollow ones, and a real one."""
        hollow = [n for n, p in self.world.brokers.items() if p.host]
        real = [n for n, p in self.world.brokers.items() if not p.host]
        return self.random.sample(hollow, math.ceil(PART_KILLED * len(hollow))) + self.random.sample(
            real, min(1, len(real))
        )

    def _brokers_killed(self, event: Event) -> None:
        names = self._some_brokers()
        self._kill(names)
        gevent.sleep(event.span)
        self.world.up(names)

    def _brokers_replaced(self, event: Event) -> None:
        names = self._some_brokers()
        self._kill(names)
        for name in names:
            self.world.move(name)
        gevent.sleep(event.span)
        self.world.up(names)

    def _a_zone_gone(self, event: Event) -> None:
        """Of one, two or three zones: a majority of the voters is never in one."""
        zone = sorted({c.zone for c in self.world.controls})[int(event.pick * 3) % 3]
        controls = [c for c in self.world.controls if c.zone == zone]
        primary = self._awaited()
        if primary in {c.name for c in controls}:
            self._lost(primary, event.kind)
        for c in controls:
            c.kill()
        names = [n for n, p in self.world.brokers.items() if p.zone == zone]
        self._kill(names)
        gevent.sleep(event.span)
        for c in controls:
            c.start()
        self.world.up(names)

    def _regions_cut(self, event: Event) -> None:
        """The region with a minority of the voters has none of what is new until the heal."""
        primary = self._awaited()
        began = now()
        if primary and self.world.by_name[primary].region == "west":
            self._lost(primary, event.kind)
        self.world.cut("silent" if event.pick < 0.6 else "reset")
        gevent.sleep(event.span)
        self.world.heal()
        self.down += [
            Span(began, now(), event.kind, n) for n, p in self.world.brokers.items() if p.region == "west"
        ]


def primary_of(records: Iterable[dict]) -> str:
    """Who began under the highest epoch and has not ended there. Guards against a former primary that says
    only later that it has stepped down."""
    told = [r for r in records if r["event"] in ("primary", "stepped_down")]
    newest = max((r["epoch"] for r in told if r["event"] == "primary"), default=-1)
    last = [r for r in told if r["epoch"] == newest]
    return "" if not last or any(r["event"] == "stepped_down" for r in last) else last[0]["who"]


def tail(path) -> list[dict]:
    """The last records of a file, whole lines alone."""
    with open(path, "rb") as file:
        file.seek(0, 2)
        start = max(0, file.tell() - 65_536)
        file.seek(start)
        lines = file.read().split(b"\n")[1 if start else 0 : -1]
    return [json.loads(line) for line in lines if line.startswith(b"{") and line.endswith(b"}")]


def seen(
    operator: Operator,
    faults: Faults,
    records: list[dict],
    controls: list[dict],
    names: frozenset[str],
    over: int,
    killed: dict[tuple[str, int], int],
) -> Seen:
    """What the harness did, for the checker. `killed`: the ends of hollow brokers' lives, as their hosts say:
    a busy host may be late. Of a real one a kill ends the life that began last before it. A change counts
    from when a control process wrote that it was acknowledged, where one did before the answer was here."""
    begun: dict[tuple[str, int], int] = {}
    for r in records:
        key = (r["broker"], r["run"])
        begun[key] = min(begun.get(key, r["at"]), r["at"])
    ends = dict(killed)
    hollow = {name for name, _ in killed}
    for (name, run), at in begun.items():
        if name in hollow:
            continue
        after = [k for who, k in faults.kills if who == name and k >= at]
        if after:
            ends[name, run] = min(after)
    told: dict[tuple[int, str], int] = {}
    for r in controls:
        if r["event"] == "acknowledged":
            told.setdefault((r["version"], r.get("request", "")), r["at"])
    acked = [
        Acked(min(a.at, told.get((a.version, a.request), a.at)), a.version, a.request, a.digest)
        for a in operator.acked
    ]
    return Seen(acked, faults.down, faults.spans, faults.losses, ends, over, operator.wrongs, expected=names)
