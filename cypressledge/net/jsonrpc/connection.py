"""One client's JSON-RPC connection: reads calls, writes answers and closes in an orderly way."""

import errno
import json
import traceback
from enum import StrEnum
from functools import partial
from typing import TYPE_CHECKING, Any

from gevent import socket

from cypressledge.broker.event_log import EventKind
from cypressledge.broker.metrics import log
from cypressledge.broker.requests import EngineFault, Query
from cypressledge.clock import monotonic_us
from cypressledge.net.connection_registry import EvictionPriority, eviction_priority
from cypressledge.net.input_stream import InputStream
from cypressledge.net.jsonrpc.errors import ErrorCode, FramingError, JsonRpcError
from cypressledge.net.jsonrpc.framing import Frame, FrameReader, SkipReason, parse_message
from cypressledge.net.jsonrpc.pending_call import PendingCall
from cypressledge.net.jsonrpc.request_ids import UsedRequestIds
from cypressledge.net.receive_buffer import BufferLimitError
from cypressledge.net.socket_io import (
    FIRST_MESSAGE_TIMEOUT,
    LINGER_TIMEOUT,
    IdleTimeoutError,
    close_socket,
    discard_until_closed,
    has_unread_bytes,
    peer_has_closed,
    receive,
    remaining_seconds,
    shutdown_write,
)
from cypressledge.net.socket_writer import SocketWriter
from cypressledge.net.time_slice import TimeSlice

if TYPE_CHECKING:
    from cypressledge.net.jsonrpc.frontend import JsonRpcFrontend

MAX_OPEN_CALLS = 32  # per connection
STATEMENT_BYTES_DIVISOR = 4  # one connection may use 1/4 of the limit on all clients' statement bytes
SEND_QUEUE_LIMIT = 4 << 20  # bytes of answers that a client may leave unread
SEND_TIMEOUT = 30.0  # seconds; maximum duration of one send
MESSAGE_TIMEOUT = 2.0  # seconds from the first byte of a message to its last, unless a call is open
DRAIN_CHECK_INTERVAL = 0.05  # seconds between checks of a draining connection that cannot be closed yet
IDLE_TIMEOUT = 10.0  # seconds without an open call until a connection is closed; most clients close after 4
MAX_ERRORS = 16  # error answers per connection, after which it is drained
MAX_ERRORS_WHILE_DRAINING = 32  # error answers per connection, after which its input is ignored
MAX_REQUEST_ID = 1 << 53
ID_IS_OPEN = EngineFault("id is that of an open request")


class CloseReason(StrEnum):
    """Why a client's connection was closed; for system errors, the `errno` name is used where it is known."""

    CLIENT_CLOSED = "by-client"
    IDLE = "idle"
    FRAMING_ERROR = "framing-error"
    SEND_FAILED = "send-failed"
    EVICTED = "evicted"
    SYSTEM_ERROR = "error"


NORMAL_CLOSE_REASONS = frozenset((CloseReason.CLIENT_CLOSED, CloseReason.IDLE))


