"""The scenarios of the decisions' recording: each exercises one part of the rules under load."""

from dataclasses import replace

from cypressledge.decisions.contract import ClassSettings, DeduplicationScope, Idempotency, Settings
from tests.recordings.decisions_codes import DRAINING, READY, REMOVED
from tests.recordings.decisions_recorder import (
    SECOND,
    TICK,
    Change,
    Fault,
    Scenario,
    Traffic,
)

EVENTS = 7_200  # of each scenario; 14 of them make 100,800
LOOKUP = ClassSettings(latency_objective=SECOND, deadline=5 * SECOND, latency_objective_stretch=2.0)
REPORT = ClassSettings(
    latency_objective=2 * SECOND,
    deadline=20 * SECOND,
    priority_weight=4.0,
    late_priority_weight=0.4,
    latency_objective_stretch=2.5,
    threads=2,
)
LOAD = ClassSettings(
    latency_objective=6 * SECOND, deadline=40 * SECOND, late_priority_weight=0.6, is_load=True, threads=2
)
UNSAFE = ClassSettings(
    latency_objective=4 * SECOND, deadline=20 * SECOND, idempotency=Idempotency.NOT_IDEMPOTENT
)
IN_ORDER = replace(UNSAFE, ordered=True)
WAITING_LOOKUP = replace(LOOKUP, blocked_by_loads=True, late_priority_weight=0.1)
PLAIN = Settings(
    classes=(LOOKUP, REPORT),
    kind_cores=(8, 4),
    timer_resolution=TICK,
    reports_cost=True,
    supports_cancel=True,
    max_attempts=4,
    slow_start_capacity=0.3,
    slow_start_window=10 * SECOND,
    overload_multiple=2.0,
    overload_window=2 * SECOND,
)
SHORT_WORK = Traffic(rate=160.0, work=180_000)  # with the long work more than twelve engines can do
LONG_WORK = Traffic(rate=50.0, work=2_000_000)


def keyed(scope: DeduplicationScope) -> ClassSettings:
    return ClassSettings(
        latency_objective=SECOND,
        deadline=12 * SECOND,
        idempotency=Idempotency.WITH_KEY,
        deduplication_scope=scope,
        deduplication_window=3 * SECOND,
        latency_objective_stretch=1.0,
    )


