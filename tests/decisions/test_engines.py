"""The registry of engines, and the subscription that fills it."""

from types import SimpleNamespace

from cypressledge.decisions.contract import (
    EngineListKind,
    EngineListReceived,
    EngineState,
    StartTimer,
    Subscribe,
)
from cypressledge.decisions.engines import EngineRegistry
from cypressledge.decisions.subscription import SUBSCRIPTION_TIMER, EngineListSubscription
from tests.decisions.parts import SECOND, START, context, entry, registry, request, sent


def update(made, *entries, kind=EngineListKind.DELTA):
    made.update(EngineListReceived(kind, entries))


def ready(made):
    return [engine.id for engine in made.ready]


def test_engines_are_ready_in_order_of_their_ids():
    made = registry(context(), 3, 1, entry(2, EngineState.DRAINING))
    assert ready(made) == [1, 3]
    assert sorted(made.engines) == [1, 2, 3]


def test_the_initial_bound_is_two_threads_a_core_by_the_share():
    for brokers, bounds in ((1, [16, 8]), (4, [4, 2]), (8, [2, 1])):
        made = registry(context(broker_count=brokers), entry(1), entry(2, kind=1))
        assert [engine.bound for engine in made.ready] == bounds
        assert [engine.initial_bound for engine in made.ready] == bounds


def test_a_delta_changes_what_it_names_and_a_full_list_removes_what_it_does_not():
    made = registry(context(), 1, 2, 3)
    update(made, entry(2, EngineState.REMOVED))
    assert sorted(made.engines) == [1, 3]
    update(made, entry(3), kind=EngineListKind.FULL)
    assert sorted(made.engines) == [3]


def test_a_removed_engine_stays_known_while_attempts_run():
    ctx = context()
    made = registry(ctx, 1)
    running = sent(ctx, request(ctx), made.engines[1])
    update(made, entry(1, EngineState.REMOVED))
    assert ready(made) == []
    assert 1 in made.engines
    del made.engines[1].in_flight[running.id]
    update(made)
    assert 1 not in made.engines


def test_a_new_process_begins_a_slow_start_and_is_not_held_to_what_was_before():
    made = registry(context(slow_start_window=10 * SECOND), entry(1, started_at=START - 60 * SECOND))
    engine = made.engines[1]
    engine.ejected, engine.slowdown = True, 3.0
    update(made, entry(1, started_at=START - 60 * SECOND))
    assert engine.ejected
    update(made, entry(1, started_at=START))
    assert (engine.ejected, engine.slowdown, engine.warm_at) == (False, 1.0, START + 10 * SECOND)


def test_a_slow_start_that_was_seen_is_not_cut_short_by_a_list():
    made = registry(context(slow_start_window=10 * SECOND), entry(1))
    made.engines[1].warm_at = START + 99 * SECOND
    update(made, entry(1, started_at=START))
    assert made.engines[1].warm_at == START + 99 * SECOND


def test_an_engine_of_unknown_age_is_warm():
    assert registry(context(slow_start_window=10 * SECOND), entry(1)).engines[1].warm_at == 0


def test_memory_is_that_of_the_kind():
    made = registry(context(kind_memory_mb=(16_000.0, 8_000.0)), entry(1), entry(2, kind=1))
    assert [engine.memory_mb for engine in made.ready] == [16_000.0, 8_000.0]


def subscription(**changes):
    ctx = context(**changes)
    changes_seen = []
    affinity = SimpleNamespace(engines_changed=lambda: changes_seen.append(1))
    engines = EngineRegistry(ctx)
    return ctx, engines, changes_seen, EngineListSubscription(ctx, engines, affinity)


def test_lists_are_asked_for_where_the_site_sends_them_only_so():
    ctx, _, _, made = subscription()
    made.start()
    assert ctx.actions == []
    ctx, _, _, made = subscription(list_on_request=True)
    made.start()
    assert ctx.actions == [Subscribe()]


def test_a_list_is_taken_and_ranks_are_told():
    _, engines, changes_seen, made = subscription()
    made.list_received(EngineListReceived(EngineListKind.FULL, (entry(1),)))
    assert ready(engines) == [1]
    assert changes_seen == [1]


def test_after_a_failure_the_engines_stay_and_are_asked_for_again():
    ctx, engines, changes_seen, made = subscription()
    made.list_received(EngineListReceived(EngineListKind.FULL, (entry(1),)))
    made.list_received(EngineListReceived(EngineListKind.FAILED))
    assert ready(engines) == [1]
    assert changes_seen == [1]
    assert ctx.actions == [StartTimer(SECOND, SUBSCRIPTION_TIMER)]
