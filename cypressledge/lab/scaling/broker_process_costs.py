"""Memory, descriptors and processor time of a real broker on the loopback, by its clients and engines."""

import base64
import json
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import gevent
from gevent import socket

from cypressledge.lab.cost import memory_mb
from cypressledge.lab.engines import LabEngine
from cypressledge.lab.load import COST_MS, STATEMENT, WAIT_MS, Client, answer, lookup_request
from cypressledge.lab.processes import BrokerProcess, Brokers, until
from cypressledge.lab.results import Fact, Slope, Source
from cypressledge.lab.scaling.measuring import CurveFamily, Findings

ROLE = "broker, request path"
SOCKETS = 8_192  # socket limit in the broker's configuration; the system's limit applies as well
MEMORY_MB = 512
START_TIMEOUT_S = 30
CLIENTS = 16
PAUSE_S = 0.02  # s; each client's pause between statements, for about 500 statements/s in total
IDLE_ENGINES = 4
IDLE_S = 0.5  # s; period without requests in which idle processor time is measured
WARM_UP_S = 1.0
CONNECT_TIMEOUT_S = 5.0


def process_ms(broker: BrokerProcess) -> float:
    """Return the processor time (ms) of the process so far, as counted by the kernel's scheduler."""
    tasks = Path(f"/proc/{broker.pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e6


def descriptors(broker: BrokerProcess) -> int:
    """Return the number of the process's open descriptors."""
    return sum(1 for _ in Path(f"/proc/{broker.pid}/fd").iterdir())


@contextmanager
def broker_with_engines(count: int) -> Iterator[BrokerProcess]:
    """Run a broker without `--fleet` and with `count` fake engines; stop all of them on exit.

    Raises `RuntimeError` with the end of the log if the broker does not start.
    """
    engines = [LabEngine(f"s-{i + 1}", "room1", 0.005) for i in range(count)]
    brokers = Brokers()
    try:
        broker = brokers.add("n1", {}, [e.member() for e in engines])
        config = json.loads(broker.config_file.read_text())
        config["limits"] |= {"sockets": SOCKETS, "memory_mb": MEMORY_MB}
        broker.config_file.write_text(json.dumps(config))
        broker.start(False)
        if not until(lambda: "listening on" in broker.words(), START_TIMEOUT_S):
            raise RuntimeError(f"the broker did not start: {broker.words()[-300:]}")
        yield broker
    finally:
        brokers.end()
        for engine in engines:
            engine.close()


def _connect(port: int) -> socket.socket:
    """Open a connection and complete one lookup, without which the broker would close it after 2 s."""
    sock = socket.create_connection(("127.0.0.1", port), CONNECT_TIMEOUT_S)
    sock.settimeout(CONNECT_TIMEOUT_S)
    query_id = base64.b16encode(sock.getsockname()[1].to_bytes(4, "big")).decode()
    sock.sendall(lookup_request(1, query_id, WAIT_MS, COST_MS, STATEMENT))
    answer(sock.makefile("rb"))
    return sock


@dataclass(frozen=True, slots=True)
class IdleCost:
    """The cost of open, idle client connections to a broker."""

    memory_mb: float
    descriptors: int
    cpu_ms_per_s: float
    connect_ms: float  # processor time of each newly opened connection, including its one lookup


def idle_costs(counts: tuple[int, ...]) -> dict[int, IdleCost]:
    """Measure one broker with an increasing number of idle connections; return the costs by that number."""
    costs: dict[int, IdleCost] = {}
    with broker_with_engines(IDLE_ENGINES) as broker:
        connections: list[socket.socket] = []
        for count in sorted(counts):
            new = count - len(connections)
            before = process_ms(broker)
            connections += [_connect(broker.port) for _ in range(new)]
            connect_ms = (process_ms(broker) - before) / new
            before = process_ms(broker)
            began = time.monotonic()
            gevent.sleep(IDLE_S)
            idle_ms = (process_ms(broker) - before) / (time.monotonic() - began)
            costs[count] = IdleCost(memory_mb(broker), descriptors(broker), idle_ms, connect_ms)
        for connection in connections:
            connection.close()
    return costs


@dataclass(frozen=True, slots=True)
class ServingCost:
    """The cost of statements for a broker process."""

    statement_ms: float  # processor time
    statements_per_s: float
    engine_connections: int


def serving_cost(engines: int, seconds: float) -> ServingCost:
    """Measure one broker under a small load. Raises `RuntimeError` if it serves no lookup."""
    with broker_with_engines(engines) as broker:
        descriptors_before = descriptors(broker)
        clients = [Client([broker.port], PAUSE_S, 0) for _ in range(CLIENTS)]
        greenlets = [gevent.spawn(client.run) for client in clients]
        gevent.sleep(WARM_UP_S)
        ms_before = process_ms(broker)
        served_before = _served(clients)
        began = time.monotonic()
        gevent.sleep(seconds)
        took = time.monotonic() - began
        served = _served(clients) - served_before
        ms = process_ms(broker) - ms_before
        engine_connections = descriptors(broker) - descriptors_before - len(clients)
        gevent.killall(greenlets)
    if not served:
        raise RuntimeError(f"the broker served no lookup in {seconds:g} s with {engines} engines")
    return ServingCost(ms / served, served / took, engine_connections)


def _served(clients: list[Client]) -> int:
    return sum(client.counts["served"] for client in clients)


def broker_process_costs(quick: bool, seed: int, source: Source) -> Findings:
    """Measure one broker process, idle and serving; `quick`: few and small points."""
    idle = idle_costs((50, 100) if quick else (100, 200, 400, 600))
    engine_counts = (4, 8) if quick else (4, 8, 16, 32)
    serving = {engines: serving_cost(engines, 1.0 if quick else 4.0) for engines in engine_counts}
    slopes = [*_idle_curves(idle, source), *_serving_curves(serving, source)]
    rate = sum(cost.statements_per_s for cost in serving.values()) / len(serving)
    what = "statements/s as statement_ms was measured, mean"
    return Findings(slopes, [Fact("statement_rate", what, rate, "1/s", source)])


def _idle_curves(costs: dict[int, IdleCost], source: Source) -> Iterator[Slope]:
    """Yield the curves by the number of idle client connections."""
    family = CurveFamily(ROLE, "client connections", source)
    memory = [(connections, cost.memory_mb) for connections, cost in costs.items()]
    yield family.curve("clients_mb", "memory of the process", "MB", memory)
    descriptor_counts = [(connections, cost.descriptors) for connections, cost in costs.items()]
    yield family.curve("clients_fds", "descriptors of the process", "descriptors", descriptor_counts)
    idle = [(connections, cost.cpu_ms_per_s) for connections, cost in costs.items()]
    yield family.curve("clients_idle_ms", "processor time with nobody asking", "ms/s", idle)
    connect = [(connections, cost.connect_ms) for connections, cost in costs.items()]
    yield family.curve("connect_ms", "a client's connection and its first statement", "ms", connect)


def _serving_curves(costs: dict[int, ServingCost], source: Source) -> Iterator[Slope]:
    """Yield the curves of a broker under a small load, by the number of engines."""
    family = CurveFamily(ROLE, "engines", source)
    statement = [(engines, cost.statement_ms) for engines, cost in costs.items()]
    what = "the whole broker, a statement of JSON-RPC and lines"
    yield family.curve("statement_ms", what, "ms", statement)
    connections = [(engines, cost.engine_connections) for engines, cost in costs.items()]
    yield family.curve("links_fds", "engine connections of one broker", "descriptors", connections)
