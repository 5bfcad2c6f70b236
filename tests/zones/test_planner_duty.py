"""A step of the planner at the holder of its lease, with and without the loss of the lease midway."""

from types import SimpleNamespace

import pytest

from cypressledge.broker.requests import ListedEngine
from cypressledge.decisions.contract import EngineListEntry, EngineState
from cypressledge.fleet.leases.lease import HeldLease
from cypressledge.fleet.messages import EngineObservation, EngineObservations
from cypressledge.fleet.zones.environment import FleetLinks
from cypressledge.fleet.zones.failover import ZoneFailover
from cypressledge.fleet.zones.failover_plan import FailoverPace
from cypressledge.fleet.zones.planner_duty import NotPlanningError
from cypressledge.fleet.zones.topology import SiteTopology

S = 1_000_000
ZONES = ("a", "b")
ENGINES = (1, 2, 3, 4)  # two in each zone


class Core:
    """A fake broker core with engines and without requests."""

    def __init__(self):
        self.settings = SimpleNamespace(classes=[], kind_cores=(8,))
        self.observer = self.is_closed = self.admission_filter = None
        self.requests = {}
        self.ledger = self.engines = self.loop = self
        entries = [EngineListEntry(e, EngineState.READY, 0, (e - 1) // 2, 0, 0) for e in ENGINES]
        self.engine_lists = {"one": [ListedEngine(entry, None) for entry in entries]}

    def now(self):
        return 0

    def refresh(self):
        pass


class IsolationScenario:
    """A broker that plans, with reports of two others, one of which is isolated."""

    def __init__(self):
        self.events, self.sent = [], []
        links = FleetLinks(
            lambda: 100 * S,
            lambda peer, message: self.sent.append((peer, message)),
            lambda: ["n1", "n2"],
            lambda: [],
            lambda event, **fields: self.events.append((event, fields)),
        )
        self.zones = ZoneFailover("n0", Core(), SiteTopology(ZONES, {}, {}, {}), FailoverPace(), links)
        answers = [EngineObservation(e, 9, 0, 0, 0, 0, 0, 0, 50) for e in ENGINES]
        failures = [EngineObservation(e, 0, 0, 9, 0, 0, 0, 9) for e in ENGINES]
        self.zones.receive("n1", EngineObservations(answers))
        self.zones.receive("n2", EngineObservations(failures))

    def act(self):
        return self.zones.act(HeldLease("zones", "zones", 1, 7, 200 * S))


def test_a_complete_step_logs_the_isolated_broker_and_sends_the_plan():
    planner = IsolationScenario()
    assert set(planner.act()) == {None}
    assert [event for event, _ in planner.events] == ["planner_started", "broker_isolated"]
    assert {peer for peer, _ in planner.sent} == {"n1", "n2"}


def test_a_step_whose_lease_is_lost_midway_fails_and_sends_no_plan():
    planner = IsolationScenario()
    act = planner.act()
    next(act)
    planner.zones.step_down_from("zones")
    with pytest.raises(NotPlanningError):
        list(act)
    # The assessment is complete by then, so the isolated broker is logged.
    assert [event for event, _ in planner.events] == ["planner_started", "broker_isolated"]
    assert planner.sent == []
    assert planner.zones.dry_run("a", "leave", S, "works") is None
