"""Registry of engines, and the subscription that updates it."""

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
from tests.decisions.parts import (
    SECOND,
    START,
    list_entry,
    make_context,
    make_registry,
    make_request,
    start_attempt,
)


def update(registry, *entries, kind=EngineListKind.DELTA):
    registry.update(EngineListReceived(kind, entries))


def ready(registry):
    return [engine.id for engine in registry.ready]


def test_ready_engines_are_ordered_by_id():
    registry = make_registry(make_context(), 3, 1, list_entry(2, EngineState.DRAINING))
    assert ready(registry) == [1, 3]
    assert sorted(registry.engines) == [1, 2, 3]


def test_the_initial_bound_is_the_brokers_share_of_two_threads_per_core():
    for brokers, bounds in ((1, [16, 8]), (4, [4, 2]), (8, [2, 1])):
        registry = make_registry(make_context(broker_count=brokers), list_entry(1), list_entry(2, kind=1))
        assert [engine.bound for engine in registry.ready] == bounds
        assert [engine.initial_bound for engine in registry.ready] == bounds


def test_a_delta_changes_listed_engines_and_a_full_list_removes_the_others():
    registry = make_registry(make_context(), 1, 2, 3)
    update(registry, list_entry(2, EngineState.REMOVED))
    assert sorted(registry.engines) == [1, 3]
    update(registry, list_entry(3), kind=EngineListKind.FULL)
    assert sorted(registry.engines) == [3]


def test_a_removed_engine_stays_registered_while_attempts_run():
    context = make_context()
    registry = make_registry(context, 1)
    running = start_attempt(context, make_request(context), registry.engines[1])
    update(registry, list_entry(1, EngineState.REMOVED))
    assert ready(registry) == []
    assert 1 in registry.engines
    del registry.engines[1].in_flight[running.id]
    update(registry)
    assert 1 not in registry.engines


def test_a_restarted_engine_begins_a_slow_start_with_its_faults_cleared():
    registry = make_registry(
        make_context(slow_start_window=10 * SECOND), list_entry(1, started_at=START - 60 * SECOND)
    )
    engine = registry.engines[1]
    engine.ejected, engine.slowdown = True, 3.0
    update(registry, list_entry(1, started_at=START - 60 * SECOND))
    assert engine.ejected
    update(registry, list_entry(1, started_at=START))
    assert (engine.ejected, engine.slowdown, engine.warm_at) == (False, 1.0, START + 10 * SECOND)


def test_an_engine_list_does_not_shorten_a_slow_start():
    registry = make_registry(make_context(slow_start_window=10 * SECOND), list_entry(1))
    registry.engines[1].warm_at = START + 99 * SECOND
    update(registry, list_entry(1, started_at=START))
    assert registry.engines[1].warm_at == START + 99 * SECOND


def test_an_engine_with_unknown_start_time_is_warm():
    assert make_registry(make_context(slow_start_window=10 * SECOND), list_entry(1)).engines[1].warm_at == 0


def test_engine_memory_follows_its_kind():
    registry = make_registry(
        make_context(kind_memory_mb=(16_000.0, 8_000.0)), list_entry(1), list_entry(2, kind=1)
    )
    assert [engine.memory_mb for engine in registry.ready] == [16_000.0, 8_000.0]


def make_subscription(**changes):
    context = make_context(**changes)
    changes_seen = []
    affinity = SimpleNamespace(engines_changed=lambda: changes_seen.append(1))
    engines = EngineRegistry(context)
    return context, engines, changes_seen, EngineListSubscription(context, engines, affinity)


def test_lists_are_requested_if_they_are_sent_on_request_only():
    context, _, _, subscription = make_subscription()
    subscription.start()
    assert context.actions == []
    context, _, _, subscription = make_subscription(list_on_request=True)
    subscription.start()
    assert context.actions == [Subscribe()]


def test_a_list_is_applied_and_the_affinity_is_notified():
    _, engines, changes_seen, subscription = make_subscription()
    subscription.list_received(EngineListReceived(EngineListKind.FULL, (list_entry(1),)))
    assert ready(engines) == [1]
    assert changes_seen == [1]


def test_after_a_failure_the_engines_stay_and_the_list_is_requested_again():
    context, engines, changes_seen, subscription = make_subscription()
    subscription.list_received(EngineListReceived(EngineListKind.FULL, (list_entry(1),)))
    subscription.list_received(EngineListReceived(EngineListKind.FAILED))
    assert ready(engines) == [1]
    assert changes_seen == [1]
    assert context.actions == [StartTimer(SECOND, SUBSCRIPTION_TIMER)]
