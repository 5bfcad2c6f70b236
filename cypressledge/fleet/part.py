"""The fleet's part of one broker: its node of the fleet, with tasks, zones, summaries and operators' calls.

Nothing here is imported unless `--fleet FILE` asks for it.
"""

import json

import msgspec

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.metrics import Counters
from cypressledge.clock import wall_us
from cypressledge.config import Config, ConfigError, parse_address
from cypressledge.decisions.contract import EngineState
from cypressledge.fleet.budget import Budget
from cypressledge.fleet.clock import LeaseClock
from cypressledge.fleet.leases.candidate_order import candidate_order
from cypressledge.fleet.leases.electorate import Electorate, VoterSetError
from cypressledge.fleet.leases.participation import LeaseSlot, lease_slots
from cypressledge.fleet.members import STATES
from cypressledge.fleet.messages import (
    BrokerMetrics,
    EngineObservations,
    FailoverPlan,
    FleetSummary,
    MetricsRequest,
    PlanRequest,
    ZoneCommand,
)
from cypressledge.fleet.node import FleetNode, Handler
from cypressledge.fleet.runner import Runner, Task
from cypressledge.fleet.settings import FleetSettings, TaskSpec, Wish, read_fleet
from cypressledge.fleet.summary import figures
from cypressledge.fleet.tasks import Call, Summaries
from cypressledge.fleet.zoneplan import Pace
from cypressledge.fleet.zones import STEP_S, Site, Zones

OF_ZONES = (EngineObservations, FailoverPlan, PlanRequest, ZoneCommand)
OF_SUMMARIES = (MetricsRequest, BrokerMetrics, FleetSummary)
URGENT = (FailoverPlan, ZoneCommand, PlanRequest)
FAR = 1_000_000  # µs: without zones nothing else is due sooner
TURNS_KEPT = 4_096  # minutes of the owner's turns


