"""The ClickHouse HTTP interface: the front that clients speak to, and the link to engines that speak it."""

import base64
import binascii
import contextlib
import json
import math
import re
import secrets
from collections import deque
from urllib.parse import urlencode

import httptools
from gevent import Timeout, select, sleep, socket, spawn

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.requests import (
    CLIENT_KEY,
    DEADLINE_FAULT,
    Attempt,
    Endpoint,
    EngineFault,
    Query,
    Request,
)
from cypressledge.clock import monotonic_us
from cypressledge.config import Limits
from cypressledge.decisions.contract import Idempotency, Outcome, ProgressKind
from cypressledge.net.buffer import Buffer
from cypressledge.net.http import Exchange, HttpRequest, HttpServer
from cypressledge.net.stream import dial, end
from cypressledge.sql import table_group
from cypressledge.tenants import Tenant, Tenants

# ClickHouse's own error codes: name, and the HTTP status that its server gives them
CODES = {
    36: ("BAD_ARGUMENTS", 400),
    48: ("NOT_IMPLEMENTED", 501),
    62: ("SYNTAX_ERROR", 400),
    73: ("UNKNOWN_FORMAT", 404),
    115: ("UNKNOWN_SETTING", 404),
    159: ("TIMEOUT_EXCEEDED", 408),
    164: ("READONLY", 500),
    202: ("TOO_MANY_SIMULTANEOUS_QUERIES", 503),
    210: ("NETWORK_ERROR", 500),
    216: ("QUERY_WITH_SAME_ID_IS_ALREADY_RUNNING", 500),
    381: ("HTTP_LENGTH_REQUIRED", 411),
    516: ("AUTHENTICATION_FAILED", 403),
}
ROWS = {"Content-Type": "text/tab-separated-values; charset=UTF-8", "X-ClickHouse-Format": "TabSeparated"}
BODY_MOST = 4 << 20
OPEN_MOST = 512  # requests open at this front
ID = re.compile(r"[!-~]{1,128}\Z", re.A)
# Possessive, against statements made to backtrack: 20 comments in a row took 0.3 s, 40 would take days.
FORMAT = re.compile(r"\bFORMAT\s++(\w++)\s*+(?:;\s*+)?\Z", re.I | re.A)
WRITES = re.compile(
    r"(?:\s|--[^\n]*\n|(?>/\*.*?\*/))*+(?:insert|create|alter|drop|truncate|delete|update)\b", re.I | re.S
)
TSV = frozenset(("TabSeparated", "TSV"))
UNSUPPORTED = ("session_id", "compress", "decompress", "database", "role", "quota_key")
HEARD = frozenset(
    (
        "query",
        "query_id",
        "user",
        "password",
        "workload",
        "max_execution_time",
        "default_format",
        "insert_deduplication_token",
        "wait_end_of_query",
        "cancel_http_readonly_queries_on_client_close",
        "cost_ms",
        "memory_mb",
        "client_retry",
    )
)
NEVER_RAN_CODES = frozenset((0, 202, 439))  # with HTTP 503: turned away unseen
CLIENTS_FAULT = frozenset((400, 404, 413, 501))  # an engine's statuses for a statement that can't work
LANES = {0: 4, 1: 3, 2: 2, 3: 1}  # the module's priority as ClickHouse's: 1 is the highest
RESULT_MOST = 8 << 20  # bytes of a result that has to be held whole
READ_MOST = 64 << 10
ERROR_MOST = 16 << 10


class ChError(Exception):
    """An answer that is an error, in ClickHouse's terms."""

    def __init__(self, code: int, text: str, status: int = 0) -> None:
        super().__init__(text)
        self.code, self.status = code, status or CODES[code][1]


def refuse(exchange: Exchange, code: int, status: int, text: str, more: dict[str, str] | None = None) -> None:
    """A whole answer that is an exception, worded as ClickHouse words them."""
    name = CODES.get(code, ("UNKNOWN_EXCEPTION", 0))[0]
    line = text if text.startswith("Code: ") else f"Code: {code}. DB::Exception: {text}. ({name})"
    exchange.answer(
        status,
        {"Content-Type": "text/plain; charset=UTF-8", "X-ClickHouse-Exception-Code": str(code)}
        | (more or {}),
        line.encode().rstrip(b"\n") + b"\n",
    )


