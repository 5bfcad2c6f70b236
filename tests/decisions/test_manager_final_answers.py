"""Every request gets exactly one final answer before its client's deadline."""

from hypothesis import given
from hypothesis import strategies as st

from cypressledge.decisions.contract import (
    AttemptEnded,
    ClientDisconnected,
    DeduplicationScope,
    EngineState,
    FailRequest,
    Outcome,
    RejectRequest,
    RequestReceived,
    StartAttempt,
)
from tests.decisions.manager_driver import (
    LOOKUP,
    NOT_IDEMPOTENT,
    ORDERED,
    SECOND,
    ManagerDriver,
    actions_of,
    entry,
    final_answers,
    settings,
    with_key,
)


def test_a_request_in_flight_is_answered_by_its_deadline():
    driver = ManagerDriver()
    driver.arrive(1, time_limit=1 * SECOND)
    assert not final_answers(driver.run(SECOND - 100_000))
    assert len(final_answers(driver.run(100_000))) == 1


def test_a_queued_request_is_rejected_before_its_deadline():
    driver = ManagerDriver(entries=[entry(1, EngineState.DRAINING)])
    driver.arrive(1, class_index=1, time_limit=2 * SECOND)
    answers = final_answers(driver.run(2 * SECOND))
    assert answers == [RejectRequest(1)]


def test_a_timeout_at_the_deadline_still_gets_an_answer():
    driver = ManagerDriver(settings(NOT_IDEMPOTENT))
    driver.arrive(1)
    assert final_answers(driver.end(1, Outcome.TIMEOUT)) == [FailRequest(1)]


def test_nothing_is_sent_after_the_client_disconnected():
    driver = ManagerDriver()
    driver.arrive(1)
    driver.handle(ClientDisconnected(1))
    assert not actions_of(StartAttempt, driver.end(1, Outcome.CANCELLED))
    assert not final_answers(driver.actions)
    assert not driver.manager.requests


def test_events_of_finished_requests_change_nothing():
    driver = ManagerDriver()
    driver.arrive(1)
    driver.end(1)
    assert driver.handle(ClientDisconnected(1), ClientDisconnected(99)) == []
    assert driver.handle(AttemptEnded(1, 0, 1, Outcome.OK, True, 5)) == []
    assert all(e.threads == 0 for e in driver.manager.engines.values())


@given(st.data())
def test_every_request_is_answered_once_under_random_outcomes(data):
    classes = (LOOKUP, NOT_IDEMPOTENT, ORDERED, with_key(DeduplicationScope.ZONE))
    driver = ManagerDriver(
        settings(*classes, ordering_key_cooldown=SECOND // 10),
        entries=[entry(i, zone=i % 2) for i in range(1, 5)],
        seed=data.draw(st.integers(0, 99)),
    )
    outcomes = [Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.RESET, Outcome.CONNECT_FAILED]
    answered = []
    for request in range(40):
        class_index = data.draw(st.integers(0, 3))
        driver.handle(
            RequestReceived(
                request, class_index, driver.now + 2 * SECOND, key=class_index and request % 3, cost=50_000
            )
        )
        for other in list(driver.manager.requests.values()):
            if other.engine and data.draw(st.booleans()):
                outcome = data.draw(st.sampled_from(outcomes))
                answered += [other.id] * (outcome is Outcome.OK and not other.finished)
                driver.end(other.id, outcome)
        driver.run(40_000)
    driver.run(3 * SECOND)
    answered += [a.request for a in final_answers(driver.actions)]
    assert sorted(answered) == list(range(40))
