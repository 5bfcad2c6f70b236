"""A simulated fleet in virtual time: the program's membership and lease code on a lossy, delaying network.

There are no sockets and no real clocks: datagrams pass through an event queue. Runs are seeded and therefore
reproducible. Used for fleets too large to start as processes on one machine, and for long random schedules.
"""

import heapq
import itertools
import random
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.leases.lease import lease_slots
from cypressledge.fleet.leases.lease_manager import LeaseManager, LeaseSettings
from cypressledge.fleet.membership import Membership
from cypressledge.fleet.messages import VERSION, Ack, Envelope, IndirectPing, Ping, encode

SECOND_US = 1_000_000
RECEIVE_BATCH_US = 10_000  # µs during which a broker collects datagrams before a turn, as in the program
MAX_INBOX = 1_024  # datagrams


class Datagram(NamedTuple):
    """A datagram in transit: its items, and its sender's incarnation and oldest accepted voter set."""

    sender: str
    incarnation: int
    oldest_accepted: int
    items: list[Any]


class VirtualNode:
    """One broker's membership and leases, with a clock of its own."""

    def __init__(self, world: "VirtualFleet", name: str, run: int) -> None:
        self.world = world
        self.name = name
        self.run = run
        self.rate = world.rates.get(name, 1.0)
        self.inbox: list[Datagram] = []
        self.queues: dict[str, list[Any]] = {}  # by peer: items to send
        self.paused_until = 0  # µs of true time
        self.next_due = 0  # µs of true time; when its next turn is due
        self.cpu_ns = 0
        self.datagrams_sent = 0
        self.items_sent = 0
        self.payload_bytes = 0
        now = self.now()
        electorate = Electorate(name, world.term, dict(world.voter_sets), max(world.voter_sets), now)
        self.membership = Membership(
            name, world.names, world.wall() // 1000, SECOND_US // 2, run, self.send, lambda m, why: None
        )
        self.lease_manager = LeaseManager(
            name,
            run,
            electorate,
            LeaseSettings(world.lease_slots, world.drift, base_token=world.wall(), seed=run),
            now,
            self.send,
            self._on_lease_event,
        )
        self.membership.announce()

    def _on_lease_event(self, event: str, lease: str, token: int, reason: str) -> None:
        self.world.on_lease_event(self.world, self, event, lease, token, reason)

    def now(self) -> int:
        """Return the time (µs) of this node's clock."""
        return round(self.world.at * self.rate) + 7 * SECOND_US

    def send(self, peer: str, item: object) -> None:
        """Queue an item for a peer."""
        self.queues.setdefault(peer, []).append(item)

    def turn(self) -> int:
        """Process the inbox and timers, and send; return when the next turn is due, µs of true time."""
        began = time.thread_time_ns()
        now = self.now()
        inbox, self.inbox = self.inbox, []
        for sender, incarnation, oldest_accepted, items in inbox:
            if sender != self.name and not self.membership.observe(now, sender, incarnation):
                self.membership.refute(items)
                continue
            self.lease_manager.electorate.observe(now, sender, oldest_accepted)
            for item in items:
                if isinstance(item, Ping | Ack | IndirectPing):
                    self.membership.receive(now, sender, item)
                else:
                    self.lease_manager.receive(now, sender, item)
        due = min(self.membership.tick(now), self.lease_manager.tick(now))
        self.lease_manager.set_alive(self.membership.alive(), now)
        self._flush()
        self.cpu_ns += time.thread_time_ns() - began
        return self.world.at + max(RECEIVE_BATCH_US, round((due - now) / self.rate))

    def _flush(self) -> None:
        queues, self.queues = self.queues, {}
        electorate = self.lease_manager.electorate
        for peer, items in queues.items():
            oldest_accepted = electorate.oldest_accepted(self.now())
            incarnation = self.membership.incarnation
            raw = encode(
                Envelope(
                    VERSION,
                    self.name,
                    peer,
                    self.run,
                    incarnation,
                    electorate.version,
                    oldest_accepted,
                    items,
                )
            )
            self.datagrams_sent += 1
            self.items_sent += len(items)
            self.payload_bytes += len(raw)
            self.world.carry(self.name, peer, Datagram(self.name, incarnation, oldest_accepted, items))


