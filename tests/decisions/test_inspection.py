"""Inspection of attempts in flight, housekeeping intervals, inputs of the odds loop, and admission."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from cypressledge.decisions.contract import Reason, StartTimer
from cypressledge.decisions.engine_admission import EngineAdmission
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.housekeeping import Housekeeping
from cypressledge.decisions.inspection import Inspection
from cypressledge.decisions.odds import OddsController
from cypressledge.decisions.odds_loop import OddsLoop
from tests.decisions.parts import LOOKUP, SECOND, make_context, make_registry, make_request, start_attempt


class InspectionFixture:
    """An inspection of two engines that records its findings."""

    def __init__(self):
        self.context = make_context(LOOKUP, replace(LOOKUP, blocked_by_loads=True))
        self.registry = make_registry(self.context, 1, 2)
        self.engine = self.registry.engines[1]
        self.lost, self.moved, self.silences, self.updated = set(), [], {}, []
        self.inspection = Inspection(
            self.context,
            self.registry,
            ClassEstimates(self.context),
            SimpleNamespace(update=lambda request: self.updated.append(request.id)),
            SimpleNamespace(record_silence=self.record_silence),
            SimpleNamespace(check=lambda engine, request: request.id in self.lost),
            SimpleNamespace(move=lambda request, reason: self.moved.append((request.id, reason))),
        )

    def record_silence(self, engine, missing):
        self.silences[engine.id] = missing

    def send(self, number, **fields):
        return start_attempt(self.context, make_request(self.context, number, **fields), self.engine)

    def run(self, after=0):
        self.context.now += after
        self.inspection.run()


def test_an_idle_engine_is_not_overdue_and_not_silent():
    inspected = InspectionFixture()
    inspected.engine.overdue_ratio = 5.0
    inspected.run()
    assert inspected.engine.overdue_ratio == 1.0
    assert inspected.silences == {}


def test_the_overdue_ratio_is_age_over_run_time():
    inspected = InspectionFixture()
    inspected.send(1, cost=100_000)
    inspected.run(after=50_000)
    assert inspected.engine.overdue_ratio == pytest.approx(1.0, abs=1e-4)
    inspected.send(2, cost=300_000)
    inspected.run(after=350_000)  # ages of 400 ms and 350 ms
    assert inspected.engine.overdue_ratio == pytest.approx(750 / 400, abs=1e-4)


def test_missing_answers_add_up_and_one_attempt_adds_at_most_four():
    inspected = InspectionFixture()
    inspected.send(1, cost=100_000)
    inspected.send(2, cost=200_000)
    inspected.run(after=300_000)
    assert inspected.silences == {1: pytest.approx(3.0 + 1.5)}
    inspected.run(after=10 * SECOND)
    assert inspected.silences == {1: 8.0}


def test_attempts_of_a_group_that_a_load_may_block_count_once():
    inspected = InspectionFixture()
    for number in range(1, 6):
        inspected.send(number, class_index=1, table_group=7)
    inspected.send(6, class_index=1, table_group=8)
    inspected.run(after=300_000)
    assert inspected.silences == {1: pytest.approx(6.0)}


def test_silence_begins_with_the_engines_last_activity():
    inspected = InspectionFixture()
    inspected.send(1)
    inspected.engine.last_activity_at = inspected.context.now + 200_000
    inspected.run(after=300_000)
    assert inspected.silences == {1: pytest.approx(1.0)}


def test_lost_responses_count_neither_as_silence_nor_as_overdue():
    inspected = InspectionFixture()
    inspected.send(1)
    inspected.lost = {1}
    inspected.run(after=SECOND)
    assert inspected.silences == {1: 0.0}
    assert inspected.engine.overdue_ratio == 0.0
    assert inspected.updated == []


def test_attempts_at_an_ejected_engine_are_moved_unless_new_or_finished():
    inspected = InspectionFixture()
    inspected.send(1)
    inspected.send(2).finished = True
    inspected.context.now += 1
    inspected.send(3)
    inspected.engine.ejected = True
    inspected.run(after=400_000)
    assert inspected.moved == [(1, Reason.ENGINE_SILENT)]


class PeriodicRecorder:
    """A periodic component that counts its control periods."""

    def __init__(self):
        self.periods = 0

    def end_period(self):
        self.periods += 1


def make_housekeeping(requests, next_due_at=None):
    context, inspections, part = make_context(), [], PeriodicRecorder()
    lifecycle = SimpleNamespace(requests=requests, next_due_at=lambda: next_due_at)
    housekeeping = Housekeeping(context, lifecycle, [lambda: inspections.append(context.now)], [part])
    housekeeping.start()
    return context, housekeeping, inspections, part


def test_inspections_are_100_ms_apart_and_control_periods_two_seconds():
    context, housekeeping, inspections, part = make_housekeeping({})
    for _ in range(400):
        context.now += 10_000
        housekeeping.run()
    assert len(inspections) == 40
    assert part.periods == 2


def test_no_timer_is_started_without_an_open_request():
    context, housekeeping, _, _ = make_housekeeping({})
    housekeeping.schedule_timer()
    assert context.actions == []


@pytest.mark.parametrize(("due", "after"), [(None, 100_000), (40_000, 40_000), (1, 5_000), (10**9, 100_000)])
def test_the_timer_fires_at_the_next_due_time_but_not_before_one_resolution(due, after):
    context, housekeeping, _, _ = make_housekeeping({1: None}, due and make_context().now + due)
    housekeeping.schedule_timer()
    assert context.actions == [StartTimer(after)]
    housekeeping.schedule_timer()
    assert len(context.actions) == 1 + (due == 1)  # a running timer that fires as early is not started again


def test_delays_of_waiting_requests_count_in_the_odds_loop():
    context = make_context(LOOKUP, LOOKUP)
    odds = OddsController(2)
    waiting = [make_request(context, number, class_index=number % 2) for number in range(8)]
    queues = SimpleNamespace(waiting_for_first_attempt=lambda: waiting)
    loop = OddsLoop(context, odds, queues, ClassEstimates(context))
    context.now += 100_000
    loop.end_period()
    assert odds.ratios == [1.0]  # equal delays
    assert odds.previous_errors == [0.0]
    assert odds.sample_counts == [0, 0]  # reset, because there were enough samples


class LimitStub:
    """Stand-in for one check of an engine: records calls, and returns `is_open` from each."""

    def __init__(self, calls, name, is_open=True):
        self.calls, self.name, self.is_open = calls, name, is_open

    def __getattr__(self, method):
        def call(*arguments):
            self.calls.append((self.name, method))
            return self.is_open

        return call


@pytest.mark.parametrize(("ejected", "check_count"), [(False, 2), (True, 3)])
def test_admission_checks_the_health_of_ejected_engines_then_slow_start_then_capacity(ejected, check_count):
    calls = []
    parts = [LimitStub(calls, name) for name in ("health", "slow_start", "limits")]
    context = make_context()
    engine = make_registry(context, 1).engines[1]
    engine.ejected = ejected
    admission = EngineAdmission(*parts)
    assert admission.admits(engine, make_request(context), 0.0)
    assert [name for name, _ in calls] == ["health", "slow_start", "limits"][-check_count:]
    for closed in parts[-check_count:]:
        closed.is_open = False
        assert not admission.admits(engine, make_request(context), 0.0)
        assert calls[-1][0] == closed.name  # the checks after it are skipped
        closed.is_open = True
