"""What each part of the program as it is costs against the fleet's size: points, fits, and their source.

Processor time is the thread's own (`thread_time`) or a process's from /proc, so that others on the machine
disturb it little; each point is one run. What runs is the program's own code; stand-ins are named where they
are. Bytes of datagrams count 28 of UDP and IP each. KB are 1,000 bytes.
"""

import gc
import random
import tempfile
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from heapq import heappop, heappush
from pathlib import Path
from socket import AF_INET, SOCK_DGRAM, socket
from types import SimpleNamespace

import dns.exception
import dns.message
import dns.rdatatype
import dns.rrset
import yaml

from cypressledge.broker.metrics import Counters
from cypressledge.broker.requests import Endpoint
from cypressledge.broker.stable_hash import stable_hash
from cypressledge.config import ConfigError
from cypressledge.decisions import contract as c
from cypressledge.decisions.manager import WorkloadManager
from cypressledge.fleet import settings as fleet_settings
from cypressledge.fleet.leases.participation import HeldLease
from cypressledge.fleet.messages import (
    VERSION,
    BrokerMetrics,
    EngineObservation,
    EngineObservations,
    Envelope,
    decode,
    encode,
)
from cypressledge.fleet.summary import ENGINES_MOST, Merge
from cypressledge.fleet.zones.environment import FleetLinks
from cypressledge.fleet.zones.failover import ZoneFailover
from cypressledge.fleet.zones.failover_plan import FailoverPace
from cypressledge.fleet.zones.topology import SiteTopology
from cypressledge.lab.results import Fact, Results, Slope, Source, slope, source, write
from cypressledge.lab.site import SETTINGS
from cypressledge.lab.virtual import World
from cypressledge.net.dns_discovery import SERVICE_NAME, DirectoryPoller, EngineNaming
from cypressledge.settings import parse_settings

S = 1_000_000
HEADERS = 28  # bytes of UDP and IPv4 on each datagram
RATE = 500.0  # statements/s at one broker (the target's)
WORK = 10_000  # µs of a statement's work
PEERS = 460
ENGINES = (12, 36, 60, 120, 245, 490)
ZONES = ("east-a", "east-b", "west-a", "west-b")
REGION = {"east-a": "east", "east-b": "east", "west-a": "west", "west-b": "west"}
BORN_MS = 1_700_000_000_000
SETTLE_S = 10  # in which brokers that start at once come to know each other
LOSS_MOST = 240  # brokers; with more of them the start and the loss take minutes to play
LOSS_S = 15.0  # seconds that are looked at after a quarter of the brokers has died
DNS_MOST = 65_535  # bytes of a DNS message: its length field over TCP, and just over what UDP carries
ANSWER_MOST = 8_000  # bytes of the directory's answers, as the platform's page has it


def thread_ms(do: Callable[[], object]) -> float:
    """Processor time of one call on this thread, ms; garbage of former calls is out of the way."""
    gc.collect()
    began = time.thread_time_ns()
    do()
    return (time.thread_time_ns() - began) / 1e6


