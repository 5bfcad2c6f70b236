"""The fleet's part of one broker, put together: exchange, members, leases, tasks, calls. Uses gevent.

One greenlet owns members and leases; what comes in waits in the exchange's inbox. Nothing here is imported
unless `--fleet FILE` asks for it.
"""

import json
import os
import time
from collections import deque

import gevent
import msgspec

from cypressledge.config import Config, ConfigError, address
from cypressledge.contract import State
from cypressledge.core import Core
from cypressledge.counters import Counters
from cypressledge.fleet.budget import Budget
from cypressledge.fleet.clock import LeaseClock
from cypressledge.fleet.events import logger
from cypressledge.fleet.exchange import Exchange
from cypressledge.fleet.keeper import Keeper, Place, places
from cypressledge.fleet.lease import Electorate, VoterSetError
from cypressledge.fleet.members import STATES, Member, Members
from cypressledge.fleet.messages import (
    Ack, Ask, Envelope, Figures, FiguresWanted, Freed, GiveBack, Ping, PingFor, Plan, PlanWanted, Refuse,
    Sight, Summary, ZoneWish,
)
from cypressledge.fleet.ranks import line
from cypressledge.fleet.runner import Runner, Task
from cypressledge.fleet.settings import FleetSettings, TaskSpec, Wish, read_fleet
from cypressledge.fleet.summary import figures
from cypressledge.fleet.tasks import Call, Summaries
from cypressledge.fleet.zoneplan import Pace
from cypressledge.fleet.zones import STEP_S, Site, Zones

AT_ONCE = 16  # datagrams looked at before others have their turn
SLICE_US = 300  # of the owner's turn, after which requests go first
PAUSE = 0.03  # seconds between turns: what comes close together is answered together
PAUSE_SHORT = 0.002  # where it is urgent, or
MANY = 32  # datagrams or more have come at once
RUN_BITS = 62
OF_MEMBERS = frozenset((Ping, Ack, PingFor))
OF_ZONES = frozenset((Sight, Plan, PlanWanted, ZoneWish))
OF_SUMMARIES = frozenset((FiguresWanted, Figures, Summary))
URGENT = frozenset((Freed, GiveBack, Refuse, PingFor, Plan, ZoneWish, PlanWanted))
QUIET = ("not_won", "voted_not")  # events that are counted only


