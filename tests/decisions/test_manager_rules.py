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
    Idempotency,
    Outcome,
    RejectRequest,
    RequestReceived,
    Settings,
    StartAttempt,
)
from tests.decisions.manager_driver import LOOKUP, ManagerDriver, S, cancels, entry, finals, of, settings

UNSAFE = ClassSettings(latency_objective=4 * S, deadline=20 * S, idempotency=Idempotency.NOT_IDEMPOTENT)
ORDERED = dataclasses.replace(UNSAFE, ordered=True)


def keyed(group):
    return ClassSettings(
        latency_objective=S,
        deadline=20 * S,
        idempotency=Idempotency.WITH_KEY,
        deduplication_scope=group,
        deduplication_window=5 * S,
    )


# 1: every request gets one final answer, before its client's time


def test_due_of_the_try_ends_a_running_request():
    f = ManagerDriver()
    f.arrive(1, span=1 * S)
    assert not finals(f.run(S - 100_000))
    assert len(finals(f.run(100_000))) == 1


def test_waiting_request_ends_before_its_due():
    f = ManagerDriver(entries=[entry(1, EngineState.DRAINING)])
    f.arrive(1, cls=1, span=2 * S)
    got = finals(f.run(2 * S))
    assert got == [RejectRequest(1)]


def test_timeout_at_the_deadline_still_gets_an_answer():
    f = ManagerDriver(settings(UNSAFE))
    f.arrive(1)
    assert finals(f.end(1, Outcome.TIMEOUT)) == [FailRequest(1)]


def test_nothing_is_sent_after_the_client_left():
    f = ManagerDriver()
    f.arrive(1)
    f.tell(ClientDisconnected(1))
    assert not of(StartAttempt, f.end(1, Outcome.CANCELLED))
    assert not finals(f.done)
    assert not f.manager.requests


def test_news_of_requests_already_over_changes_nothing():
    f = ManagerDriver()
    f.arrive(1)
    f.end(1)
    assert f.tell(ClientDisconnected(1), ClientDisconnected(99)) == []
    assert f.tell(AttemptEnded(1, 0, 1, Outcome.OK, True, 5)) == []
    assert all(e.threads == 0 for e in f.manager.engines.values())


# 2: no effect twice


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_unsafe_that_may_have_run_fails(outcome):
    f = ManagerDriver(settings(UNSAFE))
    f.arrive(1)
    got = f.end(1, outcome)
    assert finals(got) == [FailRequest(1)]
    assert not of(StartAttempt, got)


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED])
def test_unsafe_that_never_ran_is_sent_again(outcome):
    f = ManagerDriver(settings(UNSAFE))
    f.arrive(1)
    assert of(StartAttempt, f.end(1, outcome))


def test_unsafe_remembers_an_early_attempt_that_may_have_run():
    f = ManagerDriver(settings(UNSAFE))
    f.arrive(1)
    f.end(1, Outcome.REJECTED)
    assert finals(f.end(1, Outcome.RESET)) == [FailRequest(1)]


def test_unsafe_in_flight_is_failed_not_refused_when_due():
    f = ManagerDriver(settings(UNSAFE))
    f.arrive(1, span=S)
    got = f.run(S)
    assert finals(got) == [FailRequest(1)]
    assert not cancels(got)


def test_keyed_is_sent_again_only_inside_its_zone():
    for request in range(20):
        zones = [entry(i, zone=i % 2) for i in range(1, 7)]
        f = ManagerDriver(settings(keyed(DeduplicationScope.ZONE)), entries=zones, seed=request)
        f.arrive(request)
        first = f.engine_of(request)
        f.end(request, Outcome.RESET)
        again = f.sends[-1].engine
        assert len(f.sends) == 2
        assert again != first
        assert again % 2 == first % 2


def test_keyed_outside_its_window_fails():
    f = ManagerDriver(settings(keyed(DeduplicationScope.CELL)))
    f.arrive(1)
    got = f.end(1, Outcome.RESET, after=5 * S)
    assert finals(got) == [FailRequest(1)]
    assert not of(StartAttempt, got)


