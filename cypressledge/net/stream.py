"""What every connection needs: a writer that no stalled peer can make block anyone else."""

import contextlib
import errno
import select
from collections import deque
from collections.abc import Callable
from itertools import islice

from gevent import Timeout, sleep, socket, spawn
from gevent.event import Event
from gevent.pool import Pool

from cypressledge.broker.metrics import Counters
from cypressledge.clock import monotonic_us
from cypressledge.net.buffer import Budget, Buffer

QUEUED = Budget(8 << 20)  # bytes that wait for slow peers, in the whole process, until the limits are known
BUSY: set = set()  # the writers that have bytes queued
DRAIN = 2.0  # seconds
FIRST = 2.0  # seconds from connecting to a client's first whole message, and to the first word for it
UNUSED = 4_500_000  # µs: clients close what was idle for 4 s, so what is idle for longer is not used again
NEW = 300_000  # µs in which a client that has just connected is not taken for a silent one
JUST = 100_000  # µs in which a client that has just been heard is left alone
LOOKS = 8  # clients of each kind that one look for a place takes in, and such looks
KEPT = (9, 0)
WASTE = bytearray(256 << 10)  # where bytes go that nobody wants
LAST_CALL = 0.2  # seconds for taking the connections that wait when a listener closes
EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
LOW = 256 << 10  # queued bytes under which a stream may go on


class Writer:
    """Sends queued bytes from a greenlet that lives while there are any; `put` never blocks.

    Guards against a peer that stops reading: beyond `most` queued bytes, or `patience` seconds in one
    send, the connection is given up through `gone`.
    """

    def __init__(self, sock, most: int, patience: float, gone) -> None:
        self.sock, self.most, self.patience, self.gone = sock, most, patience, gone
        self.queue: deque = deque()
        self.queued = 0
        self.flushed, self.low = Event(), Event()
        self.flushed.set()
        self.low.set()
        self.closed = self.lost = self.running = False
        self.then = None

    def put(self, *parts: bytes, live=None) -> None:
        """Queue bytes; with `live`, they are dropped if it says no when their turn comes."""
        raw = b"".join(parts)
        if self.closed or not self._held(len(raw)):
            return
        self.queue.append((raw, live))
        self.queued += len(raw)
        self.flushed.clear()
        BUSY.add(self)
        if not self.running:  # most connections are idle: a greenlet kept for each would cost memory
            self.running = True
            spawn(self._run)
        if self.queued > LOW:
            self.low.clear()
        if self.queued > self.most:
            self._lose("peer does not read")

    def _held(self, size: int) -> bool:
        """Room for so many bytes more in the process.

        Guards against peers that do not read taking the answers of those that do with them: the connection
        with most queued is given up, whoever comes when there is no room."""
        while not QUEUED.take(size):
            worst = max(BUSY, key=lambda writer: writer.queued, default=self)
            if worst.queued <= self.queued + size:
                worst = self
            worst._lose("peers do not read")
            if worst is self:
                return False
        return True

    def close(self, then: Callable[[], None] | None = None) -> None:
        """Nothing more will be queued; what is queued still goes out, and then comes `then`."""
        self.closed, self.then = True, then
        if then is not None and not self.running:
            then()

    def _lose(self, why: str) -> None:
        if self.lost:
            return
        self.closed = self.lost = True
        BUSY.discard(self)
        QUEUED.give(sum(len(raw) for raw, _ in self.queue))
        self.queue.clear()
        self.queued = 0
        self.flushed.set()
        self.low.set()
        self.gone(why)

    def _run(self) -> None:
        try:
            while self.queue:
                self._send()
        except (OSError, Timeout) as err:
            self._lose(f"write: {err}")
        self.running = False
        BUSY.discard(self)
        self.flushed.set()
        if self.then is not None:
            self.then()

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


class Crowd:
    """The connections of a listener: those that have asked and those that have not, longest unheard first.

    Guards against looking at all of them for each newcomer: of a crowd that took a whole core."""

    def __init__(self) -> None:
        self.silent, self.asked = {}, {}
        self.leaving = set()  # let go, but not closed by their clients yet

    def __iter__(self):
        return iter([*self.silent, *self.asked])

    def __len__(self) -> int:
        return len(self.silent) + len(self.asked)

    def add(self, connection) -> None:
        """One more, just heard."""
        (self.asked if connection.asked else self.silent)[connection] = None

    def discard(self, connection) -> None:
        """It is gone, or as good as gone."""
        self.silent.pop(connection, None)
        self.asked.pop(connection, None)
        self.leaving.discard(connection)

    def let_go(self, connection) -> None:
        """It counts no more, though it is still open."""
        self.discard(connection)
        self.leaving.add(connection)

    def touch(self, connection) -> None:
        """It has just been heard or answered."""
        if connection in self.silent or connection in self.asked:
            self.discard(connection)
            self.add(connection)

    def least(self, now: int):
        """Of those not heard for longest, the one that would be missed least; None if all are kept.

        The kept ones that were looked at go to the end, so that the next look finds others."""
        old = [*islice(self.silent, LOOKS), *islice(self.asked, LOOKS)]
        worth, least = min(((c.missed(now), n) for n, c in enumerate(old)), default=(KEPT, 0))
        if worth != KEPT:
            return old[least]
        for connection in old:
            self.touch(connection)
        return None


