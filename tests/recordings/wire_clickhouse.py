"""Messages of the ClickHouse HTTP interface: the front's answers, and requests to engines."""

import socket

from tests.fakes.fake_clickhouse_engine import (
    answer_exception,
    break_after_first_rows,
    stall_after_first_rows,
    stream_rows,
)
from tests.fakes.fake_engines import ROW
from tests.fakes.support import WAIT, wait_until
from tests.recordings.wire_broker import LOGIN, WireBroker, exchange
from tests.recordings.wire_jsonrpc import GOOD, answers, call

REJECTED_CALLS = (
    ("an unknown method", {"target": "/", "method": "PUT"}),
    ("an unknown path", {"target": "/play"}),
    ("an empty query", {"target": "/", "body": b" "}),
    ("an unknown setting", {"target": "/?max_threads=4"}),
    ("an unsupported parameter", {"target": "/?session_id=7"}),
    ("another format", {"target": "/", "body": b"SELECT 1 FORMAT JSON"}),
    ("a write by GET", {"target": "/?query=DROP%20TABLE%20t", "method": "GET"}),
    ("a bad id", {"target": "/?query_id=a%20b"}),
    ("a bad figure", {"target": "/?cost_ms=x"}),
    ("an unknown workload", {"target": "/?workload=x"}),
    ("an unknown user", {"target": "/", "login": ""}),
    ("two ways to name the user", {"target": "/?user=sales"}),
    ("an unreadable login", {"target": "/", "login": "Authorization: Basic %%%\r\n"}),
    ("another scheme", {"target": "/", "login": "Authorization: Bearer eA==\r\n"}),
)


def clickhouse_messages(broker: WireBroker) -> dict[str, bytes]:
    """Front and engine of the ClickHouse HTTP interface."""
    messages = answered_calls(broker)
    for title, call_arguments in REJECTED_CALLS:
        messages[f"clickhouse: {title}"] = broker.http(**call_arguments)
    messages |= http_errors(broker)
    messages |= engine_errors(broker)
    messages |= limits_reached(broker)
    return messages


def answered_calls(broker: WireBroker) -> dict[str, bytes]:
    return {
        "clickhouse: ping": broker.http("/ping", method="GET"),
        "clickhouse: root": broker.http("/", method="GET"),
        "clickhouse: 200 in chunks": broker.http("/?query_id=q1"),
        "clickhouse: 200 whole": broker.http("/?query_id=q2&wait_end_of_query=1"),
        "clickhouse: 200 to HTTP/1.0": broker.http("/?query_id=q3", version="1.0"),
        "clickhouse: 200 by GET": broker.http("/?query_id=q4&query=SELECT%201", method="GET"),
    }


def http_errors(broker: WireBroker) -> dict[str, bytes]:
    """Requests that are no good HTTP, and one that is to be continued."""
    messages = {}
    messages["clickhouse: no length"] = exchange(
        broker.clickhouse_port, f"POST / HTTP/1.1\r\nHost: b\r\n{LOGIN}Connection: close\r\n\r\n".encode()
    )
    messages["clickhouse: bad HTTP"] = exchange(broker.clickhouse_port, b"nonsense\r\n\r\n")
    messages["clickhouse: a head that is too large"] = exchange(
        broker.clickhouse_port, b"GET /" + b"x" * 70_000 + b" HTTP/1.1\r\n\r\n"
    )
    messages["clickhouse: a body that is too large"] = exchange(
        broker.clickhouse_port, b"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"
    )
    messages["clickhouse: 100 Continue"] = exchange(
        broker.clickhouse_port, b"GET /ping HTTP/1.1\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n"
    )
    return messages