SCENARIOS = {
    "two classes, short first": Scenario(PLAIN, (SHORT_WORK, LONG_WORK), EVENTS, seed=1),
    "two classes, long first": Scenario(
        replace(PLAIN, classes=(REPORT, LOOKUP)), (LONG_WORK, SHORT_WORK), EVENTS, seed=2
    ),
    "loads and what waits for them": Scenario(
        replace(
            PLAIN,
            classes=(WAITING_LOOKUP, REPORT, LOAD),
            supports_priorities=True,
            progress_interval=SECOND // 2,
            broker_count=2,
        ),
        (Traffic(60.0, 150_000), Traffic(6.0, 2_000_000), Traffic(3.0, 5_000_000, groups=4)),
        EVENTS,
        seed=3,
    ),
    "cold engines": Scenario(
        replace(PLAIN, broker_count=4, broker_index=1),
        (Traffic(45.0, 180_000, hinted=False), Traffic(6.0, 2_000_000, hinted=False)),
        EVENTS,
        seed=4,
        changes=tuple(Change(2.0 + 3 * n, (1 + n, 13 + n), replaced=True) for n in range(10)),
    ),
    "ejected engines": Scenario(
        replace(PLAIN, retry_budget_ratio=0.2, retry_budget_floor=3.0, retry_budget_window=5 * SECOND),
        (Traffic(110.0, 120_000), Traffic(8.0, 1_500_000)),
        EVENTS,
        seed=5,
        faults=(
            Fault(2.0, 5.0, (1,), "silent"),
            Fault(4.0, 7.0, (5,), "silent"),
            Fault(4.0, 9.0, (2,), "errors"),
            Fault(8.0, 14.0, (3, 4), "resets"),
            Fault(10.0, 16.0, (6, 7), "refuses"),
            Fault(15.0, 22.0, (8,), "slow"),
            Fault(17.0, 23.0, (9, 10, 11), "silent"),
            Fault(24.0, 30.0, (1, 2, 3, 4, 5, 6, 7), "errors"),
        ),
    ),
    "drained, removed and replaced engines": Scenario(
        replace(
            PLAIN,
            classes=(
                replace(LOOKUP, required_zones=frozenset((0,))),
                replace(REPORT, required_kinds=frozenset((0,))),
                LOOKUP,
            ),
        ),
        (Traffic(60.0, 180_000), Traffic(12.0, 1_500_000), Traffic(30.0, 200_000)),
        EVENTS,
        seed=6,
        changes=(
            Change(1.0, (1, 2), DRAINING),
            Change(3.0, (1,), REMOVED),
            Change(4.0, (2,), READY),
            Change(5.0, (3, 4), READY, replaced=True),
            Change(6.0, (5,), DRAINING),
            Change(7.0, (5, 6), REMOVED),
            Change(9.0, (13, 14, 1), READY, replaced=True),
            Change(11.0, (2, 3, 4, 7, 8), DRAINING),
            Change(11.5, (9, 10, 11, 12, 13, 14, 1), DRAINING),
            Change(15.0, (2, 3, 4, 7, 8, 9, 10, 11, 12, 13, 14, 1), READY),
            Change(18.0, (9, 10, 11), READY, replaced=True),
        ),
    ),
    "full engines, memory and grants": Scenario(
        replace(
            PLAIN,
            kind_memory_mb=(16_000.0, 8_000.0),
            supports_memory_grants=True,
            max_memory_grant=0.5,
            supports_priorities=True,
        ),
        (Traffic(110.0, 180_000, memory=150.0), Traffic(24.0, 2_000_000, memory=1_800.0)),
        EVENTS,
        seed=7,
        rejected_from=1.4,
        faults=(Fault(5.0, 9.0, (1, 2, 3), "full"),),
    ),
    "retries and effects": Scenario(
        replace(
            PLAIN,
            classes=(
                LOOKUP,
                keyed(DeduplicationScope.ALL),
                keyed(DeduplicationScope.ZONE),
                keyed(DeduplicationScope.CELL),
                UNSAFE,
            ),
            retry_budget_ratio=0.1,
            retry_budget_floor=3.0,
            retry_budget_window=5 * SECOND,
            max_send_delay=SECOND // 2,
        ),
        (
            Traffic(40.0, 180_000),
            *(Traffic(15.0, 400_000, keyed=True) for _ in range(3)),
            Traffic(15.0, 400_000),
        ),
        EVENTS,
        seed=8,
        error_share=0.06,
        reset_share=0.05,
        rejected_from=1.5,
        patience=0.25,
    ),
    "in order of their keys": Scenario(
        replace(
            PLAIN,
            classes=(IN_ORDER, replace(keyed(DeduplicationScope.ALL), ordered=True), LOOKUP),
            ordering_key_cooldown=300_000,
        ),
        (Traffic(25.0, 250_000, keyed=True), Traffic(25.0, 250_000, keyed=True), Traffic(40.0, 200_000)),
        EVENTS,
        seed=9,
        reset_share=0.03,
        leaving_share=0.1,
    ),
    "notes and lost answers": Scenario(
        replace(
            PLAIN,
            classes=(replace(LOOKUP, latency_objective=2 * SECOND), REPORT, keyed(DeduplicationScope.ALL)),
            progress_interval=SECOND // 2,
        ),
        (Traffic(50.0, 200_000), Traffic(10.0, 2_500_000), Traffic(10.0, 800_000)),
        EVENTS,
        seed=10,
        lost_share=0.12,
        leaving_share=0.1,
    ),
    "clients that leave, a reload and the stop": Scenario(
        replace(PLAIN, retry_budget_ratio=0.1, retry_budget_floor=1.0, retry_budget_window=10 * SECOND),
        (Traffic(160.0, 180_000), Traffic(30.0, 2_000_000)),
        EVENTS,
        seed=11,
        leaving_share=0.3,
        stops=True,
        reconfigured=replace(
            PLAIN,
            classes=(
                replace(LOOKUP, latency_objective=SECOND // 2),
                replace(REPORT, required_kinds=frozenset((1,))),
            ),
            max_attempts=2,
            reports_cost=False,
            retry_budget_ratio=0.3,
            retry_budget_floor=2.0,
            retry_budget_window=5 * SECOND,
        ),
    ),
    "load reports of a shared fleet": Scenario(
        replace(
            PLAIN,
            broker_count=3,
            broker_index=2,
            load_report_fields=("util", "queue", "inflight"),
            reports_cost=False,
        ),
        (Traffic(60.0, 180_000), Traffic(10.0, 2_000_000)),
        EVENTS,
        seed=12,
        engines=24,
    ),
    "one of many brokers": Scenario(
        replace(
            PLAIN, broker_count=40, broker_index=17, list_on_request=True, kind_memory_mb=(16_000.0, 8_000.0)
        ),
        (Traffic(30.0, 180_000, memory=150.0), Traffic(3.0, 2_000_000, memory=1_500.0)),
        EVENTS,
        seed=13,
        engines=36,
        failed_lists=True,
        unlisted=(7,),
        changes=(Change(4.0, (5, 6), replaced=True), Change(8.0, (20, 40), replaced=True)),
    ),
    "everything at once": Scenario(
        replace(
            PLAIN,
            classes=(
                WAITING_LOOKUP,
                REPORT,
                LOAD,
                replace(keyed(DeduplicationScope.ZONE), ordered=True),
                UNSAFE,
            ),
            broker_count=2,
            broker_index=1,
            supports_priorities=True,
            supports_memory_grants=True,
            kind_memory_mb=(16_000.0, 8_000.0),
            progress_interval=SECOND // 2,
            retry_budget_ratio=0.1,
            retry_budget_floor=3.0,
            retry_budget_window=5 * SECOND,
            ordering_key_cooldown=200_000,
            load_report_fields=("util", "inflight"),
        ),
        (
            Traffic(60.0, 180_000, memory=150.0),
            Traffic(8.0, 2_000_000, memory=1_000.0),
            Traffic(1.5, 5_000_000, groups=4),
            Traffic(12.0, 300_000, keyed=True),
            Traffic(8.0, 300_000),
        ),
        EVENTS,
        seed=14,
        engines=14,
        error_share=0.02,
        lost_share=0.01,
        leaving_share=0.05,
        stops=True,
        faults=(
            Fault(3.0, 8.0, (1, 2), "silent"),
            Fault(10.0, 14.0, (3,), "errors"),
            Fault(12.0, 16.0, (4,), "refuses"),
        ),
        changes=(
            Change(5.0, (6, 15), replaced=True),
            Change(9.0, (7,), DRAINING),
            Change(13.0, (7,), REMOVED),
        ),
    ),
}
