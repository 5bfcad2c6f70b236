"""An engine's HTTP response: status, exception, progress and rows, as httptools parses them."""

import json
from dataclasses import dataclass

import httptools

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.requests import DEADLINE_FAULT, Attempt, EngineFault
from cypressledge.decisions.contract import Outcome, ProgressKind

MAX_RESULT_SIZE = 8 << 20  # bytes of a result that has to be buffered_parts completely
MAX_ERROR_SIZE = 16 << 10  # bytes of an error's text that are kept
NEVER_EXECUTED_CODES = frozenset((0, 202, 439))  # with HTTP 503: rejected before anything ran
FINAL_STATUSES = frozenset((400, 404, 413, 501))  # the statement itself is at fault: no engine can run it


@dataclass(frozen=True, slots=True)
class EngineResult:
    """How an attempt has ended at its engine."""

    outcome: Outcome
    fault: EngineFault | None = None  # None where there is nothing to tell the client


class EngineResponse:
    """One response. httptools calls the `on_` methods; what they raise ends the exchange."""

    def __init__(self, core: BrokerCore, attempt: Attempt) -> None:
        self.core, self.attempt = core, attempt
        self.status = 0  # of HTTP; 0: not received yet
        self.exception_code = 0
        self.exception_tag = b""  # what introduces an exception in the middle of the rows
        self.buffered_parts: list[bytes] = []  # rows that are not streamed, or the text of an error
        self.buffered_size = 0
        self.unscanned = b""  # the last bytes, which may be the beginning of a tag
        self.is_complete = False
        self.parser = httptools.HttpResponseParser(self)

    def allows_reuse(self) -> bool:
        """Whether the connection may be used for a further exchange."""
        return self.is_complete and self.parser.should_keep_alive()

    def result(self) -> EngineResult:
        """How the attempt has ended, of a complete response."""
        if self.status == 200 and not self.exception_code:
            return EngineResult(Outcome.OK)
        text = (
            b"".join(self.buffered_parts).decode("utf-8", "replace").strip()
            or f"engine answered {self.status}"
        )
        fault = EngineFault(text, self.exception_code, self.status if self.status >= 400 else 500)
        if self.status == 503 and self.exception_code in NEVER_EXECUTED_CODES:
            return EngineResult(Outcome.REJECTED, fault)
        if self.status == 504:
            return EngineResult(Outcome.NOT_SENT, DEADLINE_FAULT)
        if self.status in FINAL_STATUSES:
            fault = EngineFault(text, self.exception_code, self.status, final=True)
        return EngineResult(Outcome.ERROR, fault)

    # Called by httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header field; progress comes as headers while the query runs. Raises `ValueError`."""
        name = name.lower()
        if name == b"x-clickhouse-exception-code":
            self.exception_code = int(value)
        elif name == b"x-clickhouse-exception-tag":
            self.exception_tag = b"\r\n__exception__\r\n" + value
        elif name == b"x-clickhouse-progress":
            self._handle_progress(value)

    def _handle_progress(self, value: bytes) -> None:
        progress = json.loads(value)
        total = int(progress.get("total_rows_to_read") or 0)
        if total > 0:
            fraction = min(int(progress.get("read_rows") or 0) / total, 1.0)
            self.core.ledger.attempt_progressed(self.attempt, ProgressKind.PROGRESS, fraction)

    def on_headers_complete(self) -> None:
        """The status is known."""
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Rows, or the text of an error. Raises `ValueError`."""
        if self.status != 200 or self.exception_code:
            if self.buffered_size < MAX_ERROR_SIZE:
                self.buffered_parts.append(body[: MAX_ERROR_SIZE - self.buffered_size])
                self.buffered_size += len(body)
        elif self.exception_tag:
            self._scan_for_exception(body)
        else:
            self._handle_rows(body)

    def _scan_for_exception(self, body: bytes) -> None:
        """Guards against an exception in the middle of a stream passing for rows, also where its tag is
        split."""
        body = self.unscanned + body
        if self.exception_tag in body:
            raise ValueError("exception in the stream")
        keep = len(self.exception_tag) - 1
        self.unscanned = body[-keep:]
        self._handle_rows(body[:-keep])

    def _handle_rows(self, rows: bytes) -> None:
        if not rows:
            return
        if self.attempt.request.reply.supports_streaming:
            self.core.ledger.rows_received(self.attempt, rows)
            return
        self.buffered_size += len(rows)
        if self.buffered_size > MAX_RESULT_SIZE:
            raise ValueError("result too long to be buffered_parts whole")
        self.buffered_parts.append(rows)

    def on_message_complete(self) -> None:
        """The response is complete, as far as HTTP can tell."""
        if self.unscanned:
            self._handle_rows(self.unscanned)
        self.is_complete = True
