"""Many brokers in virtual time: members and leases as the program has them, a network that loses and delays.

No sockets and no real clocks: what a broker would send goes through a queue of events. Seeded, so a run is
the same each time. Used for sizes that one machine can't start as processes, and for long random schedules.
"""

import heapq
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable

from tabulate import tabulate

from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.leases.lease_manager import LeaseManager, LeaseSettings
from cypressledge.fleet.leases.participation import lease_slots
from cypressledge.fleet.membership import ALIVE, Membership
from cypressledge.fleet.messages import VERSION, Ack, Envelope, IndirectPing, Ping, encode

S = 1_000_000
GATHER = 10_000  # µs that a broker takes datagrams together for, as the program does


class Node:
    """One broker: members and leases, on a clock of its own."""

    def __init__(self, world: "World", name: str, run: int) -> None:
        self.world, self.name, self.run = world, name, run
        self.rate = world.rates.get(name, 1.0)
        self.inbox: list[tuple[str, int, int, list]] = []
        self.queues: dict[str, list] = {}
        self.paused_until = 0
        self.cpu = self.sent = self.items = self.bytes = 0
        now = self.now()
        e = Electorate(name, world.term, dict(world.sets), max(world.sets), now)
        self.membership = Membership(
            name, world.names, world.wall() // 1000, S // 2, run, self.send, lambda m, why: None
        )
        self.lease_manager = LeaseManager(
            name,
            run,
            e,
            LeaseSettings(world.places, world.drift, base_token=world.wall(), seed=run),
            now,
            self.send,
            lambda *told: world.told(self, *told),
        )
        self.membership.announce()

    def now(self) -> int:
        """This node's clock, µs."""
        return round(self.world.at * self.rate) + 7 * S

    def send(self, peer: str, item: object) -> None:
        """Queue an item for a peer."""
        self.queues.setdefault(peer, []).append(item)

    def turn(self) -> int:
        """One turn of the owner; when the next is due, µs of true time."""
        began = time.thread_time_ns()
        now = self.now()
        inbox, self.inbox = self.inbox, []
        for sender, incarnation, floor, items in inbox:
            if sender != self.name and not self.membership.observe(now, sender, incarnation):
                self.membership.refute(items)
                continue
            self.lease_manager.electorate.observe(now, sender, floor)
            for item in items:
                if isinstance(item, Ping | Ack | IndirectPing):
                    self.membership.receive(now, sender, item)
                else:
                    self.lease_manager.receive(now, sender, item)
        due = min(self.membership.tick(now), self.lease_manager.tick(now))
        self.lease_manager.set_alive(self.membership.alive(), now)
        self._flush()
        self.cpu += time.thread_time_ns() - began
        return self.world.at + max(GATHER, round((due - now) / self.rate))

    def _flush(self) -> None:
        queues, self.queues = self.queues, {}
        e = self.lease_manager.electorate
        for peer, items in queues.items():
            floor = e.oldest_accepted(self.now())
            raw = encode(
                Envelope(
                    VERSION, self.name, peer, self.run, self.membership.incarnation, e.version, floor, items
                )
            )
            self.sent, self.items, self.bytes = self.sent + 1, self.items + len(items), self.bytes + len(raw)
            self.world.carry(self.name, peer, (self.name, self.membership.incarnation, floor, items))


