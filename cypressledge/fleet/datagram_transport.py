"""Datagrams between brokers: UDP on a gevent socket, with bounds on what any peer can cost. Does I/O only.

Peers may flood, send garbage or stop reading. So received datagrams are rate-limited by source address before
they are decoded, and sending never blocks: an item is dropped if the system's buffer or the peer's queue is
full. All users of this module have to tolerate the loss of datagrams.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import gevent
from gevent import socket
from gevent.event import Event
from gevent.socket import wait_read

from cypressledge.broker.metrics import Counters
from cypressledge.fleet.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_ITEMS,
    VERSION,
    AnyItem,
    Envelope,
    InvalidDatagramError,
    decode,
    encode,
)

Address = tuple[str, int]

MAX_INBOX = 1_024  # envelopes; received and not handled yet
MAX_RATE = 400.0  # datagrams per second; long-term rate accepted from one address
MAX_BURST = 800.0  # datagrams; accepted from one address at once
MAX_OTHER_BUCKETS = 512  # buckets of addresses that are no peer's; each peer's address has one of its own
BUCKET_IDLE_TIMEOUT = 60_000_000  # µs; an idle bucket is freed after this: it has been full for long
SWEEP_INTERVAL = 1_000_000  # µs; shortest time between searches for idle buckets
SHARED_ADDRESS = ("", 0)  # key of the bucket that all addresses over `MAX_OTHER_BUCKETS` share
TARGET_DATAGRAM_BYTES = 1_200  # bytes; datagrams of several items are split above this: under any path's MTU
MAX_ITEMS_PER_DATAGRAM = 64
MAX_DATAGRAMS_PER_DRAIN = 256  # datagrams; received by one call of `drain`
RECEIVE_BUFFER_BYTES = 1 << 20


class SenderState(NamedTuple):
    """The sender's state that each envelope carries, besides its name."""

    instance_id: int
    incarnation: int
    voters_version: int
    oldest_voters_version: int


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that limits the datagrams from one address. `level`: datagrams that it may still send;
    `refilled_at` in µs."""

    level: float = MAX_BURST
    refilled_at: int = 0

    def admit(self, now: int) -> bool:
        """Return whether one more datagram is admitted at `now` (µs), and count it if so."""
        self.level = min(MAX_BURST, self.level + (now - self.refilled_at) * MAX_RATE / 1e6)
        self.refilled_at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


class DatagramTransport:
    """The fleet socket, with a queue of items to send for each peer and an inbox of received envelopes."""

    def __init__(
        self,
        name: str,
        listen: Address,
        counters: Counters,
        now: Callable[[], int],
        sender_state: Callable[[], SenderState],
    ) -> None:
        self.name, self.counters, self.now, self.sender_state = name, counters, now, sender_state
        self.addresses: dict[str, Address] = {}
        self.queues: dict[str, list[AnyItem]] = {}
        self.peer_buckets: dict[Address, TokenBucket] = {}  # by the configured address of a peer
        self.other_buckets: dict[Address, TokenBucket] = {}
        self.swept_at = -SWEEP_INTERVAL
        self.inbox: deque[Envelope] = deque()
        self.received, self.drained = Event(), Event()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.bind(listen)
        self.reader: gevent.Greenlet | None = None

    def close(self) -> None:
        """Kill the reading greenlet, then close the socket."""
        if self.reader is not None:
            self.reader.kill()  # else it could wait on this descriptor after another socket has received it
        self.sock.close()

    def set_peers(self, addresses: dict[str, Address]) -> None:
        """Set the peers' addresses; items queued for removed peers are dropped."""
        self.addresses = addresses
        self.peer_buckets = {
            a: self.peer_buckets.get(a) or TokenBucket(refilled_at=self.now()) for a in addresses.values()
        }
        self.queues = {n: q for n, q in self.queues.items() if n in addresses}

    def send(self, peer: str, item: AnyItem) -> None:
        """Queue an item for a peer; it is sent by the next `flush`."""
        if peer not in self.addresses and peer != self.name:
            self.counters.add("fleet.unknown_peer")
            return
        queue = self.queues.setdefault(peer, [])
        if len(queue) >= MAX_ITEMS:
            self.counters.add("fleet.queue_full")
            return
        queue.append(item)

    def flush(self, yield_if_due: Callable[[], None] = lambda: None) -> None:
        """Send the queued items; those for this broker itself go directly to the inbox. `yield_if_due` is
        called after each datagram, and may let other greenlets run."""
        queues, self.queues = self.queues, {}
        if own := queues.pop(self.name, None):
            self.inbox.append(Envelope(VERSION, self.name, self.name, *self.sender_state(), own))
            self.received.set()
        for peer, items in queues.items():
            for at in range(0, len(items), MAX_ITEMS_PER_DATAGRAM):
                self._send_datagram(peer, items[at : at + MAX_ITEMS_PER_DATAGRAM])
                yield_if_due()

    def _send_datagram(self, peer: str, items: list[AnyItem]) -> None:
        address = self.addresses.get(peer)
        if address is None:  # the peer was removed during this flush, while other greenlets ran
            return
        raw = encode(Envelope(VERSION, self.name, peer, *self.sender_state(), items))
        if len(raw) > TARGET_DATAGRAM_BYTES and len(items) > 1:
            half = len(items) // 2
            self._send_datagram(peer, items[:half])
            self._send_datagram(peer, items[half:])
            return
        if len(raw) > MAX_DATAGRAM_BYTES:
            self.counters.add("fleet.too_large")
            return
        try:
            # Not gevent's sendto, which would wait while the socket's buffer is full.
            self.sock._sock.sendto(raw, address)
            self.counters.add("fleet.sent")
        except OSError:
            self.counters.add("fleet.not_sent")

    def read(self) -> None:
        """Set `received` when datagrams are readable, then wait for `drain`, repeatedly; runs as a greenlet.

        The node's loop drains many datagrams at a time: waking up costs a process more than handling a
        datagram.
        """
        self.reader = gevent.getcurrent()
        while self.sock.fileno() >= 0:  # the socket may be closed before this greenlet starts
            wait_read(self.sock.fileno())
            self.drained.clear()
            self.received.set()
            self.drained.wait()

    def drain(self) -> int:
        """Receive the datagrams that are readable, up to `MAX_DATAGRAMS_PER_DRAIN`; return their number."""
        self.received.clear()
        self.drained.set()
        for count in range(MAX_DATAGRAMS_PER_DRAIN):
            try:
                raw, source = self.sock._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return count
            except OSError:
                self.counters.add("fleet.read_errors")  # most likely an ICMP error for a sent datagram
                continue
            self.receive(raw, source)
        return MAX_DATAGRAMS_PER_DRAIN

    def receive(self, raw: bytes, source: Address) -> None:
        """Decode a datagram and append it to the inbox, or count the reason for dropping it."""
        now = self.now()
        if not self._bucket(source, now).admit(now):
            self.counters.add("fleet.flooded")
            return
        if len(self.inbox) >= MAX_INBOX:
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

    def _bucket(self, source: Address, now: int) -> TokenBucket:
        """Return the bucket of an address. The number of buckets is bounded, and each peer's address has one
        of its own: spoofed addresses can neither exhaust memory nor use up a peer's rate."""
        bucket = self.peer_buckets.get(source) or self.other_buckets.get(source)
        if bucket is None:
            if len(self.other_buckets) >= MAX_OTHER_BUCKETS and now - self.swept_at >= SWEEP_INTERVAL:
                self._sweep(now)
            if len(self.other_buckets) >= MAX_OTHER_BUCKETS:
                source = SHARED_ADDRESS
            bucket = self.other_buckets.setdefault(source, TokenBucket(refilled_at=now))
        return bucket

    def _sweep(self, now: int) -> None:
        """Free the buckets of addresses that have been idle for long, such as those of replaced machines."""
        self.swept_at = now
        self.other_buckets = {
            a: b for a, b in self.other_buckets.items() if now - b.refilled_at < BUCKET_IDLE_TIMEOUT
        }
