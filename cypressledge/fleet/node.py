"""One member of a fleet, whatever its role: exchange, members and leases, and the greenlet that owns them.

Uses gevent. Knows nothing of engines or requests: a broker (`part.py`), a control process or a hollow broker
of the laboratory is a `FleetNode` with handlers of its own. One greenlet owns members and leases; what comes
in waits in the exchange's inbox.
"""

import os
import time
from collections import deque
from collections.abc import Callable, Collection, Iterable, Mapping

import gevent

from cypressledge.broker.metrics import Counters
from cypressledge.clock import wall_us
from cypressledge.fleet.clock import LeaseClock
from cypressledge.fleet.events import logger
from cypressledge.fleet.exchange import Exchange
from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.leases.lease_manager import LeaseManager
from cypressledge.fleet.leases.participation import HeldLease, LeaseSlot
from cypressledge.fleet.members import STATES, Member, Members
from cypressledge.fleet.messages import (
    Ack,
    Envelope,
    IndirectPing,
    LeaseReleased,
    LeaseStatus,
    LeaseStatusRequest,
    Ping,
    ReleaseLease,
    VoteGranted,
    VoteRejected,
    VoteRequest,
)

AT_ONCE = 16  # datagrams looked at before others have their turn
SLICE_US = 300  # of the owner's turn, after which requests go first
PAUSE = 0.03  # seconds between turns: what comes close together is answered together
PAUSE_SHORT = 0.002  # where it is urgent, or
MANY = 32  # datagrams or more have come at once
SLEEP_MOST = 1.0  # seconds that the owner sleeps at a time: a suspended machine's timers stand still
RUN_BITS = 62
TURNS_KEPT = 256  # turns whose times are kept
OF_MEMBERS = frozenset((Ping, Ack, IndirectPing))
OF_LEASES = frozenset(
    (LeaseStatusRequest, VoteRequest, ReleaseLease, LeaseStatus, VoteGranted, VoteRejected, LeaseReleased)
)
URGENT = frozenset((LeaseReleased, ReleaseLease, VoteRejected, IndirectPing))
QUIET = ("not_won", "voted_not")  # events that are counted only

Handler = Callable[[str, object], None]  # gets the sender's name and an item


def new_run() -> int:
    """A number for this run of a process: never 0, and not met twice."""
    return int.from_bytes(os.urandom(8), "big") >> (64 - RUN_BITS) or 1


