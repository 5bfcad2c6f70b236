"""What every connection needs: a writer that no stalled peer can make block anyone else."""

from collections import deque

from gevent import Timeout, socket, spawn
from gevent.event import Event


class Writer:
    """Sends queued bytes from a greenlet of its own; `put` never blocks.

    Guards against a peer that stops reading: beyond `most` queued bytes, or `patience` seconds in one
    send, the connection is given up through `gone`.
    """

    def __init__(self, sock, most: int, patience: float, gone) -> None:
        self.sock, self.most, self.patience, self.gone = sock, most, patience, gone
        self.queue: deque = deque()
        self.queued = 0
        self.woken, self.flushed = Event(), Event()
        self.flushed.set()
        self.closed = False
        self.greenlet = spawn(self._run)

    def put(self, *parts: bytes, live=None) -> None:
        """Queue bytes; with `live`, they are dropped if it says no when their turn comes."""
        if self.closed:
            return
        raw = b"".join(parts)
        self.queue.append((raw, live))
        self.queued += len(raw)
        self.flushed.clear()
        self.woken.set()
        if self.queued > self.most:
            self.closed = True
            self.gone("peer does not read")

    def close(self) -> None:
        """Nothing more will be queued; what is queued still goes out."""
        self.closed = True
        self.woken.set()

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
            self.closed = True
            self.flushed.set()
            self.gone(f"write: {err}")

    def _send(self) -> None:
        taken, parts = 0, []
        while self.queue and taken < 65536:
            raw, live = self.queue.popleft()
            taken += len(raw)
            if live is None or live():
                parts.append(raw)
        with Timeout(self.patience):
            self.sock.sendall(b"".join(parts))
        self.queued -= taken


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
