"""Stand-ins of the hosted service's surroundings: a ClickHouse engine over HTTP and a DNS-SD name server.

The name server uses dnspython, which the program itself requires; all else is the standard library.
"""

import contextlib
import http.client
import secrets
import socket
import struct
import threading
from collections.abc import Callable
from hashlib import sha256
from typing import BinaryIO, NamedTuple
from urllib.parse import parse_qs, urlsplit

import dns.message
import dns.rrset
from fleet import Broker
from harness import Case, call, free_port, wait_for

TENANT_KEY = "a-key-of-the-sales-office"
SERVICE = "_clickhouse-http._tcp.cluster.lan."


def reset(conn: socket.socket, file: BinaryIO) -> None:
    """End a connection with a reset, as when the process at its other end dies."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    file.close()
    conn.close()


class ClickHouseEngine:
    """An engine: `play(engine, query_id, parameters, statement)` returns the answer, None for no answer.

    Without an answer the connection stays open, or is reset with `resets_without_answer`.

    An answer is (status, exception code, body). KILL QUERY is answered, and has no effect on what has run.
    """

    def __init__(self, name: str, play: Callable, resets_without_answer: bool = False) -> None:
        self.name, self.play, self.resets_without_answer = name, play, resets_without_answer
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.sock.getsockname()[1]
        self.open: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def die(self) -> None:
        """Close the listener and reset all connections, as when the process is killed."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for conn in self.open:
            with contextlib.suppress(OSError):
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                # The reading thread still holds the descriptor: detach, so that this close is the last one.
                socket.close(conn.detach())

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            self.open.append(conn)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        file = conn.makefile("rb")
        try:
            while target := file.readline().split():
                size = 0
                while (line := file.readline()).strip():
                    if line.lower().startswith(b"content-length:"):
                        size = int(line.split(b":")[1])
                body = file.read(size)
                parameters = {k: v[0] for k, v in parse_qs(urlsplit(target[1].decode()).query).items()}
                if body.startswith(b"KILL QUERY"):
                    conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                name = parameters.get("query_id", "")
                answer = self.play(self, name, parameters, body)
                if answer is None:
                    if self.resets_without_answer:
                        reset(conn, file)
                        return
                    continue  # the answer is lost; the connection stays open
                status, code, rows = answer
                error = f"X-ClickHouse-Exception-Code: {code}\r\n" if code else ""
                head = (
                    f"HTTP/1.1 {status} Answer\r\nX-ClickHouse-Query-Id: {name}\r\n{error}"
                    f"Content-Length: {len(rows)}\r\n\r\n"
                )
                conn.sendall(head.encode() + rows)
        except (OSError, ValueError):
            pass
        finally:
            conn.close()


class NameServer:
    """Answers DNS-SD queries for the engines, with all records in one answer."""

    def __init__(self, engines: list[ClickHouseEngine], kind: str) -> None:
        self.engines, self.kind = engines, kind
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                raw, peer = self.sock.recvfrom(8192)
            except OSError:
                return
            query = dns.message.from_wire(raw)
            answer = dns.message.make_response(query)
            if query.question[0].name.to_text() == SERVICE:
                names = [f"{engine.name}.{SERVICE}" for engine in self.engines]
                answer.answer.append(dns.rrset.from_text_list(SERVICE, 1, "IN", "PTR", names))
                for engine, name in zip(self.engines, names, strict=True):
                    records = (
                        ("SRV", f"0 0 {engine.port} host.cluster.lan."),
                        ("TXT", f'"txtvers=1" "kind={self.kind}" "zone=sfax-room1"'),
                    )
                    for record_type, text in records:
                        answer.additional.append(dns.rrset.from_text(name, 1, "IN", record_type, text))
                address = dns.rrset.from_text("host.cluster.lan.", 1, "IN", "A", "127.0.0.1")
                answer.additional.append(address)
            self.sock.sendto(answer.to_wire(max_size=8000), peer)


class Table:
    """What the engines of one group have applied; they drop a repeat of a deduplication token."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._tokens: set[str] = set()
        self.applied: dict[str, int] = {}  # by row: how often

    def insert(self, row: str, token: str) -> bool:
        """Apply a row unless it is a repeat under a known token; return whether it was applied."""
        with self._lock:
            if token and token in self._tokens:
                return False
            self._tokens.add(token)
            self.applied[row] = self.applied.get(row, 0) + 1
            return True


class HostedService:
    """A broker with the hosted service before these engines, and a tenant's INSERTs over HTTP."""

    def __init__(
        self,
        case: Case,
        engines: list[ClickHouseEngine],
        settings: dict | None = None,
        memory_mb: int = 192,
    ) -> None:
        self.case, self.port, admin_port = case, free_port(), free_port()
        self.name_server = NameServer(engines, "node-16c")
        service = self.service_file = case.tmp / "clickhouse.toml"
        service.write_text(
            f'[clickhouse]\nlisten = "127.0.0.1:{self.port}"\n\n'
            '[engines]\nuser = "broker"\nkey_env = "CYPRESSLEDGE_ENGINE_KEY"\n\n'
            f'[dns_sd]\nserver = "127.0.0.1:{self.name_server.port}"\nservice = "{SERVICE.rstrip(".")}"\n\n'
            f'[admin]\nlisten = "127.0.0.1:{admin_port}"\ntoken_env = "CYPRESSLEDGE_ADMIN_TOKEN"\n\n'
            f'[[tenant]]\nname = "sales-office"\nkey_sha256 = "{sha256(TENANT_KEY.encode()).hexdigest()}"\n',
            encoding="utf-8",
        )
        self.broker = Broker(
            case,
            "n1",
            {},
            f"--service {service}",
            settings=settings,
            memory_mb=memory_mb,
            CYPRESSLEDGE_ENGINE_KEY="engine-key",
            CYPRESSLEDGE_ADMIN_TOKEN="an-admin-token-of-24-ch",
        ).wait_until_ready()
        wait_for(lambda: call(self.port, "GET", "/ping")[0] == 200, "the engines to be found")

    def insert(self, statement: str, parameters: str = "", timeout: float = 25.0) -> "Answer":
        """Send one statement under a new query id, as a client of the README does; return the answer."""
        name = secrets.token_hex(8)
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=timeout)
        try:
            headers = {"X-ClickHouse-User": "sales-office", "X-ClickHouse-Key": TENANT_KEY}
            self.case.record.write(f"client sends {name} ({parameters or 'no parameters'}): {statement}")
            connection.request("POST", f"/?query_id={name}{parameters}", statement.encode(), headers)
            response = connection.getresponse()
            text = response.read().decode("utf-8", "replace").strip()
            answer = Answer(
                response.status,
                response.getheader("X-ClickHouse-Exception-Code", ""),
                int(response.getheader("Retry-After", "0")),
                text,
            )
        except (OSError, http.client.HTTPException) as err:
            answer = Answer(0, "", 0, repr(err))
        finally:
            connection.close()
        self.case.record.write(
            f"client has for {name}: HTTP {answer.status}, exception code {answer.code or '-'}, "
            f"Retry-After {answer.retry_after or '-'}: {answer.text}"
        )
        return answer


class Answer(NamedTuple):
    """An answer as the client has it; `status` 0: none."""

    status: int
    code: str
    retry_after: int
    text: str
