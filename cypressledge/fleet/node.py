"""One member of a fleet, whatever its role: transport, membership, leases and their greenlet.

Uses gevent. Knows nothing of engines or requests: a broker (`broker_integration.py`), a control process or a
simulated broker of the laboratory is a `FleetNode` with handlers of its own. One greenlet owns membership and
leases; what is received waits in the transport's inbox.
"""

import os
import time
from collections import deque
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple, get_args

import gevent
from structlog.typing import FilteringBoundLogger

from cypressledge.broker.metrics import Counters
from cypressledge.clock import wall_us
from cypressledge.fleet.clock import LeaseClock
from cypressledge.fleet.datagram_transport import Address, DatagramTransport, SenderState
from cypressledge.fleet.event_log import event_logger
from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.leases.lease import HeldLease, LeaseEvent, LeaseSlot
from cypressledge.fleet.leases.lease_manager import LeaseManager, LeaseSettings
from cypressledge.fleet.membership import Member, Membership
from cypressledge.fleet.messages import (
    AnyItem,
    Envelope,
    IndirectPing,
    LeaseItem,
    LeaseReleased,
    MembershipItem,
    ReleaseLease,
    VoteRejected,
    VoteRequest,
)

MAX_ENVELOPES_PER_TURN = 16  # handled before other greenlets run
MAX_TURN_US = 300  # of the owner's turn, after which requests go first
TURN_PAUSE_S = 0.03  # between turns: what is received close together is answered together
URGENT_PAUSE_S = 0.002  # where something is urgent, or
FLOOD_DATAGRAMS = 32  # datagrams or more have been received at once
MAX_SLEEP_S = 1.0  # that the owner sleeps at a time: a suspended machine's timers stand still
INSTANCE_ID_BITS = 62
DEFAULT_MAX_TURN_TIMES = 256
MEMBERSHIP_ITEMS = get_args(MembershipItem)
LEASE_ITEMS = get_args(LeaseItem)
URGENT_ITEMS = frozenset((LeaseReleased, ReleaseLease, VoteRejected, IndirectPing))
COUNTED_ONLY = (LeaseEvent.ACQUISITION_FAILED, LeaseEvent.VOTE_REJECTED)  # lease events that are not logged
Handler = Callable[[str, AnyItem], None]  # gets the sender's name and an item


def new_instance_id() -> int:
    """A number for this instance of a process: never 0, and unique."""
    return int.from_bytes(os.urandom(8), "big") >> (64 - INSTANCE_ID_BITS) or 1


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """How a node takes part. `listen`: its own fleet socket; `addresses`: the peers' (its own name among them
    is ignored). `instance_id`: 0 for a new one; `wall_time`: µs of the wall clock, for the incarnation and
    tokens, 0 for the machine's."""

    listen: Address
    addresses: Mapping[str, Address]
    slots: Sequence[LeaseSlot]
    drift_ppm: int
    ping_s: float
    instance_id: int = 0
    wall_time: int = 0
    max_turn_times: int = DEFAULT_MAX_TURN_TIMES


@dataclass(frozen=True, slots=True)
class NodeHooks:
    """What the process does for its node. All are called by the owner, but for those of `FleetNode.release`,
    `set_slots` and `stop`, which the caller's greenlet calls.

    `on_lease_event(event, lease, token, reason)`: what has happened to a lease, once decided;
    `on_member_change(member, reason)`: a peer is alive, suspect or gone; must not block;
    `end_work(lease)`: end what is done under a lease; whether it has ended, else the lease is not released;
    `tick(now)`: what else time brings, µs; the moment of its next call;
    `urgent`: types of items that are handled without waiting for further ones.
    """

    on_lease_event: Callable[[LeaseEvent, str, int, str], None] = lambda event, lease, token, reason: None
    on_member_change: Callable[[Member, str], None] = lambda member, reason: None
    end_work: Callable[[str], bool] = lambda lease: True
    tick: Callable[[int], int] | None = None
    urgent: Collection[type] = ()


NO_HOOKS = NodeHooks()


