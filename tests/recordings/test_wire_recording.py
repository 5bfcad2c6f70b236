"""One of each message on the outer wires, to the byte, against `wire_messages.txt`.

Volatile values (ports, clocks, message ids of DNS) are replaced by names in angle brackets. After a change of
a wire that is meant, `python -m tests.recordings.test_wire_recording` writes the file anew.
"""

import hashlib
import json
import re
import signal
import socket
import unittest
from pathlib import Path

import dns.message
import gevent
from gevent import socket as gsocket

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.metrics import Counters
from cypressledge.broker.requests import Attempt, Endpoint, Query, Request
from cypressledge.clock import monotonic_us
from cypressledge.config import Limits
from cypressledge.lab.site import SETTINGS, free_port
from cypressledge.net.line_protocol.transport import LineProtocolTransport
from cypressledge.settings import parse_settings
from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_clickhouse_engine import (
    FakeClickHouseEngine,
    answer_exception,
    break_after_first_rows,
    stall_after_first_rows,
    stream_rows,
)
from tests.fakes.fake_engines import ROW, FakeLineEngine, answer_at_once, answer_with, never_answer, page_rows
from tests.fakes.support import WAIT, wait_until

FILE = Path(__file__).with_name("wire_messages.txt")
KEY, TOKEN = "key-of-the-sales-office", "token-of-the-administrators"
TYPE = "_clickhouse-http._tcp.cluster.lan."
LOGIN = f"X-ClickHouse-User: sales\r\nX-ClickHouse-Key: {KEY}\r\n"
STATEMENT = "U0VMRUNUIGEsIGIsIGMgRlJPTSBzYWxlc18xNy5vcmRlcnM="  # SELECT a, b, c FROM sales_17.orders
GOOD = {
    "id": "00000000000000a1",
    "wait": 3000,
    "tenant": "sahel",
    "cost": 50.0,
    "mem": 10,
    "content": STATEMENT,
}
VOLATILE = (
    (rb"127\.0\.0\.1:\d+", b"127.0.0.1:<port>"),
    (rb"\bw=\d+", b"w=<ms>"),
    (rb"max_execution_time=\d+\.\d{3}\b", b"max_execution_time=<s.mmm>"),
)


def normalised(raw: bytes) -> bytes:
    """The bytes with names in place of what differs from run to run."""
    for pattern, name in VOLATILE:
        raw = re.sub(pattern, name, raw)
    return raw


def shown(messages: dict[str, bytes]) -> str:
    """The text of the file: a title and the escaped bytes of each message, a line of the wire a line."""
    parts = []
    for title, raw in messages.items():
        lines = repr(normalised(raw))[2:-1].replace("\\n", "\\n\n").split("\n")
        parts.append("\n".join([f"== {title}", *("  " + line for line in lines if line)]))
    return "\n".join(parts) + "\n"


class Recording:
    """A binary file that keeps what was read from it."""

    def __init__(self, file, kept: list[bytes]):
        self.file, self.kept = file, kept

    def readline(self):
        line = self.file.readline()
        self.kept.append(line)
        return line

    def read(self, size):
        raw = self.file.read(size)
        self.kept.append(raw)
        return raw


class RecordedChEngine(FakeClickHouseEngine):
    """Keeps the bytes of each request."""

    def __init__(self, play=None):
        self.raw = []
        super().__init__(play)

    def serve(self, conn, file):
        super().serve(conn, Recording(file, self.raw))


class LinesPeer:
    """An engine on lines in this process, on gevent's sockets."""

    def __init__(self):
        self.listener = gsocket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(8)
        self.got, self.conn = b"", None
        gevent.spawn(self._run)

    def _run(self):
        self.conn, _ = self.listener.accept()
        while chunk := self.conn.recv(65536):
            self.got += chunk

    def take(self, end: bytes) -> bytes:
        """What has come, once it ends so."""
        with gevent.Timeout(WAIT):
            while not self.got.endswith(end):
                gevent.sleep(0.005)
        got, self.got = self.got, b""
        return got


