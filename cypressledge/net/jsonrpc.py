"""The platform's front: JSON-RPC 2.0 over TCP, each message behind a `Content-Length` head."""

import base64
import binascii
import errno
import json
import re

from gevent import sleep

from cypressledge.broker.core import Core
from cypressledge.broker.event_log import EventKind
from cypressledge.broker.metrics import Counters
from cypressledge.broker.requests import EngineFault, Query, Request
from cypressledge.clock import monotonic_us
from cypressledge.decisions.contract import Idempotency
from cypressledge.net.buffer import Buffer, TooLong
from cypressledge.net.stream import (
    DRAIN,
    FIRST,
    Crowd,
    Idle,
    Listener,
    Writer,
    drain,
    end,
    fill,
    left,
    missed,
    shut,
    unread,
)
from cypressledge.sql import table_group

HEAD_MOST = 1024
FRAME_MOST = 512 << 10
OPEN_MOST = 32  # open requests on one connection
HELD_PART = 4  # of the bytes of statements that all may hold, one connection may hold one part in so many
QUEUED_MOST = 4 << 20  # bytes of answers that a client may leave unread
PATIENCE = 30.0  # seconds a single write may take
PART = 2.0  # seconds from the first byte of a message to its last
SOON = 0.05
IDLE = 10.0  # seconds with nothing open until a client that has asked is let go; usual ones close after 4
FAULTS_MOST = 16  # messages that are errors, from one connection
WAIT_PART = 2  # of a class's deadline: longer waits are no figure of any client's
COST_MOST = 1e8  # ms
MEMORY_MOST = 1e6  # MB
NUMBER_MOST = 1 << 53
SKIPPED_MOST = 1024  # ids that a connection may have used out of order
KEYS = re.compile(r"[0-9A-Za-z_.:/+~-]{1,128}\Z", re.A)
ORDINARY_CLOSES = frozenset(("by-client", "idle"))
REFUSED = -32066
FAILED = -32000
PARSE, INVALID, NO_METHOD, BAD_PARAMS = -32700, -32600, -32601, -32602
ID = re.compile(r"[0-9a-f]{16}\Z", re.A)


class BadFrame(Exception):
    """Framing is lost: the connection can't go on."""


