"""A member of a fleet, independent of its role: transport, membership, leases and the loop that runs them.

Uses gevent. Independent of engines and requests: a broker (`broker_integration.py`), a control process and a
simulated broker are each a `FleetNode` with handlers of their own. One greenlet, the node's loop, makes all
decisions of membership and leases; an iteration of the loop is a turn. Received envelopes wait in the
transport's inbox for the next turn.
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

MAX_ENVELOPES_PER_TURN = 16  # envelopes; handled before other greenlets run
MAX_TURN_US = 300  # µs; a turn that takes longer lets requests go first while it sends
TURN_PAUSE_S = 0.03  # seconds between turns: datagrams received close together are answered together
URGENT_PAUSE_S = 0.002  # seconds between turns while an urgent item or a flood waits
FLOOD_DATAGRAMS = 32  # datagrams; this many received at once are a flood
MAX_SLEEP_S = 1.0  # seconds; longest sleep of the loop, since timers stop while the machine is suspended
INSTANCE_ID_BITS = 62
DEFAULT_MAX_TURN_TIMES = 256  # turn times kept for the percentile
MEMBERSHIP_ITEMS = get_args(MembershipItem)
LEASE_ITEMS = get_args(LeaseItem)
URGENT_ITEMS = frozenset((LeaseReleased, ReleaseLease, VoteRejected, IndirectPing))
COUNTED_ONLY = (LeaseEvent.ACQUISITION_FAILED, LeaseEvent.VOTE_REJECTED)  # lease events that are not logged
Handler = Callable[[str, AnyItem], None]  # called with the sender's name and an item


def new_instance_id() -> int:
    """Return a random number that identifies this instance of a process: unique, and never 0."""
    return int.from_bytes(os.urandom(8), "big") >> (64 - INSTANCE_ID_BITS) or 1


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of a node.

    `listen`: address of its own fleet socket; `addresses`: those of the peers (an entry under its own name is
    ignored). `slots`: the leases it takes part in. `drift_ppm`: bound on the error of any clock's rate, parts
    per million; `ping_s`: seconds between pings. `instance_id`: 0 for a new one; `wall_time`: µs of the wall
    clock, for the incarnation and tokens, 0 to read the machine's. `max_turn_times`: turn times kept.
    """

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
    """Functions that the node calls in its process. The node's loop calls them, except for calls that result
    from `FleetNode.release`, `release_group`, `set_slots` and `stop`, which run in the caller's greenlet.

    `on_lease_event(event, lease, token, reason)`: called after the decision on a lease has been made;
    `on_member_change(member, reason)`: a peer has become alive, suspect or gone; must not block;
    `end_work(lease)`: end the work under a lease, and return whether it has ended: else the lease stays held;
    `tick(now)`: periodic work of the process, `now` in µs; return when it is to be called next;
    `urgent`: types of items that are handled without waiting for further ones.
    """

    on_lease_event: Callable[[LeaseEvent, str, int, str], None] = lambda event, lease, token, reason: None
    on_member_change: Callable[[Member, str], None] = lambda member, reason: None
    end_work: Callable[[str], bool] = lambda lease: True
    tick: Callable[[int], int] | None = None
    urgent: Collection[type] = ()


NO_HOOKS = NodeHooks()


class LeaseEventRecord(NamedTuple):
    """A lease event that waits to be reported until all decisions of a turn have been made."""

    event: LeaseEvent
    lease: str
    token: int
    reason: str


