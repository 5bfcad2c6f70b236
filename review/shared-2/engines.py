"""A stand-in engine with the line protocol of PROTOCOL, and a JSON-RPC client; standard library only."""

import base64
import json
import secrets
import socket
import threading
from collections.abc import Callable

ROW_WIDTH = 60


def make_pages(name: str, count: int, size: int = 5_900) -> list[bytes]:
    """Return `count` pages of whole rows of three columns; each row names the query that it was made for."""
    pages = []
    for page in range(count):
        row = f"{name}\t{page}\t".encode()
        row += b"x" * (ROW_WIDTH - len(row) - 1) + b"\n"
        pages.append(row * (size // len(row)))
    return pages


class LineEngine:
    """A sound engine: answers each query at once with `page_count` pages, unless `gate` holds it back."""

    def __init__(self, page_count: int = 1, page_size: int = 5_900) -> None:
        self.page_count, self.page_size = page_count, page_size
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = self.sock.getsockname()[1]
        self.ran: list[str] = []  # ids of the queries that were executed, in order
        self.gate: threading.Event | None = None
        self.on_want: Callable[[str, dict[str, str]], None] | None = None
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
        results: dict[str, list[bytes]] = {}
        lock = threading.Lock()

        def say(name: str, word: str, fields: str, body: bytes = b"") -> None:
            """Send one message."""
            with lock:
                conn.sendall(f"{name} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")

        def answer(name: str) -> None:
            """Send page 0 once the gate is open."""
            try:
                if self.gate is not None:
                    self.gate.wait(60)
                self.ran.append(name)
                results[name] = make_pages(name, self.page_count, self.page_size)
                say(name, "200", f"count={self.page_count}", results[name][0])
            except OSError:
                pass

        file = conn.makefile("rb")
        try:
            while line := file.readline():
                words = line.decode().split()
                if words[0] == "want":
                    file.read(int(words[3]) + 2)
                    if self.on_want is not None:
                        fields = dict(f.split("=", 1) for f in words[2].split(",")) if words[2] != "-" else {}
                        self.on_want(words[1], fields)
                    if self.gate is None or self.gate.is_set():
                        answer(words[1])
                    else:
                        threading.Thread(target=answer, args=(words[1],), daemon=True).start()
                elif words[0] == "turn":
                    pages = results.get(words[1])
                    if pages is None:
                        say(words[1], "500", "-")
                    else:
                        say(words[1], "chunk", f"pos={words[2]}", pages[int(words[2])])
                elif words[0] in ("shut", "never_mind"):
                    results.pop(words[1], None)
                elif words[0] == "there":
                    say(words[1], "alive", "-")
        except (OSError, ValueError):
            pass
        finally:
            conn.close()


class Client:
    """A client with one connection of JSON-RPC; `mss` and `receive_buffer` are those of its own socket."""

    def __init__(self, port: int, mss: int = 0, receive_buffer: int = 0) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if mss:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, mss)
        if receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.sock.settimeout(40)
        self.sock.connect(("127.0.0.1", port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.file = self.sock.makefile("rb")
        self.number = 0
        self.names: dict[int, str] = {}

    def ask(
        self,
        method: str,
        wait_ms: int,
        statement: bytes = b"SELECT a, b, c FROM sales_17.orders",
        cost: float = 50.0,
        **more: object,
    ) -> int:
        """Send one query; return its number on the connection."""
        self.number += 1
        name = self.names[self.number] = secrets.token_hex(8)
        params = {
            "id": name,
            "wait": wait_ms,
            "tenant": "sahel",
            "cost": cost,
            "mem": 10,
            "content": base64.b64encode(statement).decode(),
        } | more
        body = json.dumps({"jsonrpc": "2.0", "id": self.number, "method": method, "params": params}).encode()
        self.sock.sendall(b"Content-Length: %d\r\n\r\n" % len(body) + body)
        return self.number

    def get(self) -> dict | None:
        """Return the next message; None when the connection has ended, at whatever byte."""
        try:
            size = None
            while (line := self.file.readline()).strip():
                if line.lower().startswith(b"content-length:"):
                    size = int(line.split(b":")[1])
            if size is None:
                return None
            body = self.file.read(size)
            return json.loads(body) if len(body) == size else None
        except OSError:
            return None
