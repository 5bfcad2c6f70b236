"""Troubles of engines, answered by the module alone."""

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

PATIENT = dataclasses.replace(LOOKUP, latency_objective=4 * SECOND)


def test_silent_engine_is_held_off_and_readmitted_by_its_answer():
    driver = ManagerDriver(settings(PATIENT))
    run_with_silent_engine(driver)
    engine = driver.manager.engines[1]
    assert engine.ejected
    for open_request in list(engine.in_flight.values()):
        driver.end(open_request.id)
    assert not engine.ejected


def test_held_off_engine_gets_one_try_at_a_time():
    driver = ManagerDriver(settings(PATIENT))
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


def test_silence_everywhere_ejects_nobody():
    driver = ManagerDriver(settings(PATIENT))
    for request in range(60):
        driver.arrive(request)
        driver.run(40_000)
    assert not any(e.ejected for e in driver.manager.registry.ready)


def test_never_more_than_half_the_fleet():
    driver = ManagerDriver(settings(PATIENT), engines=8)
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


def test_runaway_plan_is_moved():
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


def test_unsafe_runaway_is_left_alone():
    driver = ManagerDriver(settings(dataclasses.replace(REPORT, is_load=True)))
    driver.arrive(1, cost=2 * SECOND)
    driver.manager.requests[1].class_settings = dataclasses.replace(REPORT, idempotency=2)
    assert not cancellations(
        driver.handle(
            AttemptProgress(1, 0, driver.engine_of(1), ProgressKind.PROGRESS, 0.01), after=3 * SECOND
        )
    )


def test_lookups_keep_off_an_engine_where_a_load_holds_their_group():
    load = ClassSettings(latency_objective=4 * SECOND, deadline=20 * SECOND, is_load=True)
    driver = ManagerDriver(settings(dataclasses.replace(LOOKUP, blocked_by_loads=True), load))
    driver.arrive(1, class_index=1, table_group=7)
    for request in range(2, 12):
        driver.arrive(request, table_group=7)
    assert all(s.engine != driver.engine_of(1) for s in driver.sends[1:])