def engine_errors(broker: WireBroker) -> dict[str, bytes]:
    """Errors of an engine, before its rows and among them."""
    messages = {}
    broker.clickhouse_engine.play = answer_exception(
        404, 60, b"Code: 60. DB::Exception: Table t does not exist. (UNKNOWN_TABLE)\n"
    )
    messages["clickhouse: an engine's own error"] = broker.http("/?query_id=e1")
    messages["jsonrpc: failed"] = answers(broker, call("lookup", 5, GOOD))
    broker.clickhouse_engine.play = answer_exception(500, 241, b"memory is out")
    for title, token in (("a load", ""), ("a load with a token", "&insert_deduplication_token=k2")):
        messages[f"clickhouse: an engine's error on {title}"] = broker.http(
            f"/?query_id=e2&workload=order-load{token}", b"INSERT INTO t VALUES (1)"
        )
    broker.clickhouse_engine.play = break_after_first_rows
    messages["clickhouse: broken in the middle of the rows"] = broker.http("/?query_id=b1")
    broker.clickhouse_engine.play = answer_with_tagged_exception
    messages["clickhouse: an engine's exception in the middle of the rows"] = broker.http("/?query_id=b2")
    return messages


def limits_reached(broker: WireBroker) -> dict[str, bytes]:
    """Answers while a tenant has as many requests open as it may."""
    messages = {}
    broker.api("PATCH", "/v1/tenants/sales", {"most_open": 1})
    broker.clickhouse_engine.play = stall_after_first_rows
    with socket.create_connection(("127.0.0.1", broker.clickhouse_port), timeout=WAIT) as sock:
        sock.sendall(
            f"POST /?query_id=s1&workload=report HTTP/1.1\r\nHost: b\r\n{LOGIN}Content-Length: 8\r\n\r\n"
            "SELECT 1".encode()
        )
        sock.recv(65536)
        messages["clickhouse: an id that is open"] = broker.http("/?query_id=s1")
        messages["clickhouse: 503 with Retry-After"] = broker.http("/?query_id=s2")
    broker.api("PATCH", "/v1/tenants/sales", {"most_open": 0})
    return messages


def answer_with_tagged_exception(engine, send, params, statement):
    """The first rows, and then an exception behind its tag, as new servers write it."""
    text = b"Code: 395. DB::Exception: thrown\r\n"
    error = b"\r\n__exception__\r\nabcdefgh\r\n" + text + b"8 abcdefgh\r\n__exception__\r\n"
    send(
        b"HTTP/1.1 200 OK\r\nX-ClickHouse-Exception-Tag: abcdefgh\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in (ROW * 9, error))
        + b"0\r\n\r\n"
    )


def clickhouse_engine_messages(broker: WireBroker) -> dict[str, bytes]:
    """Requests to engines on the ClickHouse HTTP interface."""
    broker.clickhouse_engine.play = stream_rows(ROW)
    wait_until(lambda: broker.http("/?query_id=w1").endswith(b"0\r\n\r\n"), "an answer")
    messages = {}
    for title, target, body in (
        ("a query", "/?query_id=q5&workload=report&memory_mb=700&cost_ms=40", b"SELECT a FROM sales_1.t"),
        ("a load", "/?query_id=q6&insert_deduplication_token=k6", b"INSERT INTO sales_2.t VALUES (1)"),
    ):
        del broker.clickhouse_engine.raw[:]
        broker.http(target, body)
        messages[f"clickhouse engine: {title}"] = b"".join(broker.clickhouse_engine.raw)
    broker.clickhouse_engine.play = stall_after_first_rows
    del broker.clickhouse_engine.raw[:]
    with socket.create_connection(("127.0.0.1", broker.clickhouse_port), timeout=WAIT) as sock:
        sock.sendall(
            f"POST /?query_id=q7 HTTP/1.1\r\nHost: b\r\n{LOGIN}Content-Length: 24\r\n\r\n"
            "INSERT INTO t VALUES (1)".encode()
        )
        sock.recv(65536)
        del broker.clickhouse_engine.raw[:]
    wait_until(lambda: b"KILL" in b"".join(broker.clickhouse_engine.raw), "the kill")
    wait_until(lambda: b"".join(broker.clickhouse_engine.raw).endswith(b"ASYNC"), "all of it")
    messages["clickhouse engine: a kill"] = b"".join(broker.clickhouse_engine.raw)
    return messages
