"""The seven rules, by the module alone."""

import dataclasses
from collections import deque
from enum import Enum

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cypressledge.decisions.contract import (
    AttemptEnded,
    ClassSettings,
    ClientDisconnected,
    DeduplicationScope,
    EngineListKind,
    EngineListReceived,
    EngineState,
    FailRequest,
    Outcome,
    RejectRequest,
    RequestReceived,
    Settings,
    StartAttempt,
)
from tests.decisions.manager_driver import (
    LOOKUP,
    NOT_IDEMPOTENT,
    ORDERED,
    SECOND,
    ManagerDriver,
    actions_of,
    cancellations,
    entry,
    final_answers,
    run_with_silent_engine,
    settings,
    with_key,
)

# 1: every request gets one final answer, before its client's time


def test_due_of_the_try_ends_a_running_request():
    driver = ManagerDriver()
    driver.arrive(1, time_limit=1 * SECOND)
    assert not final_answers(driver.run(SECOND - 100_000))
    assert len(final_answers(driver.run(100_000))) == 1


def test_waiting_request_ends_before_its_due():
    driver = ManagerDriver(entries=[entry(1, EngineState.DRAINING)])
    driver.arrive(1, class_index=1, time_limit=2 * SECOND)
    got = final_answers(driver.run(2 * SECOND))
    assert got == [RejectRequest(1)]


def test_timeout_at_the_deadline_still_gets_an_answer():
    driver = ManagerDriver(settings(NOT_IDEMPOTENT))
    driver.arrive(1)
    assert final_answers(driver.end(1, Outcome.TIMEOUT)) == [FailRequest(1)]


def test_nothing_is_sent_after_the_client_left():
    driver = ManagerDriver()
    driver.arrive(1)
    driver.handle(ClientDisconnected(1))
    assert not actions_of(StartAttempt, driver.end(1, Outcome.CANCELLED))
    assert not final_answers(driver.actions)
    assert not driver.manager.requests


def test_news_of_requests_already_over_changes_nothing():
    driver = ManagerDriver()
    driver.arrive(1)
    driver.end(1)
    assert driver.handle(ClientDisconnected(1), ClientDisconnected(99)) == []
    assert driver.handle(AttemptEnded(1, 0, 1, Outcome.OK, True, 5)) == []
    assert all(e.threads == 0 for e in driver.manager.engines.values())


# 2: no effect twice


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_unsafe_that_may_have_run_fails(outcome):
    driver = ManagerDriver(settings(NOT_IDEMPOTENT))
    driver.arrive(1)
    got = driver.end(1, outcome)
    assert final_answers(got) == [FailRequest(1)]
    assert not actions_of(StartAttempt, got)


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED])
def test_unsafe_that_never_ran_is_sent_again(outcome):
    driver = ManagerDriver(settings(NOT_IDEMPOTENT))
    driver.arrive(1)
    assert actions_of(StartAttempt, driver.end(1, outcome))


def test_unsafe_remembers_an_early_attempt_that_may_have_run():
    driver = ManagerDriver(settings(NOT_IDEMPOTENT))
    driver.arrive(1)
    driver.end(1, Outcome.REJECTED)
    assert final_answers(driver.end(1, Outcome.RESET)) == [FailRequest(1)]


def test_unsafe_in_flight_is_failed_not_refused_when_due():
    driver = ManagerDriver(settings(NOT_IDEMPOTENT))
    driver.arrive(1, time_limit=SECOND)
    got = driver.run(SECOND)
    assert final_answers(got) == [FailRequest(1)]
    assert not cancellations(got)


def test_keyed_is_sent_again_only_inside_its_zone():
    for request in range(20):
        zones = [entry(i, zone=i % 2) for i in range(1, 7)]
        driver = ManagerDriver(settings(with_key(DeduplicationScope.ZONE)), entries=zones, seed=request)
        driver.arrive(request)
        first = driver.engine_of(request)
        driver.end(request, Outcome.RESET)
        again = driver.sends[-1].engine
        assert len(driver.sends) == 2
        assert again != first
        assert again % 2 == first % 2


def test_keyed_outside_its_window_fails():
    driver = ManagerDriver(settings(with_key(DeduplicationScope.CELL)))
    driver.arrive(1)
    got = driver.end(1, Outcome.RESET, after=5 * SECOND)
    assert final_answers(got) == [FailRequest(1)]
    assert not actions_of(StartAttempt, got)