class VirtualFleet:
    """All nodes and the network between them.

    `cut`: pairs (from, to) between which all datagrams are dropped; `loss`, `copies`: probabilities that a
    datagram is lost or duplicated; `delay`: minimum and maximum, µs. `on_lease_event` is called with the
    fleet, the node, an event, its lease, token and reason.
    """

    def __init__(
        self,
        names: list[str],
        voters: list[str],
        leases: int,
        seed: int,
        term: int = 3 * SECOND_US,
        drift: int = 10_000,
        rates: dict[str, float] | None = None,
    ) -> None:
        self.names = names
        self.term = term  # µs
        self.drift = drift  # parts in a million
        self.rates = rates or {}  # clock rate of each node relative to true time, by name; 1.0 if absent

        self.random = random.Random(seed)
        self.voter_sets = {1: tuple(voters)}
        self.lease_slots = [p for i in range(leases) for p in lease_slots(f"lease-{i}", 1, term, False)]
        self.at = 0  # µs of true time
        self.event_numbers = itertools.count()
        self.events: list[tuple[int, int, str, Any]] = []  # heap: when, number, kind, argument
        self.cut: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.copies = 0.0
        self.delay = (100, 2_000)
        self.wall_step = 0  # µs by which all wall clocks have been stepped
        self.instance_ids = itertools.count(1)
        self.on_lease_event: Callable[..., object] = lambda *event: None
        self.nodes: dict[str, VirtualNode] = {}
        for name in names:
            self.start(name)

    def wall(self) -> int:
        """Return the wall clock time (µs), including any step."""
        return 1_700_000_000 * SECOND_US + self.at + self.wall_step

    def start(self, name: str) -> None:
        """Start a node; a running node of the same name is replaced."""
        node = self.nodes[name] = VirtualNode(self, name, next(self.instance_ids))
        self._schedule(self.at + self.random.randrange(1_000), "turn", node)

    def kill(self, name: str) -> None:
        """Remove a node without notifying the others."""
        del self.nodes[name]

    def carry(self, source: str, to: str, datagram: Datagram) -> None:
        """Deliver a datagram after a delay, unless it is lost or the link is cut; it may be duplicated."""
        if (source, to) in self.cut:
            return
        for _ in range(2 if self.copies and self.random.random() < self.copies else 1):
            if self.loss and source != to and self.random.random() < self.loss:
                continue
            self._schedule(self.at + self.random.randint(*self.delay), "get", (to, datagram))

    def _schedule(self, when: int, kind: str, argument: object) -> None:
        heapq.heappush(self.events, (when, next(self.event_numbers), kind, argument))

    def call(self, after: int, callback: Callable[[], None]) -> None:
        """Schedule a call of `callback` in `after` µs."""
        self._schedule(self.at + after, "call", callback)

    def run(self, span: int) -> None:
        """Advance true time by `span` µs and process all events in it."""
        end = self.at + span
        while self.events and self.events[0][0] <= end:
            self.at, _, kind, argument = heapq.heappop(self.events)
            if kind == "call":
                argument()
            elif kind == "get":
                self._receive(*argument)
            elif self._is_running(argument):
                self._turn(argument)
        self.at = end

    def _is_running(self, node: VirtualNode) -> bool:
        """Return whether a node has been neither removed nor replaced by another of the same name."""
        return self.nodes.get(node.name) is node

    def _receive(self, to: str, datagram: Datagram) -> None:
        node = self.nodes.get(to)
        if node is None or len(node.inbox) > MAX_INBOX:
            return
        node.inbox.append(datagram)
        if len(node.inbox) == 1:
            self._schedule(self.at + RECEIVE_BATCH_US, "turn", node)

    def _turn(self, node: VirtualNode) -> None:
        if self.at < node.paused_until:
            self._schedule(node.paused_until, "turn", node)
            return
        due = node.turn()
        # Datagrams can cause an earlier turn; that the turn already scheduled then runs as well is harmless.
        if node.next_due <= self.at or due < node.next_due:
            node.next_due = due
            self._schedule(due, "turn", node)

    def holders(self, lease: str) -> list[str]:
        """Return the nodes that consider themselves holders of a lease now, each by its own clock."""
        return [
            name
            for name, node in self.nodes.items()
            if node.lease_manager.participations[lease].acquisition.is_held(node.now())
        ]
