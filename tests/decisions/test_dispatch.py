"""Dispatch: draws until nothing queued finds an engine, and starts of attempts."""

from dataclasses import replace
from types import SimpleNamespace

from cypressledge.decisions.contract import StartAttempt
from cypressledge.decisions.dispatch import AttemptStarter, Dispatcher
from cypressledge.decisions.odds import OddsController
from cypressledge.decisions.queues import ClassQueues
from tests.decisions.parts import LOOKUP, SECOND, context, registry, request

BLOCKED = replace(LOOKUP, blocked_by_loads=True)


class Dispatch:
    """A dispatcher whose router finds the engine for the groups that are free."""

    def __init__(self, *classes):
        self.context = context(*(classes or (LOOKUP,)))
        self.engine = registry(self.context, 1).engines[1]
        self.queues = ClassQueues(self.context, SimpleNamespace(slowdown=1.0))
        self.started, self.given_up, self.asked = [], [], []
        self.free, self.reason = None, None
        self.dispatcher = Dispatcher(
            self.context,
            OddsController(len(self.context.settings.classes)),
            self.queues,
            SimpleNamespace(choose=self.choose),
            SimpleNamespace(reject_late=self.reject_late, give_up=self.give_up),
            SimpleNamespace(reason_against_sending=lambda made: self.reason),
            SimpleNamespace(start=self.start),
        )

    def choose(self, made):
        self.asked.append(made.id)
        return self.engine if self.free is None or made.table_group in self.free else None

    def start(self, made, engine):
        made.queued = False
        self.started.append(made.id)

    def give_up(self, made, reason):
        made.queued = False
        self.given_up.append((made.id, reason))

    def reject_late(self, made):
        self.give_up(made, "late")

    def add(self, number, **what):
        made = request(self.context, number, **what)
        self.queues.enqueue(made)
        return made


def test_all_that_finds_an_engine_starts():
    dispatch = Dispatch()
    for number in range(1, 6):
        dispatch.add(number, cost=number)
    dispatch.dispatcher.dispatch()
    assert dispatch.started == [1, 2, 3, 4, 5]


def test_a_group_without_an_engine_is_asked_for_once_and_holds_up_no_other():
    dispatch = Dispatch(BLOCKED)
    dispatch.free = {8}
    for number, group in ((1, 7), (2, 7), (3, 8)):
        dispatch.add(number, cost=number, table_group=group)
    dispatch.dispatcher.dispatch()
    assert dispatch.asked == [1, 3]
    assert dispatch.started == [3]


def test_after_three_groups_without_an_engine_a_class_is_left_for_now():
    dispatch = Dispatch(BLOCKED)
    dispatch.free = {9}
    for number in range(1, 10):
        dispatch.add(number, cost=number, table_group=number)
    dispatch.dispatcher.dispatch()
    assert dispatch.asked == [1, 2, 3]
    assert dispatch.started == []


def test_a_retry_that_may_not_leave_any_more_is_given_up():
    dispatch = Dispatch()
    dispatch.reason = "budget"
    dispatch.add(1).attempts = 1
    dispatch.add(2)  # a first attempt needs no leave
    dispatch.dispatcher.dispatch()
    assert dispatch.given_up == [(1, "budget")]
    assert dispatch.started == [2]


def test_late_requests_are_given_up():
    dispatch = Dispatch()
    dispatch.add(1)
    dispatch.context.now += SECOND
    dispatch.dispatcher.dispatch()
    assert dispatch.given_up == [(1, "late")]


class Calls:
    """Notes the methods that are called."""

    def __init__(self):
        self.names = []

    def __getattr__(self, name):
        return lambda *arguments: self.names.append(name)


def started(ctx, made, calls):
    engine = registry(ctx, 1).engines[1]
    odds = OddsController(2)
    AttemptStarter(ctx, odds, calls, calls, calls, calls).start(made, engine)
    return engine, odds


def test_a_start_counts_the_delay_and_the_attempt():
    ctx, calls = context(LOOKUP, replace(LOOKUP, is_load=True)), Calls()
    made = request(ctx, class_index=1, table_group=7)
    made.queued = made.blocked = made.response_lost = True
    ctx.now += 30_000
    engine, odds = started(ctx, made, calls)
    assert (odds.delay_sums, odds.sample_counts) == ([0.0, 30_000], [0, 1])
    assert (made.attempts, made.engine, made.sent_at, made.last_activity_at) == (1, engine, ctx.now, ctx.now)
    assert not any((made.queued, made.blocked, made.response_lost))
    assert engine.in_flight == {1: made}
    assert engine.loads_in_flight == {7: 1}
    assert calls.names == ["record_attempt", "record_attempt", "update"]
    assert ctx.actions == [StartAttempt(1, 1)]


def test_a_retry_takes_from_the_budget_and_adds_no_delay():
    ctx, calls = context(), Calls()
    made = request(ctx)
    made.attempts = 1
    _, odds = started(ctx, made, calls)
    assert calls.names[0] == "record_retry"
    assert odds.sample_counts == [0, 0]
    assert made.attempts == 2
