"""A real broker on the loopback against its clients and engines: memory, descriptors, processor time."""

import base64
import json
import time
from contextlib import contextmanager
from pathlib import Path

import gevent
from gevent import socket

from cypressledge.lab.cost import memory_mb
from cypressledge.lab.engines import LabEngine
from cypressledge.lab.load import STATEMENT, Client, answer
from cypressledge.lab.processes import BrokerProcess, Brokers, until
from cypressledge.lab.results import Fact, Slope, Source, slope

SOCKETS = 8_192  # the broker's own limit in its file; what the system allows binds as well
ROLE = "broker, request path"
CLIENTS, PAUSE_S = 16, 0.02  # about 500 statements/s


def process_ms(broker: BrokerProcess) -> float:
    """Processor time of the process so far, ms (the kernel's own count, finer than its ticks)."""
    tasks = Path(f"/proc/{broker.process.pid}/task").iterdir()
    return sum(int((t / "schedstat").read_text().split()[0]) for t in tasks) / 1e6


def descriptors(broker: BrokerProcess) -> int:
    """Open descriptors of the process."""
    return sum(1 for _ in Path(f"/proc/{broker.process.pid}/fd").iterdir())


@contextmanager
def broker_before(count: int):
    """A broker without the fleet's part before so many stand-in engines; ended whatever happens."""
    engines = [LabEngine(f"s-{i + 1}", "room1", 0.005) for i in range(count)]
    fleet = Brokers()
    try:
        broker = fleet.add("n1", {}, [e.member() for e in engines])
        told = json.loads(broker.config_file.read_text())
        told["limits"] |= {"sockets": SOCKETS, "memory_mb": 512}
        broker.config_file.write_text(json.dumps(told))
        broker.start(False)
        if not until(lambda: "listening on" in broker.words(), 30):
            raise RuntimeError(f"the broker did not start: {broker.words()[-300:]}")
        yield broker
    finally:
        fleet.end()
        for engine in engines:
            engine.close()


def _connect(port: int) -> object:
    """A connection on which one lookup was answered: one that has said nothing whole is closed after 2 s."""
    sock = socket.create_connection(("127.0.0.1", port), 5.0)
    sock.settimeout(5.0)
    body = json.dumps(
        {
            "jsonrpc": "2.0",
            "id": 1,
            "method": "lookup",
            "params": {
                "id": base64.b16encode(sock.getsockname()[1].to_bytes(4, "big")).decode(),
                "wait": 3_000,
                "tenant": "sahel",
                "cost": 20.0,
                "mem": 10,
                "content": STATEMENT,
            },
        }
    ).encode()
    sock.sendall(b"Content-Length: %d\r\n\r\n" % len(body) + body)
    answer(sock.makefile("rb"))
    return sock


def idle(counts: tuple[int, ...]) -> dict[int, tuple[float, int, float, float]]:
    """By connections that are open and idle: MB of memory, descriptors, ms of processor time a second; and ms
    that each of the last ones took to take up, with its one lookup."""
    found = {}
    with broker_before(4) as broker:
        held: list = []
        for count in sorted(counts):
            new, came = count - len(held), process_ms(broker)
            held += [_connect(broker.port) for _ in range(new)]
            came = (process_ms(broker) - came) / new
            spent, began = process_ms(broker), time.monotonic()
            gevent.sleep(0.5)
            each = (process_ms(broker) - spent) / (time.monotonic() - began)
            found[count] = memory_mb(broker), descriptors(broker), each, came
        for sock in held:
            sock.close()
    return found


def served(engines: int, seconds: float) -> tuple[float, float, int]:
    """ms of the broker's processor time a statement, statements/s, and its engine connections."""
    with broker_before(engines) as broker:
        alone = descriptors(broker)
        clients = [Client([broker.port], PAUSE_S, 0) for _ in range(CLIENTS)]
        parts = [gevent.spawn(one.run) for one in clients]
        gevent.sleep(1.0)
        spent, before, began = process_ms(broker), sum(x.counts["served"] for x in clients), time.monotonic()
        gevent.sleep(seconds)
        took = time.monotonic() - began
        count = sum(x.counts["served"] for x in clients) - before
        spent = process_ms(broker) - spent
        links = descriptors(broker) - alone - len(clients)
        gevent.killall(parts)
    if not count:
        raise RuntimeError("the broker served nothing")
    return spent / count, count / took, links


def process(quick: bool, seed: int, told: Source) -> tuple[list[Slope], list[Fact]]:
    """(f): one broker as a process."""
    still = idle((50, 100) if quick else (100, 200, 400, 600))
    busy = {n: served(n, 1.0 if quick else 4.0) for n in ((4, 8) if quick else (4, 8, 16, 32))}
    made = [
        (
            "clients_mb",
            "memory of the process",
            "MB",
            "client connections",
            {n: v[0] for n, v in still.items()},
        ),
        (
            "clients_fds",
            "descriptors of the process",
            "descriptors",
            "client connections",
            {n: v[1] for n, v in still.items()},
        ),
        (
            "clients_idle_ms",
            "processor time with nobody asking",
            "ms/s",
            "client connections",
            {n: v[2] for n, v in still.items()},
        ),
        (
            "connect_ms",
            "a client's connection and its first statement",
            "ms",
            "client connections",
            {n: v[3] for n, v in still.items()},
        ),
        (
            "statement_ms",
            "the whole broker, a statement of JSON-RPC and lines",
            "ms",
            "engines",
            {n: v[0] for n, v in busy.items()},
        ),
        (
            "links_fds",
            "engine connections of one broker",
            "descriptors",
            "engines",
            {n: v[2] for n, v in busy.items()},
        ),
    ]
    slopes = [
        slope(name, ROLE, what, unit, x, list(points.items()), told) for name, what, unit, x, points in made
    ]
    rate = sum(v[1] for v in busy.values()) / len(busy)
    words = "statements/s as statement_ms was measured, mean"
    return slopes, [Fact("statement_rate", words, rate, "1/s", told)]