def test_keyed_is_not_sent_again_when_the_send_may_leave_outside_its_window():
    """A link lets a send wait 0.5 s for its connection before it leaves."""
    for window, again in ((SECOND // 2, 0), (SECOND, 1)):
        driver = ManagerDriver(
            settings(dataclasses.replace(with_key(DeduplicationScope.ALL), deduplication_window=window))
        )
        driver.arrive(1)
        got = driver.end(1, Outcome.RESET, after=SECOND // 10)
        assert len(actions_of(StartAttempt, got)) == again


def test_keyed_does_not_wait_for_a_place_beyond_its_window():
    """A repeat that found no place was sent as soon as one came free, window or not."""
    driver = ManagerDriver(
        settings(
            dataclasses.replace(
                with_key(DeduplicationScope.ALL), latency_objective=15 * SECOND, deduplication_window=SECOND
            )
        ),
        engines=1,
    )
    for request in range(30):
        driver.arrive(request)
    first = driver.sends[0].request
    assert not final_answers(
        driver.end(first, Outcome.RESET, after=SECOND // 10)
    )  # the next in the queue takes its place
    assert RejectRequest(first) in driver.run(SECOND)
    for number in range(1, 30):  # places come free
        if number < len(driver.sends):
            driver.end(driver.sends[number].request, after=SECOND // 20)
    assert [s.request for s in driver.sends].count(first) == 1
    assert len(driver.sends) == 30


def test_never_two_attempts_out():
    """A cancelled attempt is out until its outcome comes."""
    driver = ManagerDriver(settings(dataclasses.replace(LOOKUP, latency_objective=4 * SECOND)))
    run_with_silent_engine(driver)
    moved = {a.request for a in cancellations(driver.actions)}
    assert moved
    again = [s.request for s in driver.sends if s.request in moved]
    assert len(again) == len(moved)
    for request in moved:
        driver.end(request, Outcome.CANCELLED)
    assert len([s for s in driver.sends if s.request in moved]) == 2 * len(moved)


# 3: drains


@pytest.mark.parametrize(
    "news",
    [
        EngineListReceived(EngineListKind.DELTA, (entry(1, EngineState.DRAINING),)),
        EngineListReceived(EngineListKind.DELTA, (entry(1, EngineState.REMOVED),)),
        EngineListReceived(EngineListKind.FULL, (entry(2),)),
    ],
)
def test_drained_and_missing_engines_get_nothing_at_once(news):
    driver = ManagerDriver(engines=2)
    driver.handle(news)
    for request in range(20):
        driver.arrive(request)
    assert {s.engine for s in driver.sends} == {2}


def test_failed_update_keeps_the_list():
    driver = ManagerDriver(engines=2)
    driver.handle(EngineListReceived(EngineListKind.FAILED))
    assert actions_of(StartAttempt, driver.arrive(1))


# 4: cold engines


def cold_work(peers, listed=True):
    driver = ManagerDriver(
        settings(LOOKUP, broker_count=peers), entries=[entry(1, started_at=99 * SECOND if listed else 0)]
    )
    for request in range(400):
        driver.arrive(request, cost=100_000)
        if driver.sends and driver.sends[-1].request == request:
            driver.end(request)
    return len(driver.sends) * 100_000


@pytest.mark.parametrize("peers", [1, 2, 4])
def test_cold_engine_gets_at_most_its_budget(peers):
    budget = 2.0 * 0.3 * 8 * 2 * SECOND
    assert 0 < cold_work(peers) <= budget / peers


def test_refused_attempts_weigh_on_a_cold_engine():
    driver = ManagerDriver(settings(LOOKUP, max_attempts=1000), entries=[entry(1, started_at=99 * SECOND)])
    driver.arrive(1, cost=1_000_000)
    for _ in range(200):
        if driver.manager.requests[1].engine:
            driver.end(1, Outcome.REJECTED)
    assert len(driver.sends) * 1_000_000 <= 2.0 * 0.3 * 8 * 2 * SECOND


def test_failed_connect_is_taken_as_a_restart():
    driver = ManagerDriver(engines=2)
    driver.arrive(1)
    first = driver.engine_of(1)
    driver.end(1, Outcome.CONNECT_FAILED)
    assert driver.engine_of(1) != first
    assert driver.manager.engines[first].ejected
    assert driver.manager.engines[first].warm_at == driver.now + 10 * SECOND


def test_single_reset_beside_living_attempts_is_no_restart():
    driver = ManagerDriver(engines=1)
    driver.arrive(1)
    driver.arrive(2)
    driver.end(1, Outcome.RESET)
    assert not driver.manager.engines[1].ejected
    driver.end(2, Outcome.RESET)
    assert not driver.manager.engines[1].ejected  # the resent first request lives on


def test_resets_without_a_refusal_never_make_an_engine_cold():
    """Paths reset connections too: an engine that answers again is the one that it was."""
    driver = ManagerDriver(engines=1)
    for request in range(1, 3):
        driver.arrive(request, time_limit=30 * SECOND)
        driver.end(request, Outcome.RESET, final=True)
        assert driver.manager.engines[1].ejected == (request == 2)
    driver.arrive(3)
    driver.run(2 * SECOND)
    driver.end(3)
    assert not driver.manager.engines[1].ejected
    assert driver.manager.engines[1].warm_at == 0


# 5: order by key


def test_one_key_runs_in_turn():
    driver = ManagerDriver(settings(ORDERED))
    for request in (1, 2, 3):
        driver.arrive(request, key=7)
    driver.arrive(4, key=8)
    assert [s.request for s in driver.sends] == [1, 4]
    driver.end(1)
    driver.end(2)
    assert [s.request for s in driver.sends] == [1, 4, 2, 3]


def test_key_rests_after_a_reset():
    driver = ManagerDriver(settings(ORDERED, ordering_key_cooldown=SECOND // 2))
    driver.arrive(1, key=7)
    driver.arrive(2, key=7)
    assert final_answers(driver.end(1, Outcome.RESET)) == [FailRequest(1)]
    driver.arrive(3, key=7)
    assert [s.request for s in driver.sends] == [1]
    driver.run(SECOND // 2 - 20_000)
    assert [s.request for s in driver.sends] == [1]
    driver.run(100_000)
    assert [s.request for s in driver.sends] == [1, 2]


def test_key_is_held_by_an_attempt_without_outcome():
    driver = ManagerDriver(settings(ORDERED))
    driver.arrive(1, key=7, time_limit=SECOND)
    driver.arrive(2, key=7)
    assert final_answers(driver.run(SECOND)) == [FailRequest(1)]
    assert [s.request for s in driver.sends] == [1]
    driver.end(1, Outcome.OK, final=True)
    assert [s.request for s in driver.sends] == [1, 2]


def test_a_retry_keeps_its_turn():
    driver = ManagerDriver(settings(ORDERED))
    driver.arrive(1, key=7)
    driver.arrive(2, key=7)
    driver.end(1, Outcome.REJECTED)
    assert [s.request for s in driver.sends] == [1, 1]


# 6: placement


def test_bound_class_waits_or_ends_but_goes_nowhere_else():
    bound = dataclasses.replace(LOOKUP, required_kinds=frozenset((1,)), required_zones=frozenset((0,)))
    driver = ManagerDriver(settings(bound), entries=[entry(1), entry(2, kind=1), entry(3, kind=1, zone=1)])
    driver.arrive(1)
    driver.end(1, Outcome.RESET)
    driver.end(1, Outcome.REJECTED)
    assert {s.engine for s in driver.sends} <= {2}
    driver.handle(EngineListReceived(EngineListKind.DELTA, (entry(2, EngineState.REMOVED, kind=1),)))
    assert not actions_of(StartAttempt, driver.arrive(2))
    assert len(final_answers(driver.run(5 * SECOND))) >= 1


# 7: budget of further attempts


def test_further_attempts_stay_inside_the_sliding_window():
    driver = ManagerDriver(
        settings(
            LOOKUP,
            retry_budget_ratio=0.2,
            retry_budget_floor=2,
            retry_budget_window=10 * SECOND,
            max_attempts=1000,
        )
    )
    taken, extra = [], []
    for request in range(60):
        driver.arrive(request)
        taken.append(driver.now)
        before = len(driver.sends)
        while (
            request in driver.manager.requests and driver.manager.requests[request].engine and before < 1000
        ):
            driver.end(request, Outcome.ERROR)
            if len(driver.sends) == before:
                break
            extra += [driver.now] * (len(driver.sends) - before)
            before = len(driver.sends)
        inside = [t for t in taken if t > driver.now - 10 * SECOND]
        assert len([t for t in extra if t > driver.now - 10 * SECOND]) <= 2 + 0.2 * len(inside)
        driver.now += 100_000
    assert len(extra) >= 10


def test_requests_taken_back_unsent_feed_no_ration():
    """A client that takes back hundreds at once must not buy further attempts for the others."""
    driver = ManagerDriver(
        settings(
            LOOKUP,
            retry_budget_ratio=0.1,
            retry_budget_floor=0,
            retry_budget_window=10 * SECOND,
            max_attempts=1000,
        )
    )
    driver.handle(
        *(RequestReceived(n, 0, driver.now + SECOND, cost=100_000) for n in range(100, 300)),
        *(ClientDisconnected(n) for n in range(100, 300)),
    )
    driver.arrive(1)
    driver.end(1, Outcome.ERROR)
    assert len(driver.sends) == 1


# All together, with random outcomes


@given(st.data())
def test_random_days_keep_the_books(data):
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


def test_same_events_same_actions():
    one, two = ManagerDriver(seed=5), ManagerDriver(seed=5)
    for driver in (one, two):
        for request in range(50):
            driver.arrive(request, class_index=request % 2)
    assert one.actions == two.actions


@pytest.mark.parametrize(("peers", "every"), [(2, 20_000), (40, 100_000), (250, 200_000)])
def test_cold_budget_holds_and_is_used_over_all_managers(peers, every):
    """Managers side by side: what they send a cold engine in all is near the budget, never over it."""
    windows, budget = 3, 2.0 * 0.3 * 8 * 2 * SECOND
    sent = 0
    for slot in range(peers):
        driver = ManagerDriver(
            settings(LOOKUP, broker_count=peers, broker_index=slot, kind_cores=(8,)),
            entries=[entry(1, started_at=99 * SECOND)],
        )
        for request in range(windows * 2 * SECOND // every):
            driver.arrive(request, cost=100_000)
            for open_request in list(driver.manager.engines[1].in_flight.values()):
                driver.end(open_request.id)
            driver.run(every)
        sent += len(driver.sends) * 100_000
    assert 0.3 * budget * windows <= sent <= budget * windows


def test_share_of_a_bound_under_a_query_caps_the_sum_of_own_work():
    driver = ManagerDriver(settings(LOOKUP, broker_count=250), engines=10)
    for request in range(60):
        driver.arrive(request)
    assert len(driver.sends) == 3  # ten engines of 16 threads by 250, 1.25 times, and two lookups of room


def test_a_manager_that_runs_long_does_not_grow():
    driver = ManagerDriver(settings(ORDERED), entries=[entry(1)])
    for number in range(1, 200):
        driver.arrive(number, key=number, table_group=number)
        driver.end(number, Outcome.TIMEOUT)
        driver.handle(
            EngineListReceived(
                EngineListKind.DELTA,
                (entry(number, EngineState.REMOVED), entry(number + 1, started_at=driver.now)),
            )
        )
        driver.run(3 * SECOND)
        assert driver.attempts[number] == 0
    manager = driver.manager
    assert list(manager.engines) == [200]
    assert not manager.requests
    assert held(manager) < 100  # groups whose counts still fade; all else is a handful


def held(owner, seen=None):
    """Entries in all containers of the decisions' modules, however deep; settings and tables left out."""
    seen = set() if seen is None else seen
    if id(owner) in seen:
        return 0
    seen.add(id(owner))
    if isinstance(owner, dict):
        return len(owner) + sum(held(value, seen) for value in owner.values())
    if isinstance(owner, list | deque | set | tuple):
        return len(owner) + sum(held(value, seen) for value in owner)
    is_state = type(owner).__module__.startswith("cypressledge.decisions")
    if is_state and not isinstance(owner, Settings | ClassSettings | Enum):
        names = getattr(type(owner), "__slots__", None) or vars(owner)
        return sum(held(getattr(owner, name), seen) for name in names)
    return 0