def lines_messages() -> dict[str, bytes]:
    """All commands to engines on lines."""
    core = BrokerCore(parse_settings(SETTINGS), 1, Counters())
    link = LineProtocolTransport(core, Limits(64, 64, 32, 5.0, 30.0, 0, 0))
    core.add_transport("lines", link)
    link.max_connections = 8
    peer = LinesPeer()
    place = Endpoint(7, "s-1", peer.listener.getsockname(), "lines")
    core.engines.ready_endpoints[7] = place
    messages = {}

    def attempt(name, number, **more):
        now = monotonic_us()
        query = Query(name, 0, "order-load", "sahel", b"INSERT INTO t VALUES (1)", now + 5_000_000, **more)
        request = Request(number, query, None)
        return Attempt(request, 0, place, now, now + 5_000_000, now)

    full = attempt("00000000000000a1", 1, key="once-1")
    full.request.grant_mb, full.request.priority = 512.4, 2
    link.send(full)
    messages["lines: want with all fields"] = peer.take(b"(1)\r\n")
    bare = attempt("00000000000000a2", 2)
    link.send(bare)
    messages["lines: want with no optional field"] = peer.take(b"(1)\r\n")
    full.request.priority = 0
    link.update_resources(full)
    messages["lines: hurry"] = peer.take(b"\r\n")
    link.cancel(full)
    messages["lines: never_mind"] = peer.take(b"\r\n")
    peer.conn.sendall(b"00000000000000a2 200 count=3 %d\r\n%s\r\n" % (len(ROW), ROW))
    messages["lines: turn, one for each further page"] = peer.take(b" 2\r\n")
    link.cancel(bare)
    messages["lines: shut"] = peer.take(b"\r\n")
    return messages


def jsonrpc_calls() -> list[tuple[str, bytes]]:
    """Bodies that are answered by an error, each by its title."""

    def call(method="lookup", number=1, **change):
        params = {k: v for k, v in (GOOD | change).items() if v is not None}
        return json.dumps({"jsonrpc": "2.0", "id": number, "method": method, "params": params}).encode()

    def head(**change):
        whole_head = {"jsonrpc": "2.0", "id": 1, "method": "lookup", "params": GOOD} | change
        return json.dumps({k: v for k, v in whole_head.items() if v is not None}).encode()

    return [
        ("not JSON", b"{nonsense"),
        ("a list", b"[]"),
        ("no version", head(jsonrpc=None)),
        ("no method", head(method=None)),
        ("a method that is no text", head(method=7)),
        ("no id", head(id=None)),
        ("an id that is text", head(id="1")),
        ("an id below 1", head(id=0)),
        ("an unknown method", call("no-such-method")),
        ("params that are no object", head(params=[1])),
        ("an endless wait", call(wait=1e9)),
        ("no wait at all", call(wait=0)),
        ("wait that is text", call(wait="5")),
        ("an id in capitals", call(id="00000000000000A1")),
        ("an unknown tenant", call(tenant="nobody")),
        ("retry that is no flag", call(retry=2)),
        ("content that is no base64", call(content="%%%")),
        ("a blank statement", call(content="ICA=")),
        ("a statement with a zero", call(content="AGE=")),
        ("a cost below 0", call(cost=-1)),
        ("a memory that is text", call(mem="much")),
        ("a key in a class without", call(once="k1")),
        ("no key in a class with", call("order-load")),
        ("a key of bad letters", call("order-load", once="a,b")),
    ]