class ChFront:
    """Takes queries over HTTP into the core."""

    def __init__(
        self, core: BrokerCore, listen: tuple[str, int], classes: tuple[str, ...], tenants: Tenants
    ) -> None:
        self.core, self.tenants, self.counters = core, tenants, core.counters
        self.names = classes
        self.classes = {name: i for i, name in enumerate(classes)}
        self.open: set[str] = set()
        self.server = HttpServer(listen, self.counters, "clickhouse", BODY_MOST, self._handle)

    def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        try:
            self._route(request, exchange)
        except ChError as err:
            self.counters.add(f"clickhouse.error.{err.code}")
            refuse(exchange, err.code, err.status, str(err))

    def _route(self, r: HttpRequest, exchange: Exchange) -> None:
        if r.method not in ("GET", "POST"):
            raise ChError(48, f"Method {r.method} is not supported")
        if r.path == "/ping":
            healthy = self.core.ledger.is_serving()
            exchange.answer(
                200 if healthy else 503,
                {"Content-Type": "text/plain"},
                b"Ok.\n" if healthy else b"Not serving.\n",
            )
        elif r.path != "/":
            raise ChError(48, f"There is no handler {r.path}", 404)
        elif r.method == "GET" and "query" not in r.params:
            exchange.answer(200, {"Content-Type": "text/plain"}, b"Ok.\n")
        else:
            self._query(r, exchange)

    def _query(self, r: HttpRequest, exchange: Exchange) -> None:
        tenant = self._tenant(r)
        query = self._read(r, tenant)
        if self.core.ledger.is_open(query.id):
            raise ChError(216, f"Query with id = {query.id} is already running")
        answer = ChReply(self, query, tenant, exchange)
        full = len(self.open) >= OPEN_MOST or 0 < tenant.max_open <= tenant.open_requests
        answer.begin()
        if full:
            self.counters.add("clickhouse.refused")
            answer.reject(self.core.ledger.max_retry_after)
        else:
            answer.request = self.core.ledger.submit(query, answer)

    def _tenant(self, r: HttpRequest) -> Tenant:
        """The tenant by headers, basic authentication or parameters; only one of them may be used."""
        ways = []
        if "x-clickhouse-user" in r.headers or "x-clickhouse-key" in r.headers:
            ways.append((r.headers.get("x-clickhouse-user", ""), r.headers.get("x-clickhouse-key", "")))
        if "authorization" in r.headers:
            ways.append(_basic(r.headers["authorization"]))
        if "user" in r.params or "password" in r.params:
            ways.append((r.params.get("user", ""), r.params.get("password", "")))
        if len(ways) > 1:
            raise ChError(516, "Invalid authentication: only one way of naming the user may be used")
        name, key = ways[0] if ways else ("default", "")
        tenant = self.tenants.authenticate(name, key)
        if tenant is None:
            raise ChError(
                516,
                f"{name[:64]}: Authentication failed: password is incorrect, "
                "or there is no user with such name",
            )
        return tenant

    def _read(self, r: HttpRequest, tenant: Tenant) -> Query:
        _check(r)
        now = monotonic_us()
        statement = _statement(r)
        text = statement.decode("utf-8", "replace")
        if r.method == "GET" and WRITES.match(text):
            raise ChError(164, "Cannot execute query in readonly mode: use POST")
        cls = self._class(r, text)
        spec = self.core.settings.classes[cls]
        name = r.params.get("query_id") or secrets.token_hex(8)
        key = r.params.get("insert_deduplication_token", "")
        if not ID.match(name) or key and not CLIENT_KEY.match(key):
            raise ChError(36, "query_id and insert_deduplication_token are words of at most 128 characters")
        if spec.idempotency is Idempotency.WITH_KEY and not key:
            key = name  # engines must tell our own repeats, also where the client gives no token
        seconds = _figure(r, "max_execution_time")
        wait = min(int(seconds * 1e6), spec.deadline) if seconds else spec.deadline
        return Query(
            id=name,
            class_index=cls,
            class_name=self.names[cls],
            tenant=tenant.name,
            statement=statement,
            deadline=now + wait,
            key=key,
            cost=int(_figure(r, "cost_ms") * 1000),
            memory_mb=_figure(r, "memory_mb"),
            table_group=table_group(text, escapes=True),
            is_client_retry=r.params.get("client_retry") == "1",
        )

    def _class(self, r: HttpRequest, text: str) -> int:
        """The class named by `workload`; without it, loads are told by their statement."""
        name = r.params.get("workload")
        if name is None:
            loads = [i for i, spec in enumerate(self.core.settings.classes) if spec.is_load]
            return loads[0] if loads and WRITES.match(text) else 0
        if name not in self.classes:
            raise ChError(36, f"Unknown workload {name[:64]}")
        return self.classes[name]


