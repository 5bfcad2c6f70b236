"""One run of broker processes under random faults; a protected resource records every act under a lease.

Proxies connect every two brokers. Faults are drawn from a seed: kills, SIGSTOP in the middle of an act or at
other times, SIGTERM, restarts of a majority of the voters, partitions in one or both directions, loss,
duplicates, and delays beyond a term. Clocks run fast or slow within the bound and start at random offsets;
wall clocks step at restarts. Signals are sent only to processes started here, by process id.
"""

import random
import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import gevent
import msgspec

from cypressledge.fleet.clock import LeaseClock
from cypressledge.lab.lease_faults.checks import BeliefRecord, Verdict, check
from cypressledge.lab.lease_faults.protected_resource import ProtectedResource, Write
from cypressledge.lab.processes import BrokerProcess, Brokers, until
from cypressledge.lab.site import free_udp_ports
from cypressledge.lab.udp_proxy import LinkConditions, UdpProxies

DRIFT_PPM = 20_000
FAULT_KINDS = (  # a kind that is listed twice is drawn twice as often
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
LEASES: tuple[dict[str, Any], ...] = (
    {"name": "ledger-a"},
    {"name": "ledger-b"},
    {"name": "pool", "places": 2},
)
RECENT_ACT_US = 0.4e6  # µs; a holder whose last act is more recent still holds the lease
RECENT_WRITES = 400  # number of latest writes that are searched for each lease's last act
LAST_WRITES = 12  # number of latest writes from whose holders one is drawn
# terms; pause after a fault, so that the next kill finds a holder and its timing starts from a calm state.
SETTLE_TERMS = 1.6
ACT_POLL_S = 0.002
STOPPED_CALL_S = 0.05  # s; how long a call stays held after its sender was resumed


@dataclass(frozen=True, slots=True)
class LeaseRunOptions:
    """The parameters of a run; `kept_folder`: the folder that keeps its files, or empty to keep none."""

    brokers: int
    voters: int
    seconds: float
    term_s: float
    is_fenced: bool  # the resource rejects stale tokens
    fault_kinds: tuple[str, ...] = FAULT_KINDS
    kept_folder: str = ""


@dataclass(frozen=True, slots=True)
class _PendingTakeover:
    """A lease whose holder was terminated at `since`, µs; `times` receives the seconds until the next act."""

    former_holder: str
    since: int
    times: list[float]


@dataclass
class LeaseRun:
    """One run: its brokers, proxies and resource, and the results."""

    seed: int
    options: LeaseRunOptions
    fault_counts: Counter[str] = field(default_factory=Counter)
    verdict: Verdict = field(default_factory=Verdict)
    takeovers: list[float] = field(default_factory=list)  # s from a kill of a holder to the next act
    handovers: list[float] = field(default_factory=list)  # s from a SIGTERM to a holder to the next act

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.term_s = self.options.term_s
        self.names = [f"n{i}" for i in range(self.options.brokers)]
        self.voter_names = self.names[: self.options.voters]
        self.brokers = Brokers(self.options.kept_folder)
        self.resource = ProtectedResource(self.options.is_fenced)
        self.resource.on_write = self._on_write
        self.ports = free_udp_ports(self.names)
        self.proxies = UdpProxies(self.ports, self.seed)
        self.in_act: dict[str, str] = {}  # broker -> lease under which it is amid an act
        self.pending_takeovers: dict[str, _PendingTakeover] = {}  # by lease
        self.are_paths_undisturbed = True  # no partition, loss or delay
        self.handlers: dict[str, Callable[[], None]] = {
            "kill": self._kill_holder,
            "stop in an act": self._stop_in_act,
            "stop": self._stop_holder,
            "leave": self._terminate_holder,
            "majority restarts": self._restart_majority,
            "partition": self._partition,
            "one way": self._cut_one_way,
            "cut off from the voters": self._cut_off_from_voters,
            "bad paths": self._degrade_paths,
        }

    def play(self) -> Verdict:
        """Start the brokers, play faults until the time is over, end everything, and return the verdict."""
        try:
            self._start()
            end = LeaseClock().now() + self.options.seconds * 1e6
            while LeaseClock().now() < end:
                gevent.sleep(self.random.uniform(0.3, 1.0) * self.term_s)
                self.pending_takeovers.clear()
                self.play_fault()
                gevent.sleep(SETTLE_TERMS * self.term_s)
        finally:
            ended_at = LeaseClock().now()
            beliefs = self._recorded_beliefs()
            for broker in self.brokers.all.values():
                broker.kill()
            self.proxies.close()
            self.resource.close()
            self.brokers.end()
        self.verdict = check(self.resource.writes, beliefs, ended_at)
        return self.verdict

    def inconclusive_reason(self) -> str:
        """Return why the run is inconclusive, or an empty string if it is conclusive."""
        if self.verdict.acts < 2 * self.options.seconds:
            return f"only {self.verdict.acts} acts"
        faults = sum(self.fault_counts.values())
        if faults < max(1, self.options.seconds / (6 * self.term_s)):
            return f"only {faults} faults"
        return "" if self.verdict.grants > len(LEASES) + 1 else "no lease changed hands"

    def _start(self) -> None:
        for name in self.names:
            self.brokers.add(name, self._fleet_settings(name)).start()
        leases = sum(lease.get("places", 1) for lease in LEASES)
        until(
            lambda: len({write.lease for write in self.resource.writes}) == leases,
            10 + 4 * self.term_s,
        )

    def _fleet_settings(self, name: str) -> dict:
        """Return the contents of a broker's fleet file, with the addresses of proxies for its peers."""
        tasks = [
            {
                "kind": "call",
                "lease": lease["name"],
                "at": self.resource.address,
                "every_s": 0.1,
                "longest_s": self.term_s / 2,
                "steps": 4,
                "step_s": 0.05,
            }
            for lease in LEASES
        ]
        rate = self.random.choice((1 - DRIFT_PPM / 1e6, 1.0, 1 + DRIFT_PPM / 1e6))
        return {
            "peers": [{"name": peer, "address": self._address(name, peer)} for peer in self.names],
            "voters": [{"version": 1, "names": self.voter_names}],
            "term_s": self.term_s,
            "drift_ppm": DRIFT_PPM,
            "ping_s": 0.2,
            "leases": list(LEASES),
            "tasks": tasks,
            "lab": {
                "clock_rate": rate,
                "clock_offset_s": self.random.uniform(0, 10_000),
                "record": str(self.brokers.folder / f"{name}.held"),
            },
        }

    def _address(self, name: str, peer: str) -> str:
        if peer == name:
            return f"127.0.0.1:{self.ports[name]}"
        return self.proxies.address(name, peer)

    def _recorded_beliefs(self) -> list[BeliefRecord]:
        """Return the brokers' records of leases held, without a last line that a kill cut short."""
        records: list[BeliefRecord] = []
        for name in self.names:
            path = self.brokers.folder / f"{name}.held"
            lines = path.read_text().splitlines() if path.exists() else []
            records += [msgspec.json.decode(line, type=BeliefRecord) for line in lines if line.endswith("}")]
        return records

    def _on_write(self, write: Write) -> None:
        if not write.accepted:
            return
        if write.step + 1 < write.of:
            self.in_act[write.holder] = write.lease
        else:
            self.in_act.pop(write.holder, None)
        pending = self.pending_takeovers.get(write.lease)
        if pending is not None and pending.former_holder != write.holder and self.are_paths_undisturbed:
            pending.times.append((write.at - pending.since) / 1e6)
            del self.pending_takeovers[write.lease]

    def _await_takeover(self, name: str, times: list[float]) -> None:
        """Start timing, for each lease that `name` holds, until another broker acts under it."""
        now = LeaseClock().now()
        recent = self.resource.writes[-RECENT_WRITES:]
        last: dict[str, Write] = {write.lease: write for write in recent if write.accepted}
        for lease, write in last.items():
            if write.holder == name and now - write.at < RECENT_ACT_US:
                self.pending_takeovers[lease] = _PendingTakeover(name, now, times)

    def play_fault(self) -> None:
        """Draw one fault and play it from its start until it is repaired."""
        kind = self.random.choice(self.options.fault_kinds)
        self.fault_counts[kind] += 1
        self.handlers[kind]()

    def _draw_holder(self) -> BrokerProcess:
        """Draw a running broker that has acted recently, or any running broker if there is none."""
        recent = [write.holder for write in self.resource.writes[-LAST_WRITES:] if write.accepted]
        running = [name for name in recent or self.names if self._is_running(name)]
        return self.brokers.all[self.random.choice(running or list(filter(self._is_running, self.names)))]

    def _is_running(self, name: str) -> bool:
        broker = self.brokers.all[name]
        return broker.running() and not broker.stopped

    def _kill_holder(self) -> None:
        broker = self._draw_holder()
        self._await_takeover(broker.name, self.takeovers)
        broker.kill()
        gevent.sleep(self.random.uniform(0.1, 2.2) * self.term_s)
        self._restart(broker)

    def _restart(self, broker: BrokerProcess) -> None:
        """Start a broker again, with its wall clock stepped by up to an hour."""
        broker.fleet["lab"]["wall_step_s"] = self.random.uniform(-3_600, 3_600)
        broker.start()

    def _terminate_holder(self) -> None:
        broker = self._draw_holder()
        self._await_takeover(broker.name, self.handovers)
        broker.leave()
        self._restart(broker)

    def _stop_holder(self) -> None:
        self._pause(self._draw_holder())

    def _stop_in_act(self) -> None:
        """Stop a holder between its check and its act: the resource holds its call until it is resumed."""
        name = until(self._running_in_act, self.term_s, ACT_POLL_S)
        if name is None:
            return
        gate = self.resource.gate(name)
        if gate.arrived.wait(self.term_s):
            self._pause(self.brokers.all[name])
            gevent.sleep(STOPPED_CALL_S)
        self.resource.gates.pop(name, None)
        gate.opened.set()

    def _running_in_act(self) -> str | None:
        return next((name for name in self.in_act if self._is_running(name)), None)

    def _pause(self, broker: BrokerProcess) -> None:
        broker.signal(signal.SIGSTOP)
        gevent.sleep(self.random.uniform(1.2, 2.2) * self.term_s)
        broker.signal(signal.SIGCONT)

    def _restart_majority(self) -> None:
        chosen = self.random.sample(self.voter_names, self.options.voters // 2 + 1)
        for name in chosen:
            self.brokers.all[name].kill()
        gevent.sleep(self.random.uniform(0, 0.3) * self.term_s)
        for name in chosen:  # with unchanged wall clocks: see the assumptions in docs/leases.md
            self.brokers.all[name].start()

    def _partition(self) -> None:
        side = self._draw_side()
        self._cut(lambda source, to: (source in side) != (to in side))

    def _cut_one_way(self) -> None:
        side = self._draw_side()
        self._cut(lambda source, to: source in side and to not in side)

    def _draw_side(self) -> set[str]:
        """Draw one side of a partition: at least one broker, and at most half of them."""
        return set(self.random.sample(self.names, self.random.randint(1, self.options.brokers // 2)))

    def _cut_off_from_voters(self) -> None:
        name = self._draw_holder().name
        voters = self.voter_names
        self._cut(lambda source, to: name in (source, to) and (source in voters or to in voters))

    def _cut(self, is_cut: Callable[[str, str], bool]) -> None:
        self.are_paths_undisturbed = False
        for pair in self.proxies.paths:
            if is_cut(*pair):
                self.proxies.paths[pair] = LinkConditions(cut=True)
        gevent.sleep(self.random.uniform(0.5, 2.0) * self.term_s)
        self._heal()

    def _degrade_paths(self) -> None:
        self.are_paths_undisturbed = False
        for pair in self.proxies.paths:
            if self.random.random() < 0.6:
                self.proxies.paths[pair] = LinkConditions(
                    loss=self.random.uniform(0, 0.4),
                    copies=0.3,
                    delay=(0.0, self.random.choice((0.02, 0.2, 1.5 * self.term_s))),
                )
        gevent.sleep(self.random.uniform(1, 2) * self.term_s)
        self._heal()

    def _heal(self) -> None:
        self.proxies.heal()
        self.pending_takeovers.clear()
        self.are_paths_undisturbed = True
