"""Stand-ins of the hosted service's surroundings: a ClickHouse engine over HTTP and a DNS-SD name server.

The name server uses dnspython, which the program itself requires; all else is the standard library.
"""

import socket
import threading
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import dns.message
import dns.rrset

SERVICE = "_clickhouse-http._tcp.cluster.lan."


class ClickHouseEngine:
    """An engine: `play(engine, query_id, parameters, statement)` returns the answer, None for no answer.

    An answer is (status, exception code, body). KILL QUERY is answered, and has no effect on what has run.
    """

    def __init__(self, name: str, play: Callable) -> None:
        self.name, self.play = name, play
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
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
                    records = (("SRV", f"0 0 {engine.port} host.cluster.lan."),
                               ("TXT", f'"txtvers=1" "kind={self.kind}" "zone=sfax-room1"'))
                    for record_type, text in records:
                        answer.additional.append(dns.rrset.from_text(name, 1, "IN", record_type, text))
                address = dns.rrset.from_text("host.cluster.lan.", 1, "IN", "A", "127.0.0.1")
                answer.additional.append(address)
            self.sock.sendto(answer.to_wire(max_size=8000), peer)
