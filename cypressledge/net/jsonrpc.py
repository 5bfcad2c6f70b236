"""The platform's front: JSON-RPC 2.0 over TCP, each message behind a `Content-Length` head."""

import base64
import binascii
import json
import math
import re

from cypressledge.contract import Effect
from cypressledge.core import KEY, Core, Fault, Query, Request, clock
from cypressledge.counters import Counters
from cypressledge.net.buffer import Buffer, TooLong
from cypressledge.net.stream import Listener, Writer, drain, end, fill, flush
from cypressledge.sql import table_group

HEAD_MOST = 1024
FRAME_MOST = 512 << 10
OPEN_MOST = 32  # open requests on one connection
QUEUED_MOST = 4 << 20  # bytes of answers that a client may leave unread
PATIENCE = 30.0  # seconds a single write may take
IDLE = 120.0  # seconds without a byte, nothing open, after which a client is let go
WAIT_MOST = 86_400_000  # ms
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
        while self.floor + 1 in self.above:
            self.floor += 1
            self.above.remove(self.floor)
        return True


class Front:
    """Listens for clients."""

    def __init__(self, core: Core, listen: tuple[str, int], classes: tuple[str, ...], tenants,
                 counters: Counters) -> None:
        self.core, self.counters = core, counters
        self.classes = {name: i for i, name in enumerate(classes)}
        self.tenants = tenants
        self.clients: set[Client] = set()
        self.listener = Listener(listen, counters, "clients", lambda sock: Client(self, sock).run())

    def stop(self) -> None:
        """Accept nobody any more."""
        self.listener.stop()

    def flush(self, seconds: float) -> None:
        """Let every client's answers go out."""
        flush(self.clients, seconds)


class Client:
    """One client's connection."""

    def __init__(self, front: Front, sock) -> None:
        self.front, self.sock, self.core = front, sock, front.core
        self.counters = front.counters
        self.used = Used()
        self.open: dict[int, Call] = {}
        self.writer = Writer(sock, QUEUED_MOST, PATIENCE, self._gone)
        front.clients.add(self)

    def run(self) -> None:
        """Read until the client leaves or framing is lost."""
        buffer = Buffer(FRAME_MOST + HEAD_MOST)
        try:
            while fill(buffer, self.sock, IDLE, lambda: bool(self.open)):
                while (frame := self._frame(buffer)) is not None:
                    self._message(frame)
        except (BadFrame, TooLong) as err:
            self.counters.add("bad_frames")
            self._error(None, INVALID, f"bad framing: {err}")
            drain(self.sock, self.writer)
        except OSError:
            pass
        finally:
            self._leave()

    def _gone(self, why: str) -> None:
        self.counters.add("clients_cut")
        end(self.sock)

    def _leave(self) -> None:
        for call in list(self.open.values()):
            call.leave()
        self.front.clients.discard(self)
        self.writer.close()
        end(self.sock)

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
        return None if whole is None else whole[len(head) + 4:]

    def say(self, message: dict) -> None:
        """Queue one message."""
        raw = json.dumps(message, separators=(",", ":")).encode()
        self.writer.put(b"Content-Length: %d\r\n\r\n" % len(raw), raw)

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
        if type(number) is not int or number < 1:
            raise RpcError(INVALID, "id is not a number from 1")
        if not self.used.add(number):
            # Under the id itself an error would be a second answer to the open request.
            raise RpcError(INVALID, f"id {number} was used before")
        return method, number

    def _call(self, method: str, number: int | None, params) -> None:
        if method == "withdraw":
            self._withdraw(number, params)
        elif method == "status":
            self.say({"jsonrpc": "2.0", "id": number, "result": {"healthy": self.core.serving()}})
        elif method not in self.front.classes:
            raise RpcError(NO_METHOD, f"no method {method[:40]}")
        else:
            self._take(self._query(method, params), Call(self, number))

    def _take(self, query: Query, call: "Call") -> None:
        full = len(self.open) >= OPEN_MOST
        self.open[call.number] = call
        if full:
            self.counters.add("refused.connection_full")
            call.refused(self.core.after_most)
        else:
            call.request = self.core.take(query, call)

    def _withdraw(self, number, params) -> None:
        """The call is named by its number or its query's id, whichever the client gives."""
        self.counters.add("withdraws")
        names = [number, *(params.values() if isinstance(params, dict) else ())]
        for call in list(self.open.values()):
            if call.number in names or call.request and call.request.query.id in names:
                call.leave()

    def _query(self, method: str, params) -> Query:
        now = clock()
        if not isinstance(params, dict):
            raise RpcError(BAD_PARAMS, "params is no object")
        cls = self.front.classes[method]
        wait = _number(params, "wait", WAIT_MOST)
        key = params.get("once")
        if self.core.settings.classes[cls].effect is Effect.KEYED and key is None:
            raise RpcError(BAD_PARAMS, "once is missing")
        if key is not None and not (isinstance(key, str) and KEY.match(key)):
            raise RpcError(BAD_PARAMS, "once is no key")
        name, tenant = params.get("id"), params.get("tenant")
        if not isinstance(name, str) or not ID.match(name):
            raise RpcError(BAD_PARAMS, "id is not 16 hex digits")
        if not isinstance(tenant, str) or tenant not in self.front.tenants:
            raise RpcError(BAD_PARAMS, "unknown tenant")
        statement = _statement(params.get("content"))
        return Query(
            id=name, cls=cls, class_name=method, tenant=tenant, statement=statement,
            due=now + int(wait * 1000), key=key or "", cost=int(_number(params, "cost", 1e9, 0.0) * 1000),
            memory_mb=_number(params, "mem", 1e9, 0.0), repeat=bool(params.get("retry")),
            group=table_group(statement.decode("utf-8", "replace")))


class Call:
    """One open request of a client: what the core answers to."""

    streams = False

    def __init__(self, client: Client, number: int) -> None:
        self.client, self.number = client, number
        self.request: Request | None = None

    def leave(self) -> None:
        """The client waits no more."""
        self.client.open.pop(self.number, None)
        if self.request is not None:
            self.client.core.left(self.request)

    def served(self, rows: bytes) -> None:
        if self._owed():
            content = base64.b64encode(rows).decode()
            self.client.say({"jsonrpc": "2.0", "id": self.number, "result": {"content": content}})

    def part(self, rows: bytes) -> None:
        raise NotImplementedError("JSON-RPC answers whole")

    def pace(self) -> bool:
        return True

    def refused(self, after: int) -> None:
        if self._owed():  # a call withdrawn a moment ago is owed no refusal either
            self.client._error(self.number, REFUSED, "refused: try again", {"after": after // 1000})

    def failed(self, fault: Fault) -> None:
        if self._owed():
            self.client._error(self.number, FAILED, fault.text)

    def _owed(self) -> bool:
        return self.client.open.pop(self.number, None) is not None


def _number(params: dict, name: str, most: float, default: float | None = None) -> float:
    value = params.get(name, default)
    good = type(value) in (int, float) and math.isfinite(value) and 0 <= value <= most
    if not good:
        raise RpcError(BAD_PARAMS, f"{name} is no figure in range")
    return value


def _statement(content) -> bytes:
    try:
        return base64.b64decode(content, validate=True)
    except (TypeError, ValueError, binascii.Error):
        raise RpcError(BAD_PARAMS, "content is not base64") from None
