"""Dispatch: draws until no queued request has an available engine, and the start of attempts."""

from dataclasses import replace
from types import SimpleNamespace

from cypressledge.decisions.contract import StartAttempt
from cypressledge.decisions.dispatch import AttemptStarter, Dispatcher
from cypressledge.decisions.odds import OddsController
from cypressledge.decisions.queues import ClassQueues
from tests.decisions.parts import LOOKUP, SECOND, CallRecorder, make_context, make_registry, make_request

BLOCKED = replace(LOOKUP, blocked_by_loads=True)


class DispatchFixture:
    """A dispatcher whose router returns the engine for the groups in `free`, or for all if that is None."""

    def __init__(self, *classes):
        self.context = make_context(*(classes or (LOOKUP,)))
        self.engine = make_registry(self.context, 1).engines[1]
        self.queues = ClassQueues(self.context, SimpleNamespace(slowdown=1.0))
        self.started, self.given_up, self.tried = [], [], []
        self.free, self.reason = None, None
        self.dispatcher = Dispatcher(
            self.context,
            OddsController(len(self.context.settings.classes)),
            self.queues,
            SimpleNamespace(choose=self.choose),
            SimpleNamespace(reject_late=self.reject_late, give_up=self.give_up),
            SimpleNamespace(reason_against_sending=lambda request: self.reason),
            SimpleNamespace(start=self.start),
        )

    def choose(self, request):
        self.tried.append(request.id)
        return self.engine if self.free is None or request.table_group in self.free else None

    def start(self, request, engine):
        request.queued = False
        self.started.append(request.id)

    def give_up(self, request, reason):
        request.queued = False
        self.given_up.append((request.id, reason))

    def reject_late(self, request):
        self.give_up(request, "late")

    def add(self, number, **fields):
        request = make_request(self.context, number, **fields)
        self.queues.enqueue(request)
        return request


def test_every_request_with_an_available_engine_is_started():
    dispatch = DispatchFixture()
    for number in range(1, 6):
        dispatch.add(number, cost=number)
    dispatch.dispatcher.dispatch()
    assert dispatch.started == [1, 2, 3, 4, 5]


def test_a_group_without_an_engine_is_tried_once_and_does_not_block_others():
    dispatch = DispatchFixture(BLOCKED)
    dispatch.free = {8}
    for number, group in ((1, 7), (2, 7), (3, 8)):
        dispatch.add(number, cost=number, table_group=group)
    dispatch.dispatcher.dispatch()
    assert dispatch.tried == [1, 3]
    assert dispatch.started == [3]


def test_after_three_groups_without_an_engine_a_class_is_skipped():
    dispatch = DispatchFixture(BLOCKED)
    dispatch.free = {9}
    for number in range(1, 10):
        dispatch.add(number, cost=number, table_group=number)
    dispatch.dispatcher.dispatch()
    assert dispatch.tried == [1, 2, 3]
    assert dispatch.started == []


def test_a_retry_that_is_no_longer_allowed_is_given_up():
    dispatch = DispatchFixture()
    dispatch.reason = "budget"
    dispatch.add(1).attempts = 1
    dispatch.add(2)  # first attempts are not checked
    dispatch.dispatcher.dispatch()
    assert dispatch.given_up == [(1, "budget")]
    assert dispatch.started == [2]


def test_late_requests_are_given_up():
    dispatch = DispatchFixture()
    dispatch.add(1)
    dispatch.context.now += SECOND
    dispatch.dispatcher.dispatch()
    assert dispatch.given_up == [(1, "late")]


def start(context, request, calls):
    """Start an attempt of the request at a new engine; return the engine and the odds."""
    engine = make_registry(context, 1).engines[1]
    odds = OddsController(2)
    AttemptStarter(context, odds, calls, calls, calls, calls).start(request, engine)
    return engine, odds


def test_starting_a_first_attempt_records_its_delay_and_updates_the_counts():
    context, calls = make_context(LOOKUP, replace(LOOKUP, is_load=True)), CallRecorder()
    request = make_request(context, class_index=1, table_group=7)
    request.queued = request.blocked = request.response_lost = True
    context.now += 30_000
    engine, odds = start(context, request, calls)
    assert (odds.delay_sums, odds.sample_counts) == ([0.0, 30_000], [0, 1])
    assert (request.attempts, request.engine, request.sent_at, request.last_activity_at) == (
        1,
        engine,
        context.now,
        context.now,
    )
    assert not any((request.queued, request.blocked, request.response_lost))
    assert engine.in_flight == {1: request}
    assert engine.loads_in_flight == {7: 1}
    assert calls.names == ["record_attempt", "record_attempt", "update"]
    assert context.actions == [StartAttempt(1, 1)]


def test_a_retry_uses_the_budget_and_records_no_delay():
    context, calls = make_context(), CallRecorder()
    request = make_request(context)
    request.attempts = 1
    _, odds = start(context, request, calls)
    assert calls.names[0] == "record_retry"
    assert odds.sample_counts == [0, 0]
    assert request.attempts == 2
