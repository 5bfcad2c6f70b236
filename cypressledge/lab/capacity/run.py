"""The scale run: real control processes, real and hollow brokers on the loopback, changes and faults.

Prints what came of it and judges it by `capacity_check`. Its figures are of one shared machine: load and
lateness of wake-ups are said with them.
"""

import json
import os
import random
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path

import gevent
from tabulate import tabulate

from cypressledge.lab.capacity import checks
from cypressledge.lab.capacity.day import Day, draw, quiet_day
from cypressledge.lab.capacity.fleet import (
    MEMBERS,
    TERM_S,
    ScaleError,
    Size,
    World,
    engine,
    ghost,
    http,
)
from cypressledge.lab.capacity.playback import Faults, Operator, now, seen, tail
from cypressledge.lab.processes import commit, until

EVERY_S = 0.7  # a change so often, on average
QUIET_EVERY_S = 5.0  # the same where nothing breaks: still 38 times the target's 450 a day
LATE_S = 0.02  # the harness's own sleep whose lateness is measured
MEMORY_MOST_MB, PROCESSES_MOST = 10 * 1024, 300
SETTLE_S = 4.0  # after the start, before the day
END_S = 12.0  # for the last changes, after the day


@dataclass
class Point:
    """One run at one size, and what came of it."""

    size: Size
    seconds: float
    seed: int
    folder: Path
    say: Callable[[str], None]
    live: bool = False
    quiet: bool = False  # nothing is broken
    verdict: checks.Verdict = field(default_factory=checks.Verdict)
    figures: dict = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)  # lines that make the run fail
    late: list[float] = field(default_factory=list)
    memory_mb: float = 0.0
    processes: int = 0
    load_before: float = 0.0
    load_most: float = 0.0
    start_s: float = 0.0
    commit: str = ""

    def play(self) -> "Point":
        """Start, play the day, end, judge."""
        self.load_before, self.commit = os.getloadavg()[0], commit()
        self.world = World(self.size, self.seed, self.folder)
        self.parts = [gevent.spawn(self._lateness)]
        try:
            began = time.monotonic()
            self.world.start()
            self._all_there()
            self.start_s = time.monotonic() - began
            self.parts.append(gevent.spawn(self._watch))
            gevent.sleep(SETTLE_S)
            self.day = (
                quiet_day(self.seed, self.seconds, QUIET_EVERY_S)
                if self.quiet
                else draw(self.seed, self.seconds, TERM_S, EVERY_S)
            )
            self._day(self.day)
            self._last()
        finally:
            gevent.killall(self.parts)
            self.over = now()
            self._ask_real()
            self.world.end()
        self._judge()
        return self

    def _all_there(self) -> None:
        """Every broker has the same version, the newest."""
        self.operator = Operator(self.world, self.seed)
        self.faults = Faults(self.world, random.Random(self.seed + 1))
        first = self.operator.ask({"set": {"engine/e999": _spare()}}, None)
        if first.told != "taken":
            raise ScaleError(f"the first change was not taken: {first}")
        names = list(self.world.brokers)
        if not until(lambda: self._have(names, first.version) == len(names), 30 + len(names) / 5, 0.5):
            raise ScaleError(
                f"{self._have(names, first.version)} of {len(names)} brokers have the first " "change"
            )

    def _have(self, names: list[str], version: int) -> int:
        return sum(_newest(self.world.record(n)) >= version for n in names)

    # While it runs

    def _day(self, day: Day) -> None:
        began = time.monotonic()
        changes = [gevent.spawn_later(e.at, self.operator.do, e) for e in day.changes]
        for event in day.faults:
            gevent.sleep(max(0.0, began + event.at - time.monotonic()))
            self._show(f"{event.at:5.1f} s: {event.kind}")
            if self._too_large():
                raise ScaleError(f"too much for the machine: {self._too_large()}")
            self.faults.play(event)
        gevent.sleep(max(0.0, began + day.seconds - time.monotonic()))
        gevent.joinall(changes, timeout=END_S)
        for part in changes:
            if part.exception is not None:
                self.broken.append(f"the harness failed: {part.exception!r}")
        gevent.killall(changes)

    def _last(self) -> None:
        """Wait until all have what was acknowledged last; whoever has not by then has lost it."""
        newest = max((a.version for a in self.operator.acked), default=0)
        names = [n for n, p in self.world.brokers.items() if p.up]
        until(lambda: self._have(names, newest) == len(names), END_S, 0.5)

    def _lateness(self) -> None:
        while True:
            due = time.monotonic() + LATE_S
            gevent.sleep(LATE_S)
            self.late.append(time.monotonic() - due)

    def _watch(self) -> None:
        """Looks at the processes, once a second."""
        while True:
            self.world.look()
            self.load_most = max(self.load_most, os.getloadavg()[0])
            self.processes = max(self.processes, self.world.processes())
            self.memory_mb = max(self.memory_mb, self.world.memory_mb())
            self._traffic()
            gevent.sleep(1.0)

    def _traffic(self) -> None:
        """What control processes and real brokers say of their own bytes."""
        for c in self.world.controls:
            if c.running() and not c.stopped and (told := c.status(0.5)):
                c.cost.count(_bytes(told))
        for name, broker in self.world.real.all.items():
            if broker.running() and (told := ask_status(broker.management)):
                self.world.real_cost[name].count(_bytes(told))

    def _ask_real(self) -> None:
        self.served = sum(c.counts["served"] for c in self.world.clients)
        self.refused = sum(c.counts["refused"] + c.counts["broken"] for c in self.world.clients)

    def _show(self, text: str) -> None:
        if self.live:
            sys.stderr.write(
                f"\r\x1b[K{self.size.brokers} brokers: {text}, {len(self.operator.acked)} " "changes"
            )
            sys.stderr.flush()

    # Afterwards

    def _judge(self) -> None:
        world, folder = self.world, self.folder
        brokers = checks.read_records(sorted(folder.glob("*.broker.jsonl")))
        controls = checks.read_records(sorted(folder.glob("*.control.jsonl")))
        told = seen(
            self.operator,
            self.faults,
            brokers,
            controls,
            frozenset(world.brokers),
            self.over,
            {k: at for h in world.hosts for k, at in h.killed.items()},
        )
        kept = asdict(told) | {"ends": [[*life, at] for life, at in told.ends.items()]}
        (folder / "seen.json").write_text(json.dumps(kept, default=sorted))
        self.verdict = v = checks.check(brokers, controls, told)
        hosts = [
            (h.cost.cpu_pct / n, h.cost.net_kb_s / n, h.cost.rss_mb / n)
            for h in world.hosts
            if (n := sum(p.host is h for p in world.brokers.values()))
        ]
        real = [(c.cpu_pct, c.net_kb_s, c.rss_mb) for c in world.real_cost.values()]
        self.hollow = [max(column) for column in zip(*hosts, strict=True)] if hosts else [0.0] * 3
        self.real = [max(column) for column in zip(*real, strict=True)] if real else [0.0] * 3
        cpu, net, rss = (max(pair) for pair in zip(self.hollow, self.real, strict=True))
        most = [
            max(c)
            for c in zip(
                *((c.cost.cpu_pct, c.cost.rss_mb, c.cost.net_kb_s) for c in world.controls), strict=True
            )
        ]
        counts = sum((h.counts for h in world.hosts), start=type(world.hosts[0].counts)())
        self.figures = {
            "brokers": self.size.brokers,
            "engines": self.size.engines,
            "seconds": self.seconds,
            "seed": self.seed,
            "quiet": self.quiet,
            "commit": self.commit,
            "changes": v.changes,
            "p99_s": round(checks.quantile(v.quiet, 0.99), 3),
            "most_s": round(max(v.quiet, default=0.0), 3),
            "primary_most_s": round(max((s for s, _ in v.primary_over), default=0.0), 3),
            "broker_cpu_pct": round(cpu, 2),
            "broker_net_kb_s": round(net, 2),
            "broker_rss_mb": round(rss, 1),
            "lost": len(v.lost),
            "gone_back": len(v.gone_back),
            "wrong": len(v.wrong),
            "load_average": [round(self.load_before, 2), round(self.load_most, 2)],
            "control_cpu_pct": round(most[0], 2),
            "control_rss_mb": round(most[1], 1),
            "control_net_kb_s": round(most[2], 1),
            "snapshots": counts.get("frames.in.whole", 0),
            "reconnects": counts.get("frames.in.welcome", 0) - len(world.brokers) + self.size.real,
            "faults": dict(self.faults.counts),
            "late_ms_p99": round(1e3 * checks.quantile(self.late, 0.99), 1),
            "all_p99_s": round(checks.quantile(v.all, 0.99), 3),
            "all_most_s": round(max(v.all, default=0.0), 3),
            "hollow_cpu_pct": round(self.hollow[0], 2),
            "real_cpu_pct": round(self.real[0], 2),
            "hollow_net_kb_s": round(self.hollow[1], 2),
            "real_net_kb_s": round(self.real[1], 2),
            "alive_fewest": min(h.alive for h in world.hosts),
            "leases_held": sum(h.held for h in world.hosts),
            "members_ping_s": self.size.ping_s,
            "start_s": round(self.start_s, 1),
        }
        self.broken += [
            f"too little took place: {why}"
            for why in checks.too_little(v, told, self.size.brokers, self.seconds, self.quiet)
        ]
        self.broken += [f"limit passed: {why}" for why in checks.passed_limits(v, cpu, net, rss)]
        if self._too_large():
            self.broken.append(f"limit passed: {self._too_large()}")

    def _too_large(self) -> str:
        """What is over the run's own bounds, if anything."""
        if self.memory_mb <= MEMORY_MOST_MB and self.processes <= PROCESSES_MOST:
            return ""
        return f"{self.memory_mb:.0f} MB in {self.processes} processes"

    def report(self) -> None:
        """Tables, and what is broken."""
        v, f, say = self.verdict, self.figures, self.say
        rows = [
            ["quiet", *_row(v.quiet)],
            *([kind, *_row(times)] for kind, times in sorted(v.by_fault.items())),
            ["all", *_row(v.all)],
        ]
        say(tabulate(rows, floatfmt=".2f", headers=["in force, s", "times", "median", "p99", "most"]))
        for seconds, kind in v.primary_over:
            say(f"no primary for {seconds:.2f} s: {kind}")
        rows = [
            [c.name, c.zone, "votes" if c.votes else "", c.cost.cpu_pct, c.cost.rss_mb, c.cost.net_kb_s]
            for c in self.world.controls
        ]
        say(tabulate(rows, floatfmt=".2f", headers=["control", "zone", "", "cpu %", "rss MB", "net KB/s"]))
        rows = [
            [name, *values]
            for name, values in (("hollow, of its host", self.hollow), ("real, by itself", self.real))
        ]
        say(tabulate(rows, floatfmt=".2f", headers=["a broker, most", "cpu %", "net KB/s", "rss MB"]))
        starts = [cost.start_cpu_s for cost in self.world.real_cost.values()]
        say(f"a real broker's start, most: {max(starts, default=0.0):.2f} s of CPU, not in the figures above")
        say(
            "asked: "
            + ", ".join(f"{k} {n}" for k, n in sorted(self.operator.counts.items()))
            + f"; longest wait for an answer {self.operator.gap:.2f} s"
        )
        say("faults: " + (", ".join(f"{k} {n}" for k, n in self.faults.counts.items()) or "none"))
        say(
            f"snapshots {f['snapshots']}, reconnects {f['reconnects']}; real brokers served {self.served} "
            f"lookups, {self.refused} were not; members' ping period "
            + (
                f"{self.size.ping_s:g} s; at the end the fewest that one has for alive {f['alive_fewest']} "
                f"of {self.size.brokers - self.size.real}, "
                f"leases held {f['leases_held']} of {MEMBERS['leases']}"
                if self.size.ping_s
                else "none"
            )
        )
        host_late = max((x for h in self.world.hosts for x in h.late), default=0.0)
        say(
            f"start of all {self.start_s:.1f} s; load average {self.load_before:.2f} before, "
            f"{self.load_most:.2f} at the most; wake-ups late by {f['late_ms_p99']:.1f} ms p99, "
            f"{1e3 * max(self.late):.0f} ms most here, {1e3 * host_late:.0f} ms most in a host; "
            f"{self.memory_mb:.0f} MB in {self.processes} processes; seed {self.seed}, {self.seconds:g} s"
        )
        for line in (*v.lost[:20], *v.gone_back[:20], *v.wrong[:20]):
            say(f"  BROKEN {line}")
        for line in self.broken:
            say(f"  {line}")

    def line(self) -> str:
        """The run in one line."""
        f = self.figures
        return (
            f"capacity: brokers {f['brokers']}, engines {f['engines']}, changes {f['changes']}, in force "
            f"p99 {f['p99_s']:.2f} s most {f['most_s']:.2f} s, primary over most "
            f"{f['primary_most_s']:.2f} s, broker cpu {f['broker_cpu_pct']:.2f} % net "
            f"{f['broker_net_kb_s']:.2f} KB/s rss {f['broker_rss_mb']:.1f} MB, "
            f"lost {f['lost']}, gone back {f['gone_back']}, wrong {f['wrong']}"
        )

    @property
    def failed(self) -> bool:
        """Whether the run is to end with 1."""
        return self.verdict.broken or bool(self.broken)


