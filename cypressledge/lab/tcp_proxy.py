"""A TCP proxy whose connections can be cut, by dropping bytes silently or by closing. Loopback only."""

import contextlib

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

CHUNK_BYTES = 65_536  # maximum bytes read at once
CONNECT_TIMEOUT_S = 2.0  # s; timeout of connections to the target

SocketPair = tuple[socket.socket, socket.socket]


class TcpProxy:
    """A loopback address whose connections are forwarded to `target`, unless the proxy is cut.

    A cut is "silent" (bytes stall, as on a network path that drops all packets) or "reset" (connections are
    closed).
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.is_cut = False
        self.cut_mode = "silent"
        self.connected = Event()  # set unless cut
        self.connected.set()
        self.pairs: set[SocketPair] = set()  # client's and target's socket of each connection
        self.stale: set[SocketPair] = set()  # open at a silent cut; `heal` closes them, they never resume
        self.bytes = 0  # bytes forwarded in both directions
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self) -> str:
        """The address to connect to, HOST:PORT."""
        return f"127.0.0.1:{self.server.server_port}"

    def cut(self, mode: str) -> None:
        """Forward nothing from now on; `mode` is "silent" or "reset"."""
        self.is_cut = True
        self.cut_mode = mode
        self.connected.clear()
        if mode == "reset":
            self._close_pairs(set(self.pairs))
        else:
            self.stale = set(self.pairs)

    def heal(self) -> None:
        """End the cut: forward new connections again and close those that stalled."""
        self.is_cut = False
        stale, self.stale = self.stale, set()
        self._close_pairs(stale)
        self.connected.set()

    def _serve(self, client: socket.socket, _peer: tuple[str, int]) -> None:
        if self.is_cut and self.cut_mode == "reset":
            return
        self.connected.wait()  # silent cut: the connection is accepted, but not forwarded until `heal`
        try:
            server = socket.create_connection(self.target, CONNECT_TIMEOUT_S)
        except OSError:
            return
        server.settimeout(None)
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (client, server)
        self.pairs.add(pair)
        responses = gevent.spawn(self._pump, server, client)
        try:
            self._pump(client, server)
            responses.join()
        finally:
            self.pairs.discard(pair)
            self.stale.discard(pair)
            server.close()

    def _pump(self, source: socket.socket, destination: socket.socket) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                self.connected.wait()
                self.bytes += len(data)
                destination.sendall(data)
            destination.shutdown(socket.SHUT_WR)
        except OSError:
            # Shut down both sockets, else the other direction would wait forever for a peer that was reset.
            self._shut_down(source, destination)

    def _close_pairs(self, pairs: set[SocketPair]) -> None:
        for pair in pairs:
            self._shut_down(*pair)

    @staticmethod
    def _shut_down(*sockets: socket.socket) -> None:
        for sock in sockets:
            with contextlib.suppress(OSError):  # closed already
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Stop the proxy and close all its connections."""
        self._close_pairs(set(self.pairs))
        self.connected.set()
        self.server.stop(timeout=0.1)
