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
    ManagerDriver,
    S,
    cancels,
    entry,
    finals,
    of,
    settings,
)
from tests.decisions.test_manager_rules import silence

PATIENT = dataclasses.replace(LOOKUP, latency_objective=4 * S)


def test_silent_engine_is_held_off_and_readmitted_by_its_answer():
    f = ManagerDriver(settings(PATIENT))
    silence(f)
    e = f.manager.engines[1]
    assert e.ejected
    for r in list(e.in_flight.values()):
        f.end(r.id)
    assert not e.ejected


def test_held_off_engine_gets_one_try_at_a_time():
    f = ManagerDriver(settings(PATIENT))
    silence(f)
    e = f.manager.engines[1]
    for r in list(e.in_flight.values()):
        f.end(r.id, Outcome.CANCELLED)
    e.in_flight.clear()
    f.sends.clear()
    for request in range(5000, 5040):
        f.arrive(request)
        f.run(20_000)
    assert len([s for s in f.sends if s.engine == 1]) <= 1


def test_silence_everywhere_ejects_nobody():
    f = ManagerDriver(settings(PATIENT))
    for request in range(60):
        f.arrive(request)
        f.run(40_000)
    assert not any(e.ejected for e in f.manager.registry.ready)


def test_never_more_than_half_the_fleet():
    f = ManagerDriver(settings(PATIENT), engines=8)
    for request in range(0, 1200, 8):
        for more in range(8):
            f.arrive(request + more)
        for answering in (6, 7, 8):
            for r in list(f.manager.engines[answering].in_flight.values()):
                if f.now - r.sent_at >= 100_000:
                    f.end(r.id)
        f.run(20_000)
        assert sum(e.ejected for e in f.manager.registry.ready) <= 4
    assert sum(e.ejected for e in f.manager.registry.ready) == 4


def test_runaway_plan_is_moved():
    f = ManagerDriver(settings(LOOKUP, REPORT))
    f.arrive(1, cls=1, cost=2 * S)
    assert not cancels(f.tell(AttemptProgress(1, 0, f.engine_of(1), ProgressKind.PROGRESS, 0.6), after=2 * S))
    assert cancels(f.tell(AttemptProgress(1, 0, f.engine_of(1), ProgressKind.PROGRESS, 0.1), after=0))
    first = f.engine_of(1)
    f.end(1, Outcome.CANCELLED)
    assert f.engine_of(1) != first


def test_unsafe_runaway_is_left_alone():
    f = ManagerDriver(settings(dataclasses.replace(REPORT, is_load=True)))
    f.arrive(1, cost=2 * S)
    f.manager.requests[1].class_settings = dataclasses.replace(REPORT, idempotency=2)
    assert not cancels(
        f.tell(AttemptProgress(1, 0, f.engine_of(1), ProgressKind.PROGRESS, 0.01), after=3 * S)
    )


def test_lookups_keep_off_an_engine_where_a_load_holds_their_group():
    load = ClassSettings(latency_objective=4 * S, deadline=20 * S, is_load=True)
    f = ManagerDriver(settings(dataclasses.replace(LOOKUP, blocked_by_loads=True), load))
    f.arrive(1, cls=1, table_group=7)
    for request in range(2, 12):
        f.arrive(request, table_group=7)
    assert all(s.engine != f.engine_of(1) for s in f.sends[1:])