def _basic(value: str) -> tuple[str, str]:
    scheme, _, coded = value.partition(" ")
    try:
        name, _, key = base64.b64decode(coded.strip(), validate=True).decode().partition(":")
    except (ValueError, binascii.Error):
        raise ChError(516, "Invalid authentication: cannot read the Authorization header") from None
    if scheme.lower() != "basic":
        raise ChError(516, "Invalid authentication: only basic is supported")
    return name, key


def _check(r: HttpRequest) -> None:
    """Say plainly what this interface does not do, rather than leave it out silently."""
    given = r.params | {"database": r.params.get("database") or r.headers.get("x-clickhouse-database", "")}
    for name, value in given.items():
        if name in UNSUPPORTED and value not in ("", "0", "default") or name.startswith("param_"):
            raise ChError(48, f"Parameter {name[:64]} is not supported")
        if name not in HEARD and name not in UNSUPPORTED:
            raise ChError(115, f"Unknown setting {name[:64]}")
    if r.headers.get("content-encoding", "identity") != "identity":
        raise ChError(48, "Compressed requests are not supported")
    if r.headers.get("content-type", "").startswith("multipart/"):
        raise ChError(48, "External data is not supported")
    if r.method == "POST" and not r.framed:
        raise ChError(381, "The Transfer-Encoding is not chunked and there is no Content-Length header")
    default = r.params.get("default_format") or r.headers.get("x-clickhouse-format") or "TSV"
    if default not in TSV:
        raise ChError(73, f"Unknown format {default[:64]}: only TabSeparated is supported")


def _statement(r: HttpRequest) -> bytes:
    """The `query` parameter and the body behind it are one statement, as in ClickHouse."""
    query = r.params.get("query", "").encode()
    statement = query + b"\n" + r.body if query and r.body else query or r.body
    if not statement.strip():
        raise ChError(62, "Syntax error: empty query")
    text = (query or r.body).decode("utf-8", "replace")
    named = FORMAT.search(text)
    if named and not WRITES.match(text) and named[1] not in TSV:
        raise ChError(73, f"Unknown format {named[1][:64]}: only TabSeparated is supported")
    return statement


def _figure(r: HttpRequest, name: str) -> float:
    try:
        value = float(r.params.get(name) or 0)
    except ValueError:
        value = -1.0
    if not math.isfinite(value) or not 0 <= value <= 1e9:
        raise ChError(36, f"{name} is no figure in range")
    return value


