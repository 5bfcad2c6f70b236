"""Ejection of outliers, and their trial requests."""

from dataclasses import replace

import pytest

from cypressledge.decisions.contract import Idempotency, Outcome
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.health import HealthMonitor
from cypressledge.decisions.slow_start import SlowStart
from tests.decisions.parts import LOOKUP, SECOND, context, registry, request, sent, texts


class Health:
    """The monitor over a few engines."""

    def __init__(self, engines=4):
        self.context = context(
            LOOKUP, replace(LOOKUP, idempotency=Idempotency.NOT_IDEMPOTENT), slow_start_window=10 * SECOND
        )
        self.registry = registry(self.context, *range(1, engines + 1))
        slow_start = SlowStart(self.context, ClassEstimates(self.context))
        self.monitor = HealthMonitor(self.context, self.registry, slow_start)
        self.engine = self.registry.engines[1]

    def others_answer(self):
        for engine in self.registry.ready[1:]:
            self.monitor.record_answer(engine)

    def ejected(self):
        return [engine.id for engine in self.registry.ready if engine.ejected]


def test_a_silent_engine_is_ejected_while_others_answer():
    f = Health()
    f.context.now += SECOND
    f.others_answer()
    f.monitor.record_silence(f.engine, 14.0)
    assert f.ejected() == []
    f.monitor.record_silence(f.engine, 14.1)
    assert f.ejected() == [1]
    assert texts(f.context) == ["engine 1 is silent while others answer: ejected"]


def test_silence_everywhere_ejects_no_engine():
    f = Health()
    f.context.now += SECOND
    f.monitor.record_silence(f.engine, 100.0)
    assert f.ejected() == []


def test_short_silence_ejects_no_engine():
    f = Health()
    f.monitor.record_answer(f.engine)
    f.context.now += 400_000
    f.others_answer()
    f.monitor.record_silence(f.engine, 100.0)
    assert f.ejected() == []
    f.context.now += 1
    f.monitor.record_silence(f.engine, 100.0)
    assert f.ejected() == [1]


def test_an_engine_alone_is_never_ejected():
    f = Health(engines=1)
    f.context.now += SECOND
    f.monitor.record_silence(f.engine, 100.0)
    for _ in range(100):
        f.monitor.record_error(f.engine)
    assert f.ejected() == []


def test_an_engine_that_answers_errors_where_others_do_not_is_ejected():
    f = Health()
    for _ in range(2):
        f.monitor.record_error(f.engine)
    assert f.ejected() == []  # 0.19 of its answers
    f.monitor.record_error(f.engine)
    assert f.ejected() == [1]  # 0.27


def test_errors_everywhere_are_the_queries_own():
    f = Health()
    for _ in range(100):
        for engine in f.registry.ready:
            f.monitor.record_error(engine)
    assert f.ejected() == []


@pytest.mark.parametrize(("before", "after"), [([2], [1, 2]), ([2, 3], [2, 3])])
def test_never_more_than_half_of_the_engines(before, after):
    f = Health(engines=5)
    f.context.now += SECOND
    f.others_answer()
    for number in before:
        f.registry.engines[number].ejected = True
    f.monitor.record_silence(f.engine, 100.0)
    assert f.ejected() == after


def test_a_refused_connection_ejects_and_begins_a_slow_start():
    f = Health()
    f.monitor.record_connection_failure(f.engine, Outcome.CONNECT_FAILED)
    assert f.ejected() == [1]
    assert f.engine.warm_at == f.context.now + 10 * SECOND
    assert texts(f.context) == ["engine 1 broke its connections: ejected until it answers"]


def test_resets_eject_once_nothing_is_in_flight_and_no_answer_came_between():
    f = Health()
    made = sent(f.context, request(f.context), f.engine)
    for _ in range(5):
        f.monitor.record_connection_failure(f.engine, Outcome.RESET)
    assert f.ejected() == []
    f.monitor.record_answer(f.engine)
    del f.engine.in_flight[made.id]
    f.monitor.record_connection_failure(f.engine, Outcome.RESET)
    assert f.ejected() == []
    f.monitor.record_connection_failure(f.engine, Outcome.RESET)
    assert f.ejected() == [1]
    assert f.engine.warm_at == 0


def test_a_failure_of_an_ejected_engine_puts_its_trial_off_and_is_not_logged_again():
    f = Health()
    f.monitor.record_connection_failure(f.engine, Outcome.CONNECT_FAILED)
    f.context.now += 500_000
    f.monitor.record_connection_failure(f.engine, Outcome.CONNECT_FAILED)
    assert f.engine.next_trial_at == f.context.now + SECOND
    assert len(texts(f.context)) == 1


def test_an_answer_readmits():
    f = Health()
    for _ in range(20):
        f.monitor.record_error(f.engine)
    assert f.ejected() == [1]
    f.monitor.record_answer(f.engine)
    assert f.ejected() == []
    assert f.engine.error_rate == 0.125  # a few errors eject it again
    assert texts(f.context)[-1] == "engine 1 answers again"


@pytest.mark.parametrize(("class_index", "allowed"), [(0, True), (1, False)])
def test_a_trial_request_is_one_at_a_time_and_may_be_repeated(class_index, allowed):
    f = Health()
    f.monitor.record_connection_failure(f.engine, Outcome.CONNECT_FAILED)
    made = request(f.context, class_index=class_index)
    assert not f.monitor.allows_trial(f.engine, made)
    f.context.now += SECOND
    assert f.monitor.allows_trial(f.engine, made) is allowed
    sent(f.context, request(f.context, 2), f.engine)
    assert not f.monitor.allows_trial(f.engine, made)


def test_a_trial_request_puts_the_next_off():
    f = Health()
    f.monitor.record_send(f.engine)
    assert f.engine.next_trial_at == 0
    f.engine.ejected = True
    f.monitor.record_send(f.engine)
    assert f.engine.next_trial_at == f.context.now + SECOND
