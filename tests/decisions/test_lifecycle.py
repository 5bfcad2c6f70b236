"""Lifecycle of requests, and the effects of the outcomes of their attempts."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from cypressledge.decisions.affinity import Affinity
from cypressledge.decisions.attempts import AttemptControl
from cypressledge.decisions.contract import (
    AttemptEnded,
    ClientDisconnected,
    DeduplicationScope,
    FailRequest,
    Idempotency,
    Outcome,
    Reason,
    RejectRequest,
    RequestReceived,
)
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.lifecycle import RequestLifecycle
from cypressledge.decisions.odds import OddsController
from cypressledge.decisions.outcomes import AttemptOutcomes, OutcomeObservers
from cypressledge.decisions.queues import ClassQueues
from cypressledge.decisions.request import PossibleExecution
from cypressledge.decisions.retries import RetryBudget, RetryPolicy
from tests.decisions.parts import LOOKUP, SECOND, CallRecorder, make_context, make_registry, start_attempt

KEYED = replace(LOOKUP, idempotency=Idempotency.WITH_KEY, deduplication_window=2 * SECOND)
ZONED = replace(KEYED, deduplication_scope=DeduplicationScope.ZONE)
UNSAFE = replace(LOOKUP, idempotency=Idempotency.NOT_IDEMPOTENT)
ORDERED = replace(UNSAFE, ordered=True)


class LifecycleFixture:
    """The lifecycle of requests of one class, with two engines."""

    def __init__(self, class_settings=LOOKUP, **changes):
        self.context = context = make_context(class_settings, **changes)
        self.registry = make_registry(context, 1, 2)
        self.engine = self.registry.engines[1]
        estimates = ClassEstimates(context)
        self.budget, self.odds = RetryBudget(context), OddsController(1)
        policy = RetryPolicy(context, self.budget)
        queues = ClassQueues(context, SimpleNamespace(slowdown=1.0))
        affinity = Affinity(context, self.registry, estimates)
        control = AttemptControl(context, policy)
        self.lifecycle = RequestLifecycle(
            context, estimates, affinity, self.budget, control, self.odds, queues
        )
        self.observed = CallRecorder(answer=1_000.0)
        observers = OutcomeObservers(*[self.observed] * 6)
        self.outcomes = AttemptOutcomes(context, self.registry, self.lifecycle, policy, observers)

    def receive(self, number=1, key=0, time_limit=5 * SECOND):
        self.lifecycle.receive(RequestReceived(number, 0, self.context.now + time_limit, key, cost=100_000))
        return self.lifecycle.requests[number]

    def send(self, request):
        request.queued = False
        return start_attempt(self.context, request, self.engine, request.attempts + 1)

    def end(self, request, outcome, final=False, after=0):
        self.context.now += after
        self.outcomes.attempt_ended(AttemptEnded(request.id, request.attempts - 1, 1, outcome, final, 1_000))

    def answers(self):
        return [
            (type(a), a.reason) for a in self.context.actions if isinstance(a, RejectRequest | FailRequest)
        ]


def test_a_request_is_queued_on_arrival():
    setup = LifecycleFixture()
    request = setup.receive()
    assert request.queued
    assert setup.lifecycle.next_due_at() == request.deadline - 30_000


def test_requests_of_a_key_are_queued_one_after_the_other():
    setup = LifecycleFixture(ORDERED)
    one, two = setup.receive(1, key=7), setup.receive(2, key=7)
    assert (one.queued, two.queued) == (True, False)
    setup.lifecycle.give_up(one, Reason.NO_CAPACITY)
    assert two.queued


def test_a_client_that_disconnects_ends_its_request_without_an_answer():
    setup = LifecycleFixture()
    setup.receive()
    setup.lifecycle.client_disconnected(ClientDisconnected(1))
    setup.lifecycle.client_disconnected(ClientDisconnected(1))
    assert setup.lifecycle.requests == {}
    assert setup.context.actions == []
    assert setup.odds.sample_counts == [1]  # the delay counts although no attempt was started


@pytest.mark.parametrize(("class_settings", "cancels"), [(LOOKUP, 1), (KEYED, 1), (UNSAFE, 0)])
def test_attempts_of_a_disconnected_client_are_cancelled_unless_not_idempotent(class_settings, cancels):
    setup = LifecycleFixture(class_settings)
    request = setup.send(setup.receive())
    setup.lifecycle.client_disconnected(ClientDisconnected(1))
    assert len(setup.context.actions) == cancels
    assert request.finished
    setup.end(request, Outcome.CANCELLED)
    assert setup.lifecycle.requests == {}


def test_a_request_that_is_withdrawn_unsent_allows_no_retry():
    setup = LifecycleFixture(retry_budget_ratio=1.0, retry_budget_window=10 * SECOND)
    setup.receive()
    assert setup.budget.allows_retry()
    setup.lifecycle.client_disconnected(ClientDisconnected(1))
    assert not setup.budget.allows_retry()


@pytest.mark.parametrize(
    ("class_settings", "state", "answer"),
    [
        (LOOKUP, "waiting", RejectRequest),
        (LOOKUP, "in flight", RejectRequest),
        (LOOKUP, "may have run", RejectRequest),
        (KEYED, "waiting", RejectRequest),
        (KEYED, "in flight", FailRequest),
        (KEYED, "may have run", RejectRequest),
        (ZONED, "may have run", FailRequest),
        (UNSAFE, "waiting", RejectRequest),
        (UNSAFE, "in flight", FailRequest),
        (UNSAFE, "may have run", FailRequest),
    ],
)
def test_a_request_is_rejected_only_where_its_client_may_send_it_again(class_settings, state, answer):
    setup = LifecycleFixture(class_settings)
    request = setup.receive()
    if state == "in flight":
        setup.send(request)
    elif state == "may have run":
        request.first_possible_execution = PossibleExecution(setup.context.now, setup.engine)
    setup.lifecycle.give_up(request, Reason.DEADLINE)
    assert setup.answers() == [(answer, Reason.DEADLINE)]


@pytest.mark.parametrize(("is_sent", "reason"), [(False, Reason.NO_CAPACITY), (True, Reason.DEADLINE)])
def test_a_request_ends_30_ms_before_its_deadline(is_sent, reason):
    """The 30 ms are DEADLINE_MARGIN."""
    setup = LifecycleFixture()
    request = setup.receive()
    if is_sent:
        setup.send(request)
    setup.context.now = request.deadline - 30_001
    setup.lifecycle.expire()
    assert setup.answers() == []
    setup.context.now += 1
    setup.lifecycle.expire()
    assert setup.answers() == [(RejectRequest, reason)]


def test_shutdown_answers_every_open_request_once():
    setup = LifecycleFixture()
    setup.receive(1)
    setup.send(setup.receive(2))
    setup.lifecycle.shutdown_started()
    setup.lifecycle.shutdown_started()
    assert setup.answers() == [(RejectRequest, Reason.SHUTTING_DOWN)] * 2


def test_a_request_waits_for_the_cooldown_of_its_key():
    setup = LifecycleFixture(ORDERED, ordering_key_cooldown=300_000)
    one, two = setup.receive(1, key=7), setup.receive(2, key=7)
    setup.end(setup.send(one), Outcome.RESET)
    assert not two.queued
    setup.context.now += 305_000 - 1
    setup.lifecycle.expire()
    assert not two.queued
    setup.context.now += 1
    setup.lifecycle.expire()
    assert two.queued


def test_an_answer_ends_the_request_and_updates_every_observer():
    setup = LifecycleFixture()
    request = setup.send(setup.receive())
    setup.end(request, Outcome.OK, final=True)
    assert setup.lifecycle.requests == {}
    assert setup.engine.in_flight == {}
    assert setup.observed.names == ["release"] + ["record_answer"] * 6


@pytest.mark.parametrize(
    ("outcome", "updates"),
    [
        (Outcome.ERROR, ["record_error"]),
        (Outcome.REJECTED, ["record_rejection"]),
        (Outcome.RESET, ["record_connection_failure"]),
        (Outcome.CONNECT_FAILED, ["record_connection_failure"]),
        (Outcome.TIMEOUT, []),
        (Outcome.CANCELLED, []),
        (Outcome.NOT_SENT, []),
    ],
)
def test_other_outcomes_update_their_observers_and_a_retry_is_queued(outcome, updates):
    setup = LifecycleFixture()
    request = setup.send(setup.receive())
    setup.end(request, outcome)
    assert setup.observed.names == ["release", *updates]
    assert request.queued
    assert request.avoided_engine is setup.engine
    assert request.engine is None


@pytest.mark.parametrize(
    ("outcome", "since"),
    [
        (Outcome.NOT_SENT, False),
        (Outcome.CONNECT_FAILED, False),
        (Outcome.REJECTED, False),
        (Outcome.RESET, True),
        (Outcome.TIMEOUT, True),
        (Outcome.CANCELLED, True),
        (Outcome.ERROR, True),
    ],
)
def test_the_first_attempt_that_may_have_been_executed_is_remembered(outcome, since):
    setup = LifecycleFixture(KEYED)
    request = setup.send(setup.receive())
    began = setup.context.now
    setup.end(request, outcome, after=1_000)
    assert request.first_possible_execution == (PossibleExecution(began, setup.engine) if since else None)
    setup.end(setup.send(request), Outcome.RESET, after=1_000)
    assert request.first_possible_execution.started_at == (began if since else began + 1_000)


def test_a_retry_with_a_key_waits_only_within_its_deduplication_window():
    setup = LifecycleFixture(KEYED)
    request = setup.send(setup.receive())
    setup.end(request, Outcome.RESET, after=1_000)
    setup.context.now += 1_400_000 - 1_000  # window of 2 s less the margin of 600 ms, since the send
    setup.lifecycle.expire()
    assert setup.answers() == [(RejectRequest, Reason.DEDUPLICATION_WINDOW_OVER)]


def test_a_request_that_may_not_be_repeated_fails():
    setup = LifecycleFixture(UNSAFE)
    setup.end(setup.send(setup.receive()), Outcome.RESET)
    assert setup.answers() == [(FailRequest, Reason.MAY_HAVE_EXECUTED)]
    assert setup.lifecycle.requests == {}


def test_ends_of_former_or_unknown_attempts_are_ignored():
    setup = LifecycleFixture()
    request = setup.send(setup.receive())
    for attempt, engine in ((1, 1), (0, 2), (0, 99)):
        setup.outcomes.attempt_ended(AttemptEnded(1, attempt, engine, Outcome.OK, True, 1_000))
    assert setup.engine.in_flight == {1: request}
    assert setup.observed.names == []


def test_the_end_of_a_load_decrements_the_loads_in_flight():
    setup = LifecycleFixture(replace(LOOKUP, is_load=True))
    request = setup.send(setup.receive())
    setup.engine.loads_in_flight[0] = 1
    setup.end(request, Outcome.OK, final=True)
    assert setup.engine.loads_in_flight == {0: 0}


def test_an_answer_of_a_blockable_class_clears_the_blocked_mark_of_its_group():
    setup = LifecycleFixture(replace(LOOKUP, blocked_by_loads=True))
    setup.engine.blocked_until = {0: setup.context.now + SECOND, 1: setup.context.now + SECOND}
    setup.end(setup.send(setup.receive()), Outcome.OK, final=True)
    assert setup.engine.blocked_until == {1: setup.context.now + SECOND}
