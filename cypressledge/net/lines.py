"""The link to engines that speak lines: many attempts share one connection, results come in pages."""

import errno
from collections import deque
from dataclasses import dataclass, field

from gevent import Timeout, spawn, spawn_later

from cypressledge.broker.core import Core
from cypressledge.broker.event_log import EventKind
from cypressledge.broker.requests import Attempt, Endpoint
from cypressledge.clock import monotonic_us
from cypressledge.config import Limits
from cypressledge.decisions.contract import Outcome, ProgressKind
from cypressledge.net.buffer import READ, Buffer, TooLong
from cypressledge.net.stream import Idle, Writer, dial, end, ended, fill, left, unread

LINE_MOST = 1024
PAGE_MOST = 6000
RESULT_MOST = 48_000
PAGES_MOST = 64  # of one result: pages hold whole rows, so they are seldom less than half full
COLUMNS = 3
SHARE = 8  # attempts on one connection before another is opened; more only once descriptors run out
CARRIED_MOST = 3  # connections that an attempt may be put on before it has left
PART = 1.0  # seconds from the first byte of an answer to its last
WATCH = 60.0  # seconds; how long one read may wait is no matter here
STALE = 60_000_000  # µs that the id of a cancelled attempt bars its connection to a repeat
ANSWERED = 5_000_000  # µs that the id of an answered one does: a second answer may follow
WORDED_MOST = 50_000  # µs from the wording of a command to its leaving; then it is worded anew
LATE = 2.0  # seconds beyond its time-out in which a connection may still come up, without its attempts
ALIVE = 1_500_000  # µs after an engine's word in which a connection that does not come up is not its fault
UNREACHED = 2  # connections in a row that do not come up, from which their engine is out of reach
OURS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
IDLE_PART = 0.8  # of the site's idle time: we close first, so that no send crosses the engine's close
SILENT_NOTES = 2.5  # intervals of notes without a word, from which a connection is not trusted any more
SILENT_LEAST = 2_500_000  # µs; for sites whose engines send no notes or very frequent ones
LOST_NOTES = 1.7  # such intervals, from which an answer is lost if its engine speaks elsewhere
WITNESS = 0.8  # intervals of notes within which it must have
READING_MOST = 1e9  # of a note
WORDS = frozenset((b"200", b"503", b"500", b"504", b"status", b"chunk"))
NOTES = {b"done": ProgressKind.PROGRESS, b"spills": ProgressKind.SPILLING, b"waits": ProgressKind.WAITING}


class BadLine(Exception):
    """An engine's line that can't be read."""


@dataclass(slots=True, eq=False)
class Exchange:
    """One attempt on its connection."""

    attempt: Attempt
    connection: "Connection"
    word: bytes
    worded_at: int = 0  # µs; the deadline that its command names was right then
    sent: bool = False
    dropped: bool = False
    ran: bool = False  # a note of its progress has come
    pages: list[bytes | None] = field(default_factory=list)
    missing: int = 0
    size: int = 0