class FleetPart:
    """What one broker has to do with the others."""

    def __init__(self, path: str, config: Config, core: BrokerCore, counters: Counters) -> None:
        self.path, self.name, self.classes = path, config.name, config.classes
        self.core, self.counters = core, counters
        told = self.told = read_fleet(path)
        own = self._own(told)
        self.named: dict[str, tuple[str, int]] = {}  # peers as the control plane has them, above the file's
        self.turns: set[str] = set()
        self.record = open(told.lab.record, "a", buffering=1, encoding="utf-8") if told.lab.record else None
        self.recorded: dict[str, int] = {}
        self.node = self._node(told, parse_address(told.listen or own.address))
        self.clock, self.log, self.members = self.node.clock, self.node.log, self.node.members
        self.keeper, self.electorate = self.node.keeper, self.node.electorate
        self.summaries = Summaries(
            self.name,
            self._figures,
            self.node.others,
            lambda: [p.name for p in self.told.peers],
            self.node.out,
            self.node.now,
        )
        self.zones = self._zones(told, config)
        self.node.handlers |= self._handlers()
        self.runner = Runner(
            [self._task(t) for t in told.tasks],
            self.node.grant,
            self.node.now,
            Budget(told.task_share),
            self._event,
        )
        self.parts = [*self.node.parts, self.runner.turns]
        counters.gauge("fleet.turn_p99_us", self.node.turn_p99)
        counters.gauge("fleet.step_longest_us", lambda: self.runner.budget.longest)

    def _own(self, told: FleetSettings):
        own = next((p for p in told.peers if p.name == self.name), None)
        if own is None:
            raise ConfigError(f"{self.path}: this broker, {self.name}, is not among the peers")
        return own

    def _node(self, told: FleetSettings, listen: tuple[str, int]) -> FleetNode:
        clock = LeaseClock(told.lab.clock_rate, round(told.lab.clock_offset_s * 1e6))
        electorate = Electorate(
            self.name, told.longest, dict(told.sets), max(told.sets), clock.now(), round(told.grace_s * 1e6)
        )
        return FleetNode(
            self.name,
            listen=listen,
            addresses=self._addresses(told),
            electorate=electorate,
            places=self._places(told),
            drift_ppm=told.drift_ppm,
            ping_s=told.ping_s,
            counters=self.counters,
            clock=clock,
            wall=wall_us() + round(told.lab.wall_step_s * 1e6),
            told=self._lease_told,
            call_off=lambda lease: self.runner.call_off(lease),
            tick=self._tick,
            urgent=URGENT,
            turns_kept=TURNS_KEPT,
        )

    def _handlers(self) -> dict[type, Handler]:
        """Who takes what. Without zone failover others' words about zones are only counted."""
        taken = dict.fromkeys(OF_SUMMARIES, self.summaries.receive)
        return taken if self.zones is None else taken | dict.fromkeys(OF_ZONES, self.zones.receive)

    @staticmethod
    def _addresses(told: FleetSettings) -> dict[str, tuple[str, int]]:
        return {p.name: parse_address(p.address) for p in told.peers}

    @staticmethod
    def _places(told: FleetSettings) -> list[LeaseSlot]:
        return [
            p
            for spec in told.leases
            for p in lease_slots(spec.name, spec.places, told.term(spec), spec.wanted)
        ]

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
        warm = settings.slow_start_window or usual.warm
        site = Site(
            config.zones,
            {p.name: p.zone for p in told.peers},
            {zone: r.name for r in told.regions for zone in r.zones},
            config.quotas,
        )
        return Zones(
            self.name,
            self.core,
            site,
            Pace(
                confirm=round(pace.confirm_s * 1e6),
                hold=round(pace.hold_s * 1e6),
                margin=pace.margin,
                hold_most=round(pace.hold_most_s * 1e6),
                bear=pace.bear,
                start=settings.slow_start_capacity,
                warm=warm,
                step=min(usual.step, warm // 32),
            ),
            self.node.now,
            self.node.out,
            self.node.others,
            lambda: candidate_order(spec.lease, self.members.alive()),
            self._event,
        )

    def _task(self, spec: TaskSpec) -> Task:
        if spec.kind == "zones":
            return Task(spec.kind, spec.lease, self.zones.act, STEP_S, spec.longest_s, spec.priority)
        if spec.kind == "summary":
            act = self.summaries.act
        else:
            act = Call(self.name, parse_address(spec.at), spec.steps, spec.step_s, self.node.refused).act
        return Task(spec.kind, spec.lease, act, spec.every_s, spec.longest_s, spec.priority)

    # What the owner of members and leases calls

    def _tick(self, now: int) -> int:
        """What else time brings; the moment of the next tick."""
        self._take_turns(now)
        for lease in list(self.recorded):
            if self.node.grant(lease) is not None:  # an end is recorded once what is done under it has ended
                self._record(lease)
        return now + FAR if self.zones is None else self.zones.tick(now)

    def _lease_told(self, event: str, lease: str, token: int, why: str) -> None:
        if event == "acquired":
            self._record(lease)
            self.runner.begin(lease, self.keeper.participations[lease].slot.group)
        elif event == "lost":
            self.runner.call_off(lease)
        if event in ("lost", "given_back"):
            if self.zones is not None:
                self.zones.step_down_from(lease)
            if lease in self.recorded:
                self._record(lease)

    def _record(self, lease: str) -> None:
        """For the laboratory: until when this process believes in a lease, on the machine's clock."""
        if self.record is None:
            return
        grant = self.keeper.held_lease(lease, self.clock.now())
        if grant is None:
            self.recorded.pop(lease, None)
            told = {"lease": lease, "until": 0}
        elif self.recorded.get(lease) == grant.expires_at:
            return
        else:
            self.recorded[lease] = grant.expires_at
            told = {"lease": lease, "token": grant.token, "until": self.clock.true(grant.expires_at)}
        told |= {"broker": self.name, "run": self.node.run_id, "at": LeaseClock().now()}
        self.record.write(json.dumps(told) + "\n")

    def _event(self, event: str, **what) -> None:
        self.counters.add(f"fleet.{event}")
        self.log.info(event, **what)

    def _figures(self, token: int) -> BrokerMetrics:
        held = self.core.loop.manager.engines
        avoided = [
            p.name
            for lst in self.core.engines.engine_lists.values()
            for e, p in lst
            if e.state is not EngineState.REMOVED
            and (
                self.core.engines.maintenance.effective_entry(p.name, e).state is not EngineState.READY
                or (e.engine in held and held[e.engine].ejected)
            )
        ]
        return figures(
            token,
            self.core.counters.counts,
            self.classes,
            avoided,
            len(self.core.engines.ready_endpoints),
            len(self.core.ledger.requests),
        )

    # Changes

    def stop(self) -> None:
        """This broker stops: leases go back at once, and the peers are told. A turn to restart is kept: it
        runs out by itself, while the process starts anew."""
        self.node.stop(
            {s.slot.lease for s in self.keeper.participations.values() if s.slot.group in self.turns}
        )

    def name_peers(self, named: dict[str, tuple[str, int]]) -> None:
        """Where the control plane has brokers, from now on; the file's others stay. Kept over a reload:
        guards against taking all that the file doesn't name for gone until they are met again."""
        self.named = named
        self.node.rename(self._addresses(self.told) | named)

    def reload(self) -> None:
        """Read the file again. Guards against a bad one, and one that changes more than one voter."""
        try:
            told = read_fleet(self.path)
            self._own(told)
            fixed = (
                "term_s",
                "longest",
                "drift_ppm",
                "listen",
                "lab",
                "tasks",
                "ping_s",
                "task_share",
                "zone_pace",
                "regions",
            )
            for key in fixed:
                if getattr(told, key) != getattr(self.told, key):
                    raise ConfigError(f"{self.path}: another {key} needs a restart of all brokers")
            changed = self.electorate.adopt(self.clock.now(), max(told.sets), dict(told.sets))
        except (ConfigError, VoterSetError) as err:
            self.counters.add("fleet.reload_failures")
            self.log.warning("fleet_reload_refused", why=str(err))
            return
        self.told = told
        self.node.rename(self._addresses(told) | self.named)
        self.node.set_places(self._places(told))
        self.log.info("fleet_reloaded", version=self.electorate.version, voters_changed=changed)

    # Turns at restarting

    def _take_turns(self, now: int) -> None:
        """A wish for a turn is asked for only while fewer brokers are missing than may be at once: one that
        had its turn is missing until it is back, however long its start takes."""
        for group in self.turns:
            count = sum(s.slot.group == group for s in self.keeper.participations.values())
            away = sum(m.state != 0 and m.incarnation > 0 for m in self.members.members.values())
            held = any(g.group == group for g in self.keeper.held_leases(now))
            if held:
                continue
            if away < count:
                if group not in self.keeper.requested_groups:
                    self.keeper.request(group, now)
            else:
                self.keeper.requested_groups.discard(group)

    def turn(self, group: str, ask: bool) -> dict:
        """Ask for a turn, or say that it is over; how it stands."""
        now = self.clock.now()
        if ask:
            self.turns.add(group)
            self._take_turns(now)
        else:
            self.turns.discard(group)
            self.node.unwant(group)
        self.node.wake()
        held = [g for g in self.keeper.held_leases(now) if g.group == group]
        return {
            "lease": group,
            "wanted": group in self.turns,
            "yours": bool(held),
            "token": held[0].token if held else 0,
            "missing": self.members.missing(),
        }

    # What operators are shown

    def peers(self) -> list[dict]:
        """Each peer as seen from here."""
        now, zones = self.clock.now(), {p.name: p.zone for p in self.told.peers}
        voters = self.electorate.voters

        def row(name: str, state: str, incarnation: int, heard: float | None, version: int | None) -> dict:
            return {
                "name": name,
                "zone": zones.get(name, ""),
                "state": state,
                "voter": name in voters,
                "incarnation": incarnation,
                "heard_s": heard,
                "voters_version": version,
                "here": name == self.name,
            }

        rows = [row(self.name, "alive", self.members.incarnation, 0.0, self.electorate.version)]
        for m in self.members.members.values():
            heard = round((now - m.heard) / 1e6, 2) if m.heard else None
            rows.append(row(m.name, STATES[m.state], m.incarnation, heard, self.node.versions.get(m.name)))
        return sorted(rows, key=lambda p: p["name"])

    def leases(self) -> list[dict]:
        """Each lease as seen from here; the holder is as last heard of."""
        now = self.clock.now()
        return [
            {
                "lease": n,
                "state": s.phase.value,
                "holder": self.keeper.known_holder(n, now),
                "token": s.acquisition.token,
                "left_s": round(s.acquisition.remaining(now) / 1e6, 2),
                "rank": self.keeper.candidate_rank(n),
                "line": self.keeper.candidates(n),
            }
            for n, s in sorted(self.keeper.participations.items())
        ]

    def tasks(self) -> list[dict]:
        """Each task, and what it has taken."""
        return [
            {
                "task": t.name,
                "lease": t.lease,
                "running_under": sorted(t.running),
                "acts": t.acts,
                "called_off": t.called_off,
                "overdue": t.overdue,
                "failed": t.failed,
                "priority": t.priority,
                "cpu_ms": round(self.runner.budget.spent / 1e3, 2),
                "longest_step_ms": round(self.runner.budget.longest / 1e3, 3),
                "turn_p99_ms": self.node.turn_p99() / 1e3,
            }
            for t in self.runner.tasks
        ]

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
        if lease not in self.keeper.participations:
            return 404, b"no such lease\n"
        if not self.node.give_back(lease, "by hand", rest_s=3 * self.told.longest / 1e6):
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
        self.log.info(
            "zone_wish", zone=told.zone, what=told.what, span_s=told.span_s, why=told.why, planner=planner
        )
        return (200, f"passed on to {planner}\n".encode()) if planner else (409, b"there is no planner\n")

    def _turn_call(self, request, ask: bool) -> tuple[int, bytes]:
        group = request.body.decode("utf-8", "replace").strip()
        if not any(s.slot.group == group and s.slot.on_demand for s in self.keeper.participations.values()):
            return 404, b"no lease of this name that is asked for by wish\n"
        return 200, json.dumps(self.turn(group, ask)).encode() + b"\n"
