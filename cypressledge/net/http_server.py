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
from cypressledge.config import Limits
from cypressledge.net.byte_budget import ByteBudget
from cypressledge.net.connection_registry import ConnectionRegistry, EvictionPriority, eviction_priority
from cypressledge.net.http_exchange import HttpExchange, HttpRequest
from cypressledge.net.http_head import HeadLimitError, HeadLimits, HeadMeter
from cypressledge.net.input_stream import InputStream
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
from cypressledge.net.time_slice import TimeSlice

READ_SIZE = 16 << 10  # bytes per read; the parser consumes all of them
# Of the request target, the header fields and the trailers.
HEAD_LIMITS = HeadLimits(max_size=64 << 10, max_field_size=64 << 10, max_fields=100)
MAX_PARAMETERS = 100  # in the query of a request target
UNCHARGED_HEAD_SIZE = 4096  # bytes of memory that the head of each request may take without a reservation
PARSED_SIZE = 512  # bytes that are parsed at once: they contain few requests
MAX_PIPELINED = 4  # requests queued on one connection, beyond which no more bytes are parsed
RETRY_AFTER = {"Retry-After": "1"}  # seconds; headers of a rejection for lack of memory
QUEUE_POLL_INTERVAL = 0.02  # seconds between checks whether a request has left the queue
# Bytes of requests that are not handled yet, of all connections; default until the configuration is known.
PENDING_REQUESTS = ByteBudget(8 << 20)
MEMORY_SHARE_OF_REQUESTS = 8  # divisor: they may use 1/8 of the spare memory
SEND_QUEUE_LIMIT = 8 << 20  # bytes per connection
SEND_TIMEOUT = 60.0  # seconds; maximum duration of one send
IDLE_TIMEOUT = 30.0  # seconds; maximum idle time between requests
REQUEST_TIMEOUT = 5.0  # seconds from the first byte of a request to its last


class RequestLimitError(Exception):
    """A request that exceeds a limit, with the HTTP status to answer."""

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(str(status.value))
        self.status = status


def limit_pending_requests(limits: Limits) -> None:
    """Apply the memory limit of the deployment to the requests of all HTTP servers of the process."""
    PENDING_REQUESTS.limit = limits.spare_memory // MEMORY_SHARE_OF_REQUESTS


