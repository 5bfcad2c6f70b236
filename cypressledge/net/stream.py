"""What every connection needs: a writer that no stalled peer can make block anyone else."""

from collections import deque

from gevent import Timeout, sleep, socket, spawn
from gevent.event import Event
from gevent.pool import Pool

from cypressledge.counters import Counters
from cypressledge.net.buffer import Budget, Buffer

QUEUED = Budget(48 << 20)  # bytes that wait for slow peers, in the whole process
DRAIN = 2.0  # seconds
LOW = 256 << 10  # queued bytes under which a stream may go on


class Writer:
    """Sends queued bytes from a greenlet of its own; `put` never blocks.

    Guards against a peer that stops reading: beyond `most` queued bytes, or `patience` seconds in one
    send, the connection is given up through `gone`.
    """

    def __init__(self, sock, most: int, patience: float, gone) -> None:
        self.sock, self.most, self.patience, self.gone = sock, most, patience, gone
        self.queue: deque = deque()
        self.queued = 0
        self.woken, self.flushed, self.low = Event(), Event(), Event()
        self.flushed.set()
        self.low.set()
        self.closed = self.lost = False
        self.greenlet = spawn(self._run)

    def put(self, *parts: bytes, live=None) -> None:
        """Queue bytes; with `live`, they are dropped if it says no when their turn comes."""
        raw = b"".join(parts)
        if self.closed:
            return
        if not QUEUED.take(len(raw)):
            self._lose("peers do not read")
            return
        self.queue.append((raw, live))
        self.queued += len(raw)
        self.flushed.clear()
        self.woken.set()
        if self.queued > LOW:
            self.low.clear()
        if self.queued > self.most:
            self._lose("peer does not read")

    def close(self) -> None:
        """Nothing more will be queued; what is queued still goes out."""
        self.closed = True
        self.woken.set()

    def _lose(self, why: str) -> None:
        if self.lost:
            return
        self.closed = self.lost = True
        QUEUED.give(sum(len(raw) for raw, _ in self.queue))
        self.queue.clear()
        self.queued = 0
        self.flushed.set()
        self.low.set()
        self.woken.set()
        self.gone(why)

    def _run(self) -> None:
        try:
            while True:
                self.woken.wait()
                self.woken.clear()
                while self.queue:
                    self._send()
                self.flushed.set()
                if self.closed:
                    return
        except (OSError, Timeout) as err:
            self._lose(f"write: {err}")

    def _send(self) -> None:
        taken, parts = 0, []
        while self.queue and taken < 65536:
            raw, live = self.queue.popleft()
            taken += len(raw)
            QUEUED.give(len(raw))
            if live is None or live():
                parts.append(raw)
        with Timeout(self.patience):
            self.sock.sendall(b"".join(parts))
        self.queued = max(self.queued - taken, 0)
        if self.queued <= LOW:
            self.low.set()


class Listener:
    """Accepts connections on one address and serves each in a greenlet, `most` at once."""

    most = 16  # until the limits are known


    def __init__(self, listen: tuple[str, int], counters: Counters, name: str, serve) -> None:
        self.counters, self.name, self.serve = counters, name, serve
        self.pool = Pool()
        family = socket.AF_INET6 if ":" in listen[0] else socket.AF_INET
        self.sock = socket.socket(family, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(listen)
        self.sock.listen(512)
        counters.gauge(f"{name}.connections", lambda: len(self.pool))

    def run(self) -> None:
        """Accept until stopped."""
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError as err:
                if self.sock.closed:
                    return
                self.counters.add(f"{self.name}.accept_error.{err.errno}")
                sleep(0.05)  # out of descriptors, most likely: let some come free
                continue
            if len(self.pool) >= self.most:
                self.counters.add(f"{self.name}.turned_away")
                end(sock)
                continue
            self.counters.add(f"{self.name}.accepted")
            tune(sock)
            self.pool.spawn(self.serve, sock)

    def stop(self) -> None:
        """Accept nobody any more."""
        self.sock.close()


def fill(buffer: Buffer, sock, idle: float, busy) -> int:
    """Read once; 0 at the end of the connection, or after `idle` seconds in which nothing was open."""
    while True:
        try:
            with Timeout(idle):
                return buffer.fill(sock)
        except Timeout:
            if not busy():
                return 0


def flush(connections: set, seconds: float) -> None:
    """Let the last answers of all connections go out, and wait for the clients to close in their turn.

    Guards against the last answers being lost with the process: a socket that ends with bytes unread is
    reset. So only our side is closed, and what the clients still say is read by their own greenlets."""
    with Timeout(seconds, False):
        for connection in list(connections):
            connection.writer.flushed.wait()
        for connection in list(connections):
            try:
                connection.sock.shutdown(socket.SHUT_WR)
            except OSError:
                end(connection.sock)
        while connections:
            sleep(0.01)


def drain(sock, writer: Writer) -> None:
    """Close our side behind the last words, and read on for a while.

    Guards against the reset that closing with bytes unread would send: it may overtake the last words."""
    writer.close()
    with Timeout(DRAIN, False):
        writer.greenlet.join()
        try:
            sock.shutdown(socket.SHUT_WR)
            while sock.recv(65536):
                pass
        except OSError:
            pass


def tune(sock) -> None:
    """Small messages leave at once."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def end(sock) -> None:
    """Close for good, waking whoever reads."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