class JsonRpcConnection:
    """Reads the calls of one client and sends their answers."""

    def __init__(self, frontend: "JsonRpcFrontend", sock: socket.socket) -> None:
        self.frontend, self.sock, self.core = frontend, sock, frontend.core
        self.counters = frontend.counters
        self.reader = FrameReader(lambda: frontend.counters.add("clients.messages_skipped"))
        self.used_ids = UsedRequestIds()
        self.open_calls: dict[int, PendingCall] = {}
        self._input = InputStream()
        self._unsubmitted: list[PendingCall] = []  # open calls whose client is probably still sending
        self.writer = SocketWriter(sock, SEND_QUEUE_LIMIT, SEND_TIMEOUT, self._handle_send_failure)
        self.connected_at = self.last_active_at = monotonic_us()
        self.message_began_at = 0  # µs; first byte of an incomplete message, 0 if there is none
        self.error_count = 0
        self.has_requested = self.has_answered = False
        self.draining = frontend.draining  # to be closed once all calls are answered
        self.ignores_input = False
        self.processing = False  # received bytes are being processed
        self._slice = TimeSlice()
        self.shutdown_at = 0  # µs; when the broker's side was shut down, 0 if it was not
        self.close_reason = str(CloseReason.CLIENT_CLOSED)
        frontend.connections.add(self)

    def run(self) -> None:
        """Read until the client closes, the framing is invalid, or nothing is received for too long."""
        try:
            while self._receive():
                pass
        except (FramingError, BufferLimitError) as err:
            self._handle_framing_error(err)
        except OSError as err:
            self.close_reason = errno.errorcode.get(err.errno or 0, CloseReason.SYSTEM_ERROR)
        finally:
            self._close()

    def _receive(self) -> bool:
        """Read once and process complete messages; return False once there is nothing more to read."""
        try:
            size = receive(self.reader.buffer, self.sock, self._wait_for_input)
            if not size:
                return False
            self._input.add(size)
            self._process()
            if self._unsubmitted and not self._input.defers_requests():
                self._submit_calls()
            return True
        except IdleTimeoutError:
            # Drain, not close: a request that is being received at this moment is answered first.
            if not self.shutdown_at:
                self.counters.add("clients.idle")
                self.close_reason = CloseReason.IDLE
                self.drain()
                return True
            return False

    def _wait_for_input(self) -> float:
        """Return the seconds within which bytes must come; submit calls once the client has paused."""
        pause = self._input.pause()
        if pause is not None:
            return pause
        self._submit_calls()
        return self._read_timeout()

    def _handle_framing_error(self, err: Exception) -> None:
        """Ignore further input, answer the open calls, and then shut down the broker's side.

        Only the input is unusable: invalid framing, or a message not complete in time, must not cost the
        answers to open calls. Input is discarded meanwhile, so that a close by the client is detected."""
        self.counters.add("clients.framing_errors")
        self.close_reason = CloseReason.FRAMING_ERROR
        self.reader.close()
        self._submit_calls()
        self.send_error(None, ErrorCode.INVALID_REQUEST, f"bad framing: {err}")
        self.ignores_input = True
        self.drain()
        discard_until_closed(self.sock, self._linger_timeout)

    def _linger_timeout(self) -> float:
        return remaining_seconds(self.shutdown_at, LINGER_TIMEOUT) if self.shutdown_at else LINGER_TIMEOUT

    def _process(self) -> None:
        """Process the complete messages. Others run meanwhile, for whom the connection is not idle."""
        self.processing = True
        try:
            self._process_frames()
        finally:
            self.processing = False
        if self.draining:
            self.drain()

    def _process_frames(self) -> None:
        any_complete = False
        self._slice.begin()
        while (frame := self.reader.take()) is not None:
            any_complete = True
            if self.writer.closed:  # received after the shutdown of the broker's side: cannot be answered
                self.counters.add("clients.received_after_shutdown")
                continue
            self._process_message(frame)
            if self.error_count > MAX_ERRORS_WHILE_DRAINING:
                raise FramingError("too many errors")
            self._slice.end_if_over()
        if self.error_count > MAX_ERRORS:
            self.draining = True  # what the client has already written is still answered
        self.has_requested |= any_complete
        self._mark_active()
        if not self.reader.has_incomplete_message():
            self.message_began_at = 0
        elif any_complete or not self.message_began_at:
            self.message_began_at = self.last_active_at

    def _read_timeout(self) -> float:
        """Return the seconds within which the client must send more bytes.

        A client that sends nothing, never completes a message, or withdraws all its calls must get an answer
        or a close within 3 s. A client that has been answered may stay idle."""
        if self.shutdown_at:
            return remaining_seconds(self.shutdown_at, LINGER_TIMEOUT)
        if self.message_began_at:
            return self._message_timeout()
        if self.open_calls:
            return IDLE_TIMEOUT
        if self.draining:
            self.drain()
            if self.shutdown_at:
                return remaining_seconds(self.shutdown_at, LINGER_TIMEOUT)
            return DRAIN_CHECK_INTERVAL
        if self.has_requested and self.has_answered:
            return remaining_seconds(self.last_active_at, IDLE_TIMEOUT)
        return remaining_seconds(self.connected_at, FIRST_MESSAGE_TIMEOUT)

    def _message_timeout(self) -> float:
        """Return the seconds to wait for the rest of a message. Raises `FramingError` if it is overdue.

        While calls are open, the connection stays open for their answers anyway. A client that writes slowly
        may complete its message meanwhile, and must then be answered."""
        if monotonic_us() <= self.message_began_at + MESSAGE_TIMEOUT * 1e6:
            return remaining_seconds(self.message_began_at, MESSAGE_TIMEOUT)
        if not self.open_calls:
            raise FramingError("message not whole in time")
        return MESSAGE_TIMEOUT

    def _mark_active(self) -> None:
        self.last_active_at = monotonic_us()
        self.frontend.connections.mark_active(self)

    # Closing of the connection

    def eviction_priority(self, now: int) -> EvictionPriority:
        """See `ClientConnection`; a connection is busy while a call is open or an answer is being sent."""
        is_busy = bool(self.open_calls or self.message_began_at or self.writer.sending or self.processing)
        return eviction_priority(now, self.connected_at, self.last_active_at, self.has_requested, is_busy)

    def drain(self) -> None:
        """Close the connection once its calls are answered; the next call reaches another process.

        After the last answer the broker's side is shut down; a client that reads the end of the stream
        repeats its call on a new connection, so that no call has to be rejected after a stop. Bytes received
        before the shutdown are read and answered first."""
        self.draining = True
        now = monotonic_us()
        # The first request of a new connection may not have arrived yet.
        is_new = not self.has_requested and now - self.connected_at < FIRST_MESSAGE_TIMEOUT * 1e6
        has_input = is_new or self.message_began_at or self.processing or has_unread_bytes(self.sock)
        if (self.ignores_input or not has_input) and not self.open_calls and not self.shutdown_at:
            self.shutdown_at = now
            self.counters.add("clients.drained")
            self.writer.close(lambda: shutdown_write(self.sock))

    def close_idle(self) -> None:
        """Close the connection to make room for another client, after what has been requested is answered."""
        self.close_reason = CloseReason.EVICTED
        self.frontend.connections.mark_closing(self)
        self.drain()

    def _handle_send_failure(self, reason: str) -> None:
        self.counters.add("clients.send_failed")
        self.close_reason = CloseReason.SEND_FAILED
        close_socket(self.sock)

    def _close(self) -> None:
        self._log_close()
        for call in list(self.open_calls.values()):
            call.cancel()
        self.frontend.connections.discard(self)
        self.reader.close()
        self.writer.detach()
        close_socket(self.sock)

    def _log_close(self) -> None:
        """Count the close; log it as an event unless it is a normal one without open calls."""
        self.counters.add(f"clients_closed.{self.close_reason}")
        if self.open_calls or self.close_reason not in NORMAL_CLOSE_REASONS:
            requests = ",".join(query.id for query in self._open_queries())
            self.core.event_log.write(
                EventKind.CLIENT_CLOSED,
                reason=self.close_reason,
                open=len(self.open_calls),
                requests=requests or "-",
            )

    # Sending of answers

    def send(self, message: dict) -> None:
        """Queue one message to the client."""
        self.has_answered = True
        self._mark_active()
        body = json.dumps(message, separators=(",", ":")).encode()
        self.writer.write(b"Content-Length: %d\r\n\r\n" % len(body), body)
        if self.draining:
            self.drain()

    def send_error(self, call_id: int | None, code: ErrorCode, text: str, data: dict | None = None) -> None:
        """Queue an error; `call_id` is None if the message's id is unknown or belongs to another call."""
        error: dict[str, object] = {"code": code, "message": text}
        if data is not None:
            error["data"] = data
        self.send({"jsonrpc": "2.0", "id": call_id, "error": error})

    # Handling of calls

    def _process_message(self, frame: Frame) -> None:
        call_id = None
        try:
            message = parse_message(frame.body)
            method, call_id = self._method_and_id(message)
            if frame.skip_reason is not None and method in self.frontend.query_parser.classes:
                self._reject_skipped(frame.skip_reason, method, call_id, message.get("params"))
            else:
                self._dispatch(method, call_id, message.get("params"))
        except JsonRpcError as err:
            self.error_count += 1
            self.counters.add(f"rpc_error.{-err.code}")
            self.send_error(call_id, err.code, str(err))
        except Exception:  # whatever a message contains, it must not end the connection's other calls
            self.error_count += 1
            self.counters.add("clients.message_errors")
            log(f"clients: a message failed:\n{traceback.format_exc()}")
            if call_id not in self.open_calls:
                self.send_error(call_id, ErrorCode.INTERNAL_ERROR, "internal error")

    def _method_and_id(self, message: object) -> tuple[str, Any]:
        """Return the method and the id, which must be a new one unless the method is `withdraw`."""
        if not isinstance(message, dict) or message.get("jsonrpc") != "2.0":
            raise JsonRpcError(ErrorCode.INVALID_REQUEST, "not a JSON-RPC 2.0 request")
        method, call_id = message.get("method"), message.get("id")
        if not isinstance(method, str):
            raise JsonRpcError(ErrorCode.INVALID_REQUEST, "no method")
        if method == "withdraw":
            return method, call_id
        if type(call_id) is not int or not 1 <= call_id <= MAX_REQUEST_ID:
            raise JsonRpcError(ErrorCode.INVALID_REQUEST, "id is not a number from 1")
        if not self.used_ids.add(call_id):
            # An error with this id would be a second answer to the call that used it first.
            raise JsonRpcError(ErrorCode.INVALID_REQUEST, f"id {call_id} was used before")
        return method, call_id

    def _dispatch(self, method: str, call_id: Any, params: object) -> None:
        if method == "withdraw":
            self._withdraw(call_id, params)
        elif method == "status":
            self.send({"jsonrpc": "2.0", "id": call_id, "result": {"healthy": self.core.ledger.is_serving()}})
        elif method not in self.frontend.query_parser.classes:
            raise JsonRpcError(ErrorCode.METHOD_NOT_FOUND, f"no method {method[:40]}")
        else:
            query = self.frontend.query_parser.parse(method, params)
            self._submit(query, PendingCall(self, call_id, query))

    def _submit(self, query: Query, call: PendingCall) -> None:
        # One client's statements must not use up the limit for all clients: the others would be rejected.
        held_bytes = sum(len(query.statement) for query in self._open_queries())
        has_too_many_calls = len(self.open_calls) >= MAX_OPEN_CALLS
        holds_too_much = held_bytes > self.core.ledger.max_statement_bytes // STATEMENT_BYTES_DIVISOR
        self.open_calls[call.call_id] = call
        if has_too_many_calls:  # a client that follows the protocol does not get here
            self.error_count += 1
        if has_too_many_calls or holds_too_much:
            self.core.ledger.reject_at_admission(query, call, "connection_full")
        else:
            self._unsubmitted.append(call)

    def _submit_calls(self) -> None:
        """Submit the requests of the calls that are still open, unless the client has closed.

        The calls of a closed client end with its connection, once its end has been read."""
        calls, self._unsubmitted = self._unsubmitted, []
        if not calls or peer_has_closed(self.sock):
            return
        for call in calls:
            if self.open_calls.get(call.call_id) is not call or call.query is None:
                continue  # withdrawn
            if self.core.ledger.is_open(call.query.id):
                call.fail(ID_IS_OPEN)
            else:
                call.query.client_has_closed = partial(peer_has_closed, self.sock)
                call.request = self.core.ledger.submit(call.query, call)

    def _open_queries(self) -> list[Query]:
        """Return the queries of the calls that are submitted, or will be."""
        return [call.query for call in self.open_calls.values() if call.query is not None]

    def _reject_skipped(self, reason: SkipReason, method: str, call_id: int, params: object) -> None:
        """Reject a query whose statement was not stored. Raises `JsonRpcError`."""
        if reason is SkipReason.TOO_LARGE:
            raise JsonRpcError(ErrorCode.INVALID_PARAMS, "message is too long")
        query = self.frontend.query_parser.parse(method, params, has_statement=False)
        call = self.open_calls[call_id] = PendingCall(self, call_id)
        self.core.ledger.reject_at_admission(query, call, "receive_buffers_full")

    def _withdraw(self, call_id: object, params: object) -> None:
        """Cancel a call, named by its own id or by its query's id. A withdrawal is not answered."""
        self.counters.add("withdraws")
        names = [call_id, *(params.values() if isinstance(params, dict) else ())]
        for call in list(self.open_calls.values()):
            if call.call_id in names or call.query is not None and call.query.id in names:
                call.cancel()