class RpcError(Exception):
    """A standard JSON-RPC error."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


class Used:
    """Ids that a connection has used: all up to `floor`, and those above it."""

    def __init__(self) -> None:
        self.floor, self.above = 0, set()

    def add(self, number: int) -> bool:
        """Use an id; False if it was used before."""
        if number <= self.floor or number in self.above:
            return False
        self.above.add(number)
        if len(self.above) > SKIPPED_MOST:  # numbers skipped: what lies under the rest is given up
            self.floor = min(self.above) - 1
        while self.floor + 1 in self.above:
            self.floor += 1
            self.above.remove(self.floor)
        return True


class Front:
    """Listens for clients."""

    def __init__(
        self,
        core: Core,
        listen: tuple[str, int],
        classes: tuple[str, ...],
        tenants,
        counters: Counters,
        inherited: int | None = None,
    ) -> None:
        self.core, self.counters = core, counters
        self.classes = {name: i for i, name in enumerate(classes)}
        self.tenants = tenants
        self.clients, self.retiring = Crowd(), False
        self.listener = Listener(
            listen, counters, "clients", lambda sock: Client(self, sock).run(), self.clients, inherited
        )

    def stop(self) -> None:
        """Accept nobody any more."""
        self.listener.stop()

    def retire(self) -> None:
        """Another process takes the clients: each connection ends as soon as nothing is owed on it."""
        self.retiring = True
        for client in list(self.clients):
            client.retire()

    def flush(self, seconds: float) -> None:
        """Let every client's answers go out, and wait for the clients to close in their turn.

        Guards against the last answers being lost with the process, whose sockets are reset where bytes are
        unread: what has come is read and answered; in the second half whoever is not done is not heard."""
        until = monotonic_us() + int(seconds * 1e6)
        while len(self.listener.pool) and (now := monotonic_us()) < until:
            for client in list(self.clients):
                client.deaf |= until - now < seconds * 5e5
                client.retire()
            sleep(0.01)


class Client:
    """One client's connection."""

    def __init__(self, front: Front, sock) -> None:
        self.front, self.sock, self.core = front, sock, front.core
        self.counters = front.counters
        self.used = Used()
        self.open: dict[int, Call] = {}
        self.writer = Writer(sock, QUEUED_MOST, PATIENCE, self._gone)
        self.since = self.last = monotonic_us()
        self.began = self.faults = 0  # `began`: when the message that is not whole yet did
        self.asked = self.told = False
        # On the way to its end: `retiring` once nothing is owed any more, `deaf` to all that still comes.
        self.retiring, self.deaf, self.reading = front.retiring, False, False
        self.shut_at = 0
        self.close_reason = "by-client"
        front.clients.add(self)

    def run(self) -> None:
        """Read until the client leaves, framing is lost, or nothing comes for too long."""
        buffer = Buffer(FRAME_MOST + HEAD_MOST)
        try:
            while self._hear(buffer):
                pass
        except (BadFrame, TooLong) as err:
            self.counters.add("bad_frames")
            self.close_reason = "bad-frame"
            self._error(None, INVALID, f"bad framing: {err}")
            self._wind_up()
        except OSError as err:
            self.close_reason = errno.errorcode.get(err.errno, "error")
        finally:
            self._leave()

    def _hear(self, buffer: Buffer) -> bool:
        """Take what comes next; False once there is nothing more to hear."""
        try:
            if not fill(buffer, self.sock, self._patience):
                return False
            self._messages(buffer)
            return True
        except Idle:
            # Guards against closing on a request that comes in this moment: it is answered first.
            if not self.shut_at:
                self.counters.add("clients.idle")
                self.close_reason = "idle"
                self.retire()
                return True
            return False

    def _wind_up(self) -> None:
        """Hear nothing more; what was taken is still answered, and then our side is shut.

        Guards against answers lost with a connection that can't go on: only its framing, or the client's
        patience, is. Whoever leaves meanwhile is seen to leave."""
        self.deaf = True
        self.retire()
        drain(self.sock, self._wait_for_end)

    def _wait_for_end(self) -> float:
        return left(self.shut_at, DRAIN) if self.shut_at else DRAIN

    def _messages(self, buffer: Buffer) -> None:
        self.reading = True
        try:
            self._frames(buffer)
        finally:
            self.reading = False
        if self.retiring:
            self.retire()

    def _frames(self, buffer: Buffer) -> None:
        whole = False
        while (frame := self._frame(buffer)) is not None:
            whole = True
            if self.writer.closed:  # came after our side was shut: no answer could reach the client
                self.counters.add("clients.after_retiring")
                continue
            self._message(frame)
            if self.faults > FAULTS_MOST:
                raise BadFrame("too many errors")
        self.asked |= whole
        self._heard()
        if not len(buffer):
            self.began = 0
        elif whole or not self.began:
            self.began = self.last

    def _patience(self) -> float:
        """Seconds until the client must have said more.

        Guards against clients that say nothing, never end a message, or take back all they asked: each is
        owed a word or a close within 3 s. Whoever has asked and been answered may stay idle."""
        if self.shut_at:
            return left(self.shut_at, DRAIN)
        if self.began:
            if monotonic_us() > self.began + PART * 1e6:
                raise BadFrame("message not whole in time")
            return left(self.began, PART)
        if self.open:
            return IDLE
        if self.retiring:
            self.retire()
            return left(self.shut_at, DRAIN) if self.shut_at else SOON
        return left(self.last, IDLE) if self.asked and self.told else left(self.since, FIRST)

    def _heard(self) -> None:
        self.last = monotonic_us()
        self.front.clients.touch(self)

    def missed(self, now: int) -> tuple[int, int]:
        """How much the connection would be missed, where room is needed."""
        busy = bool(self.open or self.began or self.writer.running)  # an answer may still be on its way out
        return missed(now, self.since, self.last, self.asked, busy)

    def retire(self) -> None:
        """End the connection once nothing is owed on it: the client's next call meets the next process.

        Guards against refusing what comes on connections kept open past a stop: after the last answer our
        side is shut, and the client, seeing the end, asks again on a new connection. Nothing that has come
        before is left unread: it is answered first."""
        self.retiring = True
        now = monotonic_us()
        young = not self.asked and now - self.since < FIRST * 1e6  # its first request may be on its way
        due = self.deaf or not (young or self.began or self.reading or unread(self.sock))
        if due and not self.open and not self.shut_at:
            self.shut_at = now
            self.counters.add("clients.retired")
            self.writer.close(lambda: shut(self.sock))

    def let_go(self) -> None:
        """Make room for another client: what has been asked is answered, and nothing more is heard."""
        self.close_reason = "room-for-others"
        self.front.clients.let_go(self)
        self.retire()

    def _gone(self, why: str) -> None:
        self.counters.add("clients_cut")
        self.close_reason = "not-read"
        end(self.sock)

    def _leave(self) -> None:
        self._log_close()
        for call in list(self.open.values()):
            call.leave()
        self.front.clients.discard(self)
        self.writer.close()
        end(self.sock)

    def _log_close(self) -> None:
        """Ordinary ends, by a client that is owed nothing, are only counted."""
        self.counters.add(f"clients_closed.{self.close_reason}")
        if self.open or self.close_reason not in ORDINARY_CLOSES:
            requests = ",".join(c.request.query.id for c in self.open.values() if c.request) or "-"
            self.core.event_log.write(
                EventKind.CLIENT_CLOSED, reason=self.close_reason, open=len(self.open), requests=requests
            )

    @staticmethod
    def _frame(buffer: Buffer) -> bytes | None:
        head = buffer.peek(b"\r\n\r\n", HEAD_MOST)
        if head is None:
            return None
        size = None
        for line in head.split(b"\r\n"):
            name, colon, value = line.partition(b":")
            if not colon:
                raise BadFrame("head line without a colon")
            if name.strip().lower() == b"content-length":
                value = value.strip()
                if not value.isdigit() or size is not None:
                    raise BadFrame("Content-Length is no number")
                size = int(value)
        if size is None or size > FRAME_MOST:
            raise BadFrame("no Content-Length" if size is None else "frame too long")
        whole = buffer.take(len(head) + 4 + size)
        return None if whole is None else whole[len(head) + 4 :]

    def say(self, message: dict) -> None:
        """Queue one message."""
        self.told = True
        self._heard()
        raw = json.dumps(message, separators=(",", ":")).encode()
        self.writer.put(b"Content-Length: %d\r\n\r\n" % len(raw), raw)
        if self.retiring:
            self.retire()

    def _error(self, number: int | None, code: int, text: str, data: dict | None = None) -> None:
        error = {"code": code, "message": text}
        if data is not None:
            error["data"] = data
        self.say({"jsonrpc": "2.0", "id": number, "error": error})

    def _message(self, frame: bytes) -> None:
        number = None
        try:
            try:
                message = json.loads(frame)
            except (ValueError, RecursionError):
                raise RpcError(PARSE, "not JSON") from None
            method, number = self._head(message)
            self._call(method, number, message.get("params"))
        except RpcError as err:
            self.faults += 1
            self.counters.add(f"rpc_error.{-err.code}")
            self._error(number, err.code, str(err))

    def _head(self, message) -> tuple[str, int | None]:
        """The method, and the id once it is known to be new."""
        if not isinstance(message, dict) or message.get("jsonrpc") != "2.0":
            raise RpcError(INVALID, "not a JSON-RPC 2.0 request")
        method, number = message.get("method"), message.get("id")
        if not isinstance(method, str):
            raise RpcError(INVALID, "no method")
        if method == "withdraw":
            return method, number
        if type(number) is not int or not 1 <= number <= NUMBER_MOST:
            raise RpcError(INVALID, "id is not a number from 1")
        if not self.used.add(number):
            # Under the id itself an error would be a second answer to the open request.
            raise RpcError(INVALID, f"id {number} was used before")
        return method, number

    def _call(self, method: str, number: int | None, params) -> None:
        if method == "withdraw":
            self._withdraw(number, params)
        elif method == "status":
            self.say({"jsonrpc": "2.0", "id": number, "result": {"healthy": self.core.is_serving()}})
        elif method not in self.front.classes:
            raise RpcError(NO_METHOD, f"no method {method[:40]}")
        else:
            self._take(self._query(method, params), Call(self, number))

    def _take(self, query: Query, call: "Call") -> None:
        # Guards against one client's statements filling what all may hold: the others would be refused.
        held = sum(len(c.request.query.statement) for c in self.open.values() if c.request)
        full = len(self.open) >= OPEN_MOST or held > self.core.max_statement_bytes // HELD_PART
        self.open[call.number] = call
        if full:  # no client that keeps to the protocol gets here
            self.faults += 1
            self.core.reject_at_admission(query, call, "connection_full")
        else:
            call.request = self.core.submit(query, call)

    def _withdraw(self, number, params) -> None:
        """The call is named by its number or its query's id, whichever the client gives."""
        self.counters.add("withdraws")
        names = [number, *(params.values() if isinstance(params, dict) else ())]
        for call in list(self.open.values()):
            if call.number in names or call.request and call.request.query.id in names:
                call.leave()

    def _query(self, method: str, params) -> Query:
        """The query, if an engine can use all of it. Guards against what engines can't read: they close a
        connection on it, with the work of others."""
        now = monotonic_us()
        if not isinstance(params, dict):
            raise RpcError(BAD_PARAMS, "params is no object")
        cls = self.front.classes[method]
        spec = self.core.settings.classes[cls]
        wait = _number(params, "wait", spec.deadline / 1000 * WAIT_PART)
        if wait < 1:
            raise RpcError(BAD_PARAMS, "wait is no figure in range")
        name, tenant = params.get("id"), params.get("tenant")
        if not isinstance(name, str) or not ID.match(name):
            raise RpcError(BAD_PARAMS, "id is not 16 hex digits")
        if self.core.is_open(name):
            raise RpcError(BAD_PARAMS, "id is that of an open request")
        if not isinstance(tenant, str) or tenant not in self.front.tenants:
            raise RpcError(BAD_PARAMS, "unknown tenant")
        if params.get("retry", 0) not in (0, 1):
            raise RpcError(BAD_PARAMS, "retry is not 1")
        statement, text = _statement(params.get("content"))
        return Query(
            id=name,
            class_index=cls,
            class_name=method,
            tenant=tenant,
            statement=statement,
            deadline=now + int(wait * 1000),
            key=_key(params, spec.idempotency is Idempotency.WITH_KEY),
            cost=int(_number(params, "cost", COST_MOST, 0.0) * 1000),
            memory_mb=_number(params, "mem", MEMORY_MOST, 0.0),
            is_client_retry=bool(params.get("retry")),
            table_group=table_group(text),
        )


