"""Runs one attempt at one engine: sends the request, reads the response and reports the outcome."""

import contextlib
from typing import TYPE_CHECKING
from urllib.parse import urlencode

from gevent import Timeout, sleep, socket, spawn

from cypressledge.broker.requests import Attempt, EngineFault
from cypressledge.clock import monotonic_us
from cypressledge.decisions.contract import Outcome
from cypressledge.net.clickhouse.engine_response import EngineResponse, EngineResult
from cypressledge.net.clickhouse.errors import ErrorCode
from cypressledge.net.clickhouse.statements import StatementKind, quote, statement_kind
from cypressledge.net.receive_buffer import ReceiveBuffer
from cypressledge.net.time_slice import TimeSlice

if TYPE_CHECKING:
    from cypressledge.net.clickhouse.transport import ClickHouseTransport

READ_SIZE = 64 << 10  # bytes
PARSED_SIZE = 8 << 10  # bytes that are parsed at once
MAX_KILL_RESPONSE_SIZE = 4096  # bytes that are read of the response to KILL QUERY
BACKPRESSURE_POLL_INTERVAL = 0.001  # seconds between checks whether the core has consumed the rows
MIN_REMAINING = 1000  # µs; minimum execution time that an engine is given
PRIORITIES = {0: 4, 1: 3, 2: 2, 3: 1}  # ClickHouse's priority (1 is the highest) by the decisions' priority


class EngineExchange:
    """One attempt on one connection, run in its own greenlet."""

    def __init__(self, transport: "ClickHouseTransport", attempt: Attempt) -> None:
        self.transport, self.attempt, self.core = transport, attempt, transport.core
        self.sock: socket.socket | None = None
        self.cancelled = self.sent = False
        self._slice = TimeSlice()
        self.response = EngineResponse(transport.core, attempt, self._shut_socket)

    def run(self) -> None:
        """Send the statement, read the response, and report the outcome exactly once unless cancelled."""
        try:
            result = self._exchange()
        except (Exception, Timeout) as err:  # whatever an engine sends, the attempt must end
            self.core.counters.add("clickhouse.connection_errors")
            text = f"engine connection broke: {type(err).__name__}"
            result = EngineResult(self._broken_outcome(), EngineFault(text, ErrorCode.NETWORK_ERROR))
        if self.sock is not None:
            if not self.cancelled and self.response.allows_reuse():
                self.transport.keep_idle(self.attempt.endpoint, self.sock)
            else:
                self.transport.close(self.sock)
        rows = bytes(self.response.buffered) if result.outcome is Outcome.OK else b""
        self.response.close()
        if not self.cancelled:
            self.core.ledger.attempt_ended(self.attempt, result.outcome, rows, result.fault)

    def _broken_outcome(self) -> Outcome:
        """Return the outcome after the connection could not be established or was lost."""
        if self.sent:
            return Outcome.RESET
        return Outcome.CONNECT_FAILED if self.sock is None else Outcome.NOT_SENT

    def cancel(self) -> None:
        """Cancel the attempt by closing its connection; a running write is also killed by its query id."""
        if self.cancelled:
            return
        self.cancelled = True
        self._shut_socket()
        is_running = self.sent and not self.response.is_complete
        statement = self.attempt.query.statement.decode("latin-1")
        if is_running and statement_kind(statement) is not StatementKind.READ:
            spawn(self._kill)

    def _shut_socket(self) -> None:
        """Shut the connection down, which ends a read on it and the work of the engine."""
        if self.sock is not None:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def _kill(self) -> None:
        query = f"KILL QUERY WHERE query_id = '{quote(self.attempt.query.id)}' ASYNC"
        try:
            sock = self.transport.connect(self.attempt.endpoint)
        except (OSError, Timeout):
            return
        try:
            with Timeout(self.transport.limits.connect_timeout_s):
                sock.sendall(self._encode_request({}, query.encode()))
                sock.recv(MAX_KILL_RESPONSE_SIZE)
            self.core.counters.add("clickhouse.kills")
        except (OSError, Timeout):
            pass
        finally:
            self.transport.close(sock)

    def _exchange(self) -> EngineResult:
        attempt, response = self.attempt, self.response
        endpoint = attempt.endpoint
        self.sock = self.transport.take_idle(endpoint) or self.transport.connect(endpoint)
        may_send = attempt.may_be_sent(monotonic_us())
        if self.cancelled or not may_send or not self.core.engines.is_current(endpoint):
            return EngineResult(Outcome.NOT_SENT)  # drained, cancelled or abandoned before the send
        self.sent = True
        with Timeout(max((attempt.deadline - monotonic_us()) / 1e6, MIN_REMAINING / 1e6)):
            self.sock.sendall(self._encode_request(self._settings(), attempt.query.statement))
        self.core.counters.reply(attempt.query.class_name, "dispatches")
        buffer = ReceiveBuffer(READ_SIZE, read_size=READ_SIZE, uncharged_size=READ_SIZE)
        while not response.is_complete and not self.cancelled:
            if not buffer.receive(self.sock):
                raise ConnectionResetError("engine closed the connection before the end of its response")
            self._feed(buffer)
            self._wait_for_consumer()
        return response.result()

    def _feed(self, buffer: ReceiveBuffer) -> None:
        """Parse the received bytes in small parts: each may contain much progress to report."""
        self._slice.begin()
        while (part := buffer.take_part(PARSED_SIZE)) and not self.cancelled:
            self.response.feed(part)
            self._slice.end_if_over()

    def _wait_for_consumer(self) -> None:
        """Wait for the core and the client to consume rows, so that the engine is read no faster."""
        while self.attempt.unread_bytes > READ_SIZE and not self.cancelled:
            sleep(BACKPRESSURE_POLL_INTERVAL)
        while (
            self.attempt.request.streaming_attempt
            and not self.cancelled
            and not self.attempt.request.reply.wait_until_drained()
        ):
            pass

    def _settings(self) -> dict[str, str]:
        attempt, query = self.attempt, self.attempt.query
        remaining = max(attempt.deadline - monotonic_us(), MIN_REMAINING) / 1e6
        settings = {
            "query_id": query.id,
            "workload": query.class_name,
            "max_execution_time": f"{remaining:.3f}",
            "priority": str(PRIORITIES[attempt.request.priority]),
            "default_format": "TabSeparated",
            "cancel_http_readonly_queries_on_client_close": "1",
            "send_progress_in_http_headers": "1",
            "http_headers_progress_interval_ms": "1000",
        }
        if query.key:
            settings["insert_deduplication_token"] = query.key
        if attempt.request.grant_mb >= 1:
            settings["max_memory_usage"] = str(int(attempt.request.grant_mb) << 20)
        return settings

    def _encode_request(self, settings: dict[str, str], statement: bytes) -> bytes:
        host, port = self.attempt.endpoint.address
        head = (
            f"POST /?{urlencode(settings)} HTTP/1.1\r\nHost: {host}:{port}\r\n"
            f"{self.transport.login_headers}Content-Length: {len(statement)}\r\n\r\n"
        )
        return head.encode() + statement
