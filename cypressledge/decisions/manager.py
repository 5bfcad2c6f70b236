"""Workload manager: makes all decisions of one broker, from events to actions, without I/O.

Requests wait in the queues of their classes. Free capacity goes to the class that a weighted draw selects,
with odds that a PI loop adjusts; a router chooses the engine. docs/design.md lists each deviation from the
paper.
"""

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any

from cypressledge.decisions.affinity import Affinity
from cypressledge.decisions.attempt_resources import AttemptResources
from cypressledge.decisions.attempts import AttemptControl
from cypressledge.decisions.concurrency_limits import ConcurrencyLimits
from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import (
    Action,
    AttemptEnded,
    AttemptProgress,
    ClientDisconnected,
    EngineListReceived,
    Event,
    HealthCheckEnded,
    RequestReceived,
    Settings,
    ShutdownStarted,
    TimerFired,
)
from cypressledge.decisions.dispatch import AttemptStarter, Dispatcher
from cypressledge.decisions.engine_admission import EngineAdmission
from cypressledge.decisions.engines import Engine, EngineRegistry
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.health import HealthMonitor
from cypressledge.decisions.housekeeping import Housekeeping
from cypressledge.decisions.inspection import Inspection
from cypressledge.decisions.lifecycle import RequestLifecycle
from cypressledge.decisions.load_reports import LoadReports
from cypressledge.decisions.lost_responses import LostResponses
from cypressledge.decisions.odds import OddsController
from cypressledge.decisions.odds_loop import OddsLoop
from cypressledge.decisions.outcomes import AttemptOutcomes, OutcomeObservers
from cypressledge.decisions.pace import FleetPace
from cypressledge.decisions.progress import ProgressNotifications
from cypressledge.decisions.queues import ClassQueues
from cypressledge.decisions.request import Request
from cypressledge.decisions.retries import RetryBudget, RetryPolicy
from cypressledge.decisions.routing import Router
from cypressledge.decisions.slow_start import SlowStart
from cypressledge.decisions.subscription import SUBSCRIPTION_TIMER, EngineListSubscription


class WorkloadManager:
    """Makes the decisions of one broker: `handle` takes events and returns actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.context = context = DecisionContext(settings, Random(seed))
        self.registry = registry = EngineRegistry(context)
        self.estimates = estimates = ClassEstimates(context)
        self.odds = odds = OddsController(len(settings.classes))
        self.pace = pace = FleetPace(registry, estimates)
        self.affinity = affinity = Affinity(context, registry, estimates)
        self.subscription = EngineListSubscription(context, registry, affinity)
        self.queues = queues = ClassQueues(context, pace)
        self.retry_budget = budget = RetryBudget(context)
        retry_policy = RetryPolicy(context, budget)
        attempts = AttemptControl(context, retry_policy)
        self.lifecycle = lifecycle = RequestLifecycle(
            context, estimates, affinity, budget, attempts, odds, queues
        )
        self.limits = limits = ConcurrencyLimits(context, registry, pace, estimates)
        slow_start = SlowStart(context, estimates)
        health = HealthMonitor(context, registry, slow_start)
        load_reports = LoadReports(context)
        resources = AttemptResources(context, estimates)
        self.lost_responses = losses = LostResponses(context, estimates, attempts, lifecycle)
        admission = EngineAdmission(health, slow_start, limits)
        self.router = Router(context, registry, affinity, limits, admission, load_reports, pace)
        starter = AttemptStarter(context, odds, budget, estimates, admission, resources)
        self.dispatcher = Dispatcher(context, odds, queues, self.router, lifecycle, retry_policy, starter)
        inspection = Inspection(context, registry, estimates, resources, health, losses, attempts)
        self.odds_loop = OddsLoop(context, odds, queues, estimates)
        inspections = (affinity.record_running_loads, inspection.run)
        periodic = (self.odds_loop, affinity, lifecycle.key_order, limits, pace)
        self.housekeeping = Housekeeping(context, lifecycle, inspections, periodic)
        observers = OutcomeObservers(estimates, pace, limits, health, load_reports, losses)
        outcomes = AttemptOutcomes(context, registry, lifecycle, retry_policy, observers)
        progress = ProgressNotifications(context, estimates, attempts, lifecycle)
        self._is_started = False
        self._handlers = self._handlers_by_event(outcomes, progress)

    def _handlers_by_event(
        self, outcomes: AttemptOutcomes, progress: ProgressNotifications
    ) -> Mapping[type, Callable[[Any], None]]:
        return {
            EngineListReceived: self.subscription.list_received,
            RequestReceived: self.lifecycle.receive,
            AttemptEnded: outcomes.attempt_ended,
            AttemptProgress: progress.received,
            ClientDisconnected: self.lifecycle.client_disconnected,
            TimerFired: self._timer_fired,
            HealthCheckEnded: lambda event: None,
            ShutdownStarted: lambda event: self.lifecycle.shutdown_started(),
        }

    def configure(self, settings: Settings) -> None:
        """Apply changed settings; the number and the order of the classes must not change."""
        self.context.settings = settings
        self.limits.configure()
        self.router.configure()

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self.context.settings

    @property
    def engines(self) -> Mapping[int, Engine]:
        """Engines by id: the listed ones, and removed ones that still have attempts in flight."""
        return self.registry.engines

    @property
    def latency_ratios(self) -> Sequence[float]:
        """Latency over run time of recent answers from all engines, by class index."""
        return self.estimates.latency_ratios

    @property
    def requests(self) -> Mapping[int, Request]:
        """Requests by id that need an answer or have an attempt in flight."""
        return self.lifecycle.requests

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Handle a batch of events at time `now`, µs; return the actions in order."""
        context = self.context
        context.now, context.actions = now, []
        if not self._is_started:
            self._is_started = True
            self.housekeeping.start()
            self.subscription.start()
        for event in events:
            self._handlers[type(event)](event)
        self.housekeeping.run()
        self.dispatcher.dispatch()
        self.housekeeping.schedule_timer()
        return context.actions

    def _timer_fired(self, event: TimerFired) -> None:
        if event.token == SUBSCRIPTION_TIMER:
            self.subscription.subscribe()
        else:
            self.lifecycle.expire()
