"""An open call of a JSON-RPC connection, to which the core passes the answer."""

import base64
from typing import TYPE_CHECKING

from cypressledge.broker.requests import EngineFault, Query, Request
from cypressledge.net.jsonrpc.errors import ErrorCode

if TYPE_CHECKING:
    from cypressledge.net.jsonrpc.connection import JsonRpcConnection


class PendingCall:
    """A call that is not answered yet; `ReplyHandler` of the core for its request."""

    supports_streaming = False

    def __init__(self, connection: "JsonRpcConnection", call_id: int, query: Query | None = None) -> None:
        """`query`: that of a call which is not submitted yet."""
        self.connection, self.call_id, self.query = connection, call_id, query
        self.request: Request | None = None

    def cancel(self) -> None:
        """Drop the call, whose client no longer waits for an answer, and withdraw its request."""
        self.connection.open_calls.pop(self.call_id, None)
        if self.request is not None:
            self.connection.core.ledger.client_disconnected(self.request)

    def complete(self, rows: bytes) -> None:
        """Answer with all rows of the result."""
        if self._close():
            content = base64.b64encode(rows).decode()
            message = {"jsonrpc": "2.0", "id": self.call_id, "result": {"content": content}}
            self.connection.send(message)

    def send_rows(self, rows: bytes) -> None:
        """Never called, as `supports_streaming` is False."""
        raise NotImplementedError("JSON-RPC answers cannot be streamed")

    def wait_until_drained(self) -> bool:
        """Return True without waiting: rows are collected until the result is complete."""
        return True

    def reject(self, retry_after: int) -> None:
        """Answer that the query was not executed and may safely be repeated after `retry_after` µs."""
        if self._close():  # a call that has been withdrawn meanwhile gets no answer
            data = {"after": retry_after // 1000}
            self.connection.send_error(self.call_id, ErrorCode.REJECTED, "refused: try again", data)

    def fail(self, fault: EngineFault) -> None:
        """Answer with an error: the query may have been executed."""
        if self._close():
            self.connection.send_error(self.call_id, ErrorCode.FAILED, fault.text)

    def _close(self) -> bool:
        """Close the call; return False if it was closed before and must not be answered."""
        return self.connection.open_calls.pop(self.call_id, None) is not None
