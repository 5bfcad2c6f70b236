"""HTTP/1.1 server, parsed by httptools: one exchange at a time on each connection."""

import traceback
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qsl, unquote, urlsplit

import httptools
from gevent import sleep, socket, spawn_later

from cypressledge.broker.metrics import Counters, log
from cypressledge.clock import monotonic_us
from cypressledge.net.byte_budget import ByteBudget
from cypressledge.net.connection_registry import ConnectionRegistry, EvictionPriority, eviction_priority
from cypressledge.net.http_exchange import HttpExchange, HttpRequest
from cypressledge.net.listener import Listener
from cypressledge.net.receive_buffer import ReceiveBuffer
from cypressledge.net.socket_io import (
    FIRST_MESSAGE_TIMEOUT,
    LINGER_TIMEOUT,
    Address,
    IdleTimeoutError,
    close_socket,
    discard_until_closed,
    flush_connections,
    peer_has_closed,
    receive,
    remaining_seconds,
    shutdown_write,
)
from cypressledge.net.socket_writer import SocketWriter

READ_SIZE = 16 << 10  # bytes per read; the parser consumes all of them
MAX_HEAD_SIZE = 64 << 10  # bytes without a body's part: request target and header fields, or trailers
PARSED_SIZE = 512  # bytes that are parsed at once: they contain few requests
MAX_PIPELINED = 4  # requests queued on one connection, beyond which no more bytes are parsed
RETRY_AFTER = {"Retry-After": "1"}  # seconds; headers of a rejection for lack of memory
QUEUE_POLL_INTERVAL = 0.02  # seconds between checks whether a request has left the queue
# Bytes of bodies whose requests are not handled yet, of all connections; default until the configuration is
# known.
REQUEST_BODIES = ByteBudget(8 << 20)
SEND_QUEUE_LIMIT = 8 << 20  # bytes per connection
SEND_TIMEOUT = 60.0  # seconds; maximum duration of one send
IDLE_TIMEOUT = 30.0  # seconds; maximum idle time between requests
REQUEST_TIMEOUT = 5.0  # seconds from the first byte of a request to its last


class RequestLimitError(Exception):
    """A request that exceeds a limit, with the HTTP status to answer."""

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(str(status.value))
        self.status = status


class HttpServer:
    """HTTP server that passes each complete request to `handle(request, exchange)`, which must not block."""

    def __init__(
        self,
        address: Address,
        counters: Counters,
        name: str,
        max_body_size: int,
        handle: Callable[[HttpRequest, HttpExchange], None],
    ) -> None:
        """`name` identifies the server in counters; `max_body_size` is in bytes."""
        self.handle, self.max_body_size, self.counters, self.name = handle, max_body_size, counters, name
        self.connections: ConnectionRegistry[HttpConnection] = ConnectionRegistry()
        self.listener = Listener(
            address, counters, name, lambda sock: HttpConnection(self, sock).run(), self.connections
        )

    def flush(self, seconds: float) -> None:
        """Send all queued answers, and wait up to `seconds` for clients to close their connections."""
        flush_connections(self.connections, seconds)