def frame(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n\r\n" % len(body) + body


class Wires(BrokerTestCase):
    """Collects the messages of one broker process."""

    maxDiff = None

    def exchange(self, port: int, raw: bytes, titles_end: bytes | None = None) -> bytes:
        """Send on a connection of its own; all that comes until the peer closes, or until it ends so."""
        with socket.create_connection(("127.0.0.1", port), timeout=WAIT) as sock:
            sock.sendall(raw)
            got = b""
            while titles_end is None or not got.endswith(titles_end):
                if not (chunk := sock.recv(65536)):
                    break
                got += chunk
        return got

    def answers(self, raw: bytes, count: int = 1) -> bytes:
        """So many JSON-RPC answers on a connection of their own."""
        with socket.create_connection(("127.0.0.1", self.rpc), timeout=WAIT) as sock:
            sock.sendall(raw)
            return self.frames(sock.makefile("rb"), count)

    @staticmethod
    def frames(file, count: int = 1) -> bytes:
        got = b""
        for _ in range(count):
            head = b""
            while not head.endswith(b"\r\n\r\n"):
                if not (line := file.readline()):
                    return got + head
                head += line
            got += head + file.read(int(head.split(b":")[1]))
        return got

    def start(self):
        self.line = self.engine(kind=FakeLineEngine)
        self.ch = self.engine(stream_rows(ROW, page_rows(1)), kind=RecordedChEngine)
        self.port, self.admin, self.management = free_port(), free_port(), free_port()
        self.process = self.broker(
            self.line,
            env={"ADMIN": TOKEN, "ENGINE": "secret"},
            change={"management": f"127.0.0.1:{self.management}"},
            service=lambda b: f"""
            [clickhouse]
            listen = "127.0.0.1:{self.port}"
            [engines]
            user = "broker"
            key_env = "ENGINE"
            [dns_sd]
            server = "127.0.0.1:{b.dns.port}"
            service = "{TYPE}"
            [admin]
            listen = "127.0.0.1:{self.admin}"
            token_env = "ADMIN"
            [[tenant]]
            name = "sales"
            key_sha256 = "{hashlib.sha256(KEY.encode()).hexdigest()}"
            """,
        )
        self.rpc = self.process.port

    def jsonrpc(self) -> dict[str, bytes]:
        """Over the engine on lines alone."""
        messages = {
            "jsonrpc: status": self.answers(self.call("status", 1, {})),
            "jsonrpc: result": self.answers(self.call("lookup", 2, GOOD)),
        }
        for title, body in jsonrpc_calls():
            messages[f"jsonrpc: {title}"] = self.answers(frame(body))
        messages["jsonrpc: an id for the second time"] = self.answers(self.call("status", 3, {}) * 2, 2)
        for title, raw in (
            ("no colon", b"nonsense\r\n\r\n"),
            ("no length", b"A: b\r\n\r\n"),
            ("a length that is no number", b"Content-Length: x\r\n\r\n"),
            ("a frame that is too long", b"Content-Length: 9999999\r\n\r\n"),
            ("a head without an end", b"x" * 2000),
        ):
            messages[f"jsonrpc: {title}, and the close"] = self.exchange(self.rpc, raw)
        self.line.play = answer_with("500")
        messages["jsonrpc: refused once its attempts are used up"] = self.answers(
            self.call("order-load", 4, GOOD | {"once": "k1"})
        )
        self.line.play = never_answer
        messages["jsonrpc: refused once its time is up"] = self.answers(
            self.call("lookup", 4, GOOD | {"wait": 300})
        )
        del self.line.wants[:]
        with socket.create_connection(("127.0.0.1", self.rpc), timeout=WAIT) as sock:
            for n in range(1, 34):
                sock.sendall(self.call("report", n, GOOD | {"id": f"{n:016x}", "wait": 12_000}))
            file = sock.makefile("rb")
            messages["jsonrpc: refused at the door"] = self.frames(file)
            sock.sendall(self.call("report", 34, GOOD | {"id": f"{1:016x}"}))
            messages["jsonrpc: id of an open request"] = self.frames(file)
            wait_until(lambda: self.line.wants, "an attempt")
            sock.sendall(self.call("withdraw", None, {"id": f"{1:016x}"}) + self.call("status", 35, {}))
            messages["jsonrpc: after a withdrawal, which has no answer"] = self.frames(file)
        self.line.play = answer_at_once
        return messages

    @staticmethod
    def call(method: str, number: int | None, params: dict) -> bytes:
        message = {"jsonrpc": "2.0", "method": method, "params": params}
        if number is not None:
            message["id"] = number
        return frame(json.dumps(message).encode())

    def http(
        self,
        target: str,
        body: bytes = b"SELECT a, b, c FROM sales_17.orders",
        method: str = "POST",
        login: str = LOGIN,
        version: str = "1.1",
    ) -> bytes:
        head = f"{method} {target} HTTP/{version}\r\nHost: b\r\n{login}Connection: close\r\n"
        length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
        return self.exchange(self.port, f"{head}{length}\r\n".encode() + (body if method == "POST" else b""))

    def clickhouse(self) -> dict[str, bytes]:
        """Front and engine of the ClickHouse HTTP interface."""
        messages = {
            "clickhouse: ping": self.http("/ping", method="GET"),
            "clickhouse: root": self.http("/", method="GET"),
            "clickhouse: 200 in chunks": self.http("/?query_id=q1"),
            "clickhouse: 200 whole": self.http("/?query_id=q2&wait_end_of_query=1"),
            "clickhouse: 200 to HTTP/1.0": self.http("/?query_id=q3", version="1.0"),
            "clickhouse: 200 by GET": self.http("/?query_id=q4&query=SELECT%201", method="GET"),
        }
        for title, kwargs in (
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
        ):
            messages[f"clickhouse: {title}"] = self.http(**kwargs)
        messages["clickhouse: no length"] = self.exchange(
            self.port, f"POST / HTTP/1.1\r\nHost: b\r\n{LOGIN}Connection: close\r\n\r\n".encode()
        )
        messages["clickhouse: bad HTTP"] = self.exchange(self.port, b"nonsense\r\n\r\n")
        messages["clickhouse: a head that is too large"] = self.exchange(
            self.port, b"GET /" + b"x" * 70_000 + b" HTTP/1.1\r\n\r\n"
        )
        messages["clickhouse: a body that is too large"] = self.exchange(
            self.port, b"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"
        )
        messages["clickhouse: 100 Continue"] = self.exchange(
            self.port, b"GET /ping HTTP/1.1\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n"
        )
        self.ch.play = answer_exception(
            404, 60, b"Code: 60. DB::Exception: Table t does not exist. (UNKNOWN_TABLE)\n"
        )
        messages["clickhouse: an engine's own error"] = self.http("/?query_id=e1")
        messages["jsonrpc: failed"] = self.answers(self.call("lookup", 5, GOOD))
        self.ch.play = answer_exception(500, 241, b"memory is out")
        messages["clickhouse: an engine's error on a load"] = self.http(
            "/?query_id=e2&workload=order-load", b"INSERT INTO t VALUES (1)"
        )
        self.ch.play = break_after_first_rows
        messages["clickhouse: broken in the middle of the rows"] = self.http("/?query_id=b1")
        self.ch.play = tagged
        messages["clickhouse: an engine's exception in the middle of the rows"] = self.http("/?query_id=b2")
        self.api("PATCH", "/v1/tenants/sales", {"most_open": 1})
        self.ch.play = stall_after_first_rows
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) as sock:
            sock.sendall(
                f"POST /?query_id=s1&workload=report HTTP/1.1\r\nHost: b\r\n{LOGIN}Content-Length: 8\r\n\r\n"
                "SELECT 1".encode()
            )
            sock.recv(65536)
            messages["clickhouse: an id that is open"] = self.http("/?query_id=s1")
            messages["clickhouse: 503 with Retry-After"] = self.http("/?query_id=s2")
        self.api("PATCH", "/v1/tenants/sales", {"most_open": 0})
        return messages

    def clickhouse_engine(self) -> dict[str, bytes]:
        """Requests to engines on the ClickHouse HTTP interface."""
        self.ch.play = stream_rows(ROW)
        wait_until(lambda: self.http("/?query_id=w1").endswith(b"0\r\n\r\n"), "an answer")
        messages = {}
        for title, target, body in (
            ("a query", "/?query_id=q5&workload=report&memory_mb=700&cost_ms=40", b"SELECT a FROM sales_1.t"),
            ("a load", "/?query_id=q6&insert_deduplication_token=k6", b"INSERT INTO sales_2.t VALUES (1)"),
        ):
            del self.ch.raw[:]
            self.http(target, body)
            messages[f"clickhouse engine: {title}"] = b"".join(self.ch.raw)
        self.ch.play = stall_after_first_rows
        del self.ch.raw[:]
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) as sock:
            sock.sendall(
                f"POST /?query_id=q7 HTTP/1.1\r\nHost: b\r\n{LOGIN}Content-Length: 24\r\n\r\n"
                "INSERT INTO t VALUES (1)".encode()
            )
            sock.recv(65536)
            del self.ch.raw[:]
        wait_until(lambda: b"KILL" in b"".join(self.ch.raw), "the kill")
        wait_until(lambda: b"".join(self.ch.raw).endswith(b"ASYNC"), "all of it")
        messages["clickhouse engine: a kill"] = b"".join(self.ch.raw)
        return messages

    def api(self, method: str, path: str, value=None, token: str = TOKEN) -> bytes:
        body = b"" if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()
        return self.exchange(
            self.admin,
            (
                f"{method} {path} HTTP/1.1\r\nHost: b\r\nAuthorization: Bearer {token}\r\n"
                f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body,
        )

    def administration(self) -> dict[str, bytes]:
        new = {"name": "north", "key": "a-key-long-enough", "most_open": 3}
        return {
            f"admin: {method} {path} {title}": self.api(method, path, value, token)
            for method, path, title, value, token in (
                ("GET", "/v1/tenants", "with a wrong token", None, "x"),
                ("GET", "/v1/tenants", "", None, TOKEN),
                ("POST", "/v1/tenants", "", new, TOKEN),
                ("POST", "/v1/tenants", "again", new, TOKEN),
                ("POST", "/v1/tenants", "with a short key", {"name": "south", "key": "x"}, TOKEN),
                ("POST", "/v1/tenants", "with no JSON", b"{", TOKEN),
                ("POST", "/v1/tenants", "with no object", [], TOKEN),
                ("GET", "/v1/tenants/north", "", None, TOKEN),
                ("PATCH", "/v1/tenants/north", "", {"enabled": False}, TOKEN),
                ("PUT", "/v1/tenants/north", "", {}, TOKEN),
                ("DELETE", "/v1/tenants/north", "", None, TOKEN),
                ("GET", "/v1/tenants/north", "when it is gone", None, TOKEN),
                ("GET", "/v1/engines", "", None, TOKEN),
                ("DELETE", "/v1/engines", "", None, TOKEN),
                ("GET", "/v1/nothing", "", None, TOKEN),
            )
        }

    def operators(self) -> dict[str, bytes]:
        """The calls of the second address."""
        messages = {}
        for method, path, body in (
            ("GET", "/status", b""),
            ("POST", "/status", b""),
            ("GET", "/nothing", b""),
            ("POST", "/maintenance/enter", b"s-1"),
            ("POST", "/maintenance/exit", b"s-1"),
            ("POST", "/maintenance/enter", b"s-9"),
            ("POST", "/maintenance/exit", b"\xff"),
            ("POST", "/maintenance/enter", b"x" * 300),
        ):
            raw = self.exchange(
                self.management,
                f"{method} {path} HTTP/1.1\r\nHost: b\r\n" f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body,
            )
            messages[f"management: {method} {path} {body.decode('latin-1')[:8]!r}"] = raw
        raw = self.exchange(self.management, b"GET /status/metrics HTTP/1.1\r\nHost: b\r\n\r\n")
        raw = re.sub(rb"Content-Length: \d+", b"Content-Length: <n>", raw)
        messages["management: metrics"] = re.sub(rb":\d+\|", b":<n>|", raw)
        return messages

    def names(self) -> dict[str, bytes]:
        """Queries for the directory and for DNS-SD; their ids are volatile."""
        asked, reply = {}, self.process.dns._reply

        def keep(raw, peer):
            question = dns.message.from_wire(raw).question[0]
            asked.setdefault(question.to_text(), b"<id>" + raw[2:])
            reply(raw, peer)

        self.process.dns._reply = keep
        self.process.dns.instances[f"ch-0.{TYPE}"] = (self.ch.port, "ready")
        wait_until(lambda: len(asked) >= 4, "all kinds of queries")
        return {f"dns: {question}": asked[question] for question in sorted(asked)}

    def all(self) -> str:
        """All messages, as the file holds them."""
        messages = lines_messages()
        self.start()
        messages |= self.jsonrpc()
        messages |= self.operators()
        messages |= self.names()
        wait_until(lambda: b"clickhouse" in self.api("GET", "/v1/engines"), "the engine by DNS-SD")
        # From here on only engines of the second wire: the first ones' list is empty.
        self.process.dns.engines.clear()
        self.process.publish_list(2)
        wait_until(lambda: b'"lines"' not in self.api("GET", "/v1/engines"), "the first list to be empty")
        messages |= self.administration()
        messages |= self.clickhouse()
        messages |= self.clickhouse_engine()
        return shown(messages)


def tagged(engine, send, params, statement):
    """The first rows, and then an exception behind its tag, as new servers write it."""
    text = b"Code: 395. DB::Exception: thrown\r\n"
    error = b"\r\n__exception__\r\nabcdefgh\r\n" + text + b"8 abcdefgh\r\n__exception__\r\n"
    send(
        b"HTTP/1.1 200 OK\r\nX-ClickHouse-Exception-Tag: abcdefgh\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in (ROW * 9, error))
        + b"0\r\n\r\n"
    )


class WireRecording(Wires):
    def test_every_message_is_as_it_was(self):
        assert self.all().splitlines() == FILE.read_text().splitlines()


if __name__ == "__main__":

    class Writing(Wires):
        def runTest(self):  # noqa: N802 - unittest's own name
            FILE.write_text(self.all())

    signal.alarm(120)
    unittest.TextTestRunner().run(Writing())
