"""The broker process whose messages are recorded, its engines, and calls of its addresses to the byte."""

import json
import socket

from cypressledge.lab.site import free_port
from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine, stream_rows
from tests.fakes.fake_engines import ROW, FakeLineEngine, page_rows
from tests.fakes.service_file import ENVIRONMENT, KEY, TENANT, TOKEN, service_file
from tests.fakes.support import WAIT

LOGIN = f"X-ClickHouse-User: {TENANT}\r\nX-ClickHouse-Key: {KEY}\r\n"
HTTP_STATEMENT = b"SELECT a, b, c FROM sales_17.orders"


class RecordingFile:
    """A binary file that keeps what was read from it."""

    def __init__(self, file, kept: list[bytes]) -> None:
        self.file, self.kept = file, kept

    def readline(self) -> bytes:
        line = self.file.readline()
        self.kept.append(line)
        return line

    def read(self, size: int) -> bytes:
        raw = self.file.read(size)
        self.kept.append(raw)
        return raw


class RecordedClickHouseEngine(FakeClickHouseEngine):
    """Keeps the bytes of each request."""

    def __init__(self, play=None) -> None:
        self.raw: list[bytes] = []
        super().__init__(play)

    def serve(self, conn, file) -> None:
        super().serve(conn, RecordingFile(file, self.raw))


def exchange(port: int, raw: bytes) -> bytes:
    """Send on a connection of its own; all that comes until the peer closes."""
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT) as sock:
        sock.sendall(raw)
        received = b""
        while chunk := sock.recv(65536):
            received += chunk
    return received


class WireBroker:
    """A broker with an engine on each wire, and the ports of its fronts."""

    def __init__(self, case: BrokerTestCase) -> None:
        self.line_engine = case.engine(kind=FakeLineEngine)
        self.clickhouse_engine = case.engine(stream_rows(ROW, page_rows(1)), kind=RecordedClickHouseEngine)
        self.clickhouse_port, self.admin_port, self.management_port = free_port(), free_port(), free_port()
        self.process = case.broker(
            self.line_engine,
            env=ENVIRONMENT,
            change={"management": f"127.0.0.1:{self.management_port}"},
            service=service_file(self.clickhouse_port, self.admin_port),
        )
        self.jsonrpc_port = self.process.port

    def http(
        self,
        target: str,
        body: bytes = HTTP_STATEMENT,
        method: str = "POST",
        login: str = LOGIN,
        version: str = "1.1",
    ) -> bytes:
        """A call of the ClickHouse front; the answer's bytes."""
        head = f"{method} {target} HTTP/{version}\r\nHost: b\r\n{login}Connection: close\r\n"
        length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
        raw = f"{head}{length}\r\n".encode() + (body if method == "POST" else b"")
        return exchange(self.clickhouse_port, raw)

    def api(self, method: str, path: str, value=None, token: str = TOKEN) -> bytes:
        """A call of the administration API; the answer's bytes."""
        body = b"" if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: b\r\nAuthorization: Bearer {token}\r\n"
            f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return exchange(self.admin_port, head.encode() + body)
