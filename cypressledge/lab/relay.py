"""Relays for datagrams between processes, which drop, delay, copy and reorder them. Loopback sockets only."""

import random
from dataclasses import dataclass

import gevent
from gevent import socket

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

    def __init__(self, ports: dict[str, int], seed: int) -> None:
        self.ports, self.random = ports, random.Random(seed)
        self.paths = {(a, b): Path() for a in ports for b in ports if a != b}
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
