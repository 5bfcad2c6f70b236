"""Integration of the fleet into one broker: fleet node, tasks, zone failover, summaries, operators' calls.

Imported only if `--fleet FILE` is given.
"""

from typing import cast

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.metrics import Counters
from cypressledge.broker.requests import ListedEngine
from cypressledge.clock import wall_us
from cypressledge.config import Config, ConfigError, parse_address
from cypressledge.decisions.contract import EngineState
from cypressledge.fleet.clock import LeaseClock
from cypressledge.fleet.lease_recorder import LeaseRecorder
from cypressledge.fleet.leases.candidate_order import candidate_order
from cypressledge.fleet.leases.electorate import Electorate, VoterSetError
from cypressledge.fleet.leases.lease import LeaseEvent, LeaseSlot, lease_slots
from cypressledge.fleet.messages import (
    BrokerMetrics,
    EngineObservations,
    FailoverPlan,
    FleetSummary,
    MetricsRequest,
    PlanRequest,
    ZoneCommand,
)
from cypressledge.fleet.node import FleetNode, Handler, NodeHooks, NodeSettings
from cypressledge.fleet.operator_api import FleetOperatorApi
from cypressledge.fleet.restart_turns import RestartTurns
from cypressledge.fleet.settings import FleetSettings, Peer, TaskSpec, read_fleet_settings
from cypressledge.fleet.tasks.cpu_budget import CpuBudget
from cypressledge.fleet.tasks.fleet_summary import FleetSummaries, broker_metrics
from cypressledge.fleet.tasks.service_call import ServiceCall
from cypressledge.fleet.tasks.task_runner import Task, TaskRunner
from cypressledge.fleet.zones.environment import FleetLinks
from cypressledge.fleet.zones.failover import PLANNER_STEP_S, ZoneFailover
from cypressledge.fleet.zones.failover_plan import FailoverPace
from cypressledge.fleet.zones.topology import SiteTopology
from cypressledge.net.management import ManagementServer

ZONE_MESSAGES = (EngineObservations, FailoverPlan, PlanRequest, ZoneCommand)
SUMMARY_MESSAGES = (MetricsRequest, BrokerMetrics, FleetSummary)
URGENT_MESSAGES = (FailoverPlan, ZoneCommand, PlanRequest)
IDLE_TICK_INTERVAL = 1_000_000  # µs; time between ticks without zone failover: nothing else is due sooner
MAX_TURN_TIMES = 4_096  # turn times; those kept cover minutes, so that operators can rely on the percentile
MIN_WARM_UP_STEPS = 32  # steps; a zone's share is raised in at least this many while its engines warm up

# Settings that can change only with a restart of all brokers.
FIXED_SETTINGS = (
    "term_s",
    "longest_term",
    "drift_ppm",
    "listen",
    "lab",
    "tasks",
    "ping_s",
    "task_share",
    "zone_pace",
    "regions",
)


