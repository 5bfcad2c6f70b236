"""UDP proxies that drop, delay, duplicate and reorder datagrams between processes on the loopback."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket

DATAGRAM_LIMIT = 65_536  # bytes; exceeds the maximum size of a UDP datagram


@dataclass(slots=True)
class LinkConditions:
    """The conditions of one direction of the link between two brokers.

    `loss`, `copies`: probabilities that a datagram is dropped or duplicated; `delay`: range in seconds, from
    which each delay is drawn uniformly.
    """

    cut: bool = False
    loss: float = 0.0
    copies: float = 0.0
    delay: tuple[float, float] = (0.0, 0.0)


class UdpProxies:
    """One proxy for each ordered pair; it forwards to `b` what `a` sends to `address(a, b)`.

    The `LinkConditions` of the pair decide whether and when a datagram is forwarded.
    """

    def __init__(
        self, ports: dict[str, int], seed: int, between: Callable[[str, str], bool] = lambda source, to: True
    ) -> None:
        """Open the proxies.

        `ports`: UDP port of each process, by name; `between`: whether a pair has a proxy, by default all do.
        """
        self.ports, self.random = ports, random.Random(seed)
        self.paths = {
            (source, to): LinkConditions()
            for source in ports
            for to in ports
            if source != to and between(source, to)
        }
        self.sockets: dict[tuple[str, str], socket.socket] = {}
        self.greenlets = []
        self.passed = self.dropped = self.copied = self.delayed = 0  # datagrams
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for pair in self.paths:
            sock = self.sockets[pair] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(("127.0.0.1", 0))
            self.greenlets.append(gevent.spawn(self._run, pair, sock))

    def address(self, source: str, to: str) -> str:
        """Return the address (HOST:PORT) to which `source` must send datagrams meant for `to`."""
        return f"127.0.0.1:{self.sockets[source, to].getsockname()[1]}"

    def _run(self, pair: tuple[str, str], sock: socket.socket) -> None:
        target = ("127.0.0.1", self.ports[pair[1]])
        while True:
            try:
                raw, _ = sock.recvfrom(DATAGRAM_LIMIT)
            except OSError:
                return
            self._forward(self.paths[pair], raw, target)

    def _forward(self, link: LinkConditions, raw: bytes, target: tuple[str, int]) -> None:
        if link.cut or (link.loss and self.random.random() < link.loss):
            self.dropped += 1
            return
        duplicated = link.copies and self.random.random() < link.copies
        self.copied += bool(duplicated)
        for _ in range(2 if duplicated else 1):
            wait = self.random.uniform(*link.delay)
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
            self.dropped += 1  # no process is listening on the target port

    def heal(self) -> None:
        """Restore all links to their undisturbed state."""
        for pair in self.paths:
            self.paths[pair] = LinkConditions()

    def close(self) -> None:
        """Stop all proxies and close their sockets."""
        gevent.killall(self.greenlets)
        for sock in (*self.sockets.values(), self.sender):
            sock.close()
