"""Plays schedules of faults on brokers as processes, and checks that two holders never act at once.

Brokers of the program, relays between every two of them, a resource that writes down each act. Faults are
drawn from a seed: kills, stops in the middle of an act and elsewhere, SIGTERM, restarts of a majority of the
voters, partitions one way and both, loss, copies, delays past a term; clocks run fast and slow within the
bound and start anywhere, wall clocks step at restarts. Signals go to processes started here, by their ids.
"""

import json
import random
import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from cypressledge.fleet.clock import LeaseClock
from cypressledge.lab.check import Verdict, check
from cypressledge.lab.processes import Brokers, until
from cypressledge.lab.resource import Resource, Write
from cypressledge.lab.site import free_udp_ports
from cypressledge.lab.udp_proxy import LinkConditions, UdpProxies

DRIFT_PPM = 20_000
FAULTS = (
    "kill",
    "kill",
    "stop in an act",
    "stop in an act",
    "stop",
    "leave",
    "majority restarts",
    "partition",
    "one way",
    "cut off from the voters",
    "bad paths",
)
LEASES = ({"name": "ledger-a"}, {"name": "ledger-b"}, {"name": "pool", "places": 2})


@dataclass
class Run:
    """One run's world and what it saw."""

    seed: int
    brokers: int
    voters: int
    seconds: float
    term: float
    fence: bool
    keep: str = ""
    kinds: tuple[str, ...] = FAULTS
    faults: Counter = field(default_factory=Counter)
    verdict: Verdict | None = None
    takeovers: list[float] = field(default_factory=list)  # seconds from a kill of a holder to the next act
    handovers: list[float] = field(default_factory=list)  # and from SIGTERM

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.names = [f"n{i}" for i in range(self.brokers)]
        self.voting = self.names[: self.voters]
        self.fleet = Brokers(self.keep)
        self.resource = Resource(self.fence)
        self.resource.watch = self._acted
        self.ports = free_udp_ports(self.names)
        self.relays = UdpProxies(self.ports, self.seed)
        self.in_act: dict[str, str] = {}  # by broker: a lease it is in the middle of an act under
        self.waiting: dict[str, tuple[str, int, list]] = {}  # by lease: who held it, when, for what
        self.calm = True
        self.paths_until = 0.0

    def settings(self, name: str) -> dict:
        """A broker's fleet file: its peers are behind relays."""
        tasks = [
            {
                "kind": "call",
                "lease": lease["name"],
                "at": self.resource.address,
                "every_s": 0.1,
                "longest_s": self.term / 2,
                "steps": 4,
                "step_s": 0.05,
            }
            for lease in LEASES
        ]
        rate = self.random.choice((1 - DRIFT_PPM / 1e6, 1.0, 1 + DRIFT_PPM / 1e6))
        return {
            "peers": [
                {
                    "name": p,
                    "address": f"127.0.0.1:{self.ports[p]}" if p == name else self.relays.address(name, p),
                }
                for p in self.names
            ],
            "voters": [{"version": 1, "names": self.voting}],
            "term_s": self.term,
            "drift_ppm": DRIFT_PPM,
            "ping_s": 0.2,
            "leases": list(LEASES),
            "tasks": tasks,
            "lab": {
                "clock_rate": rate,
                "clock_offset_s": self.random.uniform(0, 10_000),
                "record": str(self.fleet.folder / f"{name}.held"),
            },
        }

    # What is seen while it runs

    def _acted(self, write: Write) -> None:
        if not write.accepted:
            return
        if write.step + 1 < write.of:
            self.in_act[write.holder] = write.lease
        else:
            self.in_act.pop(write.holder, None)
        waited = self.waiting.get(write.lease)
        if waited is not None and waited[0] != write.holder and self.calm:
            waited[2].append((write.at - waited[1]) / 1e6)
            del self.waiting[write.lease]

    def _gone(self, name: str, where: list) -> None:
        """A holder is about to go: time runs until another acts under what it held."""
        now = LeaseClock().now()
        last: dict[str, Write] = {w.lease: w for w in self.resource.writes[-400:] if w.accepted}
        for lease, write in last.items():
            if write.holder == name and now - write.at < 0.4e6:
                self.waiting[lease] = (name, now, where)

    # Faults

    def holder(self) -> str:
        """A broker that has just acted, if one has; else any."""
        recent = [w.holder for w in self.resource.writes[-12:] if w.accepted]
        up = [n for n in recent or self.names if self._up(n)] or [n for n in self.names if self._up(n)]
        return self.random.choice(up)

    def _up(self, name: str) -> bool:
        broker = self.fleet.all[name]
        return broker.running() and not broker.stopped

    def fault(self) -> None:
        """One fault, whole: it begins, lasts, and is mended."""
        kind = self.random.choice(self.kinds)
        self.faults[kind] += 1
        getattr(self, "_" + kind.replace(" ", "_"))()

    def _kill(self) -> None:
        broker = self.fleet.all[self.holder()]
        self._gone(broker.name, self.takeovers)
        broker.kill()
        gevent.sleep(self.random.uniform(0.1, 2.2) * self.term)
        self._again(broker)

    def _again(self, broker) -> None:
        broker.fleet["lab"]["wall_step_s"] = self.random.uniform(-3_600, 3_600)
        broker.start()

    def _leave(self) -> None:
        broker = self.fleet.all[self.holder()]
        self._gone(broker.name, self.handovers)
        broker.leave()
        self._again(broker)

    def _stop(self) -> None:
        self._pause(self.fleet.all[self.holder()])

    def _stop_in_an_act(self) -> None:
        """Between its check and its act: what it has sent is on its way until after it has gone on."""
        name = until(lambda: next((n for n in self.in_act if self._up(n)), None), self.term, 0.002)
        if name is None:
            return
        gate = self.resource.gate(name)
        if gate.arrived.wait(self.term):
            self._pause(self.fleet.all[name])
            gevent.sleep(0.05)
        self.resource.gates.pop(name, None)
        gate.opened.set()

    def _pause(self, broker) -> None:
        broker.signal(signal.SIGSTOP)
        gevent.sleep(self.random.uniform(1.2, 2.2) * self.term)
        broker.signal(signal.SIGCONT)

    def _majority_restarts(self) -> None:
        chosen = self.random.sample(self.voting, self.voters // 2 + 1)
        for name in chosen:
            self.fleet.all[name].kill()
        gevent.sleep(self.random.uniform(0, 0.3) * self.term)
        for name in chosen:  # their wall clocks stay as they were: see the assumptions in docs/leases.md
            self.fleet.all[name].start()

    def _partition(self) -> None:
        some = set(self.random.sample(self.names, self.random.randint(1, self.brokers // 2)))
        self._cut(lambda a, b: (a in some) != (b in some))

    def _one_way(self) -> None:
        some = set(self.random.sample(self.names, self.random.randint(1, self.brokers // 2)))
        self._cut(lambda a, b: a in some and b not in some)

    def _cut_off_from_the_voters(self) -> None:
        name = self.holder()
        self._cut(lambda a, b: name in (a, b) and (a in self.voting or b in self.voting))

    def _cut(self, which: Callable[[str, str], bool]) -> None:
        self.calm = False
        for pair in self.relays.paths:
            if which(*pair):
                self.relays.paths[pair] = LinkConditions(cut=True)
        gevent.sleep(self.random.uniform(0.5, 2.0) * self.term)
        self._heal()

    def _bad_paths(self) -> None:
        self.calm = False
        for pair in self.relays.paths:
            if self.random.random() < 0.6:
                self.relays.paths[pair] = LinkConditions(
                    loss=self.random.uniform(0, 0.4),
                    copies=0.3,
                    delay=(0.0, self.random.choice((0.02, 0.2, 1.5 * self.term))),
                )
        gevent.sleep(self.random.uniform(1, 2) * self.term)
        self._heal()

    def _heal(self) -> None:
        self.relays.heal()
        self.waiting.clear()
        self.calm = True

    # The whole

    def play(self) -> Verdict:
        """Start, break, mend, end; then judge."""
        try:
            for name in self.names:
                self.fleet.add(name, self.settings(name)).start()
            leases = sum(lease.get("places", 1) for lease in LEASES)
            until(lambda: len({w.lease for w in self.resource.writes}) == leases, 10 + 4 * self.term)
            end = LeaseClock().now() + self.seconds * 1e6
            while LeaseClock().now() < end:
                gevent.sleep(self.random.uniform(0.3, 1.0) * self.term)
                self.waiting.clear()
                self.fault()
                # Let the system settle, so that the next kill finds a holder and times from a calm state.
                gevent.sleep(1.6 * self.term)
        finally:
            over = LeaseClock().now()
            self.fleet_files = [
                json.loads(line)
                for name in self.names
                for line in self._held(name).splitlines()
                if line.endswith("}")
            ]
            for broker in self.fleet.all.values():
                broker.kill()
            self.relays.close()
            self.resource.close()
            self.fleet.end()
        self.verdict = check(self.resource.writes, self.fleet_files, over)
        return self.verdict

    def _held(self, name: str) -> str:
        path = self.fleet.folder / f"{name}.held"
        return path.read_text() if path.exists() else ""

    def meaningless(self) -> str:
        """Why the run says nothing, if it does not."""
        if self.verdict.acts < 2 * self.seconds:
            return f"only {self.verdict.acts} acts"
        if sum(self.faults.values()) < max(1, self.seconds / (6 * self.term)):
            return f"only {sum(self.faults.values())} faults"
        return "" if self.verdict.grants > len(LEASES) + 1 else "no lease changed hands"


def run(
    brokers: int,
    voters: int,
    seed: int,
    runs: int,
    seconds: float,
    no_fence: bool,
    term: float,
    keep: str,
    only: str,
    say: Callable[[str], None],
) -> int:
    """Play so many runs; the exit code. 1: something happened that must not. 3: a run meant nothing."""
    kinds = tuple(k.strip() for k in only.split(",")) if only else FAULTS
    verdicts, empty, took, handed = [], 0, [], []
    for n in range(seed, seed + runs):
        play = Run(n, brokers, voters, seconds, term, not no_fence, keep and f"{keep}/{n}", kinds)
        v = play.play()
        verdicts.append(v)
        took += play.takeovers
        handed += play.handovers
        say(
            f"seed {n}: {v.acts} acts, {v.grants} grants, {v.refused} stale acts turned down, "
            f"{sum(play.faults.values())} faults ({', '.join(sorted(play.faults))}), "
            f"longest gap {v.longest_gap / 1e6:.2f} s"
        )
        for line in (*v.overlaps, *v.beliefs, *v.shrunk):
            say(f"  BROKEN {line}")
        if why := play.meaningless():
            empty += 1
            say(f"  this run means nothing: {why}")
    say(_times("after a kill of a holder the next acts", took, term))
    say(_times("after SIGTERM the next acts", handed, term))
    overlaps = sum(len(v.overlaps) + len(v.beliefs) for v in verdicts)
    say(
        f"leases: runs {runs}, acts {sum(v.acts for v in verdicts)}, overlaps {overlaps}, "
        f"stale acts accepted {sum(v.stale for v in verdicts)}, "
        f"longest gap {max(v.longest_gap for v in verdicts) / 1e6:.2f} s"
    )
    if any(v.broken for v in verdicts):
        return 1
    return 3 if empty else 0


def _times(what: str, seconds: list[float], term: float) -> str:
    if not seconds:
        return f"{what}: not seen"
    ordered = sorted(seconds)
    p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    return (
        f"{what}: {len(ordered)} times, median {ordered[len(ordered) // 2]:.3f} s, p99 {p99:.3f} s "
        f"({p99 / term:.2f} terms)"
    )