def middle_ms(do: Callable[[], object], times: int) -> float:
    """The middle one of several calls."""
    return sorted(thread_ms(do) for _ in range(times))[times // 2]


# The decision module alone


def entries(count: int) -> tuple[c.EngineListEntry, ...]:
    """So many engines as a list names them."""
    return tuple(
        c.EngineListEntry(stable_hash(f"s-{i:08x}"), c.EngineState.READY, i % 2, i % 4, i % 2, 0)
        for i in range(count)
    )


def module(engines: int, peers: int, seed: int) -> WorkloadManager:
    """A module that knows its engines and has its usual rate."""
    told = parse_settings(SETTINGS | {"PeersTotal": peers, "Dcs": list(ZONES)})
    manager = WorkloadManager(told, seed)
    manager.handle(S, [c.EngineListReceived(c.EngineListKind.FULL, entries(engines))])
    manager.pace.answer_rate = RATE  # as after some periods: it sets how many engines a broker keeps to
    return manager


class Stream:
    """Statements for one module in virtual time, Poisson arrivals; engines take `WORK`, refuse nothing."""

    def __init__(self, manager: WorkloadManager, tables: int, seed: int) -> None:
        self.manager, self.tables, self.random = manager, tables, random.Random(seed)
        self.now, self.number, self.next = S, 0, S
        self.ends: list[tuple[int, int, int, int]] = []  # when, request, attempt, engine
        self.tries: dict[int, int] = {}
        self.timers: list[tuple[int, int]] = []
        self.used: set[int] = set()
        self.spent = self.given_up = 0

    def run(self, seconds: float) -> int:
        """Let time pass, tick by tick; how many statements came."""
        before, end = self.number, self.now + round(seconds * S)
        while self.now < end:
            self.now += self.manager.settings.timer_resolution
            events = [*self._arrivals(), *self._ended(), *self._timers()]
            if not events:
                continue
            began = time.thread_time_ns()
            actions = self.manager.handle(self.now, events)
            self.spent += time.thread_time_ns() - began
            for action in actions:
                self._do(action)
        return self.number - before

    def _arrivals(self) -> Iterator[c.RequestReceived]:
        while self.next <= self.now:
            self.next += round(self.random.expovariate(RATE) * S)
            self.number += 1
            table = self.random.randrange(self.tables)
            yield c.RequestReceived(self.number, 0, self.now + 3 * S, 0, WORK, 10.0, table)

    def _ended(self) -> Iterator[c.AttemptEnded]:
        while self.ends and self.ends[0][0] <= self.now:
            _, request, attempt, engine = heappop(self.ends)
            yield c.AttemptEnded(request, attempt, engine, c.Outcome.OK, True, WORK, WORK)

    def _timers(self) -> Iterator[c.TimerFired]:
        while self.timers and self.timers[0][0] <= self.now:
            yield c.TimerFired(heappop(self.timers)[1])

    def _do(self, action: c.Action) -> None:
        if isinstance(action, c.StartAttempt):
            attempt = self.tries[action.request] = self.tries.get(action.request, -1) + 1
            heappush(self.ends, (self.now + WORK, action.request, attempt, action.engine))
            self.used.add(action.engine)
        elif isinstance(action, c.StartTimer):
            heappush(self.timers, (self.now + action.after, action.token))
        elif isinstance(action, c.RejectRequest | c.FailRequest):
            self.given_up += 1


def fleet_before(engines: int) -> int:
    """Brokers of a fleet that loads each engine as the target does."""
    return max(1, round(engines * PEERS / ENGINES[-1]))


def statements(engines: int, peers: int, tables: int, seconds: float, seed: int) -> tuple[float, int, float]:
    """ms of processor time a statement, how many engines the module sent to, and the part it gave up."""
    stream = Stream(module(engines, peers, seed), tables, seed)
    stream.run(0.5)
    stream.spent = 0
    stream.used.clear()
    stream.given_up = 0
    came = stream.run(seconds)
    return stream.spent / 1e6 / came, len(stream.used), stream.given_up / came


def in_rounds(
    sizes: tuple[int, ...], tables: int, seconds: float, rounds: int, seed: int
) -> dict[int, tuple[list[float], int, float]]:
    """By engines: ms a statement of each round, engines sent to, the part given up. All sizes take turns, so
    that the machine's ups and downs, which last for minutes, meet all of them alike."""
    streams = {n: Stream(module(n, fleet_before(n), seed), tables, seed) for n in sizes}
    spent: dict[int, list[float]] = {n: [] for n in sizes}
    for stream in streams.values():
        stream.run(0.5)
        stream.used.clear()
    for _ in range(rounds):
        for n, stream in streams.items():
            stream.spent = 0
            came = stream.run(seconds / rounds)
            spent[n].append(stream.spent / 1e6 / came)
    return {n: (sorted(spent[n]), len(s.used), s.given_up / s.number) for n, s in streams.items()}


def module_kb(engines: int, seed: int) -> float:
    """Memory that a module holds after half a second of statements, KB (Python's own allocations)."""
    gc.collect()
    tracemalloc.start()
    stream = Stream(module(engines, fleet_before(engines), seed), 40, seed)
    stream.run(0.5)
    stream.ends.clear()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held / 1000


def list_ms(engines: int, seed: int) -> float:
    """ms of a module that is told a whole list without a change, and its first statement after."""
    manager = module(engines, fleet_before(engines), seed)
    news = c.EngineListReceived(c.EngineListKind.FULL, entries(engines))
    arrival = c.RequestReceived(1, 0, 5 * S, 0, WORK, 10.0, 1)
    return thread_ms(lambda: manager.handle(2 * S, [news, arrival]))


def decisions(quick: bool, seed: int, told: Source) -> tuple[list[Slope], list[Fact]]:
    """(a): the decision module against engines, peers and tables."""
    sizes = (12, 36, 60) if quick else ENGINES
    seconds = 1.0 if quick else 10.0
    role = "broker, request path"
    rounds = 3 if quick else 5
    many = in_rounds(sizes, 40, seconds, rounds, seed)
    one = in_rounds(sizes, 1, seconds / 5, 3, seed)
    fleets = (40, PEERS) if quick else (40, 120, 240, PEERS)
    peers = {n: statements(60, n, 40, seconds / 5, seed)[0] for n in fleets}
    made = [
        (
            "module_ms",
            "the decision module, a statement, of 40 groups of tables",
            "ms",
            "engines",
            [(n, ms[rounds // 2]) for n, (ms, _, _) in many.items()],
        ),
        (
            "engines_used",
            f"different engines sent to within {seconds:g} s at 500 statements/s",
            "engines",
            "engines",
            [(n, used) for n, (_, used, _) in many.items()],
        ),
        (
            "module_one_table_ms",
            "the same, all statements of one group of tables",
            "ms",
            "engines",
            [(n, ms[1]) for n, (ms, _, _) in one.items()],
        ),
        ("module_peers_ms", "the decision module before 60 engines", "ms", "brokers", list(peers.items())),
        (
            "module_kb",
            "memory of the decision module",
            "KB",
            "engines",
            [(n, module_kb(n, seed)) for n in sizes],
        ),
        (
            "module_list_ms",
            "the decision module told a whole list, and the next statement",
            "ms",
            "engines",
            [(n, list_ms(n, seed)) for n in sizes],
        ),
    ]
    given_up = 100 * max(part for _, _, part in many.values())
    words = "statements that the module gave up, most of all sizes"
    return (
        [slope(name, role, what, unit, x, points, told) for name, what, unit, x, points in made],
        [
            Fact("module_given_up", words, given_up, "%", told),
            *(
                Fact(
                    f"module_{how}_ms",
                    f"module_ms at {sizes[-1]} engines, the {how} of {rounds} rounds",
                    many[sizes[-1]][0][at],
                    "ms",
                    told,
                )
                for how, at in (("least", 0), ("most", -1))
            ),
        ],
    )


# The directory's whole list


def answer(query: dns.message.Message, engines: int, serial: int = 1) -> dns.message.Message:
    """A directory's answer, as the platform's page shows it: SRV, A and TXT of each, and the serial."""
    told, zones = dns.message.make_response(query), len(ZONES)
    hosts = [f"s-{stable_hash(f's-{i}', 4):08x}.{ZONES[i % zones]}.hosts." for i in range(engines)]

    def add(section, owner, kind, *texts) -> None:
        section.append(dns.rrset.from_text_list(owner, 1, "IN", kind, texts))

    add(
        told.answer,
        SERVICE_NAME + ".",
        "SRV",
        *(f"0 40 {6565 + i % 8} {host}" for i, host in enumerate(hosts)),
    )
    for i, host in enumerate(hosts):
        add(told.additional, host, "A", f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}")
        add(told.additional, host, "TXT", f'"kind=node-8c" "cell={i % 2}" "started={BORN_MS + i}"')
    add(told.authority, "cluster.lan.", "SOA", f"ns. root. {serial} 1 1 1 1")
    return told


def wire(query: dns.message.Message, engines: int, serial: int = 1) -> bytes | None:
    """The answer on the wire by dnspython's own encoder; None where one message can't hold it."""
    try:
        return answer(query, engines, serial).to_wire(max_size=DNS_MOST)
    except dns.exception.TooBig:
        return None


def most_that_fit(bound: int) -> int:
    """Engines whose list just fits an answer of so many bytes."""
    query = dns.message.make_query(SERVICE_NAME + ".", dns.rdatatype.SRV)
    low, high = 1, 2_000
    while low < high:
        middle = (low + high + 1) // 2
        raw = wire(query, middle)
        low, high = (middle, high) if raw is not None and len(raw) <= bound else (low, middle - 1)
    return low


def reader() -> DirectoryPoller:
    """The program's reader with a stand-in for the core, which is told lists and does nothing."""
    engines = SimpleNamespace(update_list=lambda *told: None)
    core = SimpleNamespace(counters=Counters(), engines=engines)
    return DirectoryPoller(core, None, EngineNaming(("node-8c", "node-16c"), ZONES, "lines"), 0)


def read_ms(engines: int) -> float | None:
    """ms that a changed list takes a broker until its module is told; None where it can't be sent."""
    query = dns.message.make_query(SERVICE_NAME + ".", dns.rdatatype.SRV)
    raws = [wire(query, engines, serial) for serial in (1, 2, 3)]
    if None in raws:
        return None
    directory, serials = reader(), iter(raws)
    return middle_ms(lambda: directory.read_answer(query, next(serials)), 3)


@contextmanager
def responder(raw: bytes) -> Iterator[tuple[str, int]]:
    """A name server on the loopback that gives one answer under each query's own id, on its own thread."""
    with socket(AF_INET, SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))

        def serve() -> None:
            while (got := sock.recvfrom(4096))[0] != b"end":
                sock.sendto(got[0][:2] + raw[2:], got[1])

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        yield sock.getsockname()
        with socket(AF_INET, SOCK_DGRAM) as last:
            last.sendto(b"end", sock.getsockname())
        thread.join()


def poll_ms(engines: int, polls: int) -> float | None:
    """ms of a poll that brings the same list as the last one; None where it can't be sent."""
    raw = wire(dns.message.make_query(SERVICE_NAME + ".", dns.rdatatype.SRV), engines)
    if raw is None or len(raw) > DNS_MOST - HEADERS:
        return None
    with responder(raw) as server:
        directory = reader()
        directory.server = server
        directory.poll()

        def several() -> None:
            for _ in range(polls):
                directory.poll()

        return thread_ms(several) / polls


def directory(quick: bool, seed: int, told: Source) -> tuple[list[Slope], list[Fact]]:
    """(b): the list of engines as the program polls and reads it now."""
    bounds = {
        ANSWER_MOST: "the platform's answer of 8,000 bytes",
        DNS_MOST - HEADERS: "one UDP datagram",
        DNS_MOST: "one DNS message",
    }
    fits = {bound: most_that_fit(bound) for bound in bounds}
    sizes = (12, 36, 60) if quick else (*ENGINES[:-1], fits[DNS_MOST - HEADERS])
    query = dns.message.make_query(SERVICE_NAME + ".", dns.rdatatype.SRV)
    raws = {n: wire(query, n) for n in sizes}
    reads = {n: read_ms(n) for n in sizes}
    polls = {n: poll_ms(n, 20) for n in sizes}
    role = "broker, control part"
    made = [
        (
            "directory_bytes",
            "directory",
            "the list of engines as one DNS message",
            "bytes",
            {n: len(raw) for n, raw in raws.items() if raw is not None},
        ),
        ("directory_read_ms", role, "a changed list read, until the module is told", "ms", reads),
        ("directory_poll_ms", role, "a poll that brings no change", "ms", polls),
    ]
    slopes = [
        slope(name, who, what, unit, "engines", [(n, y) for n, y in at.items() if y is not None], told)
        for name, who, what, unit, at in made
    ]
    facts = [
        Fact(f"directory_fits_{bound}", f"engines whose list fits {words}", fits[bound], "engines", told)
        for bound, words in bounds.items()
    ]
    return slopes, facts


# Members and leases


def members(brokers: int, seconds: float, seed: int) -> dict[str, tuple[float, ...]]:
    """By group: % of a core (mean, most), datagrams/s and KB/s sent (mean, most) when settled."""
    names = [f"n{i:03d}" for i in range(brokers)]
    voters = names[:5]
    world = World(names, voters, 50, seed)
    world.run(SETTLE_S * S)
    gc.collect()
    before = {n: (x.cpu, x.sent, x.bytes) for n, x in world.nodes.items()}
    world.run(round(seconds * S))
    told = {}
    for title, group in (("voters", voters), ("others", names[5:])):
        rows = []
        for name in group:
            node, (cpu, sent, size) = world.nodes[name], before[name]
            rows.append(
                (
                    (node.cpu - cpu) / seconds / 1e7,
                    (node.sent - sent) / seconds,
                    (node.bytes - size + HEADERS * (node.sent - sent)) / seconds / 1000,
                )
            )
        columns = list(zip(*rows, strict=True))
        told[title] = tuple(f(column) for column in columns for f in (lambda v: sum(v) / len(v), max))
    if brokers <= LOSS_MOST:
        told["loss"] = lose_a_quarter(world)
    return told


def lose_a_quarter(world: World) -> tuple[float, ...]:
    """Kill each fourth broker; s until noticed, then % of a core and KB/s (most, in 15 s), s until leases
    are held. What does not come to pass by then is told as 15."""
    dead = set(world.names[::4])
    for name in dead:
        world.kill(name)
    before = {n: (x.cpu, x.sent, x.bytes) for n, x in world.nodes.items()}
    noticed = held = LOSS_S
    for step in range(1, round(4 * LOSS_S) + 1):
        world.run(S // 4)
        if noticed == LOSS_S and not any(dead & x.membership.alive() for x in world.nodes.values()):
            noticed = step / 4
        if held == LOSS_S and all(world.holders(f"lease-{i}") for i in range(50)):
            held = step / 4
    cpu = max((x.cpu - before[n][0]) / LOSS_S / 1e7 for n, x in world.nodes.items())
    kb = max(
        (x.bytes - before[n][2] + HEADERS * (x.sent - before[n][1])) / LOSS_S / 1000
        for n, x in world.nodes.items()
    )
    return noticed, cpu, kb, held


FIGURES = (
    ("cpu", "processor time", "% of a core"),
    ("datagrams", "datagrams sent", "1/s"),
    ("kb", "sent, with headers", "KB/s"),
)


def together(quick: bool, seed: int, told: Source) -> list[Slope]:
    """(c): members and 50 leases in virtual time, decisions and encoding, no sockets."""
    sizes = (20, 40) if quick else (60, 120, 240, 460)
    found = {n: members(n, 4.0 if quick else 5.0, seed) for n in sizes}
    slopes = []
    for group, role in (("voters", "voter"), ("others", "broker, control part")):
        for i, (short, what, unit) in enumerate(FIGURES):
            for j, how in enumerate(("mean", "most")):
                points = [(n, rows[group][2 * i + j]) for n, rows in found.items()]
                slopes.append(
                    slope(
                        f"members_{group}_{short}_{how}",
                        role,
                        f"members and 50 leases: {what}, {how}",
                        unit,
                        "brokers",
                        points,
                        told,
                    )
                )
    return slopes + losses(found, told)


def losses(found: dict[int, dict[str, tuple[float, ...]]], told: Source) -> list[Slope]:
    """What a quarter of the brokers dying at once, as with a zone, asks of the others."""
    made = (
        ("noticed_s", "a quarter dies: until each of the others holds all of them for gone", "s"),
        ("loss_cpu_most", "the 15 s after: processor time, most of a broker", "% of a core"),
        ("loss_kb_most", "the 15 s after: sent, with headers, most of a broker", "KB/s"),
        ("loss_held_s", "a quarter dies: until all 50 leases are held again", "s"),
    )
    return [
        slope(
            f"members_{name}",
            "broker, control part",
            what,
            unit,
            "brokers",
            [(n, rows["loss"][i]) for n, rows in found.items() if "loss" in rows],
            told,
        )
        for i, (name, what, unit) in enumerate(made)
    ]


# The planner and the summary


def sight(engines: list[int], bad: frozenset[int]) -> EngineObservations:
    """What a broker tells of the engines it used: 64 at most, as `AttemptObservations.snapshot` bounds it."""

    def seen(engine: int) -> EngineObservation:
        if engine in bad:
            return EngineObservation(engine, 0, 0, 0, 3, 1, 0, 4, 900)
        return EngineObservation(engine, 40, 0, 0, 0, 0, 400_000, 0, 12)

    return EngineObservations([seen(e) for e in engines[:64]], {"sahel": 1_000}, [])


def planner(
    brokers: int, engines: int, lost: bool, seed: int
) -> tuple[ZoneFailover, list[tuple[str, object]]]:
    """A planner with a sight of each broker; with a zone lost, or all well. The core is a stand-in."""
    names = [f"n{i:03d}" for i in range(brokers)]
    listed = entries(engines)
    core = SimpleNamespace(
        settings=SimpleNamespace(kind_cores=(8, 16)),
        loop=SimpleNamespace(now=lambda: 100 * S),
        ledger=SimpleNamespace(requests={}),
        engines=SimpleNamespace(
            refresh=lambda: None,
            engine_lists={"lines": [(e, Endpoint(e.engine, "", ("", 0), "lines")) for e in listed]},
        ),
    )
    sent: list[tuple[str, object]] = []
    site = SiteTopology(ZONES, {n: ZONES[i % 4] for i, n in enumerate(names)}, REGION, {})
    links = FleetLinks(
        now=lambda: 100 * S,
        send=lambda peer, item: sent.append((peer, item)),
        living_peers=lambda: names[1:],
        likely_planners=lambda: names[:1],
        log_event=lambda event, **fields: None,
    )
    zones = ZoneFailover(names[0], core, site, FailoverPace(), links)
    bad = frozenset(e.engine for e in listed if e.zone == 0) if lost else frozenset()
    rng = random.Random(seed)
    for name in names:
        used = rng.sample([e.engine for e in listed], min(64, engines))
        zones.receive(name, sight(used, bad))
    return zones, sent


def plan_step(brokers: int, engines: int, lost: bool, seed: int) -> tuple[float, float]:
    """ms of one act of the planner, and of its longest step, in which requests wait."""
    zones, _ = planner(brokers, engines, lost, seed)
    grant = HeldLease("zones", "zones", 1, 1, 200 * S)
    for _ in zones.act(grant):
        pass
    gc.collect()
    steps, began = [], time.thread_time_ns()
    for _ in zones.act(grant):
        steps.append(time.thread_time_ns() - began)
        began = time.thread_time_ns()
    steps.append(time.thread_time_ns() - began)
    return sum(steps) / 1e6, max(steps) / 1e6


def size(*items: object) -> int:
    """Bytes of a datagram that carries the items, headers with it."""
    return len(encode(Envelope(VERSION, "n000", "n001", 1 << 61, 3, 1, 1, list(items)))) + HEADERS


def figures_of(engines: int, avoided: int) -> BrokerMetrics:
    """A broker's figures with so many engines avoided, 128 at most."""
    classes = {name: [40_000_000, 12_000, 3_000, 41_000_000] for name in ("lookup", "report", "order-load")}
    return BrokerMetrics(
        7,
        classes,
        [f"s-{stable_hash(f's-{i}', 4):08x}" for i in range(min(avoided, ENGINES_MOST))],
        engines,
        60,
    )


def summed(brokers: int, engines: int) -> tuple[float, int]:
    """ms of one summary of all brokers but a quarter (a zone that is gone), and its bytes."""
    names = [f"n{i:03d}" for i in range(brokers)]
    merge = Merge(7, 1 << 61, names[0])
    for name in names[brokers // 4 :]:
        merge.add(name, figures_of(engines, engines // 4))
    ms = middle_ms(lambda: merge.summary(names), 3)
    return ms, size(merge.summary(names))


def sight_us() -> float:
    """µs to decode a sight of 64 engines and take it."""
    zones, _ = planner(2, 64, False, 1)
    told = sight([stable_hash(f"s-{i}") for i in range(64)], frozenset())
    raw = encode(Envelope(VERSION, "n001", "n000", 1 << 61, 3, 1, 1, [told]))

    def many() -> None:
        for _ in range(200):
            zones.receive("n001", decode(raw).items[0])

    return thread_ms(many) * 1000 / 200


def planning(quick: bool, seed: int, told: Source) -> tuple[list[Slope], list[Fact]]:
    """(d): the planner's act and the summary, against brokers before 490 engines."""
    sizes = (20, 60, 120) if quick else (60, 120, 200, 320, 460)
    engines = 60 if quick else 490
    well = {n: plan_step(n, engines, False, seed) for n in sizes}
    lost = {n: plan_step(n, engines, True, seed) for n in sizes}
    sums = {n: summed(n, engines) for n in sizes}
    by_engines = {n: plan_step(sizes[-1], n, True, seed)[0] for n in ((12, 60) if quick else ENGINES)}
    seen = {n: size(sight([stable_hash(f"s-{i}") for i in range(n)], frozenset())) for n in (12, 36, 64)}
    made = [
        (
            "planner_well_ms",
            "one act of the planner, all well",
            "ms",
            "brokers",
            {n: ms for n, (ms, _) in well.items()},
        ),
        (
            "planner_lost_ms",
            "one act of the planner, a zone lost",
            "ms",
            "brokers",
            {n: ms for n, (ms, _) in lost.items()},
        ),
        (
            "planner_longest_ms",
            "its longest step",
            "ms",
            "brokers",
            {n: most for n, (_, most) in lost.items()},
        ),
        ("planner_engines_ms", f"one act, a zone lost, {sizes[-1]} brokers", "ms", "engines", by_engines),
        ("sight_bytes", "one broker's sight", "bytes", "engines it names", seen),
        (
            "summary_ms",
            "one summary added up, a quarter missing",
            "ms",
            "brokers",
            {n: ms for n, (ms, _) in sums.items()},
        ),
        (
            "summary_bytes",
            "one summary, a quarter missing, a quarter of the engines avoided",
            "bytes",
            "brokers",
            {n: b for n, (_, b) in sums.items()},
        ),
    ]
    slopes = [
        slope(name, "planner", what, unit, x, list(points.items()), told)
        for name, what, unit, x, points in made
    ]
    zones, sent = planner(4, 60, True, seed)
    for _ in zones.act(HeldLease("zones", "zones", 1, 1, 200 * S)):
        pass
    facts = [
        Fact("plan_bytes", "one plan of 4 zones and 2 regions", size(sent[0][1]), "bytes", told),
        Fact(
            "figures_bytes",
            "one broker's figures, 122 engines avoided",
            size(figures_of(490, 122)),
            "bytes",
            told,
        ),
        Fact("sight_us", "a sight of 64 engines decoded and taken", sight_us(), "µs", told),
    ]
    return slopes, facts


# fleet.yaml


def fleet_file(folder: Path, peers: int) -> str:
    """A file of so many peers, five voters, 50 leases."""
    path = folder / f"{peers}.yaml"
    names = [f"n{i:03d}" for i in range(peers)]
    path.write_text(
        yaml.safe_dump(
            {
                "peers": [
                    {"name": n, "address": f"10.0.{i >> 8}.{i & 255}:9701", "zone": ZONES[i % 4]}
                    for i, n in enumerate(names)
                ],
                "voters": [{"version": 1, "names": names[:5]}],
                "leases": [{"name": f"lease-{i}"} for i in range(50)],
            }
        )
    )
    return str(path)


def fleet_yaml(quick: bool, seed: int, told: Source) -> tuple[list[Slope], list[Fact]]:
    """(e): reading the file, and its bound."""
    sizes = (20, 60) if quick else (25, 50, 100, 150, 200)
    with tempfile.TemporaryDirectory(prefix="cypressledge-lab-") as folder:
        points = []
        for n in sizes:
            path = fleet_file(Path(folder), n)
            points.append((n, middle_ms(lambda path=path: fleet_settings.read_fleet_settings(path), 3)))
        try:
            fleet_settings.read_fleet_settings(fleet_file(Path(folder), PEERS))
            most = PEERS
        except ConfigError:
            most = fleet_settings.MAX_PEERS
    role, what = "broker, control part", "fleet.yaml read and checked"
    return (
        [slope("fleet_yaml_ms", role, what, "ms", "brokers", points, told)],
        [Fact("fleet_yaml_peers", "peers that fleet.yaml may name (460 tried)", most, "brokers", told)],
    )


# All of it


def run(path: str, quick: bool, seed: int, say: Callable[[str], None]) -> int:
    """Measure all slopes, one after the other, and write them. 0, whatever the figures are."""
    from cypressledge.lab.scaling_process import process

    command = f"python -m cypressledge lab scaling --json {path} --seed {seed}{' --quick' if quick else ''}"
    results = Results(quick)
    for part in (decisions, directory, together, planning, fleet_yaml, process):
        began = time.monotonic()
        found = part(quick, seed, source(seed, command))
        slopes, facts = found if isinstance(found, tuple) else (found, [])
        results.slopes += slopes
        results.facts += facts
        for one in slopes:
            told = "  ".join(f"{x:g}: {y:.4g}" for x, y in one.points)
            say(f"{one.name} ({one.unit} over {one.x})  {told}  [{one.fit.kind}, off by {one.residual:.1%}]")
        for fact in facts:
            say(f"{fact.name}  {fact.value:g} {fact.unit}")
        say(f"-- {part.__name__}: {time.monotonic() - began:.1f} s")
    write(path, results)
    return 0