class FleetNode:
    """Members and leases of one member of the fleet, on one UDP socket.

    `addresses`: where each peer's fleet socket is; its own name in it is passed over. `wall`: µs of the wall
    clock, for the incarnation and tokens. Hooks, all called by the owner but for those of `give_back`,
    `set_places` and `stop`, which the caller's greenlet calls:
    `told(event, lease, token, why)`: acquired, lost, given_back, not_won or voted_not, once it is decided;
    `member_changed(member, why)`: a peer is alive, suspect or gone; must not block;
    `call_off(lease)`: end what is done under a lease; whether it has ended, else the lease is not given back;
    `tick(now)`: what else time brings, µs; the moment of its next turn;
    `handlers`: by type, who takes items that are neither members' nor leases'; others are counted.
    `urgent`: types of those that don't wait for what else may come.

    Raises `OSError` where `listen` can't be bound.
    """

    def __init__(
        self,
        name: str,
        *,
        listen: tuple[str, int],
        addresses: Mapping[str, tuple[str, int]],
        electorate: Electorate,
        places: Iterable[LeaseSlot],
        drift_ppm: int,
        ping_s: float,
        counters: Counters,
        clock: LeaseClock,
        run: int = 0,
        wall: int = 0,
        log=None,
        told: Callable[[str, str, int, str], None] | None = None,
        member_changed: Callable[[Member, str], None] | None = None,
        call_off: Callable[[str], bool] | None = None,
        tick: Callable[[int], int] | None = None,
        handlers: Mapping[type, Handler] | None = None,
        urgent: Collection[type] = (),
        turns_kept: int = TURNS_KEPT,
    ) -> None:
        self.name, self.counters, self.clock, self.electorate = name, counters, clock, electorate
        self.run_id = run or new_run()
        self.log = logger(name, self.run_id) if log is None else log
        self.told, self.member_changed, self.call_off, self.tick = told, member_changed, call_off, tick
        self.handlers, self.urgent = dict(handlers or {}), URGENT | frozenset(urgent)
        now, wall = clock.now(), wall or wall_us()
        self.exchange = Exchange(name, listen, counters, clock.now, self._head)
        self.members = Members(
            name,
            list(addresses),
            wall // 1000,
            round(ping_s * 1e6),
            self.run_id,
            self.exchange.out,
            self._member_changed,
        )
        self.keeper = LeaseManager(
            name,
            self.run_id,
            places,
            electorate,
            drift_ppm,
            now,
            wall,
            self.run_id,
            self.exchange.out,
            self._lease_told,
        )
        self.versions: dict[str, int] = {}  # of the voter set, by peer, as last said
        self.exchange.name_peers({p: a for p, a in addresses.items() if p != name})
        self.pending: list[tuple[str, str, int, str]] = []
        self.parts = [self.exchange.read, self.own]
        self.owner: gevent.Greenlet | None = None
        self.stopped, self.in_turn, self.began = False, False, 0
        self.turn_times: deque[int] = deque(maxlen=turns_kept)  # µs: what others may have to wait for a turn

    def turn_p99(self) -> int:
        """µs of the longest of a hundred turns of the owner, of those kept."""
        times = sorted(self.turn_times)
        return times[len(times) * 99 // 100] if times else 0

    def _head(self) -> tuple[int, int, int, int]:
        now = self.clock.now()
        return (
            self.run_id,
            self.members.incarnation,
            self.electorate.version,
            self.electorate.oldest_accepted(now),
        )

    # What others ask

    def now(self) -> int:
        """µs on the clock that leases use."""
        return self.clock.now()

    def alive(self) -> frozenset[str]:
        """All that can be counted on, this one too."""
        return self.members.alive()

    def others(self) -> list[str]:
        """All others that can be counted on, in order."""
        return sorted(self.members.alive() - {self.name})

    def grant(self, lease: str) -> HeldLease | None:
        """A lease, if it is held now."""
        return self.keeper.held_lease(lease, self.clock.now())

    def want(self, group: str) -> bool:
        """Ask for a lease that only those who want it ask for; whether there is one."""
        found = self.keeper.request(group, self.clock.now())
        self.wake()
        return found

    def unwant(self, group: str) -> None:
        """Want it no more; give it back where it is held."""
        self.keeper.release_group(group, self.clock.now())
        self._settle()
        self.wake()

    def refused(self, lease: str, token: int) -> None:
        """What was acted on knows of a higher token: give back, and ask under one above it."""
        self.keeper.token_rejected(lease, token, self.clock.now())
        self.wake()

    def out(self, peer: str, item: object) -> None:
        """Queue an item for a peer; it leaves at the end of this turn of the owner, or of the next."""
        self.exchange.out(peer, item)
        self.wake()

    def wake(self) -> None:
        """Something is due that the owner doesn't know of."""
        if not self.in_turn:  # guards against turns without end: what a turn itself queues leaves with it
            self.exchange.woken.set()

    # The owner

    def own(self) -> None:
        """A greenlet: takes in what came, does what is due, sends what that made."""
        self.owner = gevent.getcurrent()
        if self.stopped:  # before it has begun
            return
        self.log.info(
            "fleet_joined",
            voters=list(self.electorate.voters),
            version=self.electorate.version,
            mute_s=round(self.keeper.voter.voting_quarantine(self.clock.now()) / 1e6, 2),
        )
        self.members.greet()
        while not self.stopped:
            self._wait(self._turn())

    def _turn(self) -> int:
        """One turn; the moment when the next is due."""
        self.began, self.in_turn = time.perf_counter_ns(), True
        now = self.clock.now()
        for _ in range(AT_ONCE):
            if not self.exchange.inbox:
                break
            self._receive(now, self.exchange.inbox.popleft())
        due = self.members.tick(now)
        self.keeper.set_alive(self.members.alive(), now)
        if self.tick is not None:
            due = min(due, self.tick(now))
        due = min(due, self.keeper.tick(now))
        self._settle()
        self.in_turn = False  # others may have their turns from here on, and queue what the flush has passed
        self.exchange.flush(self._breathe)
        self.turn_times.append((time.perf_counter_ns() - self.began) // 1000)
        return due

    def _breathe(self) -> None:
        """Guards against a turn that keeps requests waiting: a send may take the system long."""
        took = (time.perf_counter_ns() - self.began) // 1000
        if took > SLICE_US:
            self.turn_times.append(took)
            gevent.sleep(0)
            self.began = time.perf_counter_ns()

    def _wait(self, due: int) -> None:
        if not self.exchange.inbox and not self.exchange.queues:
            left = (due - self.clock.now()) / 1e6 / self.clock.rate
            if left > 0:
                self.exchange.woken.wait(min(left, SLEEP_MOST))
        many = self.exchange.drain() >= MANY  # a flood must not fill the socket while nobody takes it in
        gevent.sleep(PAUSE_SHORT if many or self._is_urgent() else PAUSE)
        self.exchange.drain()

    def _is_urgent(self) -> bool:
        """Whether a lease, or what the role names, is about to move: that does not wait for what else may
        come. Renewals and pings do."""
        items = (i for e in self.exchange.inbox for i in e.items)
        return self.keeper.is_requesting_votes() or any(
            type(i) in self.urgent or (type(i) is VoteRequest and not i.renewal) for i in items
        )

    def _receive(self, now: int, envelope: Envelope) -> None:
        mine = envelope.sender == self.name
        if not mine and not self.members.hear(now, envelope.sender, envelope.incarnation):
            self.counters.add("fleet.former_self")
            self.members.refute(envelope.items)
            return
        self.electorate.observe(now, envelope.sender, envelope.oldest_voters_version)
        self.versions[envelope.sender] = envelope.voters_version
        for item in envelope.items:
            kind = type(item)
            if kind in OF_MEMBERS:
                self.members.receive(now, envelope.sender, item)
            elif kind in OF_LEASES:
                self.keeper.receive(now, envelope.sender, item)
            elif kind in self.handlers:
                self.handlers[kind](envelope.sender, item)
            else:
                self.counters.add("fleet.not_handled")  # another role's: a control process gets no plans

    def _settle(self) -> None:
        """Tell what has happened to leases: acts begin and end outside the decisions."""
        pending, self.pending = self.pending, []
        for event, lease, token, why in pending:
            if self.told is not None:
                self.told(event, lease, token, why)
            self.counters.add(f"fleet.{event}")
            if event not in QUIET:
                self.log.info(f"lease_{event}", lease=lease, token=token, why=why)

    def _lease_told(self, event: str, lease: str, token: int, why: str) -> None:
        self.pending.append((event, lease, token, why))

    def _member_changed(self, member: Member, why: str) -> None:
        self.counters.add(f"fleet.peer_{STATES[member.state]}")
        self.log.info(
            f"peer_{STATES[member.state]}", peer=member.name, incarnation=member.incarnation, why=why
        )
        if self.member_changed is not None:
            self.member_changed(member, why)

    # Changes at run time

    def rename(self, addresses: Mapping[str, tuple[str, int]]) -> None:
        """The peers are these now, and there: those that stay keep what is known of them, wherever they have
        moved to. What waits for one that is named no more is dropped."""
        self.members.rename(list(addresses))
        self.exchange.name_peers({p: a for p, a in addresses.items() if p != self.name})
        for peer in set(self.versions) - set(addresses):
            del self.versions[peer]
        self.electorate.retain(addresses)
        self.wake()

    def set_places(self, places: Iterable[LeaseSlot]) -> None:
        """The leases there are now. One that is named no more is given back, once its work has ended."""
        places = list(places)
        for lease in set(self.keeper.participations) - {p.lease for p in places}:
            self._end_work(lease)
        self.keeper.set_slots(places, self.clock.now())
        self.wake()

    # Giving up

    def _end_work(self, lease: str) -> bool:
        return self.call_off is None or self.call_off(lease)

    def give_back(self, lease: str, why: str, rest_s: float = 0.0) -> bool:
        """End what is done under a lease, then give it back. `rest_s`: seconds in which it is not asked for
        again. Whether it was held, and has been given back."""
        if not self._end_work(lease):
            return False  # an act goes on: the lease has to run out with it
        done = self.keeper.release(lease, self.clock.now(), why, round(rest_s * 1e6))
        self._settle()
        self.exchange.flush()
        return done

    def stop(self, kept: Collection[str] = ()) -> None:
        """This process stops: leases go back at once, but for those `kept`, and the peers are told. What is
        kept runs out by itself."""
        if self.stopped:
            return
        self.stopped = True
        now = self.clock.now()
        for lease in [n for n in self.keeper.participations if n not in kept]:
            if self._end_work(lease):
                self.keeper.release(lease, now, "stopping")
        self.keeper.stop()
        self.members.leave()
        self._settle()
        self.exchange.flush()
        self.wake()  # the owner ends
        held = {g.lease for g in self.keeper.held_leases(now)}
        self.log.info("fleet_left", kept=sorted(held & set(kept)))

    def close(self) -> None:
        """End without a word, as a process does that is killed: greenlets and socket. After `stop` it leaves
        in good order."""
        self.stopped = True
        if self.owner is not None:
            self.owner.kill()
        self.exchange.close()