def test_hopeless_work_is_refused_early():
    driver = ManagerDriver(
        settings(dataclasses.replace(LOOKUP, latency_objective=SECOND, latency_objective_stretch=0)),
        engines=1,
    )
    driver.manager.registry.ready[0].slowdown, driver.manager.registry.ready[0].bound = 3.0, 1
    for request in (1, 2, 3):  # two lookups find places
        driver.arrive(request)
    assert not final_answers(driver.run(SECOND // 2))
    assert [a.request for a in final_answers(driver.run(SECOND // 2))] == [3]


def test_restart_makes_an_engine_cold_again():
    driver = ManagerDriver()
    driver.handle(EngineListReceived(EngineListKind.DELTA, (entry(1, started_at=driver.now),)))
    assert driver.manager.engines[1].warm_at == driver.now + 10 * SECOND


def test_engine_that_answers_errors_at_once_is_held_off():
    """It has the fewest queries out, so it would be given the most."""
    driver = ManagerDriver(engines=3)
    for request in range(200):
        driver.arrive(request)
        bad = driver.engine_of(request) == 1
        driver.end(request, Outcome.ERROR if bad else Outcome.OK, final=True)
    assert driver.manager.engines[1].ejected
    assert sum(s.engine == 1 for s in driver.sends) < 10
    driver.run(SECOND)
    for request in range(200, 203):
        driver.arrive(request)
        driver.end(request)
    assert not driver.manager.engines[1].ejected


def test_errors_everywhere_hold_nobody_off():
    """They are the queries' own."""
    driver = ManagerDriver(engines=3)
    for request in range(200):
        driver.arrive(request)
        driver.end(request, Outcome.ERROR if request % 2 else Outcome.OK, final=True)
    assert not any(e.ejected for e in driver.manager.registry.ready)


def test_loads_and_what_waits_for_them_keep_to_engines_of_their_own():
    """No manager knows the others' loads: all keep a group's loads to the same engines by rank."""
    load = ClassSettings(latency_objective=4 * SECOND, deadline=20 * SECOND, is_load=True)
    driver = ManagerDriver(settings(dataclasses.replace(LOOKUP, blocked_by_loads=True), load), engines=5)
    driver.arrive(1, class_index=1, table_group=9)
    driver.run(4 * SECOND)  # a load that runs all the time, as far as this manager sees
    apart = {e.id for e in driver.manager.affinity.load_engines(9)}
    assert 1 <= len(apart) <= 3
    driver.end(1)
    for request in range(2, 30):
        driver.arrive(request, class_index=request % 2, table_group=9)
        assert (driver.engine_of(request) in apart) == (request % 2 == 1)
        driver.end(request)


def test_answer_tells_that_no_load_holds_the_group_any_more():
    driver = ManagerDriver(settings(dataclasses.replace(LOOKUP, blocked_by_loads=True)), engines=1)
    driver.arrive(1, table_group=9)
    driver.handle(AttemptProgress(1, 0, 1, ProgressKind.WAITING, 2.0))
    assert 9 in driver.manager.engines[1].blocked_until
    driver.end(1)
    assert not driver.manager.engines[1].blocked_until


def test_late_work_of_little_worth_is_not_moved():
    """The ration buys more elsewhere."""
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


def test_note_of_waiting_for_a_load_keeps_its_group_off_for_a_while():
    driver = ManagerDriver(settings(dataclasses.replace(LOOKUP, blocked_by_loads=True), REPORT))
    driver.arrive(1, table_group=7)
    held = driver.engine_of(1)
    assert cancellations(driver.handle(AttemptProgress(1, 0, held, ProgressKind.WAITING, 1.0))) == []
    assert cancellations(driver.handle(AttemptProgress(1, 0, held, ProgressKind.WAITING, 2.0)))
    for request in range(2, 9):
        driver.arrive(request, table_group=7)
        assert driver.engine_of(request) != held


def test_loads_run_at_the_highest_priority_however_late():
    load = ClassSettings(latency_objective=SECOND, deadline=20 * SECOND, is_load=True)
    driver = ManagerDriver(settings(LOOKUP, load, supports_priorities=True))
    driver.arrive(1, class_index=1, table_group=7)
    driver.run(5 * SECOND)
    assert [a.priority for a in actions_of(SetAttemptResources, driver.actions)] == [3]


def test_work_near_its_aim_is_raised_and_late_work_lowered():
    driver = ManagerDriver(settings(LOOKUP, REPORT, supports_priorities=True))
    driver.arrive(1)
    driver.arrive(2, class_index=1, cost=2 * SECOND)
    driver.run(5 * SECOND)
    assert [a.priority for a in actions_of(SetAttemptResources, driver.actions) if a.request == 2] == [
        1,
        2,
        0,
    ]


WAITING = dataclasses.replace(LOOKUP, blocked_by_loads=True)
LOAD = ClassSettings(
    latency_objective=20 * SECOND, deadline=60 * SECOND, is_load=True, threads=2, late_priority_weight=0.6
)


def test_loads_leave_engines_to_the_queries_of_their_group():
    """However many come: on such engines queries of the group would stand still behind them."""
    driver = ManagerDriver(settings(WAITING, LOAD), engines=5)
    for request in range(1, 60):
        driver.arrive(request, class_index=1, table_group=9)
    assert {s.engine for s in driver.sends} == {e.id for e in driver.manager.affinity.ranked(9)[1:]}
    driver.arrive(100, table_group=9)
    assert driver.engine_of(100) == driver.manager.affinity.ranked(9)[0].id


def test_loads_go_anywhere_where_nothing_else_is_left():
    driver = ManagerDriver(settings(WAITING, LOAD), engines=3)
    free = driver.manager.affinity.ranked(9)[0]
    for engine in driver.manager.registry.ready:
        engine.ejected, engine.next_trial_at = engine is not free, driver.now + 100 * SECOND
    driver.arrive(1, class_index=1, table_group=9)
    assert driver.engine_of(1) == free.id


def test_queries_wait_for_an_engine_where_no_load_holds_their_group():
    """At the others they would stand still, and the ration could not move them all."""
    driver = ManagerDriver(settings(WAITING, kind_cores=(1, 1)), engines=2)
    free, other = driver.manager.affinity.ranked(9)
    other.blocked_until[9] = driver.now + 10 * SECOND
    for request in range(1, 9):
        driver.arrive(request, table_group=9)
    assert {s.engine for s in driver.sends} == {free.id}
    assert len(driver.sends) < 8
    driver.arrive(10, table_group=8)  # those of another group don't wait behind them
    assert driver.engine_of(10) == other.id


def test_loads_wait_shortest_first_at_the_broker_not_in_line_at_an_engine():
    driver = ManagerDriver(settings(WAITING, LOAD), engines=2)
    for request in range(1, 8):
        driver.arrive(request, class_index=1, table_group=9, cost=(20 - request) * SECOND)
    sent = len(driver.sends)
    assert sent < 7
    driver.end(1, work=19 * SECOND, latency=9 * SECOND)
    assert [s.request for s in driver.sends[sent:]] == [7]


def test_short_work_finds_a_place_beside_long_work_that_has_them_all():
    driver = ManagerDriver(settings(LOOKUP, REPORT), engines=1)
    for request in range(1, 30):
        driver.arrive(request, class_index=1, cost=2 * SECOND)
    assert len(driver.sends) == 10
    driver.arrive(100, cost=10_000)
    driver.arrive(101, cost=2 * SECOND)
    assert [s.request for s in driver.sends[10:]] == [100]


def test_full_engine_gets_what_it_had_and_single_tries_past_that():
    """Its refusals would use up the ration of attempts."""
    driver = ManagerDriver(engines=2)
    sent = 0
    for request in range(1, 101):
        driver.arrive(request)
        while sent < len(driver.sends):  # whoever is sent to engine 1, this request or one that waited
            attempt, sent = driver.sends[sent], sent + 1
            if attempt.engine == 1:
                driver.end(attempt.request, Outcome.REJECTED)
        driver.run(20_000)
    assert 2 <= sum(attempt.engine == 1 for attempt in driver.sends) <= 12  # in 2 s


def test_full_engine_keeps_no_queries_waiting_for_it():
    driver = ManagerDriver(settings(WAITING), engines=2)
    free, other = driver.manager.affinity.ranked(9)
    other.blocked_until[9] = driver.now + 10 * SECOND
    free.rejected_until, free.next_overflow_at = driver.now + 10 * SECOND, driver.now + 10 * SECOND
    driver.arrive(1, table_group=9)
    assert driver.engine_of(1) == other.id


def notes(driver, until, *told):
    """Notes of progress each half second, until then, of requests that run."""
    while driver.now < until:
        driver.run(SECOND // 2)
        driver.handle(
            *(
                AttemptProgress(r, driver.attempts[r], driver.engine_of(r), ProgressKind.PROGRESS, 0.5)
                for r in told
            )
        )


def test_answer_that_is_lost_is_missed_by_its_notes():
    """The engine speaks, and would tell of what it runs."""
    patient = dataclasses.replace(REPORT, latency_objective=20 * SECOND)
    driver = ManagerDriver(settings(LOOKUP, patient, progress_interval=SECOND // 2), engines=1)
    for request in range(1, 4):
        driver.arrive(request, class_index=1, cost=4 * SECOND)
    driver.run(SECOND // 4)
    notes(driver, driver.now + 2 * SECOND, 1, 2)
    assert [a.request for a in cancellations(driver.actions)] == [3]
    driver.end(3, Outcome.CANCELLED)
    assert [s.request for s in driver.sends] == [1, 2, 3, 3]


def test_silence_of_a_whole_engine_loses_no_answers():
    driver = ManagerDriver(
        settings(
            LOOKUP, dataclasses.replace(REPORT, latency_objective=20 * SECOND), progress_interval=SECOND // 2
        ),
        engines=1,
    )
    driver.arrive(1, class_index=1, cost=4 * SECOND)
    driver.run(5 * SECOND)
    assert not cancellations(driver.actions)


def test_short_work_is_moved_early_where_answers_get_lost():
    driver = ManagerDriver(settings(LOOKUP, progress_interval=SECOND // 2), engines=2)
    driver.arrive(1)
    driver.run(SECOND // 2)
    assert not cancellations(driver.actions)  # nothing tells yet that it is more than slow
    driver.end(1)
    driver.manager.lost_responses.loss_rate = 0.05
    driver.arrive(2)
    driver.run(SECOND // 2)
    assert [a.request for a in cancellations(driver.actions)] == [2]