def _status_of_callback_error(err: httptools.HttpParserCallbackError) -> HTTPStatus:
    """Return the status to answer with; the parser wraps the exceptions of its callbacks."""
    cause = err.__context__
    if isinstance(cause, RequestLimitError):
        return cause.status
    if isinstance(cause, HeadLimitError):
        return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    return HTTPStatus.BAD_REQUEST


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
        self._held_bytes = 0  # reserved from `PENDING_REQUESTS`
        self._parsed_body_bytes = 0  # of the bytes that are being parsed, those of bodies
        self._slice = TimeSlice()
        self._input = InputStream()
        self.connected_at = self.last_active_at = monotonic_us()
        self.request_began_at = 0  # µs; first byte of an incomplete request, 0 if there is none
        self.has_requested = False
        self.writer = SocketWriter(sock, SEND_QUEUE_LIMIT, SEND_TIMEOUT, lambda reason: close_socket(sock))
        self._head = HeadMeter(HEAD_LIMITS)
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)  # None: dropped
        self._start_request()
        server.connections.add(self)

    def run(self) -> None:
        """Read requests until the client closes the connection; an open exchange is then abandoned."""
        buffer = ReceiveBuffer(READ_SIZE, read_size=READ_SIZE, uncharged_size=READ_SIZE)
        try:
            while not self.closing and (size := receive(buffer, self.sock, self._wait_for_input)):
                self._mark_active()
                self._input.add(size)
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
            self._slice.begin()
            self._check_connected()
            for begin in range(0, len(received), PARSED_SIZE):
                if self._slice.end_if_over():
                    self._check_connected()
                if len(self.waiting) >= MAX_PIPELINED:
                    self._handle_next()
                self._wait_for_queue()
                self._parse(received[begin : begin + PARSED_SIZE])
            if not self._input.defers_requests():
                self._handle_next()
        except RequestLimitError as err:
            self._reject_input(err.status)
        except HeadLimitError:
            self._reject_input(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        except httptools.HttpParserCallbackError as err:
            self._reject_input(_status_of_callback_error(err))
        except httptools.HttpParserUpgrade:
            # No upgrade is supported. What follows the head cannot be parsed, and a body is a part of that.
            request = self.waiting[-1]
            request.keep_alive = False
            request.rejection = HTTPStatus.BAD_REQUEST if request.has_length else None
            self._end_input()
        except (httptools.HttpParserError, ValueError):
            self._reject_input(HTTPStatus.BAD_REQUEST)

    def _parse(self, received: bytes) -> None:
        """Parse received bytes. Raises `RequestLimitError`, `HeadLimitError` and the parser's errors."""
        if self.parser is None:
            raise RequestLimitError(HTTPStatus.SERVICE_UNAVAILABLE)
        self._parsed_body_bytes = 0
        self.parser.feed_data(received)
        self._head.add_parsed(len(received) - self._parsed_body_bytes)
        if self.request_began_at:
            self._charge_head()

    def _charge_head(self) -> None:
        """Reserve memory for what the incomplete request's head has grown by. Raises `RequestLimitError`."""
        growth = self._head.stored_size - UNCHARGED_HEAD_SIZE - self._charged_head_bytes
        if growth <= 0 or self.request.rejection is not None:
            return
        if self._reserve(growth):
            self._charged_head_bytes += growth
            self.request.charged_bytes += growth
        elif self.parser is None:
            raise RequestLimitError(HTTPStatus.SERVICE_UNAVAILABLE)

    def _reserve(self, size: int) -> bool:
        """Reserve memory for the incomplete request; return False if this connection gave up what it held."""
        if not PENDING_REQUESTS.reserve_for(self, size):
            return False
        self._held_bytes += size
        PENDING_REQUESTS.holders.add(self)
        return True

    def _check_connected(self) -> None:
        """Raise `ConnectionResetError` if the client has closed: what it sent before needs no answer."""
        if peer_has_closed(self.sock):
            raise ConnectionResetError("client closed before its requests were handled")

    def _wait_for_queue(self) -> None:
        """Wait until a request can be queued. Raises `ConnectionResetError` if the client closes."""
        if len(self.waiting) < MAX_PIPELINED:
            return
        while len(self.waiting) >= MAX_PIPELINED and not self.closing:
            self._check_connected()
            sleep(QUEUE_POLL_INTERVAL)
        if self.request_began_at:
            self.request_began_at = monotonic_us()  # the rest of the request was not read meanwhile

    def _wait_for_input(self) -> float:
        """Return the seconds within which bytes must come; handle a request once the client has paused.

        Raises `ConnectionResetError` if the client has closed."""
        pause = self._input.pause()
        if pause is not None:
            return pause
        if self.waiting and self.current is None:
            self._check_connected()
            self._handle_next()
        return self._read_timeout()

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
        """See `BudgetHolder`: the bytes of requests that are not handled yet."""
        return self._held_bytes

    def give_up_bytes(self) -> None:
        """See `BudgetHolder`: drop the requests' contents, and reject them when their turn comes.

        Behind an incomplete head, whose last field is in the parser, the connection's input ends."""
        self.server.counters.add(f"{self.server.name}.bodies_dropped")
        for request in self.waiting:
            request.drop_content(HTTPStatus.SERVICE_UNAVAILABLE)
        if self.request_began_at:
            self.request.drop_content(HTTPStatus.SERVICE_UNAVAILABLE)
            self.body, self.url = bytearray(), b""
            if not self._is_head_complete:
                self.parser = None
        self._release(self._held_bytes)

    def _release(self, size: int) -> None:
        self._held_bytes -= size
        PENDING_REQUESTS.release(size)
        if not self._held_bytes:
            PENDING_REQUESTS.holders.discard(self)

    def _close(self) -> None:
        if self.current is not None:
            self.current.handle_disconnect()
        self.server.connections.discard(self)
        self.parser = None  # it refers to this object, which would be freed only by a garbage collection
        self._release(self._held_bytes)
        self.writer.close()
        self.writer.flushed.wait(SEND_TIMEOUT)
        close_socket(self.sock)

    # Callbacks of the httptools parser

    def _start_request(self) -> None:
        self.request, self.url = HttpRequest(), b""
        self.body = bytearray()  # not a list of parts: a part may be a single byte
        self.body_size = self._charged_head_bytes = 0
        self._is_head_complete = False
        self._head.restart()

    def on_message_begin(self) -> None:
        """Handle the beginning of a request."""
        self.request_began_at = monotonic_us()
        self._start_request()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header field. Raises `HeadLimitError`."""
        self._head.end_field()
        self.request.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Check the declared length and answer `Expect`. Raises `RequestLimitError`, `ValueError`."""
        self._is_head_complete = True
        headers = self.request.headers
        self.request.has_length = "content-length" in headers or "transfer-encoding" in headers
        if int(headers.get("content-length") or 0) > self.server.max_body_size:
            raise RequestLimitError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if headers.get("expect", "").lower() == "100-continue" and self.current is None:
            self.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body. Raises `RequestLimitError`."""
        self.body_size += len(body)
        self._parsed_body_bytes += len(body)
        self._head.restart()
        if self.body_size > self.server.max_body_size:
            raise RequestLimitError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if self.request.rejection is None and self._reserve(len(body)):
            self.request.charged_bytes += len(body)
            self.body += body

    def on_message_complete(self) -> None:
        """Queue the complete request. Raises `ValueError`."""
        self.request_began_at, self.has_requested = 0, True
        request, target = self.request, urlsplit(self.url.decode("latin-1"))
        assert self.parser is not None  # it calls this method
        request.method, request.version = self.parser.get_method().decode(), self.parser.get_http_version()
        request.keep_alive, request.body = self.parser.should_keep_alive(), bytes(self.body)
        request.path = unquote(target.path)
        request.params = dict(parse_qsl(target.query, keep_blank_values=True, max_num_fields=MAX_PARAMETERS))
        self.body, self.url = bytearray(), b""
        self._head.restart()
        self.waiting.append(request)

    # Sequence of exchanges

    def _handle_next(self) -> None:
        if self.current is not None or not self.waiting or self.closing:
            return
        request = self.waiting.popleft()
        self.current = HttpExchange(self, request)
        self._release(request.charged_bytes)
        if request.rejection is None:
            self._handle(request, self.current)
        else:
            headers = RETRY_AFTER if request.rejection is HTTPStatus.SERVICE_UNAVAILABLE else {}
            self.current.answer(request.rejection, headers, request.rejection.phrase.encode() + b"\n")
        request.drop_content()  # the exchange may stay open for long

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