class FleetNode:
    """Membership and leases of one member of the fleet, on one UDP socket.

    `handlers`: by type, the functions that handle items of neither membership nor leases; items without a
    handler are counted. `loops`: functions to be run as greenlets. Raises `OSError` if the socket can't be
    bound.
    """

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
        self.voters_versions: dict[str, int] = {}  # by peer: from its last message
        self.pending_events: list[LeaseEventRecord] = []
        self.loops = [self.transport.read, self.run]
        self.loop_greenlet: gevent.Greenlet | None = None  # runs `run`
        self.stopped = False
        self.in_turn = False
        self.turn_started_ns = 0
        # µs that other greenlets had to wait for a turn, or for a part of it.
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
        """Return the 99th percentile of the turn times kept, µs; 0 if there are none."""
        times = sorted(self.turn_times)
        return times[len(times) * 99 // 100] if times else 0

    def _sender_state(self) -> SenderState:
        electorate = self.electorate
        oldest = electorate.oldest_accepted(self.clock.now())
        return SenderState(self.instance_id, self.membership.incarnation, electorate.version, oldest)

    # Called by the process

    def now(self) -> int:
        """Return the time on the clock that leases use, µs."""
        return self.clock.now()

    def alive(self) -> frozenset[str]:
        """Return the names of the members that are alive, this one included."""
        return self.membership.alive()

    def alive_peers(self) -> list[str]:
        """Return the sorted names of the other members that are alive."""
        return sorted(self.membership.alive() - {self.name})

    def held_lease(self, lease: str) -> HeldLease | None:
        """Return a lease if it is held now, else None."""
        return self.lease_manager.held_lease(lease, self.clock.now())

    def request_lease(self, group: str) -> bool:
        """Request a lease on demand; return whether a lease of this name exists."""
        found = self.lease_manager.request(group, self.clock.now())
        self.wake()
        return found

    def release_group(self, group: str) -> None:
        """Stop requesting a lease on demand, and release it if it is held."""
        self.lease_manager.release_group(group, self.clock.now())
        self._report_lease_events()
        self.wake()

    def token_rejected(self, lease: str, token: int) -> None:
        """Handle a resource's rejection of this node's token, with the higher `token` that the resource
        knows: release the lease, and acquire it under a token above that."""
        self.lease_manager.token_rejected(lease, token, self.clock.now())
        self.wake()

    def send(self, peer: str, item: AnyItem) -> None:
        """Queue an item for a peer; it is sent at the end of the current turn or of the next."""
        self.transport.send(peer, item)
        self.wake()

    def wake(self) -> None:
        """Wake the loop: something has become due, or has been queued, outside a turn."""
        if not self.in_turn:  # a turn sends what it queues: waking for that would start turns without end
            self.transport.received.set()

    # The loop

    def run(self) -> None:
        """Handle received items, do what is due and send the results, turn after turn; runs as a greenlet."""
        self.loop_greenlet = gevent.getcurrent()
        if self.stopped:  # `stop` was called before this greenlet started
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
        """Run one turn; return when the next one is due, µs."""
        self.turn_started_ns = time.perf_counter_ns()
        self.in_turn = True
        now = self.clock.now()
        for _ in range(MAX_ENVELOPES_PER_TURN):
            if not self.transport.inbox:
                break
            self._receive(now, self.transport.inbox.popleft())
        due_at = self._tick(now)
        self._report_lease_events()
        # Other greenlets may run during the flush, and queue items for peers that it has already served:
        # `wake` has to work from here on.
        self.in_turn = False
        self.transport.flush(self._yield_if_due)
        self.turn_times.append(self._turn_time())
        return due_at

    def _tick(self, now: int) -> int:
        """Do what is due in membership, leases and the process's hook; return when something is due next,
        µs."""
        due_at = self.membership.tick(now)
        self.lease_manager.set_alive(self.membership.alive(), now)
        if self.hooks.tick is not None:
            due_at = min(due_at, self.hooks.tick(now))
        return min(due_at, self.lease_manager.tick(now))

    def _turn_time(self) -> int:
        """Return the µs since this turn began, or since it last let other greenlets run."""
        return (time.perf_counter_ns() - self.turn_started_ns) // 1000

    def _yield_if_due(self) -> None:
        """Let other greenlets run if this turn has taken longer than `MAX_TURN_US`. Sending may take the
        system long, and requests must not wait for it."""
        took = self._turn_time()
        if took > MAX_TURN_US:
            self.turn_times.append(took)
            gevent.sleep(0)
            self.turn_started_ns = time.perf_counter_ns()

    def _wait(self, due_at: int) -> None:
        """Sleep until something is due or received, then for a short pause, so that datagrams received close
        together are answered together."""
        transport = self.transport
        if not transport.inbox and not transport.queues:
            left_s = (due_at - self.clock.now()) / 1e6 / self.clock.rate
            if left_s > 0:
                transport.received.wait(min(left_s, MAX_SLEEP_S))
        # A flood shortens the pause: during a long one it could fill the socket's buffer.
        is_flood = transport.drain() >= FLOOD_DATAGRAMS
        gevent.sleep(URGENT_PAUSE_S if is_flood or self._is_urgent() else TURN_PAUSE_S)
        transport.drain()

    def _is_urgent(self) -> bool:
        """Return whether the next turn should not wait for further items: the holder of a lease is about to
        change, or an item has an urgent type. Renewals and pings are not urgent."""
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
        """Pass an item to membership, leases or its handler. The sender's messages have been accepted."""
        if isinstance(item, MEMBERSHIP_ITEMS):
            self.membership.receive(now, sender, item)
        elif isinstance(item, LEASE_ITEMS):
            self.lease_manager.receive(now, sender, item)
        elif (handler := self.handlers.get(type(item))) is not None:
            handler(sender, item)
        else:
            # An item for members of another role: a control process, for example, has no handler for plans.
            self.counters.add("fleet.not_handled")

    def _lease_event(self, event: LeaseEvent, lease: str, token: int, reason: str) -> None:
        self.pending_events.append(LeaseEventRecord(event, lease, token, reason))

    def _report_lease_events(self) -> None:
        """Report the pending lease events. Work under leases starts and ends here, after all decisions of the
        turn have been made."""
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
        """Set the peers and their addresses. Peers that stay keep their state, even if their address has
        changed; items queued for removed peers are dropped."""
        self.membership.set_peers(list(addresses))
        self.transport.set_peers(self._without_itself(addresses))
        for peer in set(self.voters_versions) - set(addresses):
            del self.voters_versions[peer]
        self.electorate.retain(addresses)
        self.wake()

    def set_slots(self, slots: Iterable[LeaseSlot]) -> None:
        """Set the leases. Those that are removed are released after their work has ended."""
        slots = list(slots)
        for lease in set(self.lease_manager.participations) - {slot.lease for slot in slots}:
            self.hooks.end_work(lease)
        self.lease_manager.set_slots(slots, self.clock.now())
        self.wake()

    # Release of leases and shutdown

    def release(self, lease: str, reason: str, cooldown_s: float = 0.0) -> bool:
        """End the work under a lease, then release it; return whether it was held and has been released.
        `cooldown_s`: seconds in which this node does not request it again."""
        if not self.hooks.end_work(lease):
            return False  # the work has not ended: the lease stays held until it expires
        released = self.lease_manager.release(lease, self.clock.now(), reason, round(cooldown_s * 1e6))
        self._report_lease_events()
        self.transport.flush()
        return released

    def stop(self, kept: Collection[str] = ()) -> None:
        """Release all leases at once, except for those `kept`, and notify the peers that this node leaves.
        The leases kept expire by themselves."""
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
        self.wake()  # so that the loop ends
        held = {lease.lease for lease in self.lease_manager.held_leases(now)}
        self.log.info("fleet_left", kept=sorted(held & set(kept)))

    def close(self) -> None:
        """End greenlets and socket without notifying peers, as when the process is killed. For an orderly
        exit, call `stop` first."""
        self.stopped = True
        if self.loop_greenlet is not None:
            self.loop_greenlet.kill()
        self.transport.close()
