"""One HTTP request, and the answer to it on its connection."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cypressledge.net.http_server import HttpConnection


@dataclass(slots=True)
class HttpRequest:
    """One HTTP request, filled in as it is parsed."""

    method: str = ""
    path: str = ""
    params: dict[str, str] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)  # by lower-case name
    body: bytes = b""
    version: str = "1.1"
    keep_alive: bool = True
    has_length: bool = False  # it has a Content-Length or Transfer-Encoding header
    rejection: HTTPStatus | None = None  # answered with this status, and not handled
    charged_bytes: int = 0  # reserved for it until it is handled

    def drop_content(self, rejection: HTTPStatus | None = None) -> None:
        """Free the memory of the head and the body; with `rejection`, the request is rejected in its turn."""
        self.headers, self.params, self.body, self.path = {}, {}, b"", ""
        if rejection is not None:
            self.rejection, self.charged_bytes = rejection, 0


class HttpExchange:
    """The answer to one request: complete by `answer`, or in chunks from `begin` to `finish` or `abort`."""

    def __init__(self, connection: "HttpConnection", request: HttpRequest) -> None:
        self.connection, self.request = connection, request
        self.on_disconnect: Callable[[], None] | None = None
        self.has_begun = self.is_finished = False
        self.supports_chunks = request.version != "1.0"

    def answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a complete answer."""
        if not self.is_finished and not self.has_begun:
            self._write_head(status, headers | {"Content-Length": str(len(body))})
            self.connection.writer.write(body)
            self._finish(self.request.keep_alive)

    def json(self, status: int, value: object) -> None:
        """Send a complete answer as JSON; None sends an empty body."""
        body = json.dumps(value).encode() + b"\n" if value is not None else b""
        self.answer(status, {"Content-Type": "application/json"}, body)

    def begin(self, headers: dict[str, str]) -> None:
        """Send the head of a chunked answer; not for HTTP/1.0, where a truncated one is not recognisable."""
        self.has_begun = True
        self._write_head(200, headers | {"Transfer-Encoding": "chunked"})

    def chunk(self, data: bytes) -> None:
        """Send the next bytes of a chunked answer."""
        if data and not self.is_finished:
            self.connection.writer.write(b"%x\r\n" % len(data), data, b"\r\n")

    def finish(self) -> None:
        """End a chunked answer, after all its chunks have been written."""
        if not self.is_finished:
            self.connection.writer.write(b"0\r\n\r\n")
            self._finish(self.request.keep_alive)

    def abort(self) -> None:
        """Close the connection without the last chunk, so that the client recognises a truncated answer."""
        if not self.is_finished:
            self._finish(False)

    def handle_disconnect(self) -> None:
        """Abandon the exchange after the client has closed its connection."""
        if not self.is_finished:
            self.is_finished = True
            if self.on_disconnect is not None:
                self.on_disconnect()

    def _write_head(self, status: int, headers: dict[str, str]) -> None:
        if not self.request.keep_alive:
            headers = headers | {"Connection": "close"}
        status_line = f"HTTP/1.1 {int(status)} {HTTPStatus(status).phrase}"
        lines = [status_line, *(f"{name}: {value}" for name, value in headers.items())]
        self.connection.writer.write("\r\n".join(lines).encode("latin-1"), b"\r\n\r\n")

    def _finish(self, keep_alive: bool) -> None:
        self.is_finished = True
        self.connection.finish_exchange(keep_alive)
