"""HTTP/1.1 for the fronts that speak it: one exchange at a time on each connection, parsed by httptools."""

import json
from collections import deque
from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import parse_qsl, unquote, urlsplit

import httptools

from cypressledge.broker.metrics import Counters
from cypressledge.clock import monotonic_us
from cypressledge.net.buffer import Budget, Buffer
from cypressledge.net.stream import (
    DRAIN,
    FIRST,
    Crowd,
    Idle,
    Listener,
    Writer,
    drain,
    end,
    fill,
    flush,
    left,
    missed,
    shut,
)

READ = 16 << 10  # bytes read at once; the parser takes them all
HEAD_MOST = 64 << 10  # bytes of the target and all header fields
WAITING_MOST = 4  # pipelined requests that wait on one connection
BODIES = Budget(8 << 20)  # bytes of requests that are not handed on yet, until the limits are known
QUEUED_MOST = 8 << 20
PATIENCE = 60.0
IDLE = 30.0
PART = 5.0  # seconds from the first byte of a request to its last


class TooLarge(Exception):
    """A request over the limits. Its text is the HTTP status."""


@dataclass(slots=True)
class HttpRequest:
    """One request, whole."""

    method: str = ""
    path: str = ""
    params: dict[str, str] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    version: str = "1.1"
    keep: bool = True
    framed: bool = False


class HttpServer:
    """Listens, and hands each whole request to `handle(request, exchange)`, which must not block."""

    def __init__(
        self, listen: tuple[str, int], counters: Counters, name: str, body_most: int, handle
    ) -> None:
        self.handle, self.body_most, self.counters, self.name = handle, body_most, counters, name
        self.connections = Crowd()
        self.listener = Listener(
            listen, counters, name, lambda sock: Connection(self, sock).run(), self.connections
        )

    def flush(self, seconds: float) -> None:
        """Let what was answered go out."""
        flush(self.connections, seconds)