def test_keyed_is_not_sent_again_when_the_send_may_leave_outside_its_window():
    """A link lets a send wait 0.5 s for its connection before it leaves."""
    for window, again in ((S // 2, 0), (S, 1)):
        f = ManagerDriver(
            settings(dataclasses.replace(keyed(DeduplicationScope.ALL), deduplication_window=window))
        )
        f.arrive(1)
        got = f.end(1, Outcome.RESET, after=S // 10)
        assert len(of(StartAttempt, got)) == again


def test_keyed_does_not_wait_for_a_place_beyond_its_window():
    """A repeat that found no place was sent as soon as one came free, window or not."""
    f = ManagerDriver(
        settings(
            dataclasses.replace(
                keyed(DeduplicationScope.ALL), latency_objective=15 * S, deduplication_window=S
            )
        ),
        engines=1,
    )
    for request in range(30):
        f.arrive(request)
    first = f.sends[0].request
    assert not finals(f.end(first, Outcome.RESET, after=S // 10))  # the next in the queue takes its place
    assert RejectRequest(first) in f.run(S)
    for n in range(1, 30):  # places come free
        if n < len(f.sends):
            f.end(f.sends[n].request, after=S // 20)
    assert [s.request for s in f.sends].count(first) == 1
    assert len(f.sends) == 30


def test_never_two_attempts_out():
    """A cancelled attempt is out until its outcome comes."""
    f = ManagerDriver(settings(dataclasses.replace(LOOKUP, latency_objective=4 * S)))
    silence(f)
    moved = {a.request for a in cancels(f.done)}
    assert moved
    again = [s.request for s in f.sends if s.request in moved]
    assert len(again) == len(moved)
    for request in moved:
        f.end(request, Outcome.CANCELLED)
    assert len([s for s in f.sends if s.request in moved]) == 2 * len(moved)


def silence(f, silent=1, span=3 * S):
    """Traffic on all engines, of which one answers nothing."""
    request = 1000
    for _ in range(span // 20_000):
        for _ in range(2):
            f.arrive(request)
            request += 1
        for s in list(f.sends):
            open_ = f.manager.requests.get(s.request)
            if open_ and open_.engine and open_.engine.id != silent and f.now - open_.sent_at >= 100_000:
                f.end(s.request)
        f.run(20_000)


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
    f = ManagerDriver(engines=2)
    f.tell(news)
    for request in range(20):
        f.arrive(request)
    assert {s.engine for s in f.sends} == {2}


def test_failed_update_keeps_the_list():
    f = ManagerDriver(engines=2)
    f.tell(EngineListReceived(EngineListKind.FAILED))
    assert of(StartAttempt, f.arrive(1))


# 4: cold engines


def cold_work(peers, listed=True):
    f = ManagerDriver(settings(LOOKUP, broker_count=peers), entries=[entry(1, born=99 * S if listed else 0)])
    for request in range(400):
        f.arrive(request, cost=100_000)
        if f.sends and f.sends[-1].request == request:
            f.end(request)
    return len(f.sends) * 100_000


@pytest.mark.parametrize("peers", [1, 2, 4])
def test_cold_engine_gets_at_most_its_budget(peers):
    budget = 2.0 * 0.3 * 8 * 2 * S
    assert 0 < cold_work(peers) <= budget / peers


def test_refused_attempts_weigh_on_a_cold_engine():
    f = ManagerDriver(settings(LOOKUP, max_attempts=1000), entries=[entry(1, born=99 * S)])
    f.arrive(1, cost=1_000_000)
    for _ in range(200):
        if f.manager.requests[1].engine:
            f.end(1, Outcome.REJECTED)
    assert len(f.sends) * 1_000_000 <= 2.0 * 0.3 * 8 * 2 * S


def test_failed_connect_is_taken_as_a_restart():
    f = ManagerDriver(engines=2)
    f.arrive(1)
    first = f.engine_of(1)
    f.end(1, Outcome.CONNECT_FAILED)
    assert f.engine_of(1) != first
    assert f.manager.engines[first].ejected
    assert f.manager.engines[first].warm_at == f.now + 10 * S


def test_single_reset_beside_living_attempts_is_no_restart():
    f = ManagerDriver(engines=1)
    f.arrive(1)
    f.arrive(2)
    f.end(1, Outcome.RESET)
    assert not f.manager.engines[1].ejected
    f.end(2, Outcome.RESET)
    assert not f.manager.engines[1].ejected  # the resent first request lives on


def test_resets_without_a_refusal_never_make_an_engine_cold():
    """Paths reset connections too: an engine that answers again is the one that it was."""
    f = ManagerDriver(engines=1)
    for request in range(1, 3):
        f.arrive(request, span=30 * S)
        f.end(request, Outcome.RESET, final=True)
        assert f.manager.engines[1].ejected == (request == 2)
    f.arrive(3)
    f.run(2 * S)
    f.end(3)
    assert not f.manager.engines[1].ejected
    assert f.manager.engines[1].warm_at == 0


# 5: order by key


def test_one_key_runs_in_turn():
    f = ManagerDriver(settings(ORDERED))
    for request in (1, 2, 3):
        f.arrive(request, key=7)
    f.arrive(4, key=8)
    assert [s.request for s in f.sends] == [1, 4]
    f.end(1)
    f.end(2)
    assert [s.request for s in f.sends] == [1, 4, 2, 3]


def test_key_rests_after_a_reset():
    f = ManagerDriver(settings(ORDERED, ordering_key_cooldown=S // 2))
    f.arrive(1, key=7)
    f.arrive(2, key=7)
    assert finals(f.end(1, Outcome.RESET)) == [FailRequest(1)]
    f.arrive(3, key=7)
    assert [s.request for s in f.sends] == [1]
    f.run(S // 2 - 20_000)
    assert [s.request for s in f.sends] == [1]
    f.run(100_000)
    assert [s.request for s in f.sends] == [1, 2]


def test_key_is_held_by_an_attempt_without_outcome():
    f = ManagerDriver(settings(ORDERED))
    f.arrive(1, key=7, span=S)
    f.arrive(2, key=7)
    assert finals(f.run(S)) == [FailRequest(1)]
    assert [s.request for s in f.sends] == [1]
    f.end(1, Outcome.OK, final=True)
    assert [s.request for s in f.sends] == [1, 2]


def test_a_retry_keeps_its_turn():
    f = ManagerDriver(settings(ORDERED))
    f.arrive(1, key=7)
    f.arrive(2, key=7)
    f.end(1, Outcome.REJECTED)
    assert [s.request for s in f.sends] == [1, 1]


# 6: placement


def test_bound_class_waits_or_ends_but_goes_nowhere_else():
    bound = dataclasses.replace(LOOKUP, required_kinds=frozenset((1,)), required_zones=frozenset((0,)))
    f = ManagerDriver(settings(bound), entries=[entry(1), entry(2, kind=1), entry(3, kind=1, zone=1)])
    f.arrive(1)
    f.end(1, Outcome.RESET)
    f.end(1, Outcome.REJECTED)
    assert {s.engine for s in f.sends} <= {2}
    f.tell(EngineListReceived(EngineListKind.DELTA, (entry(2, EngineState.REMOVED, kind=1),)))
    assert not of(StartAttempt, f.arrive(2))
    assert len(finals(f.run(5 * S))) >= 1


# 7: budget of further attempts


def test_further_attempts_stay_inside_the_sliding_window():
    f = ManagerDriver(
        settings(
            LOOKUP,
            retry_budget_ratio=0.2,
            retry_budget_floor=2,
            retry_budget_window=10 * S,
            max_attempts=1000,
        )
    )
    taken, extra = [], []
    for request in range(60):
        f.arrive(request)
        taken.append(f.now)
        before = len(f.sends)
        while request in f.manager.requests and f.manager.requests[request].engine and before < 1000:
            f.end(request, Outcome.ERROR)
            if len(f.sends) == before:
                break
            extra += [f.now] * (len(f.sends) - before)
            before = len(f.sends)
        inside = [t for t in taken if t > f.now - 10 * S]
        assert len([t for t in extra if t > f.now - 10 * S]) <= 2 + 0.2 * len(inside)
        f.now += 100_000
    assert len(extra) >= 10


def test_requests_taken_back_unsent_feed_no_ration():
    """A client that takes back hundreds at once must not buy further attempts for the others."""
    f = ManagerDriver(
        settings(
            LOOKUP,
            retry_budget_ratio=0.1,
            retry_budget_floor=0,
            retry_budget_window=10 * S,
            max_attempts=1000,
        )
    )
    f.tell(
        *(RequestReceived(n, 0, f.now + S, cost=100_000) for n in range(100, 300)),
        *(ClientDisconnected(n) for n in range(100, 300)),
    )
    f.arrive(1)
    f.end(1, Outcome.ERROR)
    assert len(f.sends) == 1


# All together, with random outcomes


@given(st.data())
def test_random_days_keep_the_books(data):
    classes = (LOOKUP, UNSAFE, ORDERED, keyed(DeduplicationScope.ZONE))
    f = ManagerDriver(
        settings(*classes, ordering_key_cooldown=S // 10),
        entries=[entry(i, zone=i % 2) for i in range(1, 5)],
        seed=data.draw(st.integers(0, 99)),
    )
    outcomes = [Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.RESET, Outcome.CONNECT_FAILED]
    answered = []
    for request in range(40):
        cls = data.draw(st.integers(0, 3))
        f.tell(RequestReceived(request, cls, f.now + 2 * S, key=cls and request % 3, cost=50_000))
        for other in list(f.manager.requests.values()):
            if other.engine and data.draw(st.booleans()):
                outcome = data.draw(st.sampled_from(outcomes))
                answered += [other.id] * (outcome is Outcome.OK and not other.finished)
                f.end(other.id, outcome)
        f.run(40_000)
    f.run(3 * S)
    answered += [a.request for a in finals(f.done)]
    assert sorted(answered) == list(range(40))


def test_same_events_same_actions():
    one, two = ManagerDriver(seed=5), ManagerDriver(seed=5)
    for f in (one, two):
        for request in range(50):
            f.arrive(request, cls=request % 2)
    assert one.done == two.done


@pytest.mark.parametrize(("peers", "every"), [(2, 20_000), (40, 100_000), (250, 200_000)])
def test_cold_budget_holds_and_is_used_over_all_managers(peers, every):
    """Managers side by side: what they send a cold engine in all is near the budget, never over it."""
    windows, budget = 3, 2.0 * 0.3 * 8 * 2 * S
    sent = 0
    for slot in range(peers):
        f = ManagerDriver(
            settings(LOOKUP, broker_count=peers, broker_index=slot, kind_cores=(8,)),
            entries=[entry(1, born=99 * S)],
        )
        for request in range(windows * 2 * S // every):
            f.arrive(request, cost=100_000)
            for r in list(f.manager.engines[1].in_flight.values()):
                f.end(r.id)
            f.run(every)
        sent += len(f.sends) * 100_000
    assert 0.3 * budget * windows <= sent <= budget * windows


def test_share_of_a_bound_under_a_query_caps_the_sum_of_own_work():
    f = ManagerDriver(settings(LOOKUP, broker_count=250), engines=10)
    for request in range(60):
        f.arrive(request)
    assert len(f.sends) == 3  # ten engines of 16 threads by 250, 1.25 times, and two lookups of room


def test_a_manager_that_runs_long_does_not_grow():
    f = ManagerDriver(settings(ORDERED), entries=[entry(1)])
    for n in range(1, 200):
        f.arrive(n, key=n, table_group=n)
        f.end(n, Outcome.TIMEOUT)
        f.tell(
            EngineListReceived(
                EngineListKind.DELTA, (entry(n, EngineState.REMOVED), entry(n + 1, born=f.now))
            )
        )
        f.run(3 * S)
        assert f.attempts[n] == 0
    m = f.manager
    assert list(m.engines) == [200]
    assert not m.requests
    assert held(m) < 100  # groups whose counts still fade; all else is a handful


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