class LeaseEventRecord(NamedTuple):
    """Something that has happened to a lease, to be reported once all decisions of a turn are made."""

    event: LeaseEvent
    lease: str
    token: int
    reason: str


class FleetNode:
    """Membership and leases of one member of the fleet, on one UDP socket. `handlers`: by type, who handles
    items that are neither the membership's nor the leases'; others are counted. Raises `OSError` where the
    socket can't be bound."""

    def __init__(
        self,
        name: str,
        settings: NodeSettings,
        electorate: Electorate,
        counters: Counters,
        clock: LeaseClock,
        hooks: NodeHooks = NO_HOOKS,
        log: FilteringBoundLogger | None = None,
    ) -> None:
        self.name = name
        self.counters = counters
        self.clock = clock
        self.electorate = electorate
        self.instance_id = settings.instance_id or new_instance_id()
        self.log = event_logger(name, self.instance_id) if log is None else log
        self.hooks = hooks
        self.handlers: dict[type, Handler] = {}
        self.urgent = URGENT_ITEMS | frozenset(hooks.urgent)
        self.transport = DatagramTransport(name, settings.listen, counters, clock.now, self._sender_state)
        self.transport.set_peers(self._without_itself(settings.addresses))
        wall_time = settings.wall_time or wall_us()
        self.membership = self._make_membership(settings, wall_time)
        self.lease_manager = self._make_lease_manager(settings, wall_time)
        self.voters_versions: dict[str, int] = {}  # by peer, as last heard
        self.pending_events: list[LeaseEventRecord] = []
        self.loops = [self.transport.read, self.run]  # to be spawned as greenlets
        self.loop_greenlet: gevent.Greenlet | None = None  # runs `run`
        self.stopped = False
        self.in_turn = False
        self.turn_started_ns = 0
        # µs that others may have to wait for a turn
        self.turn_times: deque[int] = deque(maxlen=settings.max_turn_times)

    def _make_membership(self, settings: NodeSettings, wall_time: int) -> Membership:
        return Membership(
            self.name,
            list(settings.addresses),
            wall_time // 1000,
            round(settings.ping_s * 1e6),
            self.instance_id,
            self.transport.send,
            self._member_changed,
        )

    def _make_lease_manager(self, settings: NodeSettings, wall_time: int) -> LeaseManager:
        return LeaseManager(
            self.name,
            self.instance_id,
            self.electorate,
            LeaseSettings(settings.slots, settings.drift_ppm, base_token=wall_time, seed=self.instance_id),
            self.clock.now(),
            self.transport.send,
            self._lease_event,
        )

    def _without_itself(self, addresses: Mapping[str, Address]) -> dict[str, Address]:
        return {peer: address for peer, address in addresses.items() if peer != self.name}

    def turn_p99(self) -> int:
        """The 99th percentile of the owner's turn times kept, µs."""
        times = sorted(self.turn_times)
        return times[len(times) * 99 // 100] if times else 0

    def _sender_state(self) -> SenderState:
        electorate = self.electorate
        oldest = electorate.oldest_accepted(self.clock.now())
        return SenderState(self.instance_id, self.membership.incarnation, electorate.version, oldest)

    # For the process around it

    def now(self) -> int:
        """µs on the clock that leases use."""
        return self.clock.now()

    def alive(self) -> frozenset[str]:
        """All that can be counted on, this one too."""
        return self.membership.alive()

    def alive_peers(self) -> list[str]:
        """All others that can be counted on, sorted."""
        return sorted(self.membership.alive() - {self.name})

    def held_lease(self, lease: str) -> HeldLease | None:
        """A lease, if it is held now."""
        return self.lease_manager.held_lease(lease, self.clock.now())

    def request_lease(self, group: str) -> bool:
        """Request a lease on demand; whether there is one of this name."""
        found = self.lease_manager.request(group, self.clock.now())
        self.wake()
        return found

    def release_group(self, group: str) -> None:
        """Request a lease on demand no more, and release it where it is held."""
        self.lease_manager.release_group(group, self.clock.now())
        self._report_lease_events()
        self.wake()

    def token_rejected(self, lease: str, token: int) -> None:
        """The resource acted on knows a higher token: release, and acquire under one above it."""
        self.lease_manager.token_rejected(lease, token, self.clock.now())
        self.wake()

    def send(self, peer: str, item: AnyItem) -> None:
        """Queue an item for a peer; it is sent at the end of this turn of the owner, or of the next."""
        self.transport.send(peer, item)
        self.wake()

    def wake(self) -> None:
        """Something is due that the owner does not know of."""
        if not self.in_turn:  # guards against turns without end: what a turn itself queues is sent with it
            self.transport.received.set()

    # The owner

    def run(self) -> None:
        """A greenlet: handles what was received, does what is due, sends what that made."""
        self.loop_greenlet = gevent.getcurrent()
        if self.stopped:  # before it has begun
            return
        self.log.info(
            "fleet_joined",
            voters=list(self.electorate.voters),
            version=self.electorate.version,
            voting_quarantine_s=round(self.lease_manager.voter.voting_quarantine(self.clock.now()) / 1e6, 2),
        )
        self.membership.announce()
        while not self.stopped:
            self._wait(self._turn())

    def _turn(self) -> int:
        """One turn; the moment when the next is due."""
        self.turn_started_ns = time.perf_counter_ns()
        self.in_turn = True
        now = self.clock.now()
        for _ in range(MAX_ENVELOPES_PER_TURN):
            if not self.transport.inbox:
                break
            self._receive(now, self.transport.inbox.popleft())
        due_at = self._tick(now)
        self._report_lease_events()
        # Other greenlets may run from here on, and queue for peers that the flush has passed.
        self.in_turn = False
        self.transport.flush(self._yield_if_due)
        self.turn_times.append(self._turn_time())
        return due_at

    def _tick(self, now: int) -> int:
        """Do what time brings; the moment when something is due next."""
        due_at = self.membership.tick(now)
        self.lease_manager.set_alive(self.membership.alive(), now)
        if self.hooks.tick is not None:
            due_at = min(due_at, self.hooks.tick(now))
        return min(due_at, self.lease_manager.tick(now))

    def _turn_time(self) -> int:
        """µs since this turn began, or since it last let other greenlets run."""
        return (time.perf_counter_ns() - self.turn_started_ns) // 1000

    def _yield_if_due(self) -> None:
        """Guards against a turn that keeps requests waiting: a send may take the system long."""
        took = self._turn_time()
        if took > MAX_TURN_US:
            self.turn_times.append(took)
            gevent.sleep(0)
            self.turn_started_ns = time.perf_counter_ns()

    def _wait(self, due_at: int) -> None:
        """Sleep until something is due or received, then a little longer: what is received close together is
        answered together."""
        transport = self.transport
        if not transport.inbox and not transport.queues:
            left_s = (due_at - self.clock.now()) / 1e6 / self.clock.rate
            if left_s > 0:
                transport.received.wait(min(left_s, MAX_SLEEP_S))
        # A flood must not fill the socket's buffer while nobody drains it.
        is_flood = transport.drain() >= FLOOD_DATAGRAMS
        gevent.sleep(URGENT_PAUSE_S if is_flood or self._is_urgent() else TURN_PAUSE_S)
        transport.drain()

    def _is_urgent(self) -> bool:
        """Whether something received does not wait for further items: a lease is about to change hands, or
        the process has named an item of this type urgent. Renewals and pings wait."""
        if self.lease_manager.is_requesting_votes():
            return True
        return any(self._is_urgent_item(item) for envelope in self.transport.inbox for item in envelope.items)

    def _is_urgent_item(self, item: AnyItem) -> bool:
        return type(item) in self.urgent or (type(item) is VoteRequest and not item.renewal)

    def _receive(self, now: int, envelope: Envelope) -> None:
        sender, items = envelope.sender, envelope.items
        from_itself = sender == self.name
        if not from_itself and not self.membership.observe(now, sender, envelope.incarnation):
            self.counters.add("fleet.former_instance")
            self.membership.refute(items)
            return
        self.electorate.observe(now, sender, envelope.oldest_voters_version)
        self.voters_versions[sender] = envelope.voters_version
        for item in items:
            self._handle(now, sender, item)

    def _handle(self, now: int, sender: str, item: AnyItem) -> None:
        """Hand an item, of a sender whose messages count, to whom it is for."""
        if isinstance(item, MEMBERSHIP_ITEMS):
            self.membership.receive(now, sender, item)
        elif isinstance(item, LEASE_ITEMS):
            self.lease_manager.receive(now, sender, item)
        elif (handler := self.handlers.get(type(item))) is not None:
            handler(sender, item)
        else:
            self.counters.add("fleet.not_handled")  # another role's: a control process gets no plans

    def _lease_event(self, event: LeaseEvent, lease: str, token: int, reason: str) -> None:
        self.pending_events.append(LeaseEventRecord(event, lease, token, reason))

    def _report_lease_events(self) -> None:
        """Report what has happened to leases: work under them starts and ends outside the decisions."""
        events, self.pending_events = self.pending_events, []
        for event, lease, token, reason in events:
            self.hooks.on_lease_event(event, lease, token, reason)
            self.counters.add(f"fleet.{event}")
            if event not in COUNTED_ONLY:
                self.log.info(f"lease_{event}", lease=lease, token=token, why=reason)

    def _member_changed(self, member: Member, reason: str) -> None:
        event = f"peer_{member.state.name.lower()}"
        self.counters.add(f"fleet.{event}")
        self.log.info(event, peer=member.name, incarnation=member.incarnation, why=reason)
        self.hooks.on_member_change(member, reason)

    # Changes at run time

    def set_peers(self, addresses: Mapping[str, Address]) -> None:
        """Set the peers and their addresses: those that stay keep what is known of them, wherever they have
        moved to. What is queued for one that is no longer among them is dropped."""
        self.membership.set_peers(list(addresses))
        self.transport.set_peers(self._without_itself(addresses))
        for peer in set(self.voters_versions) - set(addresses):
            del self.voters_versions[peer]
        self.electorate.retain(addresses)
        self.wake()

    def set_slots(self, slots: Iterable[LeaseSlot]) -> None:
        """Set the leases there are. One that is no longer among them is released, once its work has ended."""
        slots = list(slots)
        for lease in set(self.lease_manager.participations) - {slot.lease for slot in slots}:
            self.hooks.end_work(lease)
        self.lease_manager.set_slots(slots, self.clock.now())
        self.wake()

    # Releasing leases, and stopping

    def release(self, lease: str, reason: str, cooldown_s: float = 0.0) -> bool:
        """End what is done under a lease, then release it. `cooldown_s`: seconds in which it is not requested
        again. Whether it was held, and has been released."""
        if not self.hooks.end_work(lease):
            return False  # work goes on: the lease has to expire with it
        released = self.lease_manager.release(lease, self.clock.now(), reason, round(cooldown_s * 1e6))
        self._report_lease_events()
        self.transport.flush()
        return released

    def stop(self, kept: Collection[str] = ()) -> None:
        """This process stops: leases are released at once, but for those `kept`, and the peers are notified.
        What is kept expires by itself."""
        if self.stopped:
            return
        self.stopped = True
        now = self.clock.now()
        for lease in [name for name in self.lease_manager.participations if name not in kept]:
            if self.hooks.end_work(lease):
                self.lease_manager.release(lease, now, "stopping")
        self.lease_manager.stop()
        self.membership.leave()
        self._report_lease_events()
        self.transport.flush()
        self.wake()  # the owner ends
        held = {lease.lease for lease in self.lease_manager.held_leases(now)}
        self.log.info("fleet_left", kept=sorted(held & set(kept)))

    def close(self) -> None:
        """End without notice, as a process does that is killed: greenlets and socket. After `stop` the
        process leaves in good order."""
        self.stopped = True
        if self.loop_greenlet is not None:
            self.loop_greenlet.kill()
        self.transport.close()
