"""Ejection of outliers, and trial requests to ejected engines."""

from dataclasses import replace

import pytest

from cypressledge.decisions.contract import Idempotency, Outcome
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.health import HealthMonitor
from cypressledge.decisions.slow_start import SlowStart
from tests.decisions.parts import (
    LOOKUP,
    SECOND,
    log_texts,
    make_context,
    make_registry,
    make_request,
    start_attempt,
)


class HealthFixture:
    """A health monitor with its engines; engine 1 is the one under test."""

    def __init__(self, engines=4):
        self.context = make_context(
            LOOKUP, replace(LOOKUP, idempotency=Idempotency.NOT_IDEMPOTENT), slow_start_window=10 * SECOND
        )
        self.registry = make_registry(self.context, *range(1, engines + 1))
        slow_start = SlowStart(self.context, ClassEstimates(self.context))
        self.monitor = HealthMonitor(self.context, self.registry, slow_start)
        self.engine = self.registry.engines[1]

    def others_answer(self):
        for engine in self.registry.ready[1:]:
            self.monitor.record_answer(engine)

    def ejected(self):
        return [engine.id for engine in self.registry.ready if engine.ejected]


def test_a_silent_engine_is_ejected_while_others_answer():
    health = HealthFixture()
    health.context.now += SECOND
    health.others_answer()
    health.monitor.record_silence(health.engine, 14.0)
    assert health.ejected() == []
    health.monitor.record_silence(health.engine, 14.1)
    assert health.ejected() == [1]
    assert log_texts(health.context) == ["engine 1 is silent while others answer: ejected"]


def test_silence_of_all_engines_ejects_no_engine():
    health = HealthFixture()
    health.context.now += SECOND
    health.monitor.record_silence(health.engine, 100.0)
    assert health.ejected() == []


def test_short_silence_ejects_no_engine():
    health = HealthFixture()
    health.monitor.record_answer(health.engine)
    health.context.now += 400_000
    health.others_answer()
    health.monitor.record_silence(health.engine, 100.0)
    assert health.ejected() == []
    health.context.now += 1
    health.monitor.record_silence(health.engine, 100.0)
    assert health.ejected() == [1]


def test_the_only_engine_is_never_ejected():
    health = HealthFixture(engines=1)
    health.context.now += SECOND
    health.monitor.record_silence(health.engine, 100.0)
    for _ in range(100):
        health.monitor.record_error(health.engine)
    assert health.ejected() == []


def test_an_engine_that_answers_errors_where_others_do_not_is_ejected():
    health = HealthFixture()
    for _ in range(2):
        health.monitor.record_error(health.engine)
    assert health.ejected() == []  # an error rate of 0.19
    health.monitor.record_error(health.engine)
    assert health.ejected() == [1]  # an error rate of 0.27


def test_errors_at_all_engines_eject_no_engine():
    health = HealthFixture()
    for _ in range(100):
        for engine in health.registry.ready:
            health.monitor.record_error(engine)
    assert health.ejected() == []


@pytest.mark.parametrize(("before", "after"), [([2], [1, 2]), ([2, 3], [2, 3])])
def test_at_most_half_of_the_engines_are_ejected(before, after):
    health = HealthFixture(engines=5)
    health.context.now += SECOND
    health.others_answer()
    for number in before:
        health.registry.engines[number].ejected = True
    health.monitor.record_silence(health.engine, 100.0)
    assert health.ejected() == after


def test_a_refused_connection_ejects_and_begins_a_slow_start():
    health = HealthFixture()
    health.monitor.record_connection_failure(health.engine, Outcome.CONNECT_FAILED)
    assert health.ejected() == [1]
    assert health.engine.warm_at == health.context.now + 10 * SECOND
    assert log_texts(health.context) == ["engine 1 broke its connections: ejected until it answers"]


def test_consecutive_resets_eject_an_engine_without_attempts_in_flight():
    health = HealthFixture()
    request = start_attempt(health.context, make_request(health.context), health.engine)
    for _ in range(5):
        health.monitor.record_connection_failure(health.engine, Outcome.RESET)
    assert health.ejected() == []
    health.monitor.record_answer(health.engine)
    del health.engine.in_flight[request.id]
    health.monitor.record_connection_failure(health.engine, Outcome.RESET)
    assert health.ejected() == []
    health.monitor.record_connection_failure(health.engine, Outcome.RESET)
    assert health.ejected() == [1]
    assert health.engine.warm_at == 0


def test_a_failure_of_an_ejected_engine_postpones_its_trial_and_is_not_logged_again():
    health = HealthFixture()
    health.monitor.record_connection_failure(health.engine, Outcome.CONNECT_FAILED)
    health.context.now += 500_000
    health.monitor.record_connection_failure(health.engine, Outcome.CONNECT_FAILED)
    assert health.engine.next_trial_at == health.context.now + SECOND
    assert len(log_texts(health.context)) == 1


def test_an_answer_readmits_an_ejected_engine():
    health = HealthFixture()
    for _ in range(20):
        health.monitor.record_error(health.engine)
    assert health.ejected() == [1]
    health.monitor.record_answer(health.engine)
    assert health.ejected() == []
    assert health.engine.error_rate == 0.125  # a few errors eject it again
    assert log_texts(health.context)[-1] == "engine 1 answers again"


@pytest.mark.parametrize(("class_index", "allowed"), [(0, True), (1, False)])
def test_trial_requests_are_sent_one_at_a_time_and_must_be_repeatable(class_index, allowed):
    health = HealthFixture()
    health.monitor.record_connection_failure(health.engine, Outcome.CONNECT_FAILED)
    request = make_request(health.context, class_index=class_index)
    assert not health.monitor.allows_trial(health.engine, request)
    health.context.now += SECOND
    assert health.monitor.allows_trial(health.engine, request) is allowed
    start_attempt(health.context, make_request(health.context, 2), health.engine)
    assert not health.monitor.allows_trial(health.engine, request)


def test_a_trial_request_postpones_the_next():
    health = HealthFixture()
    health.monitor.record_send(health.engine)
    assert health.engine.next_trial_at == 0
    health.engine.ejected = True
    health.monitor.record_send(health.engine)
    assert health.engine.next_trial_at == health.context.now + SECOND
