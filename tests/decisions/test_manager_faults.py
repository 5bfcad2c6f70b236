"""Reactions of a manager to faults of engines, to loads that block queries, and to overload."""

import dataclasses

from cypressledge.decisions.contract import (
    AttemptProgress,
    ClassSettings,
    EngineListKind,
    EngineListReceived,
    Outcome,
    ProgressKind,
    SetAttemptResources,
)
from tests.decisions.manager_driver import (
    LOOKUP,
    REPORT,
    SECOND,
    ManagerDriver,
    actions_of,
    cancellations,
    entry,
    final_answers,
    run_with_silent_engine,
    settings,
)

LONG_OBJECTIVE = dataclasses.replace(LOOKUP, latency_objective=4 * SECOND)


def test_a_silent_engine_is_ejected_and_readmitted_by_its_answer():
    driver = ManagerDriver(settings(LONG_OBJECTIVE))
    run_with_silent_engine(driver)
    engine = driver.manager.engines[1]
    assert engine.ejected
    for open_request in list(engine.in_flight.values()):
        driver.end(open_request.id)
    assert not engine.ejected


def test_an_ejected_engine_gets_one_trial_request_at_a_time():
    driver = ManagerDriver(settings(LONG_OBJECTIVE))
    run_with_silent_engine(driver)
    engine = driver.manager.engines[1]
    for open_request in list(engine.in_flight.values()):
        driver.end(open_request.id, Outcome.CANCELLED)
    engine.in_flight.clear()
    driver.sends.clear()
    for request in range(5000, 5040):
        driver.arrive(request)
        driver.run(20_000)
    assert len([s for s in driver.sends if s.engine == 1]) <= 1


def test_silence_of_all_engines_ejects_no_engine():
    driver = ManagerDriver(settings(LONG_OBJECTIVE))
    for request in range(60):
        driver.arrive(request)
        driver.run(40_000)
    assert not any(e.ejected for e in driver.manager.registry.ready)


def test_at_most_half_of_the_engines_are_ejected():
    driver = ManagerDriver(settings(LONG_OBJECTIVE), engines=8)
    for request in range(0, 1200, 8):
        for more in range(8):
            driver.arrive(request + more)
        for answering in (6, 7, 8):
            for open_request in list(driver.manager.engines[answering].in_flight.values()):
                if driver.now - open_request.sent_at >= 100_000:
                    driver.end(open_request.id)
        driver.run(20_000)
        assert sum(e.ejected for e in driver.manager.registry.ready) <= 4
    assert sum(e.ejected for e in driver.manager.registry.ready) == 4


def test_a_runaway_attempt_is_moved():
    driver = ManagerDriver(settings(LOOKUP, REPORT))
    driver.arrive(1, class_index=1, cost=2 * SECOND)
    assert not cancellations(
        driver.handle(
            AttemptProgress(1, 0, driver.engine_of(1), ProgressKind.PROGRESS, 0.6), after=2 * SECOND
        )
    )
    assert cancellations(
        driver.handle(AttemptProgress(1, 0, driver.engine_of(1), ProgressKind.PROGRESS, 0.1), after=0)
    )
    first = driver.engine_of(1)
    driver.end(1, Outcome.CANCELLED)
    assert driver.engine_of(1) != first


def test_a_runaway_that_is_not_idempotent_is_not_moved():
    driver = ManagerDriver(settings(dataclasses.replace(REPORT, is_load=True)))
    driver.arrive(1, cost=2 * SECOND)
    driver.manager.requests[1].class_settings = dataclasses.replace(REPORT, idempotency=2)
    assert not cancellations(
        driver.handle(
            AttemptProgress(1, 0, driver.engine_of(1), ProgressKind.PROGRESS, 0.01), after=3 * SECOND
        )
    )