class HttpConnection:
    """One client's connection and its queue of pipelined requests. httptools calls the `on_` methods."""

    def __init__(self, server: HttpServer, sock: socket.socket) -> None:
        self.server, self.sock = server, sock
        self.waiting: deque[HttpRequest] = deque()
        self.current: HttpExchange | None = None
        self.closing = False
        self.shutdown_at = 0  # µs; when the broker's side was shut down, 0 if it was not
        self._held_bytes = 0  # reserved from `REQUEST_BODIES`
        self.connected_at = self.last_active_at = monotonic_us()
        self.request_began_at = 0  # µs; first byte of an incomplete request, 0 if there is none
        self.has_requested = False
        self.writer = SocketWriter(sock, SEND_QUEUE_LIMIT, SEND_TIMEOUT, lambda reason: close_socket(sock))
        self.parser = httptools.HttpRequestParser(self)
        self._start_request()
        server.connections.add(self)

    def run(self) -> None:
        """Read requests until the client closes the connection; an open exchange is then abandoned."""
        buffer = ReceiveBuffer(READ_SIZE, read_size=READ_SIZE, uncharged_size=READ_SIZE)
        try:
            while not self.closing and receive(buffer, self.sock, self._read_timeout):
                self._mark_active()
                self._process(buffer.take_all())
            if self.closing:
                discard_until_closed(self.sock, self._linger_timeout)
        except IdleTimeoutError:
            self.server.counters.add(f"{self.server.name}.idle")
            if self.request_began_at:
                self._reject_input(HTTPStatus.REQUEST_TIMEOUT)
        except OSError:
            pass
        finally:
            self._close()

    def _process(self, received: bytes) -> None:
        """Parse received bytes and handle the requests in them; pause while enough requests are queued."""
        try:
            for begin in range(0, len(received), PARSED_SIZE):
                self._wait_for_queue()
                self._parse(received[begin : begin + PARSED_SIZE])
                self._handle_next()
        except RequestLimitError as err:
            self._reject_input(err.status)
        except httptools.HttpParserCallbackError as err:
            # The parser wraps exceptions of its callbacks; unwrap a limit error to answer with its status.
            cause = err.__context__
            status = cause.status if isinstance(cause, RequestLimitError) else HTTPStatus.BAD_REQUEST
            self._reject_input(status)
        except httptools.HttpParserUpgrade:
            # No upgrade is supported. What follows the head cannot be parsed, and a body is a part of that.
            request = self.waiting[-1]
            request.keep_alive = False
            request.rejection = HTTPStatus.BAD_REQUEST if request.has_length else None
            self._end_input()
        except (httptools.HttpParserError, ValueError):
            self._reject_input(HTTPStatus.BAD_REQUEST)

    def _parse(self, received: bytes) -> None:
        """Parse received bytes. Raises `RequestLimitError` and the parser's errors.

        The parser holds a header field until its end has been received, so its callbacks cannot limit it."""
        self.head_size += len(received)
        self.parser.feed_data(received)
        if self.head_size > MAX_HEAD_SIZE:
            raise RequestLimitError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _wait_for_queue(self) -> None:
        """Wait until a request can be queued. Raises `ConnectionResetError` if the client closes."""
        if len(self.waiting) < MAX_PIPELINED:
            return
        while len(self.waiting) >= MAX_PIPELINED and not self.closing:
            if peer_has_closed(self.sock):
                raise ConnectionResetError("client closed while its requests were queued")
            sleep(QUEUE_POLL_INTERVAL)
        if self.request_began_at:
            self.request_began_at = monotonic_us()  # the rest of the request was not read meanwhile

    def _read_timeout(self) -> float:
        """Return the seconds within which the client must send more bytes.

        A client must not occupy a connection with no request or an incomplete one."""
        if self.request_began_at:
            return remaining_seconds(self.request_began_at, REQUEST_TIMEOUT)
        if self.current is not None:
            return IDLE_TIMEOUT
        if self.has_requested:
            return remaining_seconds(self.last_active_at, IDLE_TIMEOUT)
        return remaining_seconds(self.connected_at, FIRST_MESSAGE_TIMEOUT)

    def _mark_active(self) -> None:
        self.last_active_at = monotonic_us()
        self.server.connections.mark_active(self)

    def eviction_priority(self, now: int) -> EvictionPriority:
        """See `ClientConnection`; busy while an exchange is open or an answer is being sent."""
        is_busy = bool(self.current or self.request_began_at or self.writer.sending)
        return eviction_priority(now, self.connected_at, self.last_active_at, self.has_requested, is_busy)

    def close_idle(self) -> None:
        """Make room for another client: shut down the broker's side, and read nothing more."""
        self.server.connections.mark_closing(self)
        self._shut_down()

    def _shut_down(self) -> None:
        """Read no further requests, and shut down the broker's side once all answers are sent.

        Closing the socket with unread bytes would reset the connection, and the last answer could be lost."""
        self.closing = True
        self.writer.close(self._handle_all_sent)

    def _handle_all_sent(self) -> None:
        self.shutdown_at = monotonic_us()
        self.server.connections.mark_closing(self)
        shutdown_write(self.sock)
        spawn_later(LINGER_TIMEOUT, close_socket, self.sock)

    def _linger_timeout(self) -> float:
        return remaining_seconds(self.shutdown_at, LINGER_TIMEOUT) if self.shutdown_at else LINGER_TIMEOUT

    def _reject_input(self, status: HTTPStatus) -> None:
        """Answer input that cannot be read with an error, after the requests before it, and read no more."""
        self.server.counters.add(f"{self.server.name}.bad_http")
        self.waiting.append(HttpRequest(keep_alive=False, rejection=status))
        self._end_input()

    def _end_input(self) -> None:
        """Read no further requests, but answer the queued ones, of which the last one ends the connection.

        Input is discarded meanwhile, so that a close by the client is detected."""
        self._handle_next()
        discard_until_closed(self.sock, self._linger_timeout)

    @property
    def held_bytes(self) -> int:
        """See `BudgetHolder`: the bytes of bodies whose requests are not handled yet."""
        return self._held_bytes

    def give_up_bytes(self) -> None:
        """See `BudgetHolder`: drop the bodies, and reject their requests when their turn comes."""
        self.server.counters.add(f"{self.server.name}.bodies_dropped")
        is_incomplete = self.request_began_at != 0
        for request in (*self.waiting, *([self.request] if is_incomplete else [])):
            request.rejection, request.body = HTTPStatus.SERVICE_UNAVAILABLE, b""
        self.body.clear()
        self._release(self._held_bytes)

    def _release(self, size: int) -> None:
        self._held_bytes -= size
        REQUEST_BODIES.release(size)
        if not self._held_bytes:
            REQUEST_BODIES.holders.discard(self)

    def _close(self) -> None:
        if self.current is not None:
            self.current.handle_disconnect()
        self.server.connections.discard(self)
        self._release(self._held_bytes)
        self.writer.close()
        self.writer.flushed.wait(SEND_TIMEOUT)
        close_socket(self.sock)

    # Callbacks of the httptools parser

    def _start_request(self) -> None:
        self.request, self.url = HttpRequest(), b""
        self.body = bytearray()  # not a list of parts: a part may be a single byte
        self.body_size = self.head_size = 0

    def on_message_begin(self) -> None:
        """Handle the beginning of a request."""
        self.request_began_at = monotonic_us()
        self._start_request()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header field."""
        self.request.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Check the declared length and answer `Expect`. Raises `RequestLimitError`, `ValueError`."""
        headers = self.request.headers
        self.request.has_length = "content-length" in headers or "transfer-encoding" in headers
        if int(headers.get("content-length") or 0) > self.server.max_body_size:
            raise RequestLimitError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if headers.get("expect", "").lower() == "100-continue" and self.current is None:
            self.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body. Raises `RequestLimitError`."""
        self.body_size += len(body)
        self.head_size = 0
        if self.body_size > self.server.max_body_size:
            raise RequestLimitError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if self.request.rejection is None and REQUEST_BODIES.reserve_for(self, len(body)):
            self._held_bytes += len(body)
            REQUEST_BODIES.holders.add(self)
            self.body += body

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self.request_began_at, self.has_requested, self.head_size = 0, True, 0
        request, target = self.request, urlsplit(self.url.decode("latin-1"))
        request.method, request.version = self.parser.get_method().decode(), self.parser.get_http_version()
        request.keep_alive, request.body = self.parser.should_keep_alive(), bytes(self.body)
        request.path = unquote(target.path)
        request.params = dict(parse_qsl(target.query, keep_blank_values=True))
        self.waiting.append(request)

    # Sequence of exchanges

    def _handle_next(self) -> None:
        if self.current is not None or not self.waiting or self.closing:
            return
        request = self.waiting.popleft()
        self.current = HttpExchange(self, request)
        self._release(len(request.body))
        if request.rejection is None:
            self._handle(request, self.current)
        else:
            headers = RETRY_AFTER if request.rejection is HTTPStatus.SERVICE_UNAVAILABLE else {}
            self.current.answer(request.rejection, headers, request.rejection.phrase.encode() + b"\n")

    def _handle(self, request: HttpRequest, exchange: HttpExchange) -> None:
        try:
            self.server.handle(request, exchange)
        except Exception:  # whatever a handler raises, the request must be answered
            self.server.counters.add(f"{self.server.name}.handler_errors")
            log(f"{self.server.name}: a request failed:\n{traceback.format_exc()}")
            if exchange.has_begun:
                exchange.abort()
            else:
                exchange.answer(HTTPStatus.INTERNAL_SERVER_ERROR, {}, b"internal error\n")

    def finish_exchange(self, keep_alive: bool) -> None:
        """End the current exchange, answered completely or not, and handle the next request or close."""
        self.current = None
        self._mark_active()
        if keep_alive:
            self._handle_next()
        elif not self.closing:
            self._shut_down()