class Connection:
    """One client's connection: requests wait here for their turn."""

    def __init__(self, server: HttpServer, sock) -> None:
        self.server, self.sock = server, sock
        self.waiting: deque[HttpRequest] = deque()
        self.current: Exchange | None = None
        self.closing, self.held = False, 0
        self.since = self.last = monotonic_us()
        self.began, self.asked = 0, False  # `began`: when the request that is not whole yet did
        self.writer = Writer(sock, QUEUED_MOST, PATIENCE, lambda why: end(sock))
        self.parser = httptools.HttpRequestParser(self)
        self._start()
        server.connections.add(self)

    def run(self) -> None:
        """Read until the client leaves; then whatever is open is nobody's any more."""
        buffer = Buffer(READ, first=READ)
        try:
            while not self.closing and fill(buffer, self.sock, self._patience):
                self._heard()
                self.parser.feed_data(buffer.rest())
                self._next()
        except httptools.HttpParserCallbackError as err:
            # The parser wraps what its callbacks raise: unwrapped, a size limit keeps its own status.
            limit = err.__context__
            self._bad(int(str(limit)) if isinstance(limit, TooLarge) else 400)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError):
            self._bad(400)
        except Idle:
            self.server.counters.add(f"{self.server.name}.idle")
            if self.began:
                self._bad(408)
        except OSError:
            pass
        finally:
            self._leave()

    def _patience(self) -> float:
        """Seconds until the client must have said more: nobody holds a place for saying nothing or half."""
        if self.began:
            return left(self.began, PART)
        if self.current is not None:
            return IDLE
        return left(self.last, IDLE) if self.asked else left(self.since, FIRST)

    def _heard(self) -> None:
        self.last = monotonic_us()
        self.server.connections.touch(self)

    def missed(self, now: int) -> tuple[int, int]:
        """How much the connection would be missed, where room is needed."""
        busy = bool(self.current or self.began or self.writer.running)
        return missed(now, self.since, self.last, self.asked, busy)

    def let_go(self) -> None:
        """Make room for another client: our side is shut, and nothing more is heard."""
        self.server.connections.let_go(self)
        self.closing = True
        self.writer.close(lambda: shut(self.sock))

    def _bad(self, status: int) -> None:
        """What can't be read ends the connection; an exchange under way keeps its own answer's form."""
        self.server.counters.add(f"{self.server.name}.bad_http")
        if self.current is None:
            self.closing = True
            self.current = Exchange(self, HttpRequest(keep=False))
            self.current.answer(status, {}, HTTPStatus(status).phrase.encode() + b"\n")
            self.writer.close(lambda: shut(self.sock))
            since = monotonic_us()
            drain(self.sock, lambda: left(since, DRAIN))

    def _release(self, size: int) -> None:
        self.held -= size
        BODIES.give(size)

    def _leave(self) -> None:
        if self.current is not None:
            self.current.lose()
        self.server.connections.discard(self)
        self._release(self.held)
        self.writer.close()
        self.writer.flushed.wait(PATIENCE)
        end(self.sock)

    # httptools calls these

    def _start(self) -> None:
        self.request, self.url, self.body, self.size, self.head = HttpRequest(), b"", [], 0, 0

    def on_message_begin(self) -> None:
        """A request starts."""
        self.began = monotonic_us()
        self._start()

    def on_url(self, url: bytes) -> None:
        """A part of the target."""
        self.url += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header field."""
        self._count(len(name) + len(value))
        self.request.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def _count(self, size: int) -> None:
        self.head += size
        if self.head > HEAD_MOST:
            raise TooLarge("431")

    def on_headers_complete(self) -> None:
        """The head is in."""
        headers = self.request.headers
        self.request.framed = "content-length" in headers or "transfer-encoding" in headers
        if int(headers.get("content-length") or 0) > self.server.body_most:
            raise TooLarge("413")
        if headers.get("expect", "").lower() == "100-continue" and self.current is None:
            self.writer.put(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """A part of the body."""
        self.size += len(body)
        if self.size > self.server.body_most:
            raise TooLarge("413")
        if not BODIES.take(len(body)):
            raise TooLarge("503")
        self.held += len(body)
        self.body.append(body)

    def on_message_complete(self) -> None:
        """The request is whole."""
        self.began, self.asked = 0, True
        r, target = self.request, urlsplit(self.url.decode("latin-1"))
        r.method, r.version = self.parser.get_method().decode(), self.parser.get_http_version()
        r.keep, r.body = self.parser.should_keep_alive(), b"".join(self.body)
        r.path = unquote(target.path)
        r.params = dict(parse_qsl(target.query, keep_blank_values=True))
        self.waiting.append(r)
        if len(self.waiting) > WAITING_MOST:
            raise TooLarge("429")

    # One exchange after the other

    def _next(self) -> None:
        if self.current is None and self.waiting and not self.closing:
            self.current = Exchange(self, self.waiting.popleft())
            self._release(len(self.current.request.body))
            self.server.handle(self.current.request, self.current)

    def done(self, keep: bool) -> None:
        """The exchange is answered, whole or broken."""
        self.current = None
        self._heard()
        if not keep:
            then = None if self.closing else lambda: end(self.sock)
            self.closing = True
            self.writer.close(then)
        else:
            self._next()


class Exchange:
    """One request's answer: whole by `answer`, or in parts from `begin` to `finish` or `abort`."""

    def __init__(self, connection: Connection, request: HttpRequest) -> None:
        self.connection, self.request = connection, request
        self.on_lost = None
        self.begun = self.over = False
        self.chunked = request.version != "1.0"

    def answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """The whole answer at once."""
        if not self.over and not self.begun:
            self._head(status, headers | {"Content-Length": str(len(body))})
            self.connection.writer.put(body)
            self._done(self.request.keep)

    def json(self, status: int, value: object) -> None:
        """A whole answer in JSON."""
        body = json.dumps(value).encode() + b"\n" if value is not None else b""
        self.answer(status, {"Content-Type": "application/json"}, body)

    def begin(self, headers: dict[str, str]) -> None:
        """The head of an answer in chunks; not for HTTP/1.0, where a broken one could not be told."""
        self.begun = True
        self._head(200, headers | {"Transfer-Encoding": "chunked"})

    def chunk(self, data: bytes) -> None:
        """The next bytes."""
        if data and not self.over:
            self.connection.writer.put(b"%x\r\n" % len(data), data, b"\r\n")

    def finish(self) -> None:
        """The last bytes are out."""
        if not self.over:
            self.connection.writer.put(b"0\r\n\r\n")
            self._done(self.request.keep)

    def abort(self) -> None:
        """Leave the stream visibly broken: no last chunk, and the connection ends."""
        if not self.over:
            self._done(False)

    def lose(self) -> None:
        """The client has left."""
        if not self.over:
            self.over = True
            if self.on_lost is not None:
                self.on_lost()

    def _head(self, status: int, headers: dict[str, str]) -> None:
        if not self.request.keep:
            headers = headers | {"Connection": "close"}
        lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}", *(f"{k}: {v}" for k, v in headers.items())]
        self.connection.writer.put("\r\n".join(lines).encode("latin-1"), b"\r\n\r\n")

    def _done(self, keep: bool) -> None:
        self.over = True
        self.connection.done(keep)