class World:
    """All nodes and the network. `cut`: pairs (from, to) that nothing passes."""

    def __init__(
        self,
        names: list[str],
        voters: list[str],
        leases: int,
        seed: int,
        term: int = 3 * S,
        drift: int = 10_000,
        rates: dict[str, float] | None = None,
    ) -> None:
        self.names, self.term, self.drift, self.rates = names, term, drift, rates or {}
        self.random = random.Random(seed)
        self.sets = {1: tuple(voters)}
        self.places = [p for i in range(leases) for p in lease_slots(f"lease-{i}", 1, term, False)]
        self.at = 0
        self.numbers = itertools.count()
        self.events: list = []
        self.cut: set[tuple[str, str]] = set()
        self.loss, self.copies = 0.0, 0.0
        self.delay = (100, 2_000)
        self.wall_step = 0
        self.runs = itertools.count(1)
        self.told_most: Callable = lambda *told: None
        self.nodes: dict[str, Node] = {}
        for name in names:
            self.start(name)

    def wall(self) -> int:
        """A wall clock, µs, that may have been stepped."""
        return 1_700_000_000 * S + self.at + self.wall_step

    def told(self, node: Node, event: str, lease: str, token: int, why: str) -> None:
        """A node's event about a lease."""
        self.told_most(self, node, event, lease, token, why)

    def start(self, name: str) -> None:
        """A process starts; one of that name that ran is gone."""
        node = self.nodes[name] = Node(self, name, next(self.runs))
        self._at(self.at + self.random.randrange(1_000), "turn", node)

    def kill(self, name: str) -> None:
        """A process is gone without a word."""
        del self.nodes[name]

    def carry(self, source: str, to: str, what: tuple) -> None:
        """A datagram goes its way."""
        if (source, to) in self.cut:
            return
        for _ in range(2 if self.copies and self.random.random() < self.copies else 1):
            if self.loss and source != to and self.random.random() < self.loss:
                continue
            self._at(self.at + self.random.randint(*self.delay), "get", (to, what))

    def _at(self, when: int, kind: str, what: object) -> None:
        heapq.heappush(self.events, (when, next(self.numbers), kind, what))

    def call(self, after: int, do: Callable[[], None]) -> None:
        """Do something at a later moment, µs from now."""
        self._at(self.at + after, "call", do)

    def run(self, span: int) -> None:
        """Let time pass."""
        end = self.at + span
        while self.events and self.events[0][0] <= end:
            self.at, _, kind, what = heapq.heappop(self.events)
            if kind == "call":
                what()
            elif kind == "get":
                self._get(*what)
            elif self.nodes.get(what.name) is what:
                self._turn(what)
        self.at = end

    def _get(self, to: str, what: tuple) -> None:
        node = self.nodes.get(to)
        if node is None or len(node.inbox) > 1_024:
            return
        node.inbox.append(what)
        if len(node.inbox) == 1:
            self._at(self.at + GATHER, "turn", node)

    def _turn(self, node: Node) -> None:
        if self.at < node.paused_until:
            self._at(node.paused_until, "turn", node)
            return
        due = node.turn()
        # A turn that datagrams bring comes earlier; a late duplicate of one is harmless.
        if getattr(node, "next_due", 0) <= self.at or due < node.next_due:
            node.next_due = due
            self._at(due, "turn", node)

    def holders(self, lease: str) -> list[str]:
        """Who believes in holding a lease now, by its own clock."""
        return [
            n
            for n, node in self.nodes.items()
            if node.lease_manager.participations[lease].acquisition.is_held(node.now())
        ]


def report(brokers: int, leases: int, voters: int, seconds: float, seed: int, say: Callable) -> int:
    """Figures of a fleet at size: messages, processor time, how leases spread before and after a death."""
    names = [f"n{i:03d}" for i in range(brokers)]
    world = World(names, names[:voters], leases, seed)
    world.run(10 * S)
    before = {n: (x.cpu, x.sent, x.items, x.bytes) for n, x in world.nodes.items()}
    world.run(round(seconds * S))
    rows = []
    for title, group in (("voters", names[:voters]), ("others", names[voters:])):
        spent = [
            [(b - a) / seconds for a, b in zip(before[n], (x.cpu, x.sent, x.items, x.bytes), strict=True)]
            for n in group
            for x in (world.nodes[n],)
        ]
        means = [sum(col) / len(col) for col in zip(*spent, strict=True)]
        rows.append(
            [
                title,
                len(group),
                f"{means[0] / 1e7:.3f}",
                f"{max(s[0] for s in spent) / 1e7:.3f}",
                f"{means[1]:.1f}",
                f"{means[2]:.1f}",
                f"{means[3] / 1000:.2f}",
            ]
        )
    say(tabulate(rows, headers=["", "brokers", "cpu % mean", "cpu % most", "datagrams/s", "items/s", "kB/s"]))
    held = Counter(world.holders(f"lease-{i}")[0] for i in range(leases) if world.holders(f"lease-{i}"))
    say(f"leases held {sum(held.values())} of {leases}, by {len(held)} brokers, most {max(held.values())}")
    return _after_a_death(world, leases, held, say)


def _after_a_death(world: World, leases: int, held: Counter, say: Callable) -> int:
    victim = held.most_common(1)[0][0]
    lost = [f"lease-{i}" for i in range(leases) if victim in world.holders(f"lease-{i}")]
    died = world.at
    world.kill(victim)
    back: dict[str, int] = {}
    while len(back) < len(lost) and world.at < died + 20 * S:
        world.run(10_000)
        for lease in lost:
            if lease not in back and world.holders(lease):
                back[lease] = world.at - died
    spread = Counter(world.holders(lease)[0] for lease in back)
    alive = sum(m.state == ALIVE for m in next(iter(world.nodes.values())).membership.members.values())
    say(
        f"{victim} killed with {len(lost)} leases: all held again after {max(back.values()) / S:.2f} s, "
        f"by {len(spread)} brokers; {alive + 1} seen alive"
    )
    return 0 if len(back) == len(lost) else 1
