"""An engine's HTTP response, parsed by httptools: status, exception, progress and rows."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import httptools

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.requests import Attempt, EngineFault
from cypressledge.decisions.contract import Outcome, ProgressKind
from cypressledge.net.byte_budget import ByteBudget
from cypressledge.net.http_head import HeadLimits, HeadMeter

MAX_RESULT_SIZE = 8 << 20  # bytes; maximum size of a result that is buffered, not streamed
# Bytes of all responses that are held: buffered results, and unfinished header fields in the parsers; default
# until the configuration is known.
BUFFERED_RESPONSES = ByteBudget(8 << 20)
# While a query runs, its engine reports the progress in a header field of about 150 bytes each second.
HEAD_LIMITS = HeadLimits(max_size=1 << 20, max_field_size=64 << 10, max_fields=10_000)
UNCHARGED_HEAD_SIZE = 1024  # bytes of a head that each response may hold without a reservation
MAX_EXCEPTION_TAG_SIZE = 256  # bytes
MAX_ERROR_SIZE = 16 << 10  # bytes; longer error texts are cut off
NEVER_EXECUTED_CODES = frozenset((0, 202, 439))  # exception codes; with HTTP 503, nothing was executed
FINAL_STATUSES = frozenset((400, 404, 413, 501))  # HTTP; the statement is invalid, so no engine can run it


class ResponsesTooLargeError(ValueError):
    """A response was dropped because all of them together hold too much."""

    def __init__(self) -> None:
        super().__init__("buffered responses together hold too much")


@dataclass(frozen=True, slots=True)
class EngineResult:
    """The outcome of an attempt at its engine."""

    outcome: Outcome
    fault: EngineFault | None = None  # None if there is no error text for the client


class EngineResponse:
    """The response to one attempt. httptools calls the `on_` methods; an exception in them ends the exchange.

    An engine may send more than the response: one under the id of another query in front of it, or a second
    copy behind it. Neither becomes a part of the answer.
    """

    def __init__(self, core: BrokerCore, attempt: Attempt, on_give_up: Callable[[], None]) -> None:
        """`on_give_up` must end the exchange; it is called when other results need the memory of this one."""
        self.core, self.attempt = core, attempt
        self._on_give_up = on_give_up
        self._held_bytes = 0  # reserved from `BUFFERED_RESPONSES`
        self._held_head_bytes = 0  # the part of them that an unfinished header field takes
        self._head = HeadMeter(HEAD_LIMITS)
        self._body_bytes = 0  # of the bytes that are being parsed, those of the body
        self.status = 0  # HTTP status; 0 until it is received
        self.exception_code = 0
        self.exception_tag = b""  # marks the beginning of an exception in the middle of the rows
        self.buffered = bytearray()  # rows that are not streamed, or an error text
        self.unscanned = b""  # the last bytes received, which may be the beginning of a tag
        self.is_complete = False
        self._is_foreign = False  # the response that is being parsed names another query
        self._has_surplus = False  # something followed the complete response
        self._has_progressed = False  # the engine has reported that it reads rows
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)  # None: closed

    def feed(self, received: bytes) -> None:
        """Parse received bytes. Raises `httptools.HttpParserError` unless the response is complete.

        Raises `ValueError` if the head exceeds its limits, and if what was received before was dropped: the
        socket may still hold received bytes."""
        if self._parser is None:
            raise ResponsesTooLargeError
        self._body_bytes = 0
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError:
            if not self.is_complete:
                raise
            self._has_surplus = True
        if self.is_complete:
            self._hold_head(0)
        else:
            self._head.add_parsed(len(received) - self._body_bytes)
            self._hold_head(max(self._head.unfinished_size - UNCHARGED_HEAD_SIZE, 0))

    def _hold_head(self, size: int) -> None:
        """Change the number of bytes that are reserved for the head. Raises `ResponsesTooLargeError`."""
        growth = size - self._held_head_bytes
        if growth > 0:
            self._reserve(growth)
        else:
            BUFFERED_RESPONSES.release(-growth)
            self._held_bytes += growth
        self._held_head_bytes = size

    def _reserve(self, size: int) -> None:
        """Reserve bytes for what is held. Raises `ResponsesTooLargeError`."""
        if not BUFFERED_RESPONSES.reserve_for(self, size):
            raise ResponsesTooLargeError
        self._held_bytes += size
        BUFFERED_RESPONSES.holders.add(self)

    @property
    def held_bytes(self) -> int:
        """See `BudgetHolder`: the bytes of buffered rows and of an unfinished header field."""
        return self._held_bytes

    def give_up_bytes(self) -> None:
        """See `BudgetHolder`: drop what is held, and end the exchange, whose result is no longer complete."""
        self.core.counters.add("clickhouse.results_dropped")
        self.close()
        self._on_give_up()

    def close(self) -> None:
        """Drop the buffered rows and what the parser holds, and return their bytes to the budget."""
        self.buffered.clear()
        self._parser = None  # it refers to this object, which would be freed only by a garbage collection
        BUFFERED_RESPONSES.release(self._held_bytes)
        self._held_bytes = self._held_head_bytes = 0
        BUFFERED_RESPONSES.holders.discard(self)

    def allows_reuse(self) -> bool:
        """Return whether the connection may be used for a further exchange."""
        if self._parser is None or not self.is_complete:
            return False
        return not self._has_surplus and self._parser.should_keep_alive()

    def result(self) -> EngineResult:
        """Return the outcome of the attempt after a complete response."""
        if self.status == 200 and not self.exception_code:
            return EngineResult(Outcome.OK)
        text = self.buffered.decode("utf-8", "replace").strip() or f"engine answered {self.status}"
        fault = EngineFault(text, self.exception_code, self.status if self.status >= 400 else 500)
        if self.status == 503 and self.exception_code in NEVER_EXECUTED_CODES and not self._has_progressed:
            return EngineResult(Outcome.REJECTED, fault)
        if self.status in FINAL_STATUSES:
            fault = EngineFault(text, self.exception_code, self.status, final=True)
        return EngineResult(Outcome.ERROR, fault)

    # Callbacks of the httptools parser

    def on_message_begin(self) -> None:
        """Handle the beginning of a response, or of what follows the complete one."""
        if self.is_complete:
            self._has_surplus = True
            return
        self._is_foreign = False
        self.status = self.exception_code = 0
        self.exception_tag = b""
        self._head.restart()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle one header field; progress arrives in headers while the query runs. Raises `ValueError`."""
        if self.is_complete:
            return
        self._head.end_field()
        name = name.lower()
        if name == b"x-clickhouse-exception-code":
            self.exception_code = int(value)
        elif name == b"x-clickhouse-exception-tag":
            if len(value) > MAX_EXCEPTION_TAG_SIZE:
                raise ValueError("exception tag is too long")
            self.exception_tag = b"\r\n__exception__\r\n" + value
        elif name == b"x-clickhouse-query-id":
            self._is_foreign = value.decode("latin-1") != self.attempt.query.id
        elif name == b"x-clickhouse-progress" and not self._is_foreign:
            self._handle_progress(value)

    def _handle_progress(self, value: bytes) -> None:
        progress = json.loads(value)
        total = int(progress.get("total_rows_to_read") or 0)
        if total > 0:
            fraction = min(int(progress.get("read_rows") or 0) / total, 1.0)
            self._has_progressed |= fraction > 0
            self.core.ledger.attempt_progressed(self.attempt, ProgressKind.PROGRESS, fraction)

    def on_headers_complete(self) -> None:
        """Store the HTTP status."""
        if not self.is_complete and self._parser is not None:
            self.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Handle a part of the body: rows, or the text of an error. Raises `ValueError`."""
        self._body_bytes += len(body)
        self._head.restart()
        if self.is_complete or self._is_foreign:
            return
        if self.status != 200 or self.exception_code:
            self.buffered += body[: MAX_ERROR_SIZE - len(self.buffered)]
        elif self.exception_tag:
            self._scan_for_exception(body)
        else:
            self._handle_rows(body)

    def _scan_for_exception(self, body: bytes) -> None:
        """Pass rows on, but raise `ValueError` on an exception in the middle of the stream.

        The last bytes are kept back until the next part, as the exception's tag may be split."""
        body = self.unscanned + body
        if self.exception_tag in body:
            raise ValueError("engine sent an exception in the middle of the rows")
        keep = len(self.exception_tag) - 1
        self.unscanned = body[-keep:]
        self._handle_rows(body[:-keep])

    def _handle_rows(self, rows: bytes) -> None:
        if not rows:
            return
        if self.attempt.request.reply.supports_streaming:
            self.core.ledger.rows_received(self.attempt, rows)
            return
        if len(self.buffered) + len(rows) > MAX_RESULT_SIZE:
            raise ValueError(f"result that cannot be streamed exceeds {MAX_RESULT_SIZE} bytes")
        self._reserve(len(rows))
        self.buffered += rows

    def on_message_complete(self) -> None:
        """Mark the response as complete at the HTTP level, and pass on the last rows."""
        if self.is_complete:
            return
        if self._is_foreign:
            self.core.counters.add("clickhouse.foreign_responses")
            return
        if self.status < HTTPStatus.OK:  # an interim response, which the final one follows
            return
        if self.unscanned:
            self._handle_rows(self.unscanned)
        self.is_complete = True
