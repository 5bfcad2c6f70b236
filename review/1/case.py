"""Other clients write messages that never end, while sound clients read reports and load orders."""

import secrets
import socket
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from sites import settings
from standins import (
    HOST,
    Broker,
    Directory,
    JsonRpcClient,
    LineEngine,
    configuration,
    is_over,
    lost_requests,
    main,
    member,
    wait_until,
)

MEMORY_MB = 64  # a day's limit is 32 to 192 MB
SOCKETS = 1024  # clients hold at most a third of them
ENGINES, CLIENTS = 4, 6
REPORT_S, LOAD_S, LOOKUP_S = 4.0, 1.0, 0.05  # run times at the engines
REPORT_WAIT_S, LOAD_WAIT_S, LOOKUP_WAIT_S = 22.0, 18.0, 2.7  # the clients' `wait`: 88 to 90% of the deadlines
BAD_CLIENTS = 40
BAD_LENGTH, BAD_WRITTEN = 500_000, 400_000  # bytes: what a bad client announces, and what it writes
LOOKUP = b"SELECT a, b, c FROM sales_17.orders WHERE shop = 4"
REPORT = b"SELECT shop, what, amount FROM sales_18.orders"


def load(group):
    """A load of about 64 KB into a schema of its own group of tables."""
    return b"INSERT INTO sales_%d.orders VALUES " % group + b"(1,'bread',12.5)," * 3799 + b"(1,'bread',12.5)"


def work(statement):
    if statement.startswith(b"INSERT"):
        return LOAD_S
    return REPORT_S if statement == REPORT else LOOKUP_S


class BadClients:
    """Clients that write a part of a message, read what they are sent, and begin again once turned away."""

    def __init__(self, record, port):
        self.record, self.port, self.stopped, self.turned_away = record, port, False, 0
        for _ in range(BAD_CLIENTS):
            threading.Thread(target=self._run, daemon=True).start()
        record.write("trouble", f"{BAD_CLIENTS} clients write messages that never end")

    def _run(self):
        head = b"Content-Length: %d\r\n\r\n" % BAD_LENGTH
        part = b'{"jsonrpc":"2.0","id":1,"method":"report","params":{"content":"'
        while not self.stopped:
            try:
                with socket.create_connection((HOST, self.port), 5) as sock:
                    sock.sendall(head + part + b"A" * (BAD_WRITTEN - len(part)))
                    while sock.recv(65536):
                        pass
            except OSError:
                pass
            self.turned_away += 1


def run(record, trouble):
    directory = Directory(record)
    engines = [LineEngine(record, f"s-{n}", work) for n in range(ENGINES)]
    for engine in engines:
        directory.list(engine)
    members = [member(engine, "sfax-room1", "node-8c") for engine in engines]
    config = configuration(settings(), members, directory.port, MEMORY_MB, SOCKETS)
    broker = Broker(record, config)
    bad = None
    try:
        broker.wait_until_ready()
        port = int(config["listen"].split(":")[1])
        clients = [JsonRpcClient(record, port, f"client-{n}") for n in range(CLIENTS)]
        for client in clients:
            client.send(client.prepare("lookup", LOOKUP, LOOKUP_WAIT_S, tenant="sahel", cost=50.0, mem=5))
        wait_until(lambda: not any(client.open_calls() for client in clients), 5, "the first answers")
        if trouble:
            bad = BadClients(record, port)
        time.sleep(1.0)
        for client in clients:
            client.send(client.prepare("report", REPORT, REPORT_WAIT_S, tenant="sahel", cost=8000.0, mem=20))
        for place, client in enumerate(clients):
            time.sleep(0.2)
            if client.ended_at is None:
                more = {"tenant": "sud", "once": secrets.token_hex(16), "cost": 2000.0, "mem": 50}
                client.send(client.prepare("order-load", load(place + 1), LOAD_WAIT_S, **more))
        wait_until(lambda: all(is_over(client) for client in clients), 40, "the last answers")
        return ["the broker crashed"] * broker.has_crashed() + [
            text for c in clients for text in lost_requests(c)
        ]
    finally:
        if bad is not None:
            bad.stopped = True
            record.write("trouble", f"bad clients were turned away {bad.turned_away} times")
        broker.close()


if __name__ == "__main__":
    sys.exit(main(HERE, run))
