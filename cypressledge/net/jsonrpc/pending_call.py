"""One open call of a connection: what the core answers to."""

import base64
from typing import TYPE_CHECKING

from cypressledge.broker.requests import EngineFault, Request
from cypressledge.net.jsonrpc.errors import ErrorCode

if TYPE_CHECKING:
    from cypressledge.net.jsonrpc.connection import JsonRpcConnection


class PendingCall:
    """A call that is not answered yet; the core's `ReplyHandler` for its request."""

    supports_streaming = False

    def __init__(self, connection: "JsonRpcConnection", call_id: int) -> None:
        self.connection, self.call_id = connection, call_id
        self.request: Request | None = None

    def cancel(self) -> None:
        """The client waits no longer."""
        self.connection.open_calls.pop(self.call_id, None)
        if self.request is not None:
            self.connection.core.ledger.client_disconnected(self.request)

    def complete(self, rows: bytes) -> None:
        """Answer with all rows."""
        if self._close():
            content = base64.b64encode(rows).decode()
            message = {"jsonrpc": "2.0", "id": self.call_id, "result": {"content": content}}
            self.connection.send(message)

    def send_rows(self, rows: bytes) -> None:
        """Never called, as `supports_streaming` is False."""
        raise NotImplementedError("JSON-RPC answers are complete")

    def wait_until_drained(self) -> bool:
        """Never waits: the rows are held until all are there."""
        return True

    def reject(self, retry_after: int) -> None:
        """Answer that trying again is harmless after so many µs."""
        if self._close():  # a call withdrawn a moment ago is owed no answer either
            data = {"after": retry_after // 1000}
            self.connection.send_error(self.call_id, ErrorCode.REJECTED, "refused: try again", data)

    def fail(self, fault: EngineFault) -> None:
        """Answer that it may have run."""
        if self._close():
            self.connection.send_error(self.call_id, ErrorCode.FAILED, fault.text)

    def _close(self) -> bool:
        """Close the call; False if it was closed before, and is owed no answer."""
        return self.connection.open_calls.pop(self.call_id, None) is not None
