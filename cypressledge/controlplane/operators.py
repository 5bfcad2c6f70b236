"""What operators ask a control process over HTTP: status, lag, state, history, and changes.

Answered from the socket greenlets; a change is handed to the owner, which answers it once it is decided.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass

from cypressledge.broker.metrics import Counters
from cypressledge.controlplane.messages import Op
from cypressledge.controlplane.state_values import StateError, encode_value
from cypressledge.net.http_server import HttpExchange, HttpRequest, HttpServer

BODY_MOST = 2 << 20  # bytes of a change in JSON
CALLERS_MOST = 64
KEYS = frozenset(("base", "request", "who", "why", "ops", "dry_run"))


class BadRequest(Exception):
    """A request that can't be read: one plain line."""


@dataclass(frozen=True, slots=True)
class Asked:
    """A change that an operator asks for. `base`: the version it was made on; none: the newest there is."""

    base: int | None
    request: str
    who: str
    why: str
    ops: list[Op]
    dry_run: bool


def read_change(body: bytes) -> Asked:
    """A change from its JSON. Raises `BadRequest`."""
    try:
        told = json.loads(body)
    except (ValueError, RecursionError) as err:
        raise BadRequest(f"not JSON: {err}") from None
    if not isinstance(told, dict) or not set(told) <= KEYS:
        raise BadRequest(f"a change has {', '.join(sorted(KEYS))}, and nothing else")
    base = told.get("base")
    if base is not None and (type(base) is not int or base < 0):
        raise BadRequest("base is no version")
    texts = [told.get(key, "") for key in ("request", "who", "why")]
    if not all(isinstance(text, str) for text in texts):
        raise BadRequest("request, who and why are texts")
    return Asked(base, *texts, _ops(told.get("ops")), told.get("dry_run") is True)


def _ops(told: object) -> list[Op]:
    if not isinstance(told, dict) or not set(told) <= {"set", "remove"}:
        raise BadRequest("ops has set and remove, and nothing else")
    values, removed = told.get("set", {}), told.get("remove", [])
    if not isinstance(values, dict) or not isinstance(removed, list):
        raise BadRequest("set is a mapping of keys to values, remove a list of keys")
    if not all(isinstance(key, str) for key in removed):
        raise BadRequest("a key to remove is no text")
    try:
        return [Op(key, encode_value(value)) for key, value in values.items()] + [Op(key) for key in removed]
    except StateError as err:
        raise BadRequest(str(err)) from None


Call = Callable[[HttpRequest], tuple[int, object]]


class Operators:
    """The control process's HTTP address. `change(asked, exchange)` answers by `exchange.json`, later."""

    def __init__(
        self, listen: tuple[str, int], counters: Counters, change: Callable[[Asked, HttpExchange], None]
    ) -> None:
        self.counters, self.change = counters, change
        self.calls: dict[str, Call] = {}
        self.server = HttpServer(listen, counters, "management", BODY_MOST, self._handle)
        self.server.listener.max_connections = CALLERS_MOST

    def add(self, path: str, call: Call) -> None:
        """One more call, by GET: an HTTP status and what is shown as JSON."""
        self.calls[path] = call

    def _handle(self, request: HttpRequest, exchange: HttpExchange) -> None:
        request.keep_alive = False  # one call a connection
        self.counters.add("management.calls")
        try:
            if request.path == "/control/change":
                if request.method != "POST":
                    exchange.json(405, {"answer": "bad", "why": "only POST"})
                    return
                self.change(read_change(request.body), exchange)
                return
            call = self.calls.get(request.path)
            if call is None:
                exchange.json(404, {"answer": "bad", "why": "no such call"})
            elif request.method != "GET":
                exchange.json(405, {"answer": "bad", "why": "only GET"})
            else:
                exchange.json(*call(request))
        except BadRequest as err:
            exchange.json(400, {"answer": "bad", "why": str(err)})


def number(request: HttpRequest, name: str, usual: int) -> int:
    """A parameter that is a version. Raises `BadRequest`."""
    text = request.params.get(name, "")
    if not text:
        return usual
    if not text.isdigit() or len(text) > 18:
        raise BadRequest(f"{name} is no version")
    return int(text)
