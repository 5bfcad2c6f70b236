"""The answer to one query over HTTP, to which the core passes rows and errors."""

import math
from http import HTTPStatus
from typing import TYPE_CHECKING

from cypressledge.broker.requests import EngineFault, Query, Request
from cypressledge.net.clickhouse.errors import ErrorCode, answer_error
from cypressledge.net.http_exchange import HttpExchange
from cypressledge.tenants import Tenant

if TYPE_CHECKING:
    from cypressledge.net.clickhouse.frontend import ClickHouseFrontend

ROWS_HEADERS = {
    "Content-Type": "text/tab-separated-values; charset=UTF-8",
    "X-ClickHouse-Format": "TabSeparated",
}
MAX_DRAIN_WAIT = 1.0  # seconds; one wait for the client to read


class ClickHouseReply:
    """`ReplyHandler` of the core for one request over HTTP."""

    def __init__(
        self, frontend: "ClickHouseFrontend", query: Query, tenant: Tenant, exchange: HttpExchange
    ) -> None:
        self.frontend, self.query, self.tenant, self.exchange = frontend, query, tenant, exchange
        waits_for_end = exchange.request.params.get("wait_end_of_query", "0") != "0"
        self.supports_streaming = exchange.supports_chunks and not waits_for_end
        self.request: Request | None = None

    def open(self) -> None:
        """Count the query as open until it is answered or its client disconnects."""
        self.frontend.open_queries.add(self.query.id)
        self.tenant.open_requests += 1
        self.exchange.on_disconnect = self._handle_disconnect

    def _close(self) -> None:
        self.frontend.open_queries.discard(self.query.id)
        self.tenant.open_requests -= 1

    def _handle_disconnect(self) -> None:
        """Withdraw the request of a client that has closed its connection, also in the middle of the rows."""
        self.frontend.counters.add("clickhouse.client_disconnected")
        self._close()
        if self.request is not None:
            self.frontend.core.ledger.client_disconnected(self.request)

    def _id_header(self) -> dict[str, str]:
        return {"X-ClickHouse-Query-Id": self.query.id}

    def send_rows(self, rows: bytes) -> None:
        """Send the next rows of a chunked answer."""
        if self.exchange.is_finished:
            return
        if not self.exchange.has_begun:
            self.exchange.begin(self._id_header() | ROWS_HEADERS)
        self.exchange.chunk(rows)

    def wait_until_drained(self) -> bool:
        """Wait at most `MAX_DRAIN_WAIT` for the client to read; return whether it has."""
        return self.exchange.is_finished or self.exchange.connection.writer.below_low_water.wait(
            MAX_DRAIN_WAIT
        )

    def complete(self, rows: bytes) -> None:
        """Answer with all rows, or with the rest after `send_rows`, and end the answer."""
        if not self.exchange.is_finished:
            self._close()
            if self.supports_streaming:
                self.send_rows(rows)
                self.exchange.finish()
            else:
                self.exchange.answer(200, self._id_header() | ROWS_HEADERS, rows)

    def reject(self, retry_after: int) -> None:
        """Answer that the query was not executed and may safely be repeated after `retry_after` µs."""
        if not self.exchange.is_finished:
            self._close()
            headers = self._id_header() | {"Retry-After": str(max(math.ceil(retry_after / 1e6), 1))}
            code = ErrorCode.TOO_MANY_SIMULTANEOUS_QUERIES
            answer_error(self.exchange, code, 503, "Too many simultaneous queries", headers)

    def fail(self, fault: EngineFault) -> None:
        """Answer that the query may have been executed; a partial answer is left visibly incomplete."""
        if self.exchange.is_finished:
            return
        self._close()
        if self.exchange.has_begun:
            self.frontend.counters.add("clickhouse.broken_streams")
            self.exchange.abort()
        else:
            code, status = fault.code or ErrorCode.NETWORK_ERROR, fault.status
            if status == HTTPStatus.SERVICE_UNAVAILABLE:  # in an answer, it means that nothing was executed
                code, status = ErrorCode.NETWORK_ERROR, HTTPStatus.INTERNAL_SERVER_ERROR
            answer_error(self.exchange, code, status, fault.text, self._id_header())