class LinesLink:
    """Connections to every engine, and which attempt rides on which."""

    def __init__(self, core: Core, limits: Limits) -> None:
        self.core, self.limits, self.most = core, limits, 0
        self.connections: dict[int, list[Connection]] = {}
        self.unreached: dict[int, int] = {}  # by engine: time-outs in a row with no connection up between
        core.counters.gauge("engine_connections", self.count)

    @property
    def silent(self) -> int:
        """µs without a word from which a connection is not trusted."""
        return max(int(self.limits.progress_interval_us * SILENT_NOTES), SILENT_LEAST)

    def count(self) -> int:
        """Connections held to all engines."""
        return sum(map(len, self.connections.values()))

    def send(self, attempt: Attempt) -> None:
        """Carry the attempt on the emptiest connection; a new one where that has its share already.

        Guards against one spoilt answer, which ends its connection, taking all work at its engine along, and
        against opening many: of new connections some are reset with what they carry."""
        word, place = attempt.query.id.encode(), attempt.endpoint
        usable = [c for c in self.connections.get(place.id, ()) if c.admits(word, place)]
        up = (
            attempt.connections_tried > 0
        )  # another one that may not come up would take the time that is left
        connection = min(
            usable, key=lambda c: (up and c.writer is None, len(c.exchanges), -c.used), default=None
        )
        shared = connection is None or len(connection.exchanges) >= SHARE and not up
        if shared and (self.count() < self.most or connection is None and self._make_room()):
            connection = Connection(self, place)
            self.connections.setdefault(place.id, []).append(connection)
        if connection is None:
            self.core.counters.add("moot_sends")
            self.core.attempt_ended(attempt, Outcome.NOT_SENT)
        else:
            connection.carry(attempt, word)

    def _make_room(self) -> bool:
        """Close the connection that has rested for longest; whether there was one.

        Guards against new engines getting none because idle connections to others have all there may be."""
        held = [c for some in self.connections.values() for c in some]
        idle = [c for c in held if not c.exchanges and not c.has_unread()]
        if idle:
            min(idle, key=lambda c: c.used).close("room")
        return bool(idle)

    def again(self, attempt: Attempt, outcome: Outcome) -> None:
        """Carry an attempt that never left its connection on another one, a few times.

        Guards against connections that are reset when new: nothing has run, so no attempt is used up."""
        attempt.connections_tried += 1
        attempt.transport_state = None
        place = self.core.ready_endpoints.get(attempt.endpoint.id)
        if attempt.connections_tried < CARRIED_MOST and place is not None and attempt.is_wanted:
            self.core.counters.add("carried_again")
            attempt.endpoint = place
            self.send(attempt)
        else:
            self.core.attempt_ended(attempt, outcome)

    def overdue(self, connection: "Connection", attempts: list[Attempt]) -> None:
        """A connection is not up in time, and these attempts waited for it.

        Guards against calling an engine broken, and cold, over a path that is late now and then: one that
        speaks on another connection gets the attempts there, and a single silence is no word on the process
        (one that has ended refuses). It may still come up, the only such one: somebody is there then."""
        number, held = connection.endpoint.id, self.connections.get(connection.endpoint.id, [])
        for other in [c for c in held if c.late and c is not connection]:
            other.close("never up")
        spoke = max((c.heard for c in held), default=0) > monotonic_us() - ALIVE
        self.unreached[number] = self.unreached.get(number, 0) + 1
        outcome = Outcome.CONNECT_FAILED if self.unreached[number] >= UNREACHED else Outcome.NOT_SENT
        for attempt in attempts:
            if spoke:
                self.again(attempt, outcome)
            else:
                self.core.attempt_ended(attempt, outcome)

    def cancel(self, attempt: Attempt) -> None:
        """Give the attempt up."""
        if attempt.transport_state is not None:
            attempt.transport_state.connection.give_up(attempt.transport_state)

    def update_resources(self, attempt: Attempt) -> None:
        """Tell the engine the new priority."""
        if attempt.transport_state is not None:
            attempt.transport_state.connection.hurry(attempt.transport_state)

    def drop(self, connection: "Connection") -> None:
        """A connection is no more."""
        held = self.connections.get(connection.endpoint.id, [])
        if connection in held:
            held.remove(connection)
        if not held:
            self.connections.pop(connection.endpoint.id, None)

    def tend(self) -> None:
        """Close what has been idle for long, what leads to engines that take nothing new, and what has lost
        an answer."""
        now, idle = monotonic_us(), int(self.limits.idle_timeout_s * IDLE_PART * 1e6)
        self.unreached = {
            number: n for number, n in self.unreached.items() if number in self.core.ready_endpoints
        }
        for held in list(self.connections.values()):
            heard = max(connection.heard for connection in held)
            for connection in list(held):
                if connection.lost(heard):
                    connection.close("answer lost")
                unused = not self.core.is_current(connection.endpoint) or connection.suspect()
                resting = not connection.exchanges and not connection.has_unread()
                if resting and (unused or now - connection.used > idle):
                    connection.close("idle")


