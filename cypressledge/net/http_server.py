"""HTTP/1.1 server: one exchange at a time on each connection."""

import traceback
from collections.abc import Callable
from http import HTTPStatus

from gevent import sleep, socket, spawn_later

from cypressledge.broker.metrics import Counters, log
from cypressledge.clock import monotonic_us
from cypressledge.net.connection_registry import ConnectionRegistry, EvictionPriority, eviction_priority
from cypressledge.net.http_exchange import HttpExchange, HttpRequest
from cypressledge.net.http_request_parser import InvalidInputError, RequestParser, UpgradeRequestedError
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
PARSED_SIZE = 512  # bytes that are parsed at once: they contain few requests
MAX_PIPELINED = 4  # requests queued on one connection, beyond which no more bytes are parsed
RETRY_AFTER = {"Retry-After": "1"}  # seconds; headers of a rejection for lack of memory
QUEUE_POLL_INTERVAL = 0.02  # seconds between checks whether a request has left the queue
SEND_QUEUE_LIMIT = 8 << 20  # bytes per connection
SEND_TIMEOUT = 60.0  # seconds; maximum duration of one send
IDLE_TIMEOUT = 30.0  # seconds; maximum idle time between requests
REQUEST_TIMEOUT = 5.0  # seconds from the first byte of a request to its last


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
    """One client's connection, whose requests are handled one after the other."""

    def __init__(self, server: HttpServer, sock: socket.socket) -> None:
        self.server, self.sock = server, sock
        self.requests = RequestParser(server.max_body_size, self._allow_body, self._count_dropped)
        self.current: HttpExchange | None = None
        self.closing = False
        self.shutdown_at = 0  # µs; when the broker's side was shut down, 0 if it was not
        self._slice = TimeSlice()
        self._input = InputStream()
        self.connected_at = self.last_active_at = monotonic_us()
        self.processing = False  # received bytes are being processed
        self.writer = SocketWriter(sock, SEND_QUEUE_LIMIT, SEND_TIMEOUT, lambda reason: close_socket(sock))
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
            if self.requests.began_at:
                self._reject_input(HTTPStatus.REQUEST_TIMEOUT)
        except OSError:
            pass
        finally:
            self._close()

    def _process(self, received: bytes) -> None:
        """Parse received bytes and handle the requests in them; others run meanwhile."""
        self.processing = True
        try:
            self._parse(received)
        except InvalidInputError as err:
            self._reject_input(err.status)
        except UpgradeRequestedError:  # no upgrade is supported, and a body is a part of what follows
            request = self.requests.waiting[-1]
            request.keep_alive = False
            request.rejection = HTTPStatus.BAD_REQUEST if request.has_length else None
            self._end_input()
        finally:
            self.processing = False

    def _parse(self, received: bytes) -> None:
        """Parse received bytes in small parts; pause while enough requests are queued.

        Raises `ConnectionResetError` if the client closes meanwhile, and the errors of the parser."""
        self._slice.begin()
        for begin in range(0, len(received), PARSED_SIZE):
            self._slice.end_if_over()
            if len(self.requests.waiting) >= MAX_PIPELINED:
                self._handle_next()
            self._wait_for_queue()
            self.requests.feed(received[begin : begin + PARSED_SIZE])
        if self.requests.waiting and not self._input.defers_requests():
            self._handle_next()

    def _wait_for_queue(self) -> None:
        """Wait until a request can be queued. Raises `ConnectionResetError` if the client closes."""
        requests = self.requests
        if len(requests.waiting) < MAX_PIPELINED:
            return
        while len(requests.waiting) >= MAX_PIPELINED and not self.closing:
            if peer_has_closed(self.sock):
                raise ConnectionResetError("client closed while its requests were queued")
            sleep(QUEUE_POLL_INTERVAL)
        if requests.began_at:
            requests.began_at = monotonic_us()  # the rest of the request was not read meanwhile

    def _wait_for_input(self) -> float:
        """Return the seconds within which bytes must come; handle a request once the client has paused."""
        pause = self._input.pause()
        if pause is not None:
            return pause
        self._handle_next()
        return self._read_timeout()

    def _read_timeout(self) -> float:
        """Return the seconds within which the client must send more bytes.

        A client must not occupy a connection with no request or an incomplete one."""
        if self.requests.began_at:
            return remaining_seconds(self.requests.began_at, REQUEST_TIMEOUT)
        if self.current is not None:
            return IDLE_TIMEOUT
        if self.has_requested:
            return remaining_seconds(self.last_active_at, IDLE_TIMEOUT)
        return remaining_seconds(self.connected_at, FIRST_MESSAGE_TIMEOUT)

    def _mark_active(self) -> None:
        self.last_active_at = monotonic_us()
        self.server.connections.mark_active(self)

    @property
    def has_requested(self) -> bool:
        """See `ClientConnection`."""
        return self.requests.has_completed

    def eviction_priority(self, now: int) -> EvictionPriority:
        """See `ClientConnection`; busy while a request is received, waits or is being answered."""
        is_receiving = self.processing or self.requests.began_at or self.requests.waiting
        is_busy = bool(self.current or is_receiving or self.writer.sending)
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
        self.requests.waiting.append(HttpRequest(keep_alive=False, rejection=status))
        self._end_input()

    def _end_input(self) -> None:
        """Read no further requests, but answer the queued ones, of which the last one ends the connection.

        Input is discarded meanwhile, so that a close by the client is detected."""
        self._handle_next()
        discard_until_closed(self.sock, self._linger_timeout)

    def _allow_body(self) -> None:
        """Answer `Expect: 100-continue`, unless answers to earlier requests have to be sent first."""
        if self.current is None and not self.requests.waiting:
            self.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _count_dropped(self) -> None:
        self.server.counters.add(f"{self.server.name}.bodies_dropped")

    def _close(self) -> None:
        if self.current is not None:
            self.current.handle_disconnect()
        self.server.connections.discard(self)
        self.requests.close()
        self.writer.close()
        self.writer.flushed.wait(SEND_TIMEOUT)
        close_socket(self.sock)

    # Sequence of exchanges

    def _handle_next(self) -> None:
        if self.current is not None or not self.requests.waiting or self.closing:
            return
        request = self.requests.take()
        self.current = HttpExchange(self, request)
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