def test_queries_avoid_an_engine_where_a_load_locks_their_group():
    load = ClassSettings(latency_objective=4 * SECOND, deadline=20 * SECOND, is_load=True)
    driver = ManagerDriver(settings(dataclasses.replace(LOOKUP, blocked_by_loads=True), load))
    driver.arrive(1, class_index=1, table_group=7)
    for request in range(2, 12):
        driver.arrive(request, table_group=7)
    assert all(s.engine != driver.engine_of(1) for s in driver.sends[1:])


def test_requests_that_will_miss_their_objective_are_rejected_early():
    driver = ManagerDriver(
        settings(dataclasses.replace(LOOKUP, latency_objective=SECOND, latency_objective_stretch=0)),
        engines=1,
    )
    driver.manager.registry.ready[0].slowdown, driver.manager.registry.ready[0].bound = 3.0, 1
    for request in (1, 2, 3):  # the bound admits two lookups
        driver.arrive(request)
    assert not final_answers(driver.run(SECOND // 2))
    assert [a.request for a in final_answers(driver.run(SECOND // 2))] == [3]


def test_a_restart_begins_a_slow_start():
    driver = ManagerDriver()
    driver.handle(EngineListReceived(EngineListKind.DELTA, (entry(1, started_at=driver.now),)))
    assert driver.manager.engines[1].warm_at == driver.now + 10 * SECOND


def test_an_engine_that_answers_errors_at_once_is_ejected():
    """Such an engine has the fewest queries in flight and would attract the most."""
    driver = ManagerDriver(engines=3)
    for request in range(200):
        driver.arrive(request)
        is_faulty = driver.engine_of(request) == 1
        driver.end(request, Outcome.ERROR if is_faulty else Outcome.OK, final=True)
    assert driver.manager.engines[1].ejected
    assert sum(s.engine == 1 for s in driver.sends) < 10
    driver.run(SECOND)
    for request in range(200, 203):
        driver.arrive(request)
        driver.end(request)
    assert not driver.manager.engines[1].ejected


def test_errors_at_all_engines_eject_no_engine():
    """Errors at all engines are attributed to the queries."""
    driver = ManagerDriver(engines=3)
    for request in range(200):
        driver.arrive(request)
        driver.end(request, Outcome.ERROR if request % 2 else Outcome.OK, final=True)
    assert not any(e.ejected for e in driver.manager.registry.ready)


def test_loads_and_queries_that_they_block_go_to_separate_engines():
    """Managers don't know each other's loads, so all send a group's loads to the same engines by rank."""
    load = ClassSettings(latency_objective=4 * SECOND, deadline=20 * SECOND, is_load=True)
    driver = ManagerDriver(settings(dataclasses.replace(LOOKUP, blocked_by_loads=True), load), engines=5)
    driver.arrive(1, class_index=1, table_group=9)
    driver.run(4 * SECOND)  # the load runs all the time
    load_engines = {e.id for e in driver.manager.affinity.load_engines(9)}
    assert 1 <= len(load_engines) <= 3
    driver.end(1)
    for request in range(2, 30):
        driver.arrive(request, class_index=request % 2, table_group=9)
        assert (driver.engine_of(request) in load_engines) == (request % 2 == 1)
        driver.end(request)


def test_an_answer_shows_that_no_load_locks_the_group_any_more():
    driver = ManagerDriver(settings(dataclasses.replace(LOOKUP, blocked_by_loads=True)), engines=1)
    driver.arrive(1, table_group=9)
    driver.handle(AttemptProgress(1, 0, 1, ProgressKind.WAITING, 2.0))
    assert 9 in driver.manager.engines[1].blocked_until
    driver.end(1)
    assert not driver.manager.engines[1].blocked_until


def test_late_requests_of_low_priority_weight_are_not_moved():
    """Moving them would use up the retry budget for requests of higher weight."""
    driver = ManagerDriver(
        settings(dataclasses.replace(LOOKUP, late_priority_weight=0.1, blocked_by_loads=True)), engines=2
    )
    driver.arrive(1, table_group=9)
    driver.arrive(2, table_group=9)
    driver.handle(AttemptProgress(1, driver.attempts[1], driver.engine_of(1), ProgressKind.WAITING, 2.0))
    driver.handle(
        AttemptProgress(2, driver.attempts[2], driver.engine_of(2), ProgressKind.WAITING, 2.0),
        after=2 * SECOND,
    )
    assert [a.request for a in cancellations(driver.actions)] == [1]


def test_a_notification_of_waiting_for_a_load_diverts_its_group():
    driver = ManagerDriver(settings(dataclasses.replace(LOOKUP, blocked_by_loads=True), REPORT))
    driver.arrive(1, table_group=7)
    blocked = driver.engine_of(1)
    assert cancellations(driver.handle(AttemptProgress(1, 0, blocked, ProgressKind.WAITING, 1.0))) == []
    assert cancellations(driver.handle(AttemptProgress(1, 0, blocked, ProgressKind.WAITING, 2.0)))
    for request in range(2, 9):
        driver.arrive(request, table_group=7)
        assert driver.engine_of(request) != blocked


def test_late_loads_keep_the_highest_priority():
    load = ClassSettings(latency_objective=SECOND, deadline=20 * SECOND, is_load=True)
    driver = ManagerDriver(settings(LOOKUP, load, supports_priorities=True))
    driver.arrive(1, class_index=1, table_group=7)
    driver.run(5 * SECOND)
    assert [a.priority for a in actions_of(SetAttemptResources, driver.actions)] == [3]


def test_priority_is_raised_close_to_the_objective_and_lowered_past_it():
    driver = ManagerDriver(settings(LOOKUP, REPORT, supports_priorities=True))
    driver.arrive(1)
    driver.arrive(2, class_index=1, cost=2 * SECOND)
    driver.run(5 * SECOND)
    assert [a.priority for a in actions_of(SetAttemptResources, driver.actions) if a.request == 2] == [
        1,
        2,
        0,
    ]


BLOCKED_BY_LOADS = dataclasses.replace(LOOKUP, blocked_by_loads=True)
LOAD = ClassSettings(
    latency_objective=20 * SECOND, deadline=60 * SECOND, is_load=True, threads=2, late_priority_weight=0.6
)


def test_loads_leave_some_engines_free_for_the_queries_of_their_group():
    """Loads on all engines would block every query of the group."""
    driver = ManagerDriver(settings(BLOCKED_BY_LOADS, LOAD), engines=5)
    for request in range(1, 60):
        driver.arrive(request, class_index=1, table_group=9)
    assert {s.engine for s in driver.sends} == {e.id for e in driver.manager.affinity.ranked(9)[1:]}
    driver.arrive(100, table_group=9)
    assert driver.engine_of(100) == driver.manager.affinity.ranked(9)[0].id


def test_loads_use_any_engine_if_no_other_is_usable():
    driver = ManagerDriver(settings(BLOCKED_BY_LOADS, LOAD), engines=3)
    free = driver.manager.affinity.ranked(9)[0]
    for engine in driver.manager.registry.ready:
        engine.ejected, engine.next_trial_at = engine is not free, driver.now + 100 * SECOND
    driver.arrive(1, class_index=1, table_group=9)
    assert driver.engine_of(1) == free.id


def test_queries_wait_for_an_engine_where_no_load_locks_their_group():
    """At other engines the queries would be blocked, and the retry budget would not suffice to move them."""
    driver = ManagerDriver(settings(BLOCKED_BY_LOADS, kind_cores=(1, 1)), engines=2)
    free, other = driver.manager.affinity.ranked(9)
    other.blocked_until[9] = driver.now + 10 * SECOND
    for request in range(1, 9):
        driver.arrive(request, table_group=9)
    assert {s.engine for s in driver.sends} == {free.id}
    assert len(driver.sends) < 8
    driver.arrive(10, table_group=8)  # queries of another group don't wait
    assert driver.engine_of(10) == other.id


def test_loads_wait_at_the_broker_shortest_first():
    driver = ManagerDriver(settings(BLOCKED_BY_LOADS, LOAD), engines=2)
    for request in range(1, 8):
        driver.arrive(request, class_index=1, table_group=9, cost=(20 - request) * SECOND)
    sent = len(driver.sends)
    assert sent < 7
    driver.end(1, work=19 * SECOND, latency=9 * SECOND)
    assert [s.request for s in driver.sends[sent:]] == [7]


def test_short_requests_have_an_allowance_while_long_ones_fill_the_bound():
    driver = ManagerDriver(settings(LOOKUP, REPORT), engines=1)
    for request in range(1, 30):
        driver.arrive(request, class_index=1, cost=2 * SECOND)
    assert len(driver.sends) == 10
    driver.arrive(100, cost=10_000)
    driver.arrive(101, cost=2 * SECOND)
    assert [s.request for s in driver.sends[10:]] == [100]


def test_a_rejecting_engine_gets_its_former_threads_and_single_probes():
    """Without this limit, its rejections would use up the retry budget."""
    driver = ManagerDriver(engines=2)
    sent = 0
    for request in range(1, 101):
        driver.arrive(request)
        while sent < len(driver.sends):  # this request, or one that waited
            attempt, sent = driver.sends[sent], sent + 1
            if attempt.engine == 1:
                driver.end(attempt.request, Outcome.REJECTED)
        driver.run(20_000)
    assert 2 <= sum(attempt.engine == 1 for attempt in driver.sends) <= 12  # in 2 s


def test_no_query_waits_for_a_rejecting_engine():
    driver = ManagerDriver(settings(BLOCKED_BY_LOADS), engines=2)
    free, other = driver.manager.affinity.ranked(9)
    other.blocked_until[9] = driver.now + 10 * SECOND
    free.rejected_until, free.next_capacity_probe_at = driver.now + 10 * SECOND, driver.now + 10 * SECOND
    driver.arrive(1, table_group=9)
    assert driver.engine_of(1) == other.id


def notify_progress(driver, until, *requests):
    """Send progress notifications of these requests every half second until the time `until`."""
    while driver.now < until:
        driver.run(SECOND // 2)
        driver.handle(
            *(
                AttemptProgress(r, driver.attempts[r], driver.engine_of(r), ProgressKind.PROGRESS, 0.5)
                for r in requests
            )
        )


def test_a_lost_response_is_found_by_missing_progress_notifications():
    """An active engine sends notifications of all its attempts; the one without any has lost its response."""
    patient = dataclasses.replace(REPORT, latency_objective=20 * SECOND)
    driver = ManagerDriver(settings(LOOKUP, patient, progress_interval=SECOND // 2), engines=1)
    for request in range(1, 4):
        driver.arrive(request, class_index=1, cost=4 * SECOND)
    driver.run(SECOND // 4)
    notify_progress(driver, driver.now + 2 * SECOND, 1, 2)
    assert [a.request for a in cancellations(driver.actions)] == [3]
    driver.end(3, Outcome.CANCELLED)
    assert [s.request for s in driver.sends] == [1, 2, 3, 3]


def test_responses_of_a_silent_engine_are_not_taken_for_lost():
    driver = ManagerDriver(
        settings(
            LOOKUP, dataclasses.replace(REPORT, latency_objective=20 * SECOND), progress_interval=SECOND // 2
        ),
        engines=1,
    )
    driver.arrive(1, class_index=1, cost=4 * SECOND)
    driver.run(5 * SECOND)
    assert not cancellations(driver.actions)


def test_short_requests_are_moved_early_while_responses_get_lost():
    driver = ManagerDriver(settings(LOOKUP, progress_interval=SECOND // 2), engines=2)
    driver.arrive(1)
    driver.run(SECOND // 2)
    assert not cancellations(driver.actions)  # the attempt may only be slow
    driver.end(1)
    driver.manager.lost_responses.loss_rate = 0.05
    driver.arrive(2)
    driver.run(SECOND // 2)
    assert [a.request for a in cancellations(driver.actions)] == [2]