def _spare() -> dict:
    return engine(ghost(999), "za")


def _newest(path: Path) -> int:
    """The version that a broker had in force last."""
    versions = [r["version"] for r in tail(path) if r["event"] == "in_force"] if path.exists() else []
    return versions[-1] if versions else 0


def ask_status(port: int) -> dict:
    """A real broker's view of the control plane; empty where it does not answer."""
    try:
        return http(port, "GET", "/control/status", seconds=0.5)[1]
    except (OSError, ValueError, IndexError):
        return {}


def _bytes(told: dict) -> int:
    """All bytes, in and out, of a status."""
    return sum(kind["bytes"] for kind in told.get("traffic", {}).values())


def _row(times: list[float]) -> list:
    return [len(times), checks.quantile(times, 0.5), checks.quantile(times, 0.99), max(times, default=0.0)]


def run(
    brokers: int,
    engines: int,
    real: int,
    seconds: float,
    seed: int,
    points: str,
    json_file: str,
    plot: str,
    quick: bool,
    quiet: bool,
    members: bool,
    ping_s: float,
    keep: str,
    say: Callable[[str], None],
    live: bool = False,
) -> int:
    """Play one run for each size. 1: something was lost, went back or was wrong, a limit was passed, or too
    little took place."""
    if quick:
        brokers, engines, seconds, real = 60, 60, min(seconds, 30.0), min(real, 3)
    sizes = [int(p) for p in points.split(",")] if points else [brokers]
    done: list[Point] = []
    for count in sizes:
        size = Size(count, engines, min(real, count // 4), ping_s=ping_s if members else 0.0)
        with tempfile.TemporaryDirectory(prefix="cypressledge-capacity-") as own:
            folder = Path(keep or own) / str(count)
            folder.mkdir(parents=True, exist_ok=True)
            try:
                point = Point(size, seconds, seed, folder, say, live, quiet).play()
            except ScaleError as err:
                say(f"the run at {count} brokers failed: {err}")
                return 1
        if live:
            sys.stderr.write("\r\x1b[K")
        point.report()
        done.append(point)
        if json_file:
            with open(json_file, "a", encoding="utf-8") as file:
                told = point.figures | {"exit": int(point.failed), "passed": point.broken}
                file.write(json.dumps(told) + "\n")
        if plot and len(done) == len(sizes):
            draw_plot(done, plot)
            say(f"drawn: {plot}")
        say(point.line())
    return int(any(p.failed for p in done))


def draw_plot(done: list[Point], path: str) -> None:
    """Times and costs over the number of brokers, with their limits."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = sorted((p.figures for p in done), key=lambda f: f["brokers"])
    at = [f["brokers"] for f in rows]
    figure, axes = pyplot.subplots(3, 1, sharex=True, figsize=(8, 9))
    lines = (
        (("p99_s", "most_s", "primary_most_s"), checks.IN_FORCE_S, "s"),
        (("hollow_cpu_pct", "real_cpu_pct"), checks.CPU_PCT, "% of a core"),
        (("hollow_net_kb_s", "real_net_kb_s"), checks.NET_KB_S, "KB/s"),
    )
    for axis, (names, limit, unit) in zip(axes, lines, strict=True):
        for name in names:
            axis.plot(at, [f[name] for f in rows], marker="o", label=name)
        axis.axhline(limit, color="red", linestyle="--", label=f"limit {limit:g}")
        axis.set_ylabel(unit)
        axis.legend()
    axes[0].axhline(checks.PRIMARY_S, color="orange", linestyle="--")
    axes[0].set_title(f"seed {rows[0]['seed']}, {rows[0]['seconds']:g} s, {rows[0]['engines']} engines")
    axes[-1].set_xlabel("brokers")
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
