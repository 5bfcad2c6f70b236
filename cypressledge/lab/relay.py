"""Relays between processes: for datagrams, which drop, delay, copy and reorder them, and for connections,
which can be cut. Loopback sockets only."""

import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from cypressledge.lab.site import free_port


@dataclass(slots=True)
class Path:
    """How one direction between two brokers behaves. `delay`: seconds, from and to."""

    cut: bool = False
    loss: float = 0.0
    copies: float = 0.0
    delay: tuple[float, float] = (0.0, 0.0)


class Relays:
    """A relay for each ordered pair: what `a` sends to `address(a, b)` reaches `b`, if its path lets it."""

    def __init__(
        self, ports: dict[str, int], seed: int, between: Callable[[str, str], bool] = lambda a, b: True
    ) -> None:
        """`between`: which pairs have a relay; all, where nothing is said."""
        self.ports, self.random = ports, random.Random(seed)
        self.paths = {(a, b): Path() for a in ports for b in ports if a != b and between(a, b)}
        self.socks: dict[tuple[str, str], socket.socket] = {}
        self.parts = []
        self.passed = self.dropped = self.copied = self.delayed = 0
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for pair in self.paths:
            sock = self.socks[pair] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(("127.0.0.1", 0))
            self.parts.append(gevent.spawn(self._run, pair, sock))

    def address(self, source: str, to: str) -> str:
        """Where `source` has to send what is meant for `to`."""
        return f"127.0.0.1:{self.socks[source, to].getsockname()[1]}"

    def _run(self, pair: tuple[str, str], sock) -> None:
        target = ("127.0.0.1", self.ports[pair[1]])
        while True:
            try:
                raw, _ = sock.recvfrom(65_536)
            except OSError:
                return
            self._pass(self.paths[pair], raw, target)

    def _pass(self, path: Path, raw: bytes, target: tuple[str, int]) -> None:
        if path.cut or (path.loss and self.random.random() < path.loss):
            self.dropped += 1
            return
        twice = path.copies and self.random.random() < path.copies
        self.copied += bool(twice)
        for _ in range(2 if twice else 1):
            wait = self.random.uniform(*path.delay)
            if wait:
                self.delayed += 1
                gevent.spawn_later(wait, self._send, raw, target)
            else:
                self._send(raw, target)

    def _send(self, raw: bytes, target: tuple[str, int]) -> None:
        self.passed += 1
        try:
            self.sender.sendto(raw, target)
        except OSError:
            self.dropped += 1  # nobody listens there just now

    def heal(self) -> None:
        """All paths are whole."""
        for pair in self.paths:
            self.paths[pair] = Path()

    def close(self) -> None:
        """End all relays."""
        gevent.killall(self.parts)
        for sock in (*self.socks.values(), self.sender):
            sock.close()


def udp_ports(names: list[str]) -> dict[str, int]:
    """A free UDP port for each."""
    ports: dict[str, int] = {}
    while len(ports) < len(names):
        port = free_port(socket.SOCK_DGRAM)
        if port not in ports.values():
            ports[names[len(ports)]] = port
    return ports


class TcpRelay:
    """One address on the loopback whose connections go on to `target`, unless it is cut. `how` of a cut:
    silent (bytes stand still, as over a path that drops everything) or reset (connections end)."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target, self.is_cut, self.how = target, False, "silent"
        self.whole = Event()
        self.whole.set()
        self.pairs: set[tuple] = set()
        self.stale: set[tuple] = set()  # open when it was cut: they don't come to life again
        self.bytes = 0
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self) -> str:
        """Where to connect to, HOST:PORT."""
        return f"127.0.0.1:{self.server.server_port}"

    def cut(self, how: str) -> None:
        """From now on nothing passes."""
        self.is_cut, self.how = True, how
        self.whole.clear()
        if how == "reset":
            self._end(set(self.pairs))
        else:
            self.stale = set(self.pairs)

    def heal(self) -> None:
        """New connections pass again; those that stood still end."""
        self.is_cut = False
        stale, self.stale = self.stale, set()
        self._end(stale)
        self.whole.set()

    def _serve(self, near, _) -> None:
        if self.is_cut and self.how == "reset":
            return
        self.whole.wait()  # silent: taken by the system, and nothing comes of it until the heal
        try:
            far = socket.create_connection(self.target, 2.0)
        except OSError:
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (near, far)
        self.pairs.add(pair)
        back = gevent.spawn(self._pump, far, near)
        try:
            self._pump(near, far)
            back.join()
        finally:
            self.pairs.discard(pair)
            self.stale.discard(pair)
            far.close()

    def _pump(self, source, to) -> None:
        try:
            while data := source.recv(65_536):
                self.whole.wait()
                self.bytes += len(data)
                to.sendall(data)
            to.shutdown(socket.SHUT_WR)
        except OSError:
            self._shut(source, to)  # guards against a half that waits for ever for a peer that was reset

    def _end(self, pairs: set[tuple]) -> None:
        for pair in pairs:
            self._shut(*pair)

    @staticmethod
    def _shut(*socks) -> None:
        for sock in socks:
            with contextlib.suppress(OSError):  # it is closed already
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """End it and all that goes through it."""
        self._end(set(self.pairs))
        self.whole.set()
        self.server.stop(timeout=0.1)
