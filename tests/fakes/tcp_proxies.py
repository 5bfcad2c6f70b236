"""TCP proxies between processes, whose directions can be cut. Loopback sockets only."""

import contextlib
from itertools import permutations

import gevent
from gevent import socket
from gevent.server import StreamServer

CHUNK_BYTES = 65_536  # read at once
CONNECT_TIMEOUT_S = 2.0  # to the target


class TcpProxies:
    """A TCP proxy for each ordered pair. A cut one swallows what comes, as a cut line does; healed, it ends
    what was open, so that nothing comes late (`cypressledge.lab.tcp_proxy` holds it back instead)."""

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
        """Where `source` has to connect for `to`."""
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
        """Forward everything again, on new connections."""
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
    """End a connection, which may have ended."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