class Listener:
    """Accepts connections on one address and serves each in a greenlet, `most` at once."""

    most = 16  # until the limits are known
    spare = 8  # more, for a moment, while those that were let go close

    def __init__(
        self,
        listen: tuple[str, int],
        counters: Counters,
        name: str,
        serve,
        connections: Crowd,
        inherited: int | None = None,
    ) -> None:
        self.counters, self.name, self.serve, self.connections = counters, name, serve, connections
        self.pool = Pool()
        self.inherited = inherited is not None
        self.sock = listening(listen) if inherited is None else socket.socket(fileno=inherited)
        self.taking = Event()  # set once connections are accepted
        counters.gauge(f"{name}.connections", lambda: len(self.pool))

    def run(self) -> None:
        """Accept until stopped."""
        self.taking.set()
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError as err:
                if self.sock.closed:
                    return
                self.counters.add(f"{self.name}.accept_error.{err.errno}")
                if err.errno in EXHAUSTED:  # nobody new until some come free, and sooner rather than later
                    self._make_room()
                    sleep(0.05)
                continue
            if self._full() and not self._make_room():
                self.counters.add(f"{self.name}.turned_away")
                end(sock)
                continue
            self.counters.add(f"{self.name}.accepted")
            tune(sock)
            self.pool.spawn(self.serve, sock)

    def _full(self) -> bool:
        """No place for one more; of those that were let go, not too many count as gone."""
        return len(self.pool) - min(len(self.connections.leaving), self.spare) >= self.most

    def _make_room(self) -> bool:
        """Let go of the client that would be missed least; whether there was one."""
        now = monotonic_us()
        for _ in range(LOOKS):
            least = self.connections.least(now)
            if least is None:
                continue
            if not unread(least.sock):
                self.counters.add(f"{self.name}.let_go")
                least.let_go()
                if self._full():  # too many that don't close
                    end(least.sock)
                    sleep(0)
                return True
            # Guards against closing on a request that has come and is not read yet: that would lose it.
            least.last = now
            self.connections.touch(least)
        return False

    def stop(self) -> None:
        """Accept nobody any more. An inherited socket stays open elsewhere: what waits in its queue is the
        next process's."""
        self.taking.clear()
        with Timeout(LAST_CALL, False):
            # Guards against resetting connections that the system has accepted for us.
            while not self.inherited and unread(self.sock):
                sleep(0)
        self.sock.close()


def listening(listen: tuple[str, int]):
    """A socket of our own, bound and listening."""
    family = socket.AF_INET6 if ":" in listen[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(listen)
    sock.listen(512)
    return sock


def unread(sock) -> bool:
    """Whether bytes, or the end, wait to be read."""
    return _polled(sock, select.POLLIN)


def ended(sock) -> bool:
    """Whether the peer has closed its side, with or without bytes before that."""
    return _polled(sock, select.POLLRDHUP)


def _polled(sock, events: int) -> bool:
    """Guards against asking of a socket that was closed a moment ago, whose greenlet has yet to take leave:
    its end is there to be read."""
    if (number := sock.fileno()) < 0:
        return True
    poll = select.poll()
    poll.register(number, events)
    return bool(poll.poll(0))


def dial(address: tuple[str, int]):
    """A connection to a numeric address: unlike `create_connection`, no thread looks it up first."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.connect(address)
    except BaseException:
        sock.close()
        raise
    tune(sock)
    return sock


def missed(now: int, since: int, last: int, asked: bool, busy: bool) -> tuple[int, int]:
    """How much a client's connection would be missed; where room is needed, the least goes.

    Guards against crowds that say nothing, or ask once and stay, keeping others out: first goes what will not
    be used again, then who has never said anything whole, then who has been idle for longest. A client whose
    next request crosses such a close asks once more, on a new connection."""
    if not asked and now - since > NEW:
        return 1, since
    if not asked or busy or now - last < JUST:
        return KEPT
    return (0 if now - last > UNUSED else 2), last


class Idle(Exception):
    """Nothing has come for too long."""


def left(since: int, seconds: float) -> float:
    """What is left of so many seconds; once there is nothing, nobody needs to wait any longer."""
    rest = seconds - (monotonic_us() - since) / 1e6
    if rest <= 0:
        raise Idle
    return rest


def fill(buffer: Buffer, sock, patience: Callable[[], float]) -> int:
    """Read once; 0 at the end of the connection. `patience`: seconds to wait for more, asked again when they
    have passed; it raises once nobody needs to wait any longer.

    A peer that always has more must not keep the others from their turn: they have it before the next read,
    when all that was read before has been looked at. Between a read and that look nobody else may come: who
    made room then took the connection for one that rests, and closed it over the request in its buffer."""
    if buffer.full:
        sleep(0)
    while True:
        with Timeout(patience(), False):
            return buffer.fill(sock)


def flush(connections: Crowd, seconds: float) -> None:
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


def drain(sock, patience: Callable[[], float]) -> None:
    """Read on, and drop what comes, until the peer closes or `patience` (as in `fill`) is at its end.

    Guards against the reset that closing with bytes unread would send: it may overtake the last words.
    Whoever sends 60 MB is heard to the end, into one piece of memory for all, and keeps nobody waiting."""
    try:
        while True:
            got = None
            with Timeout(patience(), False):
                got = sock.recv_into(WASTE)
            if got == 0:
                return
            sleep(0)
    except (OSError, Idle):
        pass


def tune(sock) -> None:
    """Small messages leave at once. Guards against a peer that is gone already: its reader will find out."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def shut(sock) -> None:
    """Our side is done; the peer's words are still read."""
    try:
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        end(sock)


def end(sock) -> None:
    """Close for good, waking whoever reads."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
