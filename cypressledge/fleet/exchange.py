"""Datagrams between brokers: UDP on a gevent socket, with bounds on what any peer can cost. Does I/O only.

Guards against peers that flood, garble or stand still: what comes in is limited by address before it is
decoded, what goes out never blocks and is dropped where the system or a peer's queue is full. Everything
that uses this expects datagrams to get lost.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket
from gevent.event import Event
from gevent.socket import wait_read

from cypressledge.broker.metrics import Counters
from cypressledge.fleet.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_ITEMS,
    VERSION,
    Envelope,
    InvalidDatagramError,
    decode,
    encode,
)

INBOX_MOST = 1_024  # datagrams that wait to be looked at
RATE = 400.0  # datagrams a second from one address, in the long run
BURST = 800.0
ADDRESSES_MOST = 512  # of no peer's; a peer's own has a place besides
BUCKET_IDLE = 60_000_000  # µs after which a bucket may be freed: it is full again long before
SWEEP = 1_000_000  # µs between looks for such
SHARED = ("", 0)  # the bucket that all further addresses share
SMALL = 1_200  # bytes that a datagram is filled up to: under any path's MTU
ITEMS_EACH = 64
DRAIN_MOST = 256  # datagrams taken in at once


@dataclass(slots=True)
class Bucket:
    """What one address may still send: refilled with time."""

    level: float = BURST
    at: int = 0

    def take(self, now: int) -> bool:
        """Whether one more datagram is let in at `now` (µs)."""
        self.level = min(BURST, self.level + (now - self.at) * RATE / 1e6)
        self.at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


class Exchange:
    """The fleet socket. `head` gives (run, incarnation, voters, floor) of what is sent."""

    def __init__(
        self,
        name: str,
        listen: tuple[str, int],
        counters: Counters,
        now: Callable[[], int],
        head: Callable[[], tuple[int, int, int, int]],
    ) -> None:
        self.name, self.counters, self.now, self.head = name, counters, now, head
        self.addresses: dict[str, tuple[str, int]] = {}
        self.queues: dict[str, list] = {}
        self.of_peers: dict[tuple[str, int], Bucket] = {}  # by the address that a peer is named with
        self.buckets: dict[tuple[str, int], Bucket] = {}  # by any other
        self.swept = -SWEEP
        self.inbox: deque[Envelope] = deque()
        self.woken, self.drained = Event(), Event()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.sock.bind(listen)
        self.reader: gevent.Greenlet | None = None

    def close(self) -> None:
        """End the greenlet that reads, then the socket."""
        if self.reader is not None:
            self.reader.kill()  # guards against a wait on a number that another socket gets
        self.sock.close()

    def name_peers(self, addresses: dict[str, tuple[str, int]]) -> None:
        """Where the peers are; what waits for one that is named no more is dropped."""
        self.addresses = addresses
        self.of_peers = {a: self.of_peers.get(a) or Bucket(at=self.now()) for a in addresses.values()}
        self.queues = {n: q for n, q in self.queues.items() if n in addresses}

    def out(self, peer: str, item: object) -> None:
        """Queue an item; it leaves with the next `flush`."""
        if peer not in self.addresses and peer != self.name:
            self.counters.add("fleet.unknown_peer")
            return
        queue = self.queues.setdefault(peer, [])
        if len(queue) >= MAX_ITEMS:
            self.counters.add("fleet.queue_full")
            return
        queue.append(item)

    def flush(self, breathe: Callable[[], None] = lambda: None) -> None:
        """Send what is queued; what is for this broker itself needs no socket. `breathe` is called between
        datagrams, and may let others have their turn."""
        queues, self.queues = self.queues, {}
        if own := queues.pop(self.name, None):
            self.inbox.append(Envelope(VERSION, self.name, self.name, *self.head(), own))
            self.woken.set()
        for peer, items in queues.items():
            for at in range(0, len(items), ITEMS_EACH):
                self._send(peer, items[at : at + ITEMS_EACH])
                breathe()

    def _send(self, peer: str, items: list) -> None:
        address = self.addresses.get(peer)
        if address is None:  # named no more since this flush began, while others had their turn
            return
        raw = encode(Envelope(VERSION, self.name, peer, *self.head(), items))
        if len(raw) > SMALL and len(items) > 1:
            half = len(items) // 2
            self._send(peer, items[:half])
            self._send(peer, items[half:])
            return
        if len(raw) > MAX_DATAGRAM_BYTES:
            self.counters.add("fleet.too_large")
            return
        try:
            # Not gevent's sendto: that would wait where the socket's buffer is full.
            self.sock._sock.sendto(raw, address)
            self.counters.add("fleet.sent")
        except OSError:
            self.counters.add("fleet.not_sent")

    def read(self) -> None:
        """A greenlet: says when datagrams have come, and again once those have been taken in. The owner takes
        them in, many at a time: waking up costs a process more than all that a datagram asks for."""
        self.reader = gevent.getcurrent()
        while self.sock.fileno() >= 0:  # it may be closed before this has begun
            wait_read(self.sock.fileno())
            self.drained.clear()
            self.woken.set()
            self.drained.wait()

    def drain(self) -> int:
        """Take in what has come, so many at the most; how many came."""
        self.woken.clear()
        self.drained.set()
        for count in range(DRAIN_MOST):
            try:
                raw, source = self.sock._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return count
            except OSError:
                self.counters.add("fleet.read_errors")  # an ICMP answer to something sent, most likely
                continue
            self._take(raw, source)
        return DRAIN_MOST

    def _take(self, raw: bytes, source: tuple[str, int]) -> None:
        now = self.now()
        if not self._bucket(source, now).take(now):
            self.counters.add("fleet.flooded")
            return
        if len(self.inbox) >= INBOX_MOST:
            self.counters.add("fleet.inbox_full")
            return
        try:
            envelope = decode(raw)
        except InvalidDatagramError as err:
            self.counters.add(f"fleet.bad_{err}")
            return
        if envelope.recipient != self.name or envelope.sender not in self.addresses:
            self.counters.add("fleet.misdirected")
            return
        self.counters.add("fleet.received")
        self.inbox.append(envelope)

    def _bucket(self, source: tuple[str, int], now: int) -> Bucket:
        """What an address takes from. Guards against made-up addresses, which neither grow this without bound
        nor shut out a peer: its own bucket waits for it."""
        bucket = self.of_peers.get(source) or self.buckets.get(source)
        if bucket is None:
            if len(self.buckets) >= ADDRESSES_MOST and now - self.swept >= SWEEP:
                self._sweep(now)
            if len(self.buckets) >= ADDRESSES_MOST:
                source = SHARED
            bucket = self.buckets.setdefault(source, Bucket(at=now))
        return bucket

    def _sweep(self, now: int) -> None:
        """Free the buckets of addresses long silent: machines that were replaced."""
        self.swept = now
        self.buckets = {a: b for a, b in self.buckets.items() if now - b.at < BUCKET_IDLE}