class FleetIntegration:
    """One broker's membership in a fleet. `loops`: functions that the broker runs as greenlets.

    Raises `ConfigError` if the file is invalid, and `OSError` if the fleet address can't be bound.
    """

    def __init__(self, path: str, config: Config, core: BrokerCore, counters: Counters) -> None:
        self.path = path
        self.name = config.name
        self.classes = config.classes
        self.core = core
        self.counters = counters
        self.settings = read_fleet_settings(path)
        own = self._own_peer(self.settings)
        # Addresses of peers from the control plane; they override those of the file.
        self.control_plane_peers: dict[str, tuple[str, int]] = {}
        self.node = self._make_node(parse_address(self.settings.listen or own.address))
        self.recorder = self._make_recorder()
        self.turns = RestartTurns(self.node)
        self.summaries = FleetSummaries(
            self.name,
            self._own_metrics,
            self.node.alive_peers,
            lambda: [peer.name for peer in self.settings.peers],
            self.node.send,
            self.node.now,
        )
        self.zones = self._make_zones(config)
        self.node.handlers |= self._handlers()
        tasks = [self._make_task(spec) for spec in self.settings.tasks]
        budget = CpuBudget(self.settings.task_share)
        self.runner = TaskRunner(tasks, self.node.held_lease, self.node.now, budget, self._log_event)
        self.loops = [*self.node.loops, self.runner.schedule]
        counters.gauge("fleet.turn_p99_us", self.node.turn_p99)
        counters.gauge("fleet.step_longest_us", lambda: self.runner.budget.longest_slice)

    # Construction

    def _own_peer(self, settings: FleetSettings) -> Peer:
        own = next((peer for peer in settings.peers if peer.name == self.name), None)
        if own is None:
            raise ConfigError(f"{self.path}: this broker, {self.name}, is not among the peers")
        return own

    def _make_node(self, listen: tuple[str, int]) -> FleetNode:
        settings = self.settings
        clock = LeaseClock(settings.lab.clock_rate, round(settings.lab.clock_offset_s * 1e6))
        electorate = Electorate(
            self.name,
            settings.longest_term,
            dict(settings.voter_sets),
            max(settings.voter_sets),
            clock.now(),
            round(settings.grace_s * 1e6),
        )
        return FleetNode(
            self.name,
            NodeSettings(
                listen=listen,
                addresses=_addresses(settings),
                slots=_lease_slots(settings),
                drift_ppm=settings.drift_ppm,
                ping_s=settings.ping_s,
                wall_time=wall_us() + round(settings.lab.wall_step_s * 1e6),
                max_turn_times=MAX_TURN_TIMES,
            ),
            electorate,
            self.counters,
            clock,
            NodeHooks(
                on_lease_event=self._lease_changed,
                end_work=lambda lease: self.runner.cancel(lease),
                tick=self._tick,
                urgent=URGENT_MESSAGES,
            ),
        )

    def _make_recorder(self) -> LeaseRecorder | None:
        path = self.settings.lab.record
        return LeaseRecorder(path, self.node) if path else None

    def _handlers(self) -> dict[type, Handler]:
        """Return the handlers by type of message. Without zone failover, messages about zones are only
        counted."""
        handlers: dict[type, Handler] = dict.fromkeys(SUMMARY_MESSAGES, cast(Handler, self.summaries.receive))
        if self.zones is not None:
            handlers |= dict.fromkeys(ZONE_MESSAGES, cast(Handler, self.zones.receive))
        return handlers

    def _make_zones(self, config: Config) -> ZoneFailover | None:
        """Return the zone failover if the file configures a task of kind "zones", else None."""
        settings = self.settings
        spec = next((task for task in settings.tasks if task.kind == "zones"), None)
        if spec is None:
            return None
        self._check_regions(config)
        topology = SiteTopology(
            config.zones,
            {peer.name: peer.zone for peer in settings.peers},
            {zone: region.name for region in settings.regions for zone in region.zones},
            config.quotas,
        )
        links = FleetLinks(
            now=self.node.now,
            send=self.node.send,
            living_peers=self.node.alive_peers,
            likely_planners=lambda: candidate_order(spec.lease, self.node.membership.alive()),
            log_event=self._log_event,
        )
        return ZoneFailover(self.name, self.core, topology, self._zone_pace(), links)

    def _check_regions(self, config: Config) -> None:
        for region in self.settings.regions:
            for zone in region.zones:
                if zone not in config.zones or region.name in config.zones:
                    known = " ".join(config.zones)
                    raise ConfigError(
                        f"{self.path}: region {region.name}, zone {zone}: the zone must be one of {known}, "
                        "and the region's name none of them"
                    )

    def _zone_pace(self) -> FailoverPace:
        """Return the pace from the fleet's file, with the engines' warm-up from the site's settings."""
        site, pace = self.core.settings, self.settings.zone_pace
        default = FailoverPace()
        warm_up_time = site.slow_start_window or default.warm_up_time
        return FailoverPace(
            confirmation_time=round(pace.confirmation_time_s * 1e6),
            min_time_out=round(pace.min_time_out_s * 1e6),
            safety_margin=pace.safety_margin,
            max_time_out=round(pace.max_time_out_s * 1e6),
            max_utilization=pace.max_utilization,
            cold_capacity=site.slow_start_capacity,
            warm_up_time=warm_up_time,
            share_step_interval=min(default.share_step_interval, warm_up_time // MIN_WARM_UP_STEPS),
        )

    def _make_task(self, spec: TaskSpec) -> Task:
        if spec.kind == "zones" and self.zones is not None:
            return Task(
                spec.kind, spec.lease, self.zones.act, PLANNER_STEP_S, spec.time_limit_s, spec.priority
            )
        if spec.kind == "summary":
            run = self.summaries.run
        else:
            run = ServiceCall(
                self.name,
                parse_address(spec.service_address),
                spec.calls_per_act,
                spec.call_interval_s,
                self.node.token_rejected,
            ).run
        return Task(spec.kind, spec.lease, run, spec.interval_s, spec.time_limit_s, spec.priority)

    def add_operator_calls(self, management: ManagementServer) -> None:
        """Add the operators' calls of the fleet to the management address."""
        FleetOperatorApi(self).register(management)

    # Hooks called by the node

    def _tick(self, now: int) -> int:
        """Run the periodic work of restart turns, lease recorder and zone failover; return when the next
        tick is due, µs."""
        self.turns.tick(now)
        if self.recorder is not None:
            self.recorder.record_renewals()
        return now + IDLE_TICK_INTERVAL if self.zones is None else self.zones.tick(now)

    def _lease_changed(self, event: LeaseEvent, lease: str, token: int, why: str) -> None:
        if event is LeaseEvent.ACQUIRED:
            if self.recorder is not None:
                self.recorder.record(lease)
            self.runner.start(lease, self.node.lease_manager.participations[lease].slot.group)
        elif event is LeaseEvent.LOST:
            self.runner.cancel(lease)
        if event in (LeaseEvent.LOST, LeaseEvent.RELEASED):
            if self.zones is not None:
                self.zones.step_down_from(lease)
            if self.recorder is not None:
                self.recorder.record_end(lease)

    def _log_event(self, event: str, **fields: object) -> None:
        self.counters.add(f"fleet.{event}")
        self.node.log.info(event, **fields)

    def _own_metrics(self, token: int) -> BrokerMetrics:
        """Return this broker's counters for the fleet's summary, and the engines that it avoids."""
        core = self.core
        avoided = [
            engine.endpoint.name
            for listed in core.engines.engine_lists.values()
            for engine in listed
            if engine.entry.state is not EngineState.REMOVED and self._is_avoided(engine)
        ]
        return broker_metrics(
            token,
            core.counters.counts,
            self.classes,
            avoided,
            len(core.engines.ready_endpoints),
            len(core.ledger.requests),
        )

    def _is_avoided(self, listed: ListedEngine) -> bool:
        core = self.core
        entry = core.engines.maintenance.effective_entry(listed.endpoint.name, listed.entry)
        if entry.state is not EngineState.READY:
            return True
        engine = core.loop.manager.engines.get(entry.engine)
        return engine is not None and engine.ejected

    # Changes at run time

    def stop(self) -> None:
        """Release the leases at once and notify the peers that this broker leaves. The lease of a restart
        turn is kept: it expires by itself while the process restarts."""
        self.node.stop(self.turns.leases_kept_on_stop())

    def set_control_plane_peers(self, peers: dict[str, tuple[str, int]]) -> None:
        """Set the brokers' addresses from the control plane; peers that only the file names stay. The
        addresses are kept over a reload: otherwise brokers that the file doesn't name would be treated as
        gone until their next messages."""
        self.control_plane_peers = peers
        self.node.set_peers(_addresses(self.settings) | peers)

    def reload(self) -> None:
        """Read the file again. If it is invalid, or changes more than one voter or a setting that needs a
        restart, the old settings stay in force."""
        electorate = self.node.electorate
        try:
            settings = read_fleet_settings(self.path)
            self._own_peer(settings)
            self._check_fixed_settings(settings)
            changed = electorate.adopt(self.node.now(), max(settings.voter_sets), dict(settings.voter_sets))
        except (ConfigError, VoterSetError) as err:
            self.counters.add("fleet.reload_failures")
            self.node.log.warning("fleet_reload_refused", why=str(err))
            return
        self.settings = settings
        self.node.set_peers(_addresses(settings) | self.control_plane_peers)
        self.node.set_slots(_lease_slots(settings))
        self.node.log.info("fleet_reloaded", version=electorate.version, voters_changed=changed)

    def _check_fixed_settings(self, settings: FleetSettings) -> None:
        for key in FIXED_SETTINGS:
            if getattr(settings, key) != getattr(self.settings, key):
                raise ConfigError(f"{self.path}: another {key} needs a restart of all brokers")


def _addresses(settings: FleetSettings) -> dict[str, tuple[str, int]]:
    return {peer.name: parse_address(peer.address) for peer in settings.peers}


def _lease_slots(settings: FleetSettings) -> list[LeaseSlot]:
    return [
        slot
        for spec in settings.leases
        for slot in lease_slots(spec.name, spec.slots, settings.term_of(spec), spec.on_demand)
    ]
