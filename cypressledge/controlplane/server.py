"""One control process, put together: lease, store, replica, history, publisher, and the sockets round them.

Uses gevent. One greenlet owns replica, history and publisher; sockets reach it through an inbox of bounded
length: a process that can't keep up reads more slowly. Between two control processes each sends over the
connection that it dialled itself, and only hears over the other.
"""

import contextlib
import gc
import itertools
import json
import os
import resource
import signal
import time
from functools import partial

import gevent
import msgspec
from gevent.event import Event
from gevent.queue import Empty, Full, Queue

from cypressledge.broker.metrics import Counters, log
from cypressledge.config import ConfigError, parse_address
from cypressledge.controlplane.applied_versions import MAX_NAMES, AppliedVersions
from cypressledge.controlplane.broker_registry import BrokerRegistry
from cypressledge.controlplane.change_history import ChangeHistory
from cypressledge.controlplane.errors import NotLeaderError, VersionConflictError
from cypressledge.controlplane.faults import FAULT_VARIABLE, ONCE_VARIABLE, FaultInjection
from cypressledge.controlplane.framing import (
    HELLO_TIMEOUT_S,
    ConnectionEndedError,
    FramedConnection,
    TrafficCounters,
    connect,
)
from cypressledge.controlplane.log_storage import StorageError
from cypressledge.controlplane.messages import (
    FORMAT,
    MAX_FRAME_BYTES,
    AppendEntries,
    AppliedReport,
    Change,
    Disconnect,
    Hello,
    HelloAccepted,
    Message,
    Op,
    RegisterBrokers,
    Snapshot,
    encode,
)
from cypressledge.controlplane.non_voting_replica import NonVotingReplica
from cypressledge.controlplane.operators import Asked, Operators, number
from cypressledge.controlplane.proposals import PendingProposal
from cypressledge.controlplane.publisher import Publisher, PublisherLimits
from cypressledge.controlplane.replica import Replica
from cypressledge.controlplane.settings import ControlSettings, ServerSpec, read_control_settings
from cypressledge.controlplane.sqlite_storage import OpenMode, SqliteStorage, StorageUnusableError
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_validation import find_conflicts, validate_change
from cypressledge.controlplane.state_values import StateError, decode_value, encode_value
from cypressledge.fleet.clock import LeaseClock
from cypressledge.fleet.events import logger
from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.leases.participation import LeaseSlot
from cypressledge.fleet.node import FleetNode, new_run
from cypressledge.net import receive_buffer, socket_io, socket_writer
from cypressledge.net.connection_registry import ConnectionRegistry
from cypressledge.net.http_server import HttpExchange
from cypressledge.net.listener import Listener

PRIMARY = "primary"  # the lease
INBOX_MOST = 512  # messages that wait for the owner
AT_ONCE = 64  # of them looked at before sockets have their turn
TURN_S = 0.2  # seconds that the owner sleeps at the most: leases move without a message
HELLO_MOST = 4 << 10  # bytes of the first frame
BROKER_MOST = 64 << 10  # bytes of a broker's later ones
SPARE = 64  # connections beyond the brokers': peers, and those that haven't said Hello
OWN_SOCKETS = 128  # descriptors that are nobody's connection, or an operator's
SILENT_S = 60.0  # seconds between two words of a peer: only its end is waited for
BACK_OFF = (0.05, 1.0)  # seconds between tries to reach a peer, doubling
REPORT_US = 200_000  # between words to the primary of what brokers have in force
REGISTER_US = 100_000  # in which registrations are gathered into one change
REST_MS = 5_000  # that a broker stays away while the disk here refuses
WAIT_US = 5_000_000  # for a change's majority
QUEUED_MOST, GROWN_MOST = 256 << 20, 64 << 20  # bytes to, and from, all peers and brokers together
LAST_WORDS = 0.5  # seconds for them
HISTORY_SHOWN = 500  # changes
NAMES = {"primary": "primary_began", "stepped_down": "primary_ended", "recovering": "primary_begins"}
STORE = "history.sqlite"  # in the folder that a control process is given