def test_hopeless_work_is_refused_early():
    f = ManagerDriver(
        settings(dataclasses.replace(LOOKUP, latency_objective=S, latency_objective_stretch=0)), engines=1
    )
    f.manager.registry.ready[0].slowdown, f.manager.registry.ready[0].bound = 3.0, 1
    for request in (1, 2, 3):  # two lookups find places
        f.arrive(request)
    assert not finals(f.run(S // 2))
    assert [a.request for a in finals(f.run(S // 2))] == [3]


def test_restart_makes_an_engine_cold_again():
    f = ManagerDriver()
    f.tell(EngineListReceived(EngineListKind.DELTA, (entry(1, born=f.now),)))
    assert f.manager.engines[1].warm_at == f.now + 10 * S


def test_engine_that_answers_errors_at_once_is_held_off():
    """It has the fewest queries out, so it would be given the most."""
    f = ManagerDriver(engines=3)
    for request in range(200):
        f.arrive(request)
        bad = f.engine_of(request) == 1
        f.end(request, Outcome.ERROR if bad else Outcome.OK, final=True)
    assert f.manager.engines[1].ejected
    assert sum(s.engine == 1 for s in f.sends) < 10
    f.run(S)
    for request in range(200, 203):
        f.arrive(request)
        f.end(request)
    assert not f.manager.engines[1].ejected


def test_errors_everywhere_hold_nobody_off():
    """They are the queries' own."""
    f = ManagerDriver(engines=3)
    for request in range(200):
        f.arrive(request)
        f.end(request, Outcome.ERROR if request % 2 else Outcome.OK, final=True)
    assert not any(e.ejected for e in f.manager.registry.ready)


def test_loads_and_what_waits_for_them_keep_to_engines_of_their_own():
    """No manager knows the others' loads: all keep a group's loads to the same engines by rank."""
    load = ClassSettings(latency_objective=4 * S, deadline=20 * S, is_load=True)
    f = ManagerDriver(settings(dataclasses.replace(LOOKUP, blocked_by_loads=True), load), engines=5)
    f.arrive(1, cls=1, table_group=9)
    f.run(4 * S)  # a load that runs all the time, as far as this manager sees
    apart = {e.id for e in f.manager.affinity.load_engines(9)}
    assert 1 <= len(apart) <= 3
    f.end(1)
    for request in range(2, 30):
        f.arrive(request, cls=request % 2, table_group=9)
        assert (f.engine_of(request) in apart) == (request % 2 == 1)
        f.end(request)


def test_answer_tells_that_no_load_holds_the_group_any_more():
    f = ManagerDriver(settings(dataclasses.replace(LOOKUP, blocked_by_loads=True)), engines=1)
    f.arrive(1, table_group=9)
    f.tell(AttemptProgress(1, 0, 1, ProgressKind.WAITING, 2.0))
    assert 9 in f.manager.engines[1].blocked_until
    f.end(1)
    assert not f.manager.engines[1].blocked_until


def test_late_work_of_little_worth_is_not_moved():
    """The ration buys more elsewhere."""
    f = ManagerDriver(
        settings(dataclasses.replace(LOOKUP, late_priority_weight=0.1, blocked_by_loads=True)), engines=2
    )
    f.arrive(1, table_group=9)
    f.arrive(2, table_group=9)
    f.tell(AttemptProgress(1, f.attempts[1], f.engine_of(1), ProgressKind.WAITING, 2.0))
    f.tell(AttemptProgress(2, f.attempts[2], f.engine_of(2), ProgressKind.WAITING, 2.0), after=2 * S)
    assert [a.request for a in cancels(f.done)] == [1]


def test_note_of_waiting_for_a_load_keeps_its_group_off_for_a_while():
    f = ManagerDriver(settings(dataclasses.replace(LOOKUP, blocked_by_loads=True), REPORT))
    f.arrive(1, table_group=7)
    held = f.engine_of(1)
    assert cancels(f.tell(AttemptProgress(1, 0, held, ProgressKind.WAITING, 1.0))) == []
    assert cancels(f.tell(AttemptProgress(1, 0, held, ProgressKind.WAITING, 2.0)))
    for request in range(2, 9):
        f.arrive(request, table_group=7)
        assert f.engine_of(request) != held


def test_loads_run_at_the_highest_priority_however_late():
    load = ClassSettings(latency_objective=S, deadline=20 * S, is_load=True)
    f = ManagerDriver(settings(LOOKUP, load, supports_priorities=True))
    f.arrive(1, cls=1, table_group=7)
    f.run(5 * S)
    assert [a.priority for a in of(SetAttemptResources, f.done)] == [3]


def test_work_near_its_aim_is_raised_and_late_work_lowered():
    f = ManagerDriver(settings(LOOKUP, REPORT, supports_priorities=True))
    f.arrive(1)
    f.arrive(2, cls=1, cost=2 * S)
    f.run(5 * S)
    assert [a.priority for a in of(SetAttemptResources, f.done) if a.request == 2] == [1, 2, 0]


WAITING = dataclasses.replace(LOOKUP, blocked_by_loads=True)
LOAD = ClassSettings(
    latency_objective=20 * S, deadline=60 * S, is_load=True, threads=2, late_priority_weight=0.6
)


def test_loads_leave_engines_to_the_queries_of_their_group():
    """However many come: on such engines queries of the group would stand still behind them."""
    f = ManagerDriver(settings(WAITING, LOAD), engines=5)
    for request in range(1, 60):
        f.arrive(request, cls=1, table_group=9)
    assert {s.engine for s in f.sends} == {e.id for e in f.manager.affinity.ranked(9)[1:]}
    f.arrive(100, table_group=9)
    assert f.engine_of(100) == f.manager.affinity.ranked(9)[0].id


def test_loads_go_anywhere_where_nothing_else_is_left():
    f = ManagerDriver(settings(WAITING, LOAD), engines=3)
    free = f.manager.affinity.ranked(9)[0]
    for e in f.manager.registry.ready:
        e.ejected, e.next_trial_at = e is not free, f.now + 100 * S
    f.arrive(1, cls=1, table_group=9)
    assert f.engine_of(1) == free.id


def test_queries_wait_for_an_engine_where_no_load_holds_their_group():
    """At the others they would stand still, and the ration could not move them all."""
    f = ManagerDriver(settings(WAITING, kind_cores=(1, 1)), engines=2)
    free, other = f.manager.affinity.ranked(9)
    other.blocked_until[9] = f.now + 10 * S
    for request in range(1, 9):
        f.arrive(request, table_group=9)
    assert {s.engine for s in f.sends} == {free.id}
    assert len(f.sends) < 8
    f.arrive(10, table_group=8)  # those of another group don't wait behind them
    assert f.engine_of(10) == other.id


def test_loads_wait_shortest_first_at_the_broker_not_in_line_at_an_engine():
    f = ManagerDriver(settings(WAITING, LOAD), engines=2)
    for request in range(1, 8):
        f.arrive(request, cls=1, table_group=9, cost=(20 - request) * S)
    sent = len(f.sends)
    assert sent < 7
    f.end(1, work=19 * S, latency=9 * S)
    assert [s.request for s in f.sends[sent:]] == [7]


def test_short_work_finds_a_place_beside_long_work_that_has_them_all():
    f = ManagerDriver(settings(LOOKUP, REPORT), engines=1)
    for request in range(1, 30):
        f.arrive(request, cls=1, cost=2 * S)
    assert len(f.sends) == 10
    f.arrive(100, cost=10_000)
    f.arrive(101, cost=2 * S)
    assert [s.request for s in f.sends[10:]] == [100]


def test_full_engine_gets_what_it_had_and_single_tries_past_that():
    """Its refusals would use up the ration of attempts."""
    f = ManagerDriver(engines=2)
    sent = 0
    for request in range(1, 101):
        f.arrive(request)
        while sent < len(f.sends):  # whoever is sent to engine 1, this request or one that waited
            a, sent = f.sends[sent], sent + 1
            if a.engine == 1:
                f.end(a.request, Outcome.REJECTED)
        f.run(20_000)
    assert 2 <= sum(a.engine == 1 for a in f.sends) <= 12  # in 2 s


def test_full_engine_keeps_no_queries_waiting_for_it():
    f = ManagerDriver(settings(WAITING), engines=2)
    free, other = f.manager.affinity.ranked(9)
    other.blocked_until[9] = f.now + 10 * S
    free.rejected_until, free.next_overflow_at = f.now + 10 * S, f.now + 10 * S
    f.arrive(1, table_group=9)
    assert f.engine_of(1) == other.id


def notes(f, until, *told):
    """Notes of progress each half second, until then, of requests that run."""
    while f.now < until:
        f.run(S // 2)
        f.tell(*(AttemptProgress(r, f.attempts[r], f.engine_of(r), ProgressKind.PROGRESS, 0.5) for r in told))


def test_answer_that_is_lost_is_missed_by_its_notes():
    """The engine speaks, and would tell of what it runs."""
    patient = dataclasses.replace(REPORT, latency_objective=20 * S)
    f = ManagerDriver(settings(LOOKUP, patient, progress_interval=S // 2), engines=1)
    for request in range(1, 4):
        f.arrive(request, cls=1, cost=4 * S)
    f.run(S // 4)
    notes(f, f.now + 2 * S, 1, 2)
    assert [a.request for a in cancels(f.done)] == [3]
    f.end(3, Outcome.CANCELLED)
    assert [s.request for s in f.sends] == [1, 2, 3, 3]


def test_silence_of_a_whole_engine_loses_no_answers():
    f = ManagerDriver(
        settings(LOOKUP, dataclasses.replace(REPORT, latency_objective=20 * S), progress_interval=S // 2),
        engines=1,
    )
    f.arrive(1, cls=1, cost=4 * S)
    f.run(5 * S)
    assert not cancels(f.done)


def test_short_work_is_moved_early_where_answers_get_lost():
    f = ManagerDriver(settings(LOOKUP, progress_interval=S // 2), engines=2)
    f.arrive(1)
    f.run(S // 2)
    assert not cancels(f.done)  # nothing tells yet that it is more than slow
    f.end(1)
    f.manager.lost_responses.loss_rate = 0.05
    f.arrive(2)
    f.run(S // 2)
    assert [a.request for a in cancels(f.done)] == [2]
