"""Processor time and memory of the decisions alone, by the number of engines, peers and tables."""

import gc
import tracemalloc
from collections.abc import Iterator
from dataclasses import dataclass

from cypressledge.decisions import contract as c
from cypressledge.lab.results import Fact, Slope, Source
from cypressledge.lab.scaling.measuring import (
    ENGINE_COUNTS,
    SECOND_US,
    TARGET_BROKERS,
    CurveFamily,
    Findings,
    Points,
    cpu_ms,
    engine_entries,
)
from cypressledge.lab.scaling.statement_stream import WORK_US, StatementStream, workload_manager

ROLE = "broker, request path"
TABLES = 40  # number of table groups
WARM_UP_S = 0.5
SHORT_RUN_DIVISOR = 5  # one table and the fleet's size are measured for a fifth of the time of many tables
ONE_TABLE_ROUNDS = 3
PEER_ENGINES = 60  # number of engines in the measurement by the fleet's size


def brokers_for(engines: int) -> int:
    """Return the number of brokers with which each engine has the load that it has in the target fleet."""
    return max(1, round(engines * TARGET_BROKERS / ENGINE_COUNTS[-1]))


@dataclass(frozen=True, slots=True)
class StatementCost:
    """The cost of statements for a manager, the engines used and the part of the statements given up.

    `cpu_ms`: processor time of one statement in each round, in ascending order.
    """

    cpu_ms: list[float]
    engines_used: int
    given_up: float  # part of the statements


def statement_cost(engines: int, peers: int, tables: int, seconds: float, seed: int) -> StatementCost:
    """Measure statements of one manager in one round."""
    stream = StatementStream(workload_manager(engines, peers, seed), tables, seed)
    stream.run(WARM_UP_S)
    stream.reset_counts()
    arrived = stream.run(seconds)
    cpu_ms_each = stream.cpu_ns / 1e6 / arrived
    return StatementCost([cpu_ms_each], len(stream.engines_used), stream.given_up / arrived)


def statement_costs(
    sizes: tuple[int, ...], tables: int, seconds: float, rounds: int, seed: int
) -> dict[int, StatementCost]:
    """Measure statements with each number of engines in `sizes`; return the costs by that number.

    The rounds of all sizes alternate, so that changes in the speed of the machine, which last for minutes,
    affect all sizes equally.
    """
    streams = {
        size: StatementStream(workload_manager(size, brokers_for(size), seed), tables, seed) for size in sizes
    }
    cpu_ms_each: dict[int, list[float]] = {size: [] for size in sizes}
    for stream in streams.values():
        stream.run(WARM_UP_S)
        stream.engines_used.clear()
    for _ in range(rounds):
        for size, stream in streams.items():
            stream.cpu_ns = 0
            arrived = stream.run(seconds / rounds)
            cpu_ms_each[size].append(stream.cpu_ns / 1e6 / arrived)
    return {
        size: StatementCost(
            sorted(cpu_ms_each[size]), len(stream.engines_used), stream.given_up / stream.arrived
        )
        for size, stream in streams.items()
    }


def manager_kb(engines: int, seed: int) -> float:
    """Return the memory (KB of Python allocations) of a manager after `WARM_UP_S` of statements."""
    gc.collect()
    tracemalloc.start()
    stream = StatementStream(workload_manager(engines, brokers_for(engines), seed), 40, seed)
    stream.run(WARM_UP_S)
    stream.attempt_ends.clear()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held / 1000


def engine_list_ms(engines: int, seed: int) -> float:
    """Return the processor time (ms) of a complete but unchanged list and the first statement after it."""
    manager = workload_manager(engines, brokers_for(engines), seed)
    received = c.EngineListReceived(c.EngineListKind.FULL, engine_entries(engines))
    arrival = c.RequestReceived(1, 0, 5 * SECOND_US, 0, WORK_US, 10.0, 1)
    return cpu_ms(lambda: manager.handle(2 * SECOND_US, [received, arrival]))