class Call:
    """One open request of a client: what the core answers to."""

    supports_streaming = False

    def __init__(self, client: Client, number: int) -> None:
        self.client, self.number = client, number
        self.request: Request | None = None

    def leave(self) -> None:
        """The client waits no more."""
        self.client.open.pop(self.number, None)
        if self.request is not None:
            self.client.core.client_disconnected(self.request)

    def complete(self, rows: bytes) -> None:
        """Answer with all rows."""
        if self._owed():
            content = base64.b64encode(rows).decode()
            self.client.say({"jsonrpc": "2.0", "id": self.number, "result": {"content": content}})

    def send_rows(self, rows: bytes) -> None:
        """Send the next rows of a streamed answer."""
        raise NotImplementedError("JSON-RPC answers whole")

    def wait_until_drained(self) -> bool:
        """Wait, a second at most, until the client has read; whether it has."""
        return True

    def reject(self, after: int) -> None:
        """Reject the request; the client may try again after so many µs."""
        if self._owed():  # a call withdrawn a moment ago is owed no refusal either
            self.client._error(self.number, REFUSED, "refused: try again", {"after": after // 1000})

    def fail(self, fault: EngineFault) -> None:
        """Answer with an error."""
        if self._owed():
            self.client._error(self.number, FAILED, fault.text)

    def _owed(self) -> bool:
        return self.client.open.pop(self.number, None) is not None


def _number(params: dict, name: str, most: float, default: float | None = None) -> float:
    value = params.get(name, default)
    if type(value) not in (int, float) or not 0 <= value <= most:  # NaN is in no range
        raise RpcError(BAD_PARAMS, f"{name} is no figure in range")
    return value


def _key(params: dict, keyed: bool) -> str:
    key = params.get("once")
    if not keyed:
        if key is not None:
            raise RpcError(BAD_PARAMS, "once belongs to classes that carry a key")
        return ""
    if key is None:
        raise RpcError(BAD_PARAMS, "once is missing")
    if not isinstance(key, str) or not KEYS.match(key):
        raise RpcError(BAD_PARAMS, "once is no key")
    return key


def _statement(content) -> tuple[bytes, str]:
    """The statement, and the same as text."""
    try:
        statement = base64.b64decode(content, validate=True)
        text = statement.decode()
    except (TypeError, ValueError, binascii.Error):
        raise RpcError(BAD_PARAMS, "content is not base64 of a statement") from None
    if not text.strip() or "\0" in text:
        raise RpcError(BAD_PARAMS, "content is no statement")
    return statement, text