class Waiting(msgspec.Struct):
    """An operator's change that waits for its majority, until a moment (µs)."""

    ticket: PendingProposal
    asked: Asked
    exchange: HttpExchange
    until: int


class ControlProcess:
    """All parts of one control process. `disk`: its store, opened; none where it doesn't vote; `seed`: the
    first changes of a new history, where this process may begin one. Raises `ConfigError`, `StateError`,
    `DiskError`, `OSError`."""

    def __init__(
        self,
        settings: ControlSettings,
        name: str,
        disk: SqliteStorage | None,
        faults: FaultInjection,
        seed: list[Op] | None = None,
        rejoin: bool = False,
    ) -> None:
        self.settings, self.spec, self.name = settings, settings.server(name), name
        self.run_id = new_run()
        self.log, self.counters, self.traffic = logger(name, self.run_id), Counters(), TrafficCounters()
        self.disk, self.faults = disk, faults
        self.clock = LeaseClock(settings.lab.clock_rate, round(settings.lab.clock_offset_s * 1e6))
        self.record = settings.lab.record and open(settings.lab.record, "a", buffering=1, encoding="utf-8")
        self.inbox, self.stopping, self.stopped = Queue(INBOX_MOST), Event(), False
        self.brokers: dict[int, FramedConnection] = {}
        self.numbers = itertools.count(1)  # of brokers' connections
        self.links: dict[str, FramedConnection] = {}  # to the other control processes, dialled here
        self.heard: dict[str, FramedConnection] = {}  # from them
        self.last: tuple[Message | None, bytes] = (None, b"")  # encoded last: one snapshot goes to many
        self.waiting: list[Waiting] = []
        self.in_force, self.news, self.rest_until = AppliedVersions(), False, 0
        self.reported, self.report_due, self.report_all = ("", 0), 0, True
        self.register_due, self.registry = 0, BrokerRegistry(round(settings.forget_s * 1e6))
        self.history = ChangeHistory(FleetState())
        limits = PublisherLimits(max_subscribers=settings.brokers_most)
        self.publisher = Publisher(
            name, self.run_id, self.history, limits, self._to_broker, self._end_broker, self._event
        )
        now = self.clock.now()
        self.node = self._node(now)
        self.replica = self._replica(now, rejoin)
        if seed is not None and self.spec.votes:
            self.replica.permit_first_version(f"{name}-{self.run_id:x}", seed)
        self.listener = Listener(
            parse_address(self.spec.address), self.counters, "control", self._serve, ConnectionRegistry()
        )
        self.listener.max_connections = settings.brokers_most + SPARE
        self.operators = Operators(parse_address(self.spec.management), self.counters, self._change)
        for path, call in (
            ("status", self._status),
            ("lag", self._lag),
            ("state", self._state),
            ("history", self._changes),
        ):
            self.operators.add(f"/control/{path}", call)
        self.parts = [
            *self.node.parts,
            self.own,
            self.listener.run,
            self.operators.server.listener.run,
            *(partial(self._dial, s) for s in settings.servers if s.name != name),
            *getattr(self.replica, "parts", ()),
        ]

    def _replica(self, now: int, rejoin: bool) -> Replica | NonVotingReplica:
        told = self.settings
        if not self.spec.votes:
            return NonVotingReplica(
                self.name, self.run_id, told, self.spec.zone, self.spec.region, self.log, self._learned
            )
        return Replica(
            self.name,
            self.run_id,
            told.voters,
            self.disk,
            now,
            self._to_peer,
            self._committed,
            self._event,
            rejoin,
            told.term,
        )

    def _node(self, now: int) -> FleetNode:
        told = self.settings
        electorate = Electorate(
            self.name, told.term, {told.version: told.voters}, told.version, now, round(told.grace_s * 1e6)
        )
        return FleetNode(
            self.name,
            listen=parse_address(self.spec.fleet),
            electorate=electorate,
            run=self.run_id,
            log=self.log,
            addresses={s.name: parse_address(s.fleet) for s in told.servers},
            counters=self.counters,
            places=[LeaseSlot(PRIMARY, PRIMARY, told.term, on_demand=True)],
            drift_ppm=told.drift_ppm,
            ping_s=told.ping_s,
            clock=self.clock,
            told=lambda *_: self.wake(),
        )

    # The owner

    def own(self) -> None:
        """A greenlet: takes in what came, does what is due, sends what that made."""
        while not self.stopped:
            now = self.clock.now()
            self._lease(now)
            due = min(self.replica.tick(now), self._report(now), self._register(now))
            if self.news:
                self.news = False
                self.publisher.committed(now)
            self._sign(now)
            due = min(due, self.publisher.tick(now), self._answer(now))
            self._take(due)

    def _take(self, due: int) -> None:
        """What is in the inbox, or the first of it to come before something is due."""
        wait = min((due - self.clock.now()) / 1e6 / self.clock.rate, TURN_S)
        try:
            for _ in range(AT_ONCE):
                act, *what = self.inbox.get(block=wait > 0, timeout=wait if wait > 0 else None)
                act(self.clock.now(), *what)
                wait = 0
        except Empty:
            pass
        gevent.sleep(0)

    def wake(self) -> None:
        """Something is due that the owner doesn't know of."""
        with contextlib.suppress(Full):  # it is awake then
            self.inbox.put_nowait((lambda now: None,))

    def _lease(self, now: int) -> None:
        """What holds of the lease, for the replica; it is wanted only where that could lead."""
        willing = self.replica.is_eligible(now) and now >= self.rest_until and self.spec.votes
        if willing != (PRIMARY in self.node.keeper.requested_groups):
            (self.node.want if willing else self.node.unwant)(PRIMARY)
        grant = self.node.grant(PRIMARY)
        if grant is None:
            self.replica.lease(now, None, 0)
        elif not self.replica.lease(now, grant.token, grant.expires_at):
            if grant.token <= self.replica.epoch:
                self.node.refused(PRIMARY, self.replica.epoch)
            else:
                self.node.give_back(PRIMARY, "of no use here", 1.0)

    @property
    def leads(self) -> bool:
        """Whether this is the primary now."""
        return self.replica.role == "primary" and self.clock.now() < self.replica.lease_until

    @property
    def primary(self) -> str:
        """Who is, as far as is known here."""
        return self.name if self.leads else "" if self.replica.leader == self.name else self.replica.leader

    def _sign(self, now: int) -> None:
        """Tell the publisher when a primary was heard last."""
        if self.leads:
            self.publisher.leader_heard(now, self.name)
        elif self.replica.leader and self.replica.leader != self.name:
            self.publisher.leader_heard(self.replica.leader_heard_at, self.replica.leader)

    def _committed(self, changes: list[Change] | None, snapshot: Snapshot | None) -> None:
        if snapshot is not None:
            self.history.reset(snapshot)
            self._note_committed(snapshot)
        for change in changes or ():
            self.history.apply(change)
            self._note_committed(change)
        self.news = True

    def _note_committed(self, what: Change | Snapshot) -> None:
        """Each version by itself: a checker compares with it what brokers had in force."""
        self._note(
            "committed",
            epoch=what.epoch,
            version=what.version,
            digest=what.digest.hex(),
            request=getattr(what, "request_id", ""),
        )

    def _learned(self, changes: list[Change] | None, snapshot: Snapshot | None) -> None:
        """As `_committed`, from a learner's own greenlet."""
        self._committed(changes, snapshot)
        self.wake()

    def _event(self, event: str, **what) -> None:
        self.counters.add(f"control.{event}")
        if event in ("primary", "stepped_down"):
            self._note(event, epoch=what["epoch"], version=what.get("version", 0))
        if event in ("recovering", "stepped_down"):
            self.registry.clear()
            self.in_force.clear()
        if event == "disk_error":
            self._rest()
        if "broker" in what:  # in the log that is who writes
            what["of"] = what.pop("broker")
        self.log.info(NAMES.get(event, event), **what)

    def _rest(self) -> None:
        """The disk refuses. Guards against such a one that takes the lease from the others again, and that
        keeps brokers while its history stands still."""
        now = self.clock.now()
        if now >= self.rest_until:
            self.publisher.stop()
        self.rest_until = now + 2 * self.settings.term

    def _note(self, event: str, **what) -> None:
        """For the laboratory: what was done when, on the machine's clock."""
        if self.record:
            told = {"at": LeaseClock().now(), "who": self.name, "run": self.run_id, "event": event, **what}
            self.record.write(json.dumps(told) + "\n")

    # What brokers have in force, and where they are

    def _report(self, now: int) -> int:
        """Tell the primary what changed of the brokers here; when to call again."""
        if now < self.report_due:
            return self.report_due
        self.report_due = now + REPORT_US
        primary = self.primary
        if (primary, self.replica.epoch) != self.reported:  # a new one knows nothing yet
            self.reported, self.report_all = (primary, self.replica.epoch), True
        if not primary or primary != self.name and primary not in self.links:
            return self.report_due
        seen = self.publisher.report(self.report_all)
        self.report_all = False
        if seen is None:
            return self.report_due
        if primary == self.name:
            self.in_force.report(now, self.name, seen)
        else:
            self._to_peer(primary, seen)
        return self.report_due

    def _register(self, now: int) -> int:
        """Pass on, or as the primary propose, where brokers are; when to call again."""
        if now < self.register_due:
            return self.register_due
        self.register_due = now + REGISTER_US
        primary, state = self.primary, self.history.state
        self.registry.request(self.publisher.registrations(state))
        ops = self.registry.take_unsent(now, state)
        if primary == self.name:
            self._place(now, ops)
        elif ops and primary in self.links:
            self.registry.mark_sent(now, ops)
            self._to_peer(primary, RegisterBrokers(ops))
        return self.register_due

    def _place(self, now: int, ops: list[Op]) -> None:
        """As the primary: register brokers, and take out those that are gone."""
        registry = self.registry
        if not ops and not registry.is_observation_due(now):
            return
        registry.observe(now, self.replica.latest_state, self._connected(), ops)
        registry.mark_sent(now, ops)
        change, refused = registry.resolve(now, self.replica.latest_state, ops)
        for why in refused:
            self._event("not_registered", why=why)
        self._propose_own(now, change, "brokers' places", "not_registered")
        self._propose_own(
            now, registry.expired(now, self.replica.latest_state), "brokers gone", "not_removed"
        )

    def _propose_own(self, now: int, ops: list[Op], what: str, failed: str) -> None:
        if not ops:
            return
        try:
            self.replica.propose_own(now, ops, what, time.time_ns() // 1_000_000)
        except (NotLeaderError, StateError) as err:
            self._event(failed, why=str(err))
            return
        removed = [op.key for op in ops if op.value is None]
        if removed:
            self._event("brokers_removed", count=len(removed), keys=removed[:MAX_NAMES])

    def _connected(self) -> set[str] | None:
        """Names of all connected brokers; none while a control process of the settings is out of sight."""
        linked = self.node.alive() & {self.name, *self.links}
        return self.in_force.connected([s.name for s in self.settings.servers], linked)

    # Brokers

    def _serve(self, sock) -> None:
        """A greenlet for each connection that is accepted: its only reader, and its end."""
        frames = FramedConnection(sock, self.traffic, HELLO_MOST)
        try:
            hello = frames.receive(HELLO_TIMEOUT_S)
            if not isinstance(hello, Hello):
                raise ConnectionEndedError("no hello")
            if hello.role == "control":
                self._serve_peer(hello, frames)
            else:
                self._serve_broker(hello, frames)
        except ConnectionEndedError as err:
            self.counters.add(f"control.ended.{str(err).partition(':')[0][:24]}")
        finally:
            frames.close()

    def _serve_broker(self, hello: Hello, frames: FramedConnection) -> None:
        if self.stopped or self.clock.now() < self.rest_until:
            frames.send(Disconnect("stopping", REST_MS))
            frames.finish_sending()
            frames.receive(1.0)
            return
        frames.set_max_frame_bytes(BROKER_MOST)
        conn = next(self.numbers)
        self.brokers[conn] = frames
        self.inbox.put((self.publisher.connected, conn, hello))
        try:
            while True:
                message = frames.receive(SILENT_S)
                if message is not None and not frames.is_finishing:
                    self.inbox.put((self.publisher.received, conn, message))
        finally:
            if self.brokers.pop(conn, None) is not None:
                self.inbox.put((self.publisher.gone, conn))

    def _to_broker(self, conn: int, message: Message) -> None:
        frames = self.brokers.get(conn)
        if frames is None:
            return
        if self.last[0] is not message:
            self.last = message, encode(message)
        frames.send(message, self.last[1])

    def _end_broker(self, conn: int, goodbye: Disconnect) -> None:
        """Its last word; what the broker still says is read, and dropped, for a moment."""
        frames = self.brokers.pop(conn, None)
        if frames is not None:
            frames.send(goodbye)
            frames.finish_sending()
            gevent.spawn_later(socket_io.LINGER_TIMEOUT, frames.close)

    # The other control processes

    def _hello(self) -> Hello:
        state = self.history.state
        return Hello(
            FORMAT,
            "control",
            self.name,
            self.run_id,
            self.replica.cluster_id,
            state.epoch,
            state.version,
            state.digest,
        )

    def _refusal(self, hello: Hello) -> str:
        """Why a control process is turned down; empty: it isn't."""
        if hello.format != FORMAT:
            return "format"
        if hello.name == self.name or hello.name not in {s.name for s in self.settings.servers}:
            return "nonsense"
        own = self.replica.cluster_id
        return "lineage" if own and hello.cluster_id and hello.cluster_id != own else ""

    def _serve_peer(self, hello: Hello, frames: FramedConnection) -> None:
        """What another control process says, for as long as it is connected."""
        why = self._refusal(hello)
        if why:
            self._event("peer_refused", peer=hello.name, why=why, lineage=hello.cluster_id)
            frames.send(Disconnect(why, 1_000))
            frames.finish_sending()
            frames.receive(1.0)
            return
        former = self.heard.get(hello.name)
        if former is not None:
            former.close()
        self.heard[hello.name] = frames
        frames.set_max_frame_bytes(MAX_FRAME_BYTES)
        frames.send(HelloAccepted(self.name, self.run_id, self.replica.cluster_id))
        try:
            while True:
                message = frames.receive(SILENT_S)
                if message is not None:
                    self.inbox.put((self._from_peer, hello.name, message))
        finally:
            if self.heard.get(hello.name) is frames:
                del self.heard[hello.name]
                self.inbox.put((self._peer_gone, hello.name))

    def _from_peer(self, now: int, name: str, message: Message) -> None:
        if isinstance(message, AppliedReport):
            if self.replica.role != "standby":  # one that is about to be the primary, too
                self.in_force.report(now, name, message)
        elif isinstance(message, RegisterBrokers):
            if self.replica.role != "standby":
                self.registry.request(message.ops)
        else:
            self.replica.receive(now, name, message)

    def _peer_gone(self, now: int, name: str) -> None:
        self.in_force.drop(name)

    def _to_peer(self, name: str, message: Message) -> None:
        """Over the connection dialled here; dropped where there is none: whoever sends repeats it."""
        frames = self.links.get(name)
        if frames is None:
            self.counters.add("control.no_link")
            return
        step = message.__struct_config__.tag
        counts = not isinstance(message, AppendEntries) or any(c.request_id for c in message.changes)
        due = counts and self.faults.is_due(step)
        if due and self.faults.when == "before":
            self.faults.strike()
        frames.send(message)
        if due and self.faults.when == "after":
            frames.writer.flushed.wait(1.0)
            self.faults.strike()

    def _dial(self, spec: ServerSpec) -> None:
        """A greenlet: keeps a connection to another control process, to send over."""
        pause = BACK_OFF[0]
        while not self.stopped:
            frames = None
            try:
                frames = connect(parse_address(spec.address), self.traffic)
                frames.send(self._hello())
                self._greeted(spec, frames.receive(HELLO_TIMEOUT_S))
                pause = BACK_OFF[0]
                self.links[spec.name] = frames
                self.inbox.put((self._linked, spec.name))
                while True:
                    frames.receive(SILENT_S)
            except ConnectionEndedError as err:
                self.counters.add("control.link_ended")
                if self.links.get(spec.name) is frames and frames is not None:
                    self.log.info("peer_link_ended", peer=spec.name, why=str(err))
            finally:
                if frames is not None:
                    frames.close()
                    if self.links.get(spec.name) is frames:
                        del self.links[spec.name]
            gevent.sleep(pause)
            pause = min(2 * pause, BACK_OFF[1])

    def _greeted(self, spec: ServerSpec, message: Message | None) -> None:
        """Raises `Ended` unless the other one is who it should be."""
        if isinstance(message, Disconnect):
            raise ConnectionEndedError(f"goodbye {message.reason}")
        if not isinstance(message, HelloAccepted) or message.name != spec.name:
            raise ConnectionEndedError("no welcome")
        own = self.replica.cluster_id
        if own and message.cluster_id and own != message.cluster_id:
            self._event("peer_refused", peer=spec.name, why="lineage", lineage=message.cluster_id)
            raise ConnectionEndedError("lineage")

    def _linked(self, now: int, name: str) -> None:
        """A new connection: what was said over the former one may be lost."""
        if name == self.primary:
            self.report_all = True
            self.registry.resend_all()

    # Operators

    def _change(self, asked: Asked, exchange: HttpExchange) -> None:
        """From a caller's greenlet: the owner decides."""
        try:
            self.inbox.put_nowait((self._propose, asked, exchange))
        except Full:
            exchange.json(503, {"answer": "unknown", "why": "busy"} | self._where())

    def _propose(self, now: int, asked: Asked, exchange: HttpExchange) -> None:
        replica = self.replica
        try:
            if not self.leads:
                raise NotLeaderError(self.primary)
            base = replica.latest_state.version if asked.base is None else asked.base
            check_new(replica.latest_state, asked)
            if asked.dry_run:
                self._try(asked, base, exchange)
                return
            ticket = replica.propose(
                now, asked.ops, base, asked.request, asked.who, asked.why, time.time_ns() // 1_000_000
            )
        except NotLeaderError:
            exchange.json(421, {"answer": "not primary"} | self._where())
        except VersionConflictError as err:
            exchange.json(
                409,
                {
                    "answer": "clash",
                    "why": str(err),
                    "keys": err.keys,
                    "version": replica.latest_state.version,
                },
            )
        except StateError as err:
            exchange.json(400, {"answer": "bad", "why": str(err)})
        else:
            self.waiting.append(Waiting(ticket, asked, exchange, now + WAIT_US))

    def _try(self, asked: Asked, base: int, exchange: HttpExchange) -> None:
        """What would come of a change. Raises as `propose` does."""
        tail = self.replica.latest_state
        validate_change(tail, asked.ops)
        if keys := find_conflicts(tail, base, asked.ops):
            raise VersionConflictError(keys)
        exchange.json(
            200, {"answer": "would do", "version": tail.version + 1, "keys": len(asked.ops)} | self._where()
        )

    def _answer(self, now: int) -> int:
        """Tell operators what became of their changes; when to call again."""
        left = []
        for w in self.waiting:
            if w.ticket.state == "open" and now < w.until:
                left.append(w)
                continue
            if w.ticket.state == "done":
                if self.faults.is_due("answer"):
                    self.faults.strike()
                self._event(
                    "change_acknowledged",
                    epoch=w.ticket.epoch,
                    version=w.ticket.version,
                    request=w.asked.request,
                    who=w.asked.who,
                    why=w.asked.why,
                )
                self._note(
                    "acknowledged", epoch=w.ticket.epoch, version=w.ticket.version, request=w.asked.request
                )
                w.exchange.json(
                    200,
                    {
                        "answer": "done",
                        "version": w.ticket.version,
                        "epoch": w.ticket.epoch,
                        "request": w.asked.request,
                    }
                    | self._where(),
                )
            else:
                self._event("change_unknown", version=w.ticket.version, request=w.asked.request)
                w.exchange.json(
                    503,
                    {"answer": "unknown", "version": w.ticket.version, "why": "no majority in time"}
                    | self._where(),
                )
        self.waiting = left
        return min((w.until for w in left), default=now + WAIT_US)

    def _where(self) -> dict:
        """Where operators find the primary, and all control processes."""
        specs = {s.name: s.management for s in self.settings.servers}
        primary = self.primary
        return {"primary": primary, "at": specs.get(primary, ""), "servers": list(specs.values())}

    def _status(self, request) -> tuple[int, dict]:
        now, state = self.clock.now(), self.history.state
        told = self.replica.status(now)
        return 200, {
            "name": self.name,
            "run": f"{self.run_id:x}",
            "role": told.role,
            "epoch": told.epoch,
            "version": state.version,
            "digest": state.digest.hex(),
            "lineage": state.cluster_id,
            "last": told.last,
            "commit": told.commit,
            "match": told.match,
            "silent_ms": told.leader_silence_ms,
            "joining": told.joining,
            "brokers": len(self.publisher.subscriptions),
            "peers": sorted(self.links),
            "keys": len(state.entries),
            "bytes": state.size_bytes,
            "waiting": len(self.waiting),
            "traffic": self.traffic.show(),
            "counters": self.counters.show(),
            "published": self.publisher.counters.show(),
        } | self._where()

    def _lag(self, request) -> tuple[int, dict]:
        if not self.leads:
            return 421, {"answer": "not primary"} | self._where()
        state = self.history.state
        registered = [key[7:] for key in state.entries if key.startswith("broker/")]
        version = number(request, "version", 0) or state.version
        return 200, {"answer": "lag", "newest": state.version} | self.in_force.lag(
            version, registered, self.node.alive()
        ).to_json()

    def _state(self, request) -> tuple[int, dict]:
        prefix, state = request.params.get("prefix", ""), self.history.state
        return 200, {
            "epoch": state.epoch,
            "version": state.version,
            "digest": state.digest.hex(),
            "lineage": state.cluster_id,
            "entries": {
                k: {"value": decode_value(e.value), "version": e.version}
                for k, e in sorted(state.entries.items())
                if k.startswith(prefix)
            },
        }

    def _changes(self, request) -> tuple[int, dict]:
        since = number(request, "from", 0)
        kept = [c for c in self.history.changes if c.version >= since][:HISTORY_SHOWN]
        return 200, {
            "from": self.history.base.version + 1,
            "to": self.history.state.version,
            "changes": [
                {
                    "version": c.version,
                    "epoch": c.epoch,
                    "at": c.created_at_ms,
                    "who": c.author,
                    "why": c.reason,
                    "request": c.request_id,
                    "set": [o.key for o in c.ops if o.value is not None],
                    "removed": [o.key for o in c.ops if o.value is None],
                }
                for c in kept
            ],
        }

    # From start to end

    def run(self) -> None:
        """Serve until told to stop; then give the lease back, and say goodbye."""
        log(f"{self.name}: control process, brokers at {self.spec.address}")
        for part in map(gevent.spawn, self.parts):
            part.link_exception(self._broken)
        gevent.signal_handler(signal.SIGTERM, self.stopping.set)
        gevent.signal_handler(signal.SIGINT, self.stopping.set)
        gevent.signal_handler(signal.SIGUSR1, lambda: self.counters.print("asked"))
        self.stopping.wait()
        self.stop()
        self.counters.print("exit")

    def stop(self) -> None:
        """In good order, within `LAST_WORDS` and a little: what waits for a majority is not known."""
        now = self.clock.now()
        self.stopped = True
        self.listener.stop()
        self.replica.lease(now, None, 0)
        self.node.stop()
        self._answer(now)
        self.publisher.stop()
        for frames in [*self.links.values(), *self.heard.values()]:
            frames.finish_sending()
        gevent.sleep(LAST_WORDS)
        if self.disk is not None:
            self.disk.close()

    def _broken(self, part) -> None:
        # A part that ended by an exception can't be done without: end, to be started anew.
        log(f"a part of the control process failed: {part.exception!r}")
        os._exit(3)


def check_new(state: FleetState, asked: Asked) -> None:
    """What holds for a change that isn't known yet. Guards against "refused" for a repeat that was taken.
    Raises `StateError`."""
    if asked.dry_run or state.version_of_request(asked.request) is None:
        check_classes(state, asked.ops)


def check_classes(state: FleetState, ops: list[Op]) -> None:
    """Guards against settings that no broker can take before its restart. Raises `StateError`."""
    held = state.entries.get("config/Classes")
    new = next((op.value for op in ops if op.key == "config/Classes"), None)
    if held is None or new is None:
        return
    names = [
        [k.get("Name") for k in classes if isinstance(k, dict)] if isinstance(classes, list) else []
        for classes in map(decode_value, (held.value, new))
    ]
    if names[0] != names[1]:
        raise StateError(
            "config: brokers take other classes only at a restart: remove all of config, "
            "restart them with files that hold the new classes, then set it again"
        )


def allow_sockets(brokers: int) -> None:
    """Guards against brokers that take the descriptors which the store and the other processes need."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = brokers + SPARE + OWN_SOCKETS
    if soft < wanted:
        soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    if soft < wanted:
        raise ConfigError(f"brokers_most needs {wanted} descriptors; this process may have {soft}")


def main(file: str, name: str, folder: str, seed: dict | None, rejoin: bool) -> int:
    """Run one control process; what is wrong with its settings or its store is one plain line, and 2."""
    receive_buffer.BUFFER_GROWTH.limit, socket_writer.QUEUED_BYTES.limit = GROWN_MOST, QUEUED_MOST
    try:
        settings = read_control_settings(file)
        allow_sockets(settings.brokers_most)
        faults = FaultInjection(os.environ.get(FAULT_VARIABLE, ""), os.environ.get(ONCE_VARIABLE, ""))
        create = OpenMode.REJOIN if rejoin else OpenMode.EXISTING if seed is None else OpenMode.FIRST
        disk = None
        if settings.server(name).votes:
            os.makedirs(folder, exist_ok=True)
            disk = SqliteStorage(os.path.join(folder, STORE), name, create, faults.check_disk)
        ops = None if seed is None else [Op(k, encode_value(v)) for k, v in seed["set"].items()]
        process = ControlProcess(settings, name, disk, faults, ops, rejoin)
    except (ConfigError, StateError, StorageUnusableError, StorageError) as err:
        log(f"cypressledge: {err}")
        return 2
    except OSError as err:
        log(f"cypressledge: cannot begin: {err}")
        return 2
    gc.collect()
    gc.freeze()
    process.run()
    return 0
