"""TCP proxies between processes on the loopback interface, each direction of which can be cut."""

import contextlib
from itertools import permutations

import gevent
from gevent import socket
from gevent.server import StreamServer

CHUNK_BYTES = 65_536  # largest read
CONNECT_TIMEOUT_S = 2.0  # s; limit for the connection to the target


class TcpProxies:
    """A TCP proxy for each ordered pair of processes.

    The proxy drops the data of a cut direction. `heal` closes all open connections, so that no data arrives
    late (`cypressledge.lab.tcp_proxy` holds the data back instead).
    """

    def __init__(self, ports: dict[str, int]) -> None:
        self.cut: set[tuple[str, str]] = set()
        self.open: list[socket.socket] = []
        self.servers = {}
        for pair in permutations(ports, 2):
            server = StreamServer(
                ("127.0.0.1", 0), lambda sock, _, pair=pair: self._connect(pair, ports[pair[1]], sock)
            )
            server.start()
            self.servers[pair] = server

    def address(self, source: str, to: str) -> str:
        """Return the address at which `source` reaches `to` through the proxy."""
        return f"127.0.0.1:{self.servers[source, to].server_port}"

    def _connect(self, pair: tuple[str, str], port: int, sock: socket.socket) -> None:
        try:
            target = socket.create_connection(("127.0.0.1", port), CONNECT_TIMEOUT_S)
        except OSError:
            return
        target.settimeout(None)
        self.open += [sock, target]
        responses = gevent.spawn(self._forward, pair[::-1], target, sock)
        self._forward(pair, sock, target)
        responses.join()

    def _forward(self, direction: tuple[str, str], source: socket.socket, to: socket.socket) -> None:
        try:
            while raw := source.recv(CHUNK_BYTES):
                if direction not in self.cut:
                    to.sendall(raw)
        except OSError:
            pass
        for sock in (source, to):
            shut_down(sock)

    def heal(self) -> None:
        """Remove all cuts and close the open connections; new ones are forwarded again."""
        self.cut.clear()
        for sock in self.open:
            shut_down(sock)
        self.open.clear()

    def close(self) -> None:
        """Stop the proxies and end all connections."""
        self.heal()
        for server in self.servers.values():
            server.stop()


def shut_down(sock: socket.socket) -> None:
    """Shut down a connection, which may already be closed."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
