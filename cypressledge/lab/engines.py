"""Fake engines on the line protocol, which answer after a delay or not at all. Loopback only."""

import gevent
from gevent import socket
from gevent.server import StreamServer

ROW = b"1\tbread\t12.5\n"


def directory_member(name: str, port: int, zone: str) -> dict:
    """Return an engine on the loopback as a directory lists it."""
    return {
        "id": name,
        "host_port": f"127.0.0.1:{port}",
        "locality": zone,
        "cell": 0,
        "flavor": "node-8c",
        "phase": "Ready",
        "size": 4,
        "up_since_ms": 0,
    }


class LabEngine:
    """A fake engine. `work_s`: how long a query takes; `silent`: it accepts queries and never answers."""

    def __init__(self, name: str, zone: str, work_s: float = 0.02) -> None:
        self.name = name
        self.zone = zone
        self.work_s = work_s
        self.silent = False
        self.asked = self.answered = 0
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def member(self) -> dict:
        """Return the engine as a directory lists it."""
        return directory_member(self.name, self.server.server_port, self.zone)

    def _serve(self, conn: socket.socket, _peer: tuple[str, int]) -> None:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        file = conn.makefile("rb")
        try:
            while line := file.readline():
                words = line.decode().split()
                if words[0] == "want":
                    file.read(int(words[3]) + 2)
                    self.asked += 1
                    gevent.spawn(self._work, conn, words[1])
        except (OSError, ValueError, IndexError):
            pass

    def _work(self, conn: socket.socket, name: str) -> None:
        gevent.sleep(self.work_s)
        if self.silent:
            return
        try:
            conn.sendall(f"{name} 200 count=1 {len(ROW)}\r\n".encode() + ROW + b"\r\n")
            self.answered += 1
        except OSError:
            pass  # the broker has closed the connection

    def close(self) -> None:
        """Stop the engine's server."""
        self.server.stop(timeout=0.1)