@dataclass(frozen=True, slots=True)
class DecisionCosts:
    """Costs of the decisions, by the number of engines, and by that of brokers with `PEER_ENGINES` engines.

    `seconds`, `rounds`: total duration and number of rounds of the measurement with many tables.
    """

    seconds: float
    rounds: int
    many_tables: dict[int, StatementCost]
    one_table: dict[int, StatementCost]
    ms_by_peers: Points
    kb_by_engines: Points
    list_ms_by_engines: Points


def measure_decisions(quick: bool, seed: int) -> DecisionCosts:
    """Measure the decisions by engines, peers and tables; `quick`: few and small points."""
    sizes = (12, 36, 60) if quick else ENGINE_COUNTS
    fleets = (40, TARGET_BROKERS) if quick else (40, 120, 240, TARGET_BROKERS)
    seconds = 1.0 if quick else 10.0
    rounds = 3 if quick else 5
    short_run_s = seconds / SHORT_RUN_DIVISOR
    return DecisionCosts(
        seconds=seconds,
        rounds=rounds,
        many_tables=statement_costs(sizes, TABLES, seconds, rounds, seed),
        one_table=statement_costs(sizes, 1, short_run_s, ONE_TABLE_ROUNDS, seed),
        ms_by_peers=[
            (peers, statement_cost(PEER_ENGINES, peers, TABLES, short_run_s, seed).cpu_ms[0])
            for peers in fleets
        ],
        kb_by_engines=[(size, manager_kb(size, seed)) for size in sizes],
        list_ms_by_engines=[(size, engine_list_ms(size, seed)) for size in sizes],
    )


def decision_costs(quick: bool, seed: int, source: Source) -> Findings:
    """Run `measure_decisions` and return its results as slopes and facts."""
    costs = measure_decisions(quick, seed)
    return Findings(list(_curves(costs, source)), _facts(costs.many_tables, costs.rounds, source))


def _curves(costs: DecisionCosts, source: Source) -> Iterator[Slope]:
    by_engines = CurveFamily(ROLE, "engines", source)
    by_brokers = CurveFamily(ROLE, "brokers", source)
    many_tables = [(size, cost.cpu_ms[costs.rounds // 2]) for size, cost in costs.many_tables.items()]
    what = "the decision module, a statement, of 40 groups of tables"
    yield by_engines.curve("module_ms", what, "ms", many_tables)
    used = [(size, cost.engines_used) for size, cost in costs.many_tables.items()]
    what = f"different engines sent to within {costs.seconds:g} s at 500 statements/s"
    yield by_engines.curve("engines_used", what, "engines", used)
    one_table = [(size, cost.cpu_ms[ONE_TABLE_ROUNDS // 2]) for size, cost in costs.one_table.items()]
    what = "the same, all statements of one group of tables"
    yield by_engines.curve("module_one_table_ms", what, "ms", one_table)
    what = "the decision module before 60 engines"
    yield by_brokers.curve("module_peers_ms", what, "ms", costs.ms_by_peers)
    yield by_engines.curve("module_kb", "memory of the decision module", "KB", costs.kb_by_engines)
    what = "the decision module told a whole list, and the next statement"
    yield by_engines.curve("module_list_ms", what, "ms", costs.list_ms_by_engines)


def _facts(costs: dict[int, StatementCost], rounds: int, source: Source) -> list[Fact]:
    given_up_pct = 100 * max(cost.given_up for cost in costs.values())
    largest = max(costs)
    least, *_, most = costs[largest].cpu_ms
    what = f"module_ms at {largest} engines, the {{}} of {rounds} rounds"
    return [
        Fact(
            "module_given_up",
            "statements that the module gave up, most of all sizes",
            given_up_pct,
            "%",
            source,
        ),
        Fact("module_least_ms", what.format("least"), least, "ms", source),
        Fact("module_most_ms", what.format("most"), most, "ms", source),
    ]
