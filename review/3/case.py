"""An engine's good answers come with a second copy right behind, over the ClickHouse HTTP interface."""

import base64
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from hosted import HttpEngine, NameServer, free_port, http_ask, result, service_file
from sites import settings
from standins import Broker, JsonRpcClient, configuration, main, wait_until

QUERIES = 20  # of each kind of client, one after the other
SPOILT_EVERY = 5  # every fifth answer brings a second copy
WORK_S = 0.05


def rows_of(statement):
    """The rows that the engines make for a statement: the total of one shop."""
    return b"%s\ttotal\t1250.0\n" % statement.split()[-1]


class Answers:
    """The answers of all engines; counts them."""

    def __init__(self, trouble):
        self.trouble, self.count = trouble, 0

    def play(self, engine, conn, query_id, statement):
        time.sleep(WORK_S)
        self.count += 1
        answer = result(query_id, rows_of(statement))
        copies = 2 if self.trouble and self.count % SPOILT_EVERY == 0 else 1
        engine.record.write(engine.name, f"answered {query_id} with {rows_of(statement)!r}, {copies} time(s)")
        conn.sendall(answer * copies)


def run(record, trouble):
    answers, names = Answers(trouble), NameServer("node-8c")
    for name in ("e-1", "e-2"):
        names.engines[name] = HttpEngine(record, name, answers.play).port
    config = configuration(settings(), [], names.port)
    port = free_port()
    broker = Broker(record, config, service=service_file(port, names))
    try:
        broker.wait_until_ready()
        broken = []
        for number in range(QUERIES):
            statement = b"SELECT shop, what, amount FROM sales_17.orders WHERE shop = %d" % number
            status, body = http_ask(port, statement, 10, workload="report")
            record.write("http", f"{statement!r} -> {status} {body!r}")
            if status == 200 and body != rows_of(statement):
                broken.append(f"wrong data over HTTP: {statement!r} was answered with {body!r}")
        client = JsonRpcClient(record, int(config["listen"].split(":")[1]))
        for number in range(QUERIES):
            statement = b"SELECT shop, what, amount FROM sales_17.orders WHERE shop = %d" % (QUERIES + number)
            (call,) = client.send(client.prepare("report", statement, 20, tenant="sahel", cost=100.0, mem=10))
            wait_until(lambda call=call: not call.is_open, 22, "an answer")
            if "result" in call.answer:
                body = base64.b64decode(call.answer["result"]["content"])
                if body != rows_of(statement):
                    broken.append(f"wrong data over JSON-RPC: {statement!r} was answered with {body!r}")
        return broken
    finally:
        broker.close()


if __name__ == "__main__":
    sys.exit(main(HERE, run))