class FleetPart:
    """What one broker has to do with the others."""

    def __init__(self, path: str, config: Config, core: Core, counters: Counters) -> None:
        self.path, self.name, self.classes = path, config.name, config.classes
        name, self.core, self.counters = self.name, core, counters
        told = self.told = read_fleet(path)
        own = next((p for p in told.peers if p.name == name), None)
        if own is None:
            raise ConfigError(f"{path}: this broker, {name}, is not among the peers")
        self.clock = LeaseClock(told.lab.clock_rate, round(told.lab.clock_offset_s * 1e6))
        now = self.clock.now()
        self.run_id = int.from_bytes(os.urandom(8), "big") >> (64 - RUN_BITS) or 1
        self.log = logger(name, self.run_id)
        newest = max(told.sets)
        self.electorate = Electorate(name, told.longest, dict(told.sets), newest, now,
                                     round(told.grace_s * 1e6))
        listen = address(told.listen or own.address)
        self.exchange = Exchange(name, listen, counters, self.clock.now, self._head)
        wall = time.time_ns() // 1000 + round(told.lab.wall_step_s * 1e6)
        self.members = Members(name, [p.name for p in told.peers], wall // 1000, round(told.ping_s * 1e6),
                               self.run_id, self.exchange.out, self._member_changed)
        self.keeper = Keeper(name, self.run_id, self._places(told), self.electorate, told.drift_ppm, now,
                             wall, self.run_id, self.exchange.out, self._lease_told)
        self.summaries = Summaries(name, self._figures, lambda: sorted(self.members.alive() - {name}),
                                   lambda: [p.name for p in self.told.peers], self.exchange.out,
                                   self.clock.now)
        self.zones = self._zones(told, config)
        self.runner = Runner([self._task(t) for t in told.tasks], self._grant, self.clock.now,
                             Budget(told.task_share), self._event)
        self.turns: set[str] = set()
        self.record = open(told.lab.record, "a", buffering=1, encoding="utf-8") if told.lab.record else None
        self.recorded: dict[str, int] = {}
        self.versions: dict[str, int] = {}  # of the voter set, by peer, as last said
        self._name_peers(told)
        self.pending: list[tuple[str, str, int, str]] = []
        self.parts = [self.exchange.read, self.own, self.runner.turns]
        self.stopped = False
        self.began = 0
        self.turn_times: deque[int] = deque(maxlen=4_096)  # µs: what a request may have to wait for a turn
        counters.gauge("fleet.turn_p99_us", self.turn_p99)
        counters.gauge("fleet.step_longest_us", lambda: self.runner.budget.longest)

    def turn_p99(self) -> int:
        """µs of the longest of a hundred turns of the owner, over the last minutes."""
        times = sorted(self.turn_times)
        return times[len(times) * 99 // 100] if times else 0

    def _head(self) -> tuple[int, int, int, int]:
        now = self.clock.now()
        return self.run_id, self.members.incarnation, self.electorate.version, self.electorate.floor(now)

    def _name_peers(self, told: FleetSettings) -> None:
        self.exchange.name_peers({p.name: address(p.address) for p in told.peers if p.name != self.name})

    @staticmethod
    def _places(told: FleetSettings) -> list[Place]:
        return [p for spec in told.leases
                for p in places(spec.name, spec.places, told.term(spec), spec.wanted)]

    def _zones(self, told: FleetSettings, config: Config) -> Zones | None:
        """Zone failover, where a task asks for it."""
        spec = next((t for t in told.tasks if t.kind == "zones"), None)
        if spec is None:
            return None
        for region in told.regions:
            for zone in region.zones:
                if zone not in config.zones or region.name in config.zones:
                    known = " ".join(config.zones)
                    raise ConfigError(f"{self.path}: region {region.name}: the zones are {known}")
        settings, pace = self.core.settings, told.zone_pace
        usual = Pace()
        warm = settings.warm_within or usual.warm
        site = Site(config.zones, {p.name: p.zone for p in told.peers},
                    {zone: r.name for r in told.regions for zone in r.zones}, config.quotas)
        return Zones(
            self.name, self.core, site, Pace(
                confirm=round(pace.confirm_s * 1e6), hold=round(pace.hold_s * 1e6), margin=pace.margin,
                hold_most=round(pace.hold_most_s * 1e6), bear=pace.bear,
                start=settings.start_capacity, warm=warm, step=min(usual.step, warm // 32)),
            self.clock.now, self.exchange.out, lambda: sorted(self.members.alive() - {self.name}),
            lambda: line(spec.lease, self.members.alive()), self._event)

    def _task(self, spec: TaskSpec) -> Task:
        if spec.kind == "zones":
            return Task(spec.kind, spec.lease, self.zones.act, STEP_S, spec.longest_s, spec.priority)
        if spec.kind == "summary":
            act = self.summaries.act
        else:
            act = Call(self.name, address(spec.at), spec.steps, spec.step_s, self._turned_down).act
        return Task(spec.kind, spec.lease, act, spec.every_s, spec.longest_s, spec.priority)

    # The owner

    def own(self) -> None:
        """A greenlet: takes in what came, does what is due, sends what that made."""
        self.log.info("fleet_joined", voters=list(self.electorate.voters), version=self.electorate.version,
                      mute_s=round(self.keeper.voter.mute(self.clock.now()) / 1e6, 2))
        self.members.greet()
        while not self.stopped:
            self.began = time.perf_counter_ns()
            now = self.clock.now()
            for _ in range(AT_ONCE):
                if not self.exchange.inbox:
                    break
                self._receive(now, self.exchange.inbox.popleft())
            due = min(self.members.tick(now), self.keeper.tick(now))
            if self.zones is not None:
                due = min(due, self.zones.tick(now))
            self.keeper.set_alive(self.members.alive(), now)
            self._take_turns(now)
            self._settle()
            self.exchange.flush(self._breathe)
            self.turn_times.append((time.perf_counter_ns() - self.began) // 1000)
            self._wait(due)

    def _breathe(self) -> None:
        """Guards against a turn that keeps requests waiting: a send may take the system long."""
        took = (time.perf_counter_ns() - self.began) // 1000
        if took > SLICE_US:
            self.turn_times.append(took)
            gevent.sleep(0)
            self.began = time.perf_counter_ns()

    def _wait(self, due: int) -> None:
        if not self.exchange.inbox:
            left = (due - self.clock.now()) / 1e6 / self.clock.rate
            if left > 0:
                self.exchange.woken.wait(min(left, 0.25))
        many = self.exchange.drain() >= MANY  # a flood must not fill the socket while nobody takes it in
        gevent.sleep(PAUSE_SHORT if many or self._urgent() else PAUSE)
        self.exchange.drain()

    def _urgent(self) -> bool:
        """Whether a lease, or the plan, is about to move: that does not wait for what else may come. Renewals
        and pings do."""
        items = (i for e in self.exchange.inbox for i in e.items)
        return self.keeper.asking() or any(
            type(i) in URGENT or (type(i) is Ask and not i.renews) for i in items)

    def _receive(self, now: int, envelope: Envelope) -> None:
        mine = envelope.sender == self.name
        if not mine and not self.members.hear(now, envelope.sender, envelope.incarnation):
            self.counters.add("fleet.former_self")
            self.members.refute(envelope.items)
            return
        self.electorate.hear(now, envelope.sender, envelope.floor)
        self.versions[envelope.sender] = envelope.voters
        for item in envelope.items:
            kind = type(item)
            if kind in OF_MEMBERS:
                self.members.receive(now, envelope.sender, item)
            elif kind in OF_ZONES:
                if self.zones is not None:
                    self.zones.receive(envelope.sender, item)
            elif kind in OF_SUMMARIES:
                self.summaries.receive(envelope.sender, item)
            else:
                self.keeper.receive(now, envelope.sender, item)

    def _settle(self) -> None:
        """Tell what has happened to leases: acts begin and end outside the decisions."""
        pending, self.pending = self.pending, []
        for event, lease, token, why in pending:
            if event == "acquired":
                self._record(lease)
                group = self.keeper.seats[lease].place.group
                self.runner.begin(lease, group)
            elif event == "lost":
                self.runner.call_off(lease)
            if event in ("lost", "given_back") and self.zones is not None:
                self.zones.step_down_from(lease)
            self.counters.add(f"fleet.{event}")
            if event not in QUIET:
                self.log.info(f"lease_{event}", lease=lease, token=token, why=why)
        if self.record is not None:
            for lease in list(self.recorded):
                self._record(lease)

    def _record(self, lease: str) -> None:
        """For the laboratory: until when this process believes in a lease, on the machine's clock."""
        if self.record is None:
            return
        grant = self.keeper.grant(lease, self.clock.now())
        if grant is None:
            self.recorded.pop(lease, None)
            told = {"lease": lease, "until": 0}
        elif self.recorded.get(lease) == grant.until:
            return
        else:
            self.recorded[lease] = grant.until
            told = {"lease": lease, "token": grant.token, "until": self.clock.true(grant.until)}
        told |= {"broker": self.name, "run": self.run_id, "at": LeaseClock().now()}
        self.record.write(json.dumps(told) + "\n")

    def _lease_told(self, event: str, lease: str, token: int, why: str) -> None:
        self.pending.append((event, lease, token, why))

    def _member_changed(self, member: Member, why: str) -> None:
        self.counters.add(f"fleet.peer_{STATES[member.state]}")
        self.log.info(f"peer_{STATES[member.state]}", peer=member.name, incarnation=member.incarnation,
                      why=why)

    def _event(self, event: str, **what) -> None:
        self.counters.add(f"fleet.{event}")
        self.log.info(event, **what)

    def _grant(self, lease: str):
        return self.keeper.grant(lease, self.clock.now())

    def _turned_down(self, lease: str, token: int) -> None:
        self.keeper.refused_by_resource(lease, token, self.clock.now())

    def _figures(self, token: int) -> Figures:
        held = self.core.manager.engines
        avoided = [p.name for lst in self.core.lists.values() for e, p in lst
                   if e.state is not State.GONE and (
                       self.core.maintenance.entry(p.name, e).state is not State.READY
                       or (e.engine in held and held[e.engine].held_off))]
        return figures(token, self.core.counters.counts, self.classes, avoided, len(self.core.ready),
                       len(self.core.requests))

    # Giving up

    def give_back(self, lease: str, why: str, rest_s: float = 0.0) -> bool:
        """End what is done under a lease, then give it back. Whether it was held."""
        if not self.runner.call_off(lease):
            return False  # an act goes on: the lease has to run out with it
        now = self.clock.now()
        done = self.keeper.give_back(lease, now, why, round(rest_s * 1e6))
        self._settle()
        self.exchange.flush()
        return done

    def stop(self) -> None:
        """This broker stops: leases go back at once, and the peers are told. A turn to restart is kept: it
        runs out by itself, while the process starts anew."""
        if self.stopped:
            return
        self.stopped = True
        now = self.clock.now()
        kept = {s.place.lease for s in self.keeper.seats.values() if s.place.group in self.turns}
        for lease in [n for n in self.keeper.seats if n not in kept]:
            if self.runner.call_off(lease):
                self.keeper.give_back(lease, now, "stopping")
        self.keeper.stopping = True
        self.members.leave()
        self._settle()
        self.exchange.flush()
        self.log.info("fleet_left", kept=sorted(kept & {g.lease for g in self.keeper.held(now)}))

    def reload(self) -> None:
        """Read the file again. Guards against a bad one, and one that changes more than one voter."""
        try:
            told = read_fleet(self.path)
            if self.name not in (p.name for p in told.peers):
                raise ConfigError(f"{self.path}: this broker, {self.name}, is not among the peers")
            fixed = ("term_s", "longest", "drift_ppm", "listen", "lab", "tasks", "ping_s", "task_share",
                     "zone_pace", "regions")
            for key in fixed:
                if getattr(told, key) != getattr(self.told, key):
                    raise ConfigError(f"{self.path}: another {key} needs a restart of all brokers")
            now = self.clock.now()
            changed = self.electorate.take(now, max(told.sets), dict(told.sets))
        except (ConfigError, VoterSetError) as err:
            self.counters.add("fleet.reload_failures")
            self.log.warning("fleet_reload_refused", why=str(err))
            return
        self.told = told
        self.members.rename([p.name for p in told.peers])
        self._name_peers(told)
        for lease in set(self.keeper.seats) - {p.lease for p in self._places(told)}:
            self.runner.call_off(lease)
        self.keeper.set_places(self._places(told), now)
        self.log.info("fleet_reloaded", version=self.electorate.version, voters_changed=changed)

    # Turns at restarting

    def _take_turns(self, now: int) -> None:
        """A wish for a turn is asked for only while fewer brokers are missing than may be at once: one that
        had its turn is missing until it is back, however long its start takes."""
        for group in self.turns:
            count = sum(s.place.group == group for s in self.keeper.seats.values())
            away = sum(m.state != 0 and m.incarnation > 0 for m in self.members.members.values())
            held = any(g.group == group for g in self.keeper.held(now))
            if held:
                continue
            if away < count:
                if group not in self.keeper.wants:
                    self.keeper.want(group, now)
            else:
                self.keeper.wants.discard(group)

    def turn(self, group: str, ask: bool) -> dict:
        """Ask for a turn, or say that it is over; how it stands."""
        now = self.clock.now()
        if ask:
            self.turns.add(group)
            self._take_turns(now)
        else:
            self.turns.discard(group)
            self.keeper.unwant(group, now)
            self._settle()
        self.exchange.woken.set()
        held = [g for g in self.keeper.held(now) if g.group == group]
        return {"lease": group, "wanted": group in self.turns, "yours": bool(held),
                "token": held[0].token if held else 0, "missing": self.members.missing()}

    # What operators are shown

    def peers(self) -> list[dict]:
        """Each peer as seen from here."""
        now, zones = self.clock.now(), {p.name: p.zone for p in self.told.peers}
        voters = self.electorate.voters

        def row(name: str, state: str, incarnation: int, heard: float | None, version: int | None) -> dict:
            return {"name": name, "zone": zones.get(name, ""), "state": state, "voter": name in voters,
                    "incarnation": incarnation, "heard_s": heard, "voters_version": version,
                    "here": name == self.name}

        rows = [row(self.name, "alive", self.members.incarnation, 0.0, self.electorate.version)]
        for m in self.members.members.values():
            heard = round((now - m.heard) / 1e6, 2) if m.heard else None
            rows.append(row(m.name, STATES[m.state], m.incarnation, heard, self.versions.get(m.name)))
        return sorted(rows, key=lambda p: p["name"])

    def leases(self) -> list[dict]:
        """Each lease as seen from here; the holder is as last heard of."""
        now = self.clock.now()
        return [{"lease": n, "state": s.phase.value, "holder": self._holder(s, now), "token": s.claim.token,
                 "left_s": round(s.claim.left(now) / 1e6, 2), "rank": self.keeper.rank(n),
                 "line": self.keeper.lines.get(n, [])} for n, s in sorted(self.keeper.seats.items())]

    def _holder(self, seat, now: int) -> str:
        standing = self.keeper.voter.leases.get(seat.place.lease)
        if seat.claim.holds(now):
            return self.name
        if standing is not None and standing.vote is not None and now < standing.vote.until:
            return standing.vote.holder
        return seat.holder if seat.holder != self.name else ""

    def tasks(self) -> list[dict]:
        """Each task, and what it has taken."""
        return [{"task": t.name, "lease": t.lease, "running_under": sorted(t.running), "acts": t.acts,
                 "called_off": t.called_off, "overdue": t.overdue, "failed": t.failed, "priority": t.priority,
                 "cpu_ms": round(self.runner.budget.spent / 1e3, 2),
                 "longest_step_ms": round(self.runner.budget.longest / 1e3, 3),
                 "turn_p99_ms": self.turn_p99() / 1e3} for t in self.runner.tasks]

    def calls(self, management) -> None:
        """Add the operators' calls to their address."""
        def shown(what):
            return lambda request: (200, json.dumps(what()).encode() + b"\n")

        management.add("/fleet/peers", "GET", shown(self.peers))
        management.add("/fleet/leases", "GET", shown(self.leases))
        management.add("/fleet/tasks", "GET", shown(self.tasks))
        management.add("/fleet/summary", "GET", shown(self.summaries.show))
        management.add("/fleet/give-back", "POST", self._give_back_call)
        management.add("/fleet/turn", "POST", lambda r: self._turn_call(r, True))
        management.add("/fleet/turn/over", "POST", lambda r: self._turn_call(r, False))
        if self.zones is not None:
            management.add("/zone/status", "GET", shown(self.zones.show))
            management.add("/zone/wish", "POST", lambda r: self._wish_call(r, False))
            management.add("/zone/dry-run", "POST", lambda r: self._wish_call(r, True))

    def _give_back_call(self, request) -> tuple[int, bytes]:
        lease = request.body.decode("utf-8", "replace").strip()
        if lease not in self.keeper.seats:
            return 404, b"no such lease\n"
        if not self.give_back(lease, "by hand", rest_s=3 * self.told.longest / 1e6):
            return 409, b"not held here\n"
        return 200, f"{lease} given back\n".encode()

    def _wish_call(self, request, dry: bool) -> tuple[int, bytes]:
        """An operator's wish for a zone: JSON with zone, what, span_s and why."""
        try:
            told = msgspec.json.decode(request.body, type=Wish)
        except msgspec.MsgspecError as err:
            return 400, f"{err}\n".encode()
        if told.zone not in (*self.zones.names, *self.zones.site.regions):
            return 404, b"no such zone\n"
        wish = (told.zone, told.what, round(told.span_s * 1e6), told.why)
        if dry:
            steps = self.zones.dry_run(*wish)
            if steps is None:
                who = self.zones.planner_name
                return 409, f"ask the planner, {who}\n".encode() if who else b"there is no planner\n"
            return 200, "\n".join(steps).encode() + b"\n"
        planner = self.zones.wish(*wish)
        self.log.info("zone_wish", zone=told.zone, what=told.what, span_s=told.span_s, why=told.why,
                      planner=planner)
        return (200, f"passed on to {planner}\n".encode()) if planner else (409, b"there is no planner\n")

    def _turn_call(self, request, ask: bool) -> tuple[int, bytes]:
        group = request.body.decode("utf-8", "replace").strip()
        if not any(s.place.group == group and s.place.wanted for s in self.keeper.seats.values()):
            return 404, b"no lease of this name that is asked for by wish\n"
        return 200, json.dumps(self.turn(group, ask)).encode() + b"\n"