class Connection:
    """One connection to one engine."""

    def __init__(self, link: LinesLink, place: Endpoint) -> None:
        self.link, self.endpoint, self.core = link, place, link.core
        self.exchanges: dict[bytes, Exchange] = {}
        self.unsent: list[Exchange] = []
        self.stale: dict[bytes, int] = {}
        self.order: deque[bytes] = deque()
        self.used = monotonic_us()
        self.unheard = self.heard = self.began = 0
        self.sock = self.writer = None
        self.closed = self.late = self.doubtful = False
        self.greenlet = spawn(self._run)

    def admits(self, word: bytes, place: Endpoint) -> bool:
        """Room for one more, and no trace of the id.

        Guards against a late answer being taken for that of a repeat: an id given up here may still be
        answered, and an answered one a second time, so a repeat takes another connection."""
        now = monotonic_us()
        while self.order and self.stale[self.order[0]] < now:
            del self.stale[self.order.popleft()]
        usable = not (self.closed or self.late or self.doubtful or self.suspect()) and place == self.endpoint
        return (
            usable
            and len(self.exchanges) < self.link.limits.max_streams
            and word not in self.exchanges
            and self.stale.get(word, 0) < now
        )

    def has_unread(self) -> bool:
        """Guards against closing over what the engine says in this moment: that would be a reset."""
        return self.sock is not None and unread(self.sock)

    def suspect(self) -> bool:
        """Guards against a machine that vanished: its connections stay open without a word, also when it is
        back. Whoever was sent something would have told at least a note by now; new work takes a new
        connection, which proves within the connect time-out whether anybody is there."""
        return 0 < self.unheard < monotonic_us() - self.link.silent

    def lost(self, heard: int) -> bool:
        """Guards against answers that never come: whoever runs a query tells at least a note each interval.
        Only a connection that is silent while its engine speaks on another one has lost something; an engine
        that is silent altogether is the module's to judge."""
        notes, now = self.link.limits.progress_interval_us, monotonic_us()
        return (
            self.exchanges
            and 0 < self.unheard < now - int(notes * LOST_NOTES)
            and notes > 0
            and heard > now - int(notes * WITNESS)
        )

    def carry(self, attempt: Attempt, word: bytes) -> None:
        """Take the attempt; it goes out once the connection is up."""
        exchange = attempt.transport_state = Exchange(attempt, self, word)
        self.exchanges[word] = exchange
        self.used = monotonic_us()
        if self.writer is None:
            self.unsent.append(exchange)
        else:
            self._want(exchange)

    def hurry(self, exchange: Exchange) -> None:
        """Pass a new priority on, behind the query itself."""
        if self.writer is not None and not exchange.pages:
            line = b"hurry %s %d\r\n" % (exchange.word, exchange.attempt.request.priority)
            self.writer.put(line, live=lambda: exchange.sent and not exchange.dropped)

    def say(self, line: bytes) -> None:
        """A command that has no answer."""
        if self.writer is not None:
            self.writer.put(line, b"\r\n")

    def give_up(self, exchange: Exchange) -> None:
        """Nothing is wanted of the exchange any more."""
        if exchange.dropped:
            return
        self._settle(exchange, STALE)
        if exchange.sent:
            self.say((b"shut " if exchange.pages else b"never_mind ") + exchange.word)

    def _want(self, exchange: Exchange) -> None:
        a, q = exchange.attempt, exchange.attempt.query
        exchange.worded_at = monotonic_us()
        left = max((a.deadline - exchange.worded_at) // 1000, 1)
        fields = [f"c={q.class_name}", f"w={left}", f"order={a.request.priority}"]
        if q.key:
            fields.append(f"i={q.key}")
        if a.request.grant_mb >= 1:
            fields.append(f"heap={round(a.request.grant_mb)}")
        head = b"want %s %s %d\r\n" % (exchange.word, ",".join(fields).encode(), len(q.statement))
        self.writer.put(head, q.statement, b"\r\n", live=lambda: self._leaves(exchange))

    def _leaves(self, exchange: Exchange) -> bool:
        # Guards against sends that a drain, a cancel, the client's leaving, the connection's end or a full
        # socket overtook: what has not left yet and should not any more never does, and the module is told
        # that it never ran.
        if exchange.dropped:
            return False
        attempt, now = exchange.attempt, monotonic_us()
        if not attempt.may_be_sent(now) or self.endpoint.id not in self.core.ready_endpoints:
            self._settle(exchange)
            self.core.counters.add("moot_sends")
            self.core.attempt_ended(attempt, Outcome.NOT_SENT)
            return False
        if not self.core.is_current(self.endpoint) or self._over():
            self._settle(exchange)
            self.link.again(attempt, Outcome.NOT_SENT)
            return False
        if now - exchange.worded_at > WORDED_MOST:  # it names more time than the client has left
            self._want(exchange)
            return False
        exchange.sent = True
        self.core.counters.reply(exchange.attempt.query.class_name, "dispatches")
        self.unheard = self.unheard or now
        return True

    def _over(self) -> bool:
        """Guards against sending on a connection that the engine has closed: its end has come but is not read
        yet. On one that rested any byte may be that; nothing goes out before it is read."""
        rested = not any(exchange.sent for exchange in self.exchanges.values())
        if not self.doubtful and (unread if rested else ended)(self.sock):
            self.core.counters.add("engine_close.before_send")
            self.doubtful = True
        return self.doubtful

    def _settle(self, exchange: Exchange, bar: int = ANSWERED) -> None:
        """The one place where an exchange ends: its id bars the connection for a while if it has left."""
        exchange.dropped = True
        if self.exchanges.get(exchange.word) is exchange:
            del self.exchanges[exchange.word]
            if exchange.sent:
                if exchange.word not in self.stale:
                    self.order.append(exchange.word)
                self.stale[exchange.word] = monotonic_us() + bar
        self.used = monotonic_us()
        if not self.exchanges and not self.suspect():
            self.unheard = 0  # what was called off early owes no word

    def _end(self, exchange: Exchange, outcome: Outcome, rows: bytes = b"", bar: int = ANSWERED) -> None:
        self._settle(exchange, bar)
        self.core.attempt_ended(exchange.attempt, outcome, rows)

    def close(self, why: str, outcome: Outcome = Outcome.RESET) -> None:
        """The connection is over; so is all that is open on it."""
        if self.closed:
            return
        self.closed = True
        self._log_close(why)
        self.link.drop(self)
        for exchange in list(self.exchanges.values()):
            if exchange.sent or outcome is not Outcome.RESET:
                self._end(exchange, outcome)
            else:
                self._settle(exchange)
                self.link.again(exchange.attempt, Outcome.NOT_SENT)
        if self.writer is not None:
            self.writer.close()
        if self.sock is not None:
            end(self.sock)
        else:
            self.greenlet.kill(block=False)  # still dialling

    def _log_close(self, why: str) -> None:
        cause, _, detail = why.partition(":")
        cause = cause.replace(" ", "_")
        self.core.counters.add(f"engine_close.{cause}")
        self.core.event_log.write(
            EventKind.ENGINE_CLOSED,
            engine=self.endpoint.name,
            reason=cause,
            open=len(self.exchanges),
            unused_ms=(monotonic_us() - self.used) // 1000,
            detail=repr(detail.strip()),
        )

    def _run(self) -> None:
        patience = self.link.limits.connect_timeout_s
        overdue = spawn_later(patience, self._overdue)
        try:
            with Timeout(patience + LATE):
                self.sock = dial(self.endpoint.address)
        except ConnectionResetError:
            self.close("reset when new")
            return
        except Timeout:
            self.close("never up", Outcome.CONNECT_FAILED)
            return
        except OSError as err:
            if err.errno in OURS:  # no word on the engine
                self.close("no descriptor", Outcome.NOT_SENT)
            else:
                self.close("connect failed", Outcome.CONNECT_FAILED)
            return
        finally:
            overdue.kill(block=False)
        if self.closed:
            end(self.sock)
            return
        self.core.counters.add("engine_connects_late" if self.late else "engine_connects")
        self.link.unreached.pop(self.endpoint.id, None)
        self.late, self.used = False, monotonic_us()
        self.writer = Writer(self.sock, 4 << 20, 10.0, self.close)
        for exchange in self.unsent:
            self._want(exchange)
        self.unsent.clear()
        self._read()

    def _overdue(self) -> None:
        """The time-out of a connection: what waits for it has ended, and stays so when it comes up late."""
        if self.closed or self.sock is not None:
            return
        self.late = True
        self.core.counters.add("engine_connects_overdue")
        self.unsent.clear()
        waiting = list(self.exchanges.values())
        for exchange in waiting:
            self._settle(exchange)
        self.link.overdue(self, [exchange.attempt for exchange in waiting])

    def _read(self) -> None:
        # It never grows: guards against clients that fill what all buffers may hold taking answers with them.
        buffer = Buffer(LINE_MOST + PAGE_MOST, first=LINE_MOST + PAGE_MOST + READ)
        why = "closed by engine"
        try:
            while fill(buffer, self.sock, self._patience):
                self.heard, self.doubtful = monotonic_us(), False
                while self._message(buffer):
                    self.began = 0
                self.began = (self.began or self.heard) if len(buffer) else 0
                self.unheard = self.heard if self.exchanges else 0
        except OSError as err:
            why = f"reset by engine: {err}"
        except Idle:
            why = "cut short"
        except (BadLine, TooLong) as err:
            why = f"bad line: {err}"
        self.close(why)

    def _patience(self) -> float:
        """Guards against answers that stop short: the rest of one that has begun must follow soon."""
        return left(self.began, PART) if self.began else WATCH

    def _message(self, buffer: Buffer) -> bool:
        """Take one whole message; False while none is there."""
        line = buffer.peek(b"\r\n", LINE_MOST)
        if line is None:
            return False
        words = line.split(b" ")
        if len(words) != 4 or not words[3].isdigit() or int(words[3]) > PAGE_MOST:
            raise BadLine(line[:80])
        size = int(words[3])
        message = buffer.take(len(line) + 2 + size + 2)
        if message is None:
            return False
        body = message[len(line) + 2 :]
        if body[size:] != b"\r\n":
            raise BadLine(line[:80])
        self._told(words[0], words[1], words[2], body[:size])
        return True

    def _told(self, word: bytes, what: bytes, fields: bytes, body: bytes) -> None:
        told, exchange = _fields(fields), self.exchanges.get(word)
        if what not in WORDS:
            raise BadLine(what[:80])
        if exchange is None or not exchange.sent:
            self.core.counters.add("late_answers")
        elif what == b"status":
            self._note(exchange, told)
        elif what == b"200":
            self._first(exchange, told, body)
        elif what == b"chunk":
            self._page(exchange, _count(told, b"pos", 1, len(exchange.pages) - 1), body)
        elif exchange.pages or exchange.ran or what == b"500":
            # Guards against a word that nothing ran behind a note that it did; and against the other pages,
            # asked for together: their answers still come, and must not meet a repeat of the id here.
            self._end(exchange, Outcome.ERROR, bar=STALE if exchange.pages else ANSWERED)
        else:
            self._end(exchange, Outcome.REJECTED if what == b"503" else Outcome.NOT_SENT)

    def _note(self, exchange: Exchange, told: dict[bytes, bytes]) -> None:
        """Guards against notes that are noise: the module reckons with them."""
        kind = NOTES.get(told.get(b"note", b""))
        if kind is None:
            return
        try:
            value = float(told.get(b"reading", b""))
        except ValueError:
            raise BadLine(b"reading") from None
        if not 0 <= value <= READING_MOST:
            raise BadLine(b"reading")
        exchange.ran |= kind is not ProgressKind.WAITING and value > 0
        self.core.attempt_progressed(exchange.attempt, kind, value)

    def _first(self, exchange: Exchange, told: dict[bytes, bytes], body: bytes) -> None:
        count = _count(told, b"count", 1, PAGES_MOST)
        if exchange.pages:  # a second copy of an answer that was good
            self.core.counters.add("second_copies")
            return
        exchange.pages, exchange.missing = [None] * count, count
        self._page(exchange, 0, body)
        if count > 1:  # all pages are asked for together
            self.writer.put(*(b"turn %s %d\r\n" % (exchange.word, n) for n in range(1, count)))

    def _page(self, exchange: Exchange, n: int, body: bytes) -> None:
        if exchange.pages[n] is not None:
            self.core.counters.add("second_copies")
            return
        if not whole_rows(body) or not body and len(exchange.pages) > 1:
            raise BadLine(b"rows")
        exchange.pages[n] = body
        exchange.missing -= 1
        exchange.size += len(body)
        if exchange.size > RESULT_MOST:
            raise BadLine(b"result too long")
        if not exchange.missing:
            if len(exchange.pages) > 1:
                self.say(b"shut " + exchange.word)
            self._end(exchange, Outcome.OK, b"".join(exchange.pages))


def whole_rows(body: bytes) -> bool:
    """Guards against spoilt pages being passed on: text, in whole rows of three columns."""
    if not body:
        return True
    rows = body.split(b"\n")
    try:
        text = body.decode()
    except UnicodeDecodeError:
        return False
    return not rows.pop() and "\0" not in text and all(row.count(b"\t") == COLUMNS - 1 for row in rows)


def _fields(fields: bytes) -> dict[bytes, bytes]:
    if fields == b"-":
        return {}
    pairs = [f.split(b"=", 1) for f in fields.split(b",")]
    if any(len(pair) != 2 for pair in pairs):
        raise BadLine(fields[:80])
    return dict(pairs)


def _count(told: dict[bytes, bytes], name: bytes, least: int, most: int) -> int:
    value = told.get(name, b"")
    if not value.isdigit() or not least <= int(value) <= most:
        raise BadLine(name)
    return int(value)