class ChReply:
    """One query's answer over HTTP."""

    def __init__(self, front: ChFront, query: Query, tenant: Tenant, exchange: Exchange) -> None:
        self.front, self.query, self.tenant, self.exchange = front, query, tenant, exchange
        self.supports_streaming = (
            exchange.chunked and exchange.request.params.get("wait_end_of_query", "0") == "0"
        )
        self.request: Request | None = None

    def begin(self) -> None:
        """The query counts as open from here to its answer."""
        self.front.open.add(self.query.id)
        self.tenant.open_requests += 1
        self.exchange.on_lost = self._lost

    def _close(self) -> None:
        self.front.open.discard(self.query.id)
        self.tenant.open_requests -= 1

    def _lost(self) -> None:
        """Guards against work for a client that has closed its connection, also halfway through rows."""
        self.front.counters.add("clickhouse.client_left")
        self._close()
        if self.request is not None:
            self.front.core.ledger.client_disconnected(self.request)

    def _named(self) -> dict[str, str]:
        return {"X-ClickHouse-Query-Id": self.query.id}

    def send_rows(self, rows: bytes) -> None:
        """Send the next rows of a streamed answer."""
        if self.exchange.over:
            return
        if not self.exchange.begun:
            self.exchange.begin(self._named() | ROWS)
        self.exchange.chunk(rows)

    def wait_until_drained(self) -> bool:
        """Wait, a second at most, until the client has read; whether it has."""
        return self.exchange.over or self.exchange.connection.writer.low.wait(1.0)

    def complete(self, rows: bytes) -> None:
        """Answer with all rows."""
        if not self.exchange.over:
            self._close()
            if self.supports_streaming:
                self.send_rows(rows)
                self.exchange.finish()
            else:
                self.exchange.answer(200, self._named() | ROWS, rows)

    def reject(self, after: int) -> None:
        """Reject the request; the client may try again after so many µs."""
        if not self.exchange.over:
            self._close()
            refuse(
                self.exchange,
                202,
                503,
                "Too many simultaneous queries",
                self._named() | {"Retry-After": str(max(math.ceil(after / 1e6), 1))},
            )

    def fail(self, fault: EngineFault) -> None:
        """Answer with an error."""
        if self.exchange.over:
            return
        self._close()
        if self.exchange.begun:
            self.front.counters.add("clickhouse.broken_streams")
            self.exchange.abort()
        else:
            refuse(self.exchange, fault.code or 210, fault.status, fault.text, self._named())


class ChLink:
    """Connections to engines that speak the HTTP interface: one exchange at a time on each."""

    def __init__(self, core: BrokerCore, limits: Limits) -> None:
        self.core, self.limits, self.headers = core, limits, ""
        self.free: dict[Endpoint, deque[tuple[object, int]]] = {}
        self.held = 0
        core.counters.gauge("clickhouse.engine_connections", lambda: self.held)

    def login(self, user: str, key: str) -> None:
        """What the broker calls itself at the engines."""
        self.headers = f"X-ClickHouse-User: {user}\r\nX-ClickHouse-Key: {key}\r\n" if user else ""

    def send(self, attempt: Attempt) -> None:
        """Run the attempt in a greenlet of its own."""
        if self.held >= self.limits.max_engine_connections(shared=True):
            self.core.counters.add("moot_sends")
            self.core.ledger.attempt_ended(attempt, Outcome.NOT_SENT)
            return
        attempt.transport_state = ChExchange(self, attempt)
        spawn(attempt.transport_state.run)

    def cancel(self, attempt: Attempt) -> None:
        """Closing ends a read at the engine; what writes is killed by its id."""
        if attempt.transport_state is not None:
            attempt.transport_state.cancel()

    def update_resources(self, attempt: Attempt) -> None:
        """ClickHouse can't change the priority of a query that runs."""

    def idle_one(self, place: Endpoint):
        """A connection kept from before that the engine has not closed meanwhile."""
        kept = self.free.get(place, ())
        while kept:
            sock, _ = kept.pop()
            if not select.select([sock], [], [], 0)[0]:
                return sock
            self.close(sock)
        return None

    def connect(self, place: Endpoint):
        """A new connection."""
        self.held += 1
        try:
            with Timeout(self.limits.connect_timeout_s):
                sock = dial(place.address)
        except BaseException:
            self.held -= 1
            raise
        self.core.counters.add("clickhouse.engine_connects")
        return sock

    def keep(self, place: Endpoint, sock) -> None:
        """Keep a connection for the next exchange."""
        self.free.setdefault(place, deque()).append((sock, monotonic_us()))

    def close(self, sock) -> None:
        """A connection is no more."""
        self.held -= 1
        end(sock)

    def maintain(self) -> None:
        """Close what has been idle for long or leads to an engine that takes nothing new."""
        limit = monotonic_us() - int(self.limits.idle_timeout_s * 1e6)
        for place, kept in list(self.free.items()):
            while kept and (kept[0][1] < limit or not self.core.engines.is_current(place)):
                self.close(kept.popleft()[0])
            if not kept:
                del self.free[place]


class ChExchange:
    """One attempt at one engine."""

    def __init__(self, link: ChLink, attempt: Attempt) -> None:
        self.link, self.attempt, self.core = link, attempt, link.core
        self.sock = None
        self.cancelled = self.sent = self.whole = False
        self.status, self.code, self.tag = 0, 0, b""
        self.held, self.size, self.tail = [], 0, b""
        self.parser = httptools.HttpResponseParser(self)

    def run(self) -> None:
        """Send, read, report; exactly one word on the outcome unless cancelled."""
        try:
            outcome, fault = self._exchange()
        except (Exception, Timeout) as err:  # whatever an engine says, its attempt has an end
            self.core.counters.add("clickhouse.engine_breaks")
            outcome, fault = Outcome.RESET, EngineFault(f"engine connection broke: {type(err).__name__}", 210)
            if not self.sent:
                outcome = Outcome.CONNECT_FAILED if self.sock is None else Outcome.NOT_SENT
        reusable = self.whole and not self.cancelled and self.parser.should_keep_alive()
        if self.sock is not None:
            if reusable:
                self.link.keep(self.attempt.endpoint, self.sock)
            else:
                self.link.close(self.sock)
        if not self.cancelled:
            rows = b"".join(self.held) if outcome is Outcome.OK else b""
            self.core.ledger.attempt_ended(self.attempt, outcome, rows, fault)

    def cancel(self) -> None:
        """Give it up: the engine sees the connection close; a write is killed by its id as well."""
        if self.cancelled:
            return
        self.cancelled = True
        if self.sock is not None:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
        if self.sent and not self.whole and WRITES.match(self.attempt.query.statement.decode("latin-1")):
            spawn(self._kill)

    def _kill(self) -> None:
        query = f"KILL QUERY WHERE query_id = '{_quoted(self.attempt.query.id)}' ASYNC"
        try:
            sock = self.link.connect(self.attempt.endpoint)
        except (OSError, Timeout):
            return
        try:
            with Timeout(self.link.limits.connect_timeout_s):
                sock.sendall(self._message({}, query.encode()))
                sock.recv(4096)
            self.core.counters.add("clickhouse.kills")
        except (OSError, Timeout):
            pass
        finally:
            self.link.close(sock)

    def _exchange(self) -> tuple[Outcome, EngineFault | None]:
        place = self.attempt.endpoint
        self.sock = self.link.idle_one(place) or self.link.connect(place)
        fresh = self.attempt.may_be_sent(monotonic_us())
        if self.cancelled or not fresh or not self.core.engines.is_current(place):
            return (
                Outcome.NOT_SENT,
                None,
            )  # nothing has left: a drain, a cancel or the client's end overtook it
        self.sent = True
        with Timeout(max((self.attempt.deadline - monotonic_us()) / 1e6, 0.001)):
            self.sock.sendall(self._message(self._settings(), self.attempt.query.statement))
        self.core.counters.reply(self.attempt.query.class_name, "dispatches")
        buffer = Buffer(READ_MOST, first=READ_MOST)
        while not self.whole and not self.cancelled:
            if not buffer.fill(self.sock):
                raise ConnectionResetError("closed before the end of the answer")
            if buffer.full:
                sleep(0)
            self.parser.feed_data(buffer.rest())
            self._pace()
        return self._verdict()

    def _pace(self) -> None:
        """Read no faster than the core and the client take the rows."""
        while self.attempt.unread_bytes > READ_MOST and not self.cancelled:
            sleep(0.001)
        while (
            self.attempt.request.streaming_attempt
            and not self.cancelled
            and not self.attempt.request.reply.wait_until_drained()
        ):
            pass

    def _settings(self) -> dict[str, str]:
        a, q = self.attempt, self.attempt.query
        left = max(a.deadline - monotonic_us(), 1000) / 1e6
        settings = {
            "query_id": q.id,
            "workload": q.class_name,
            "max_execution_time": f"{left:.3f}",
            "priority": str(LANES[a.request.priority]),
            "default_format": "TabSeparated",
            "cancel_http_readonly_queries_on_client_close": "1",
            "send_progress_in_http_headers": "1",
            "http_headers_progress_interval_ms": "1000",
        }
        if q.key:
            settings["insert_deduplication_token"] = q.key
        if a.request.grant_mb >= 1:
            settings["max_memory_usage"] = str(int(a.request.grant_mb) << 20)
        return settings

    def _message(self, settings: dict[str, str], statement: bytes) -> bytes:
        host, port = self.attempt.endpoint.address
        head = (
            f"POST /?{urlencode(settings)} HTTP/1.1\r\nHost: {host}:{port}\r\n{self.link.headers}"
            f"Content-Length: {len(statement)}\r\n\r\n"
        )
        return head.encode() + statement

    def _verdict(self) -> tuple[Outcome, EngineFault | None]:
        if self.status == 200 and not self.code:
            return Outcome.OK, None
        text = b"".join(self.held).decode("utf-8", "replace").strip() or f"engine answered {self.status}"
        fault = EngineFault(text, self.code, self.status if self.status >= 400 else 500)
        if self.status == 503 and self.code in NEVER_RAN_CODES:
            return Outcome.REJECTED, fault
        if self.status == 504:
            return Outcome.NOT_SENT, DEADLINE_FAULT
        if self.status in CLIENTS_FAULT:
            return Outcome.ERROR, EngineFault(text, self.code, self.status, final=True)
        return Outcome.ERROR, fault

    # httptools calls these

    def on_header(self, name: bytes, value: bytes) -> None:
        """Progress comes as headers while the query runs."""
        name = name.lower()
        if name == b"x-clickhouse-exception-code":
            self.code = int(value)
        elif name == b"x-clickhouse-exception-tag":
            self.tag = b"\r\n__exception__\r\n" + value
        elif name == b"x-clickhouse-progress":
            self._progress(value)

    def _progress(self, value: bytes) -> None:
        told = json.loads(value)
        total = int(told.get("total_rows_to_read") or 0)
        if total > 0:
            share = min(int(told.get("read_rows") or 0) / total, 1.0)
            self.core.ledger.attempt_progressed(self.attempt, ProgressKind.PROGRESS, share)

    def on_headers_complete(self) -> None:
        """The status is known."""
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Rows, or the text of an error."""
        if self.status != 200 or self.code:
            if self.size < ERROR_MOST:
                self.held.append(body[: ERROR_MOST - self.size])
                self.size += len(body)
        elif self.tag:
            self._tagged(body)
        else:
            self._rows(body)

    def _tagged(self, body: bytes) -> None:
        """Guards against an exception in the middle of a stream passing for rows: its tag may be cut."""
        body = self.tail + body
        if self.tag in body:
            raise ValueError("exception in the stream")
        keep = len(self.tag) - 1
        self.tail = body[-keep:]
        self._rows(body[:-keep])

    def _rows(self, rows: bytes) -> None:
        if not rows:
            return
        if self.attempt.request.reply.supports_streaming:
            self.core.ledger.rows_received(self.attempt, rows)
            return
        self.size += len(rows)
        if self.size > RESULT_MOST:
            raise ValueError("result too long to be held whole")
        self.held.append(rows)

    def on_message_complete(self) -> None:
        """The answer is whole, as far as HTTP can tell."""
        if self.tail:
            self._rows(self.tail)
        self.whole = True


def _quoted(text: str) -> str:
    return text.replace("\\", "\\\\").replace("'", "\\'")
