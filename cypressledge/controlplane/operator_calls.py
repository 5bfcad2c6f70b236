"""The operators' HTTP server of a control process: routes calls, and parses requests for changes.

Calls are answered by the socket greenlets. A change is submitted to the event loop, and answered once it is
decided.
"""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

from cypressledge.broker.metrics import Counters
from cypressledge.controlplane.messages import Op
from cypressledge.controlplane.operator_messages import Answer, RejectedAnswer
from cypressledge.controlplane.state_values import StateError, encode_value
from cypressledge.net.http_exchange import HttpExchange, HttpRequest
from cypressledge.net.http_server import HttpServer

CHANGE_PATH = "/control/change"
MAX_BODY_BYTES = 2 << 20  # bytes; a change in JSON
MAX_CALLERS = 64  # concurrent connections
MAX_VERSION_DIGITS = 18  # of a version in a URL parameter
CHANGE_FIELDS = frozenset(("base", "request", "who", "why", "ops", "dry_run"))


class BadRequestError(Exception):
    """A request that can't be parsed; the message is one line that states the mistake."""


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change that an operator requests. `base`: the version it is based on; None: the newest one."""

    base: int | None
    request: str
    who: str
    why: str
    ops: list[Op]
    dry_run: bool


def read_change(body: bytes) -> ChangeRequest:
    """Parse a change from JSON. Raises `BadRequestError` if it is malformed."""
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as err:
        raise BadRequestError(f"not JSON: {err}") from None
    if not isinstance(fields, dict) or not set(fields) <= CHANGE_FIELDS:
        raise BadRequestError(f"a change has {', '.join(sorted(CHANGE_FIELDS))}, and nothing else")
    base = fields.get("base")
    if base is not None and (type(base) is not int or base < 0):
        raise BadRequestError("base is no version")
    texts = [fields.get(key, "") for key in ("request", "who", "why")]
    if not all(isinstance(text, str) for text in texts):
        raise BadRequestError("request, who and why are texts")
    request, who, why = texts
    return ChangeRequest(base, request, who, why, _read_ops(fields.get("ops")), fields.get("dry_run") is True)


def _read_ops(fields: object) -> list[Op]:
    if not isinstance(fields, dict) or not set(fields) <= {"set", "remove"}:
        raise BadRequestError("ops has set and remove, and nothing else")
    values, removed = fields.get("set", {}), fields.get("remove", [])
    if not isinstance(values, dict) or not isinstance(removed, list):
        raise BadRequestError("set is a mapping of keys to values, remove a list of keys")
    if not all(isinstance(key, str) for key in removed):
        raise BadRequestError("a key to remove is no text")
    try:
        return [Op(key, encode_value(value)) for key, value in values.items()] + [Op(key) for key in removed]
    except StateError as err:
        raise BadRequestError(str(err)) from None


def read_version(request: HttpRequest, name: str, default: int) -> int:
    """Return a URL parameter that is a version, or `default` if it is absent.

    Raises `BadRequestError` unless it is a decimal number of at most `MAX_VERSION_DIGITS` digits.
    """
    text = request.params.get(name, "")
    if not text:
        return default
    if not text.isdigit() or len(text) > MAX_VERSION_DIGITS:
        raise BadRequestError(f"{name} is no version")
    return int(text)


Call = Callable[[HttpRequest], Answer]


class OperatorServer:
    """The HTTP server for operators.

    `submit_change(change, exchange)` answers later, by `exchange.json`. `calls`: by path, the GET calls that
    are answered without waiting.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        counters: Counters,
        submit_change: Callable[[ChangeRequest, HttpExchange], None],
        calls: Mapping[str, Call],
    ) -> None:
        self._counters, self._submit_change, self._calls = counters, submit_change, calls
        self._server = HttpServer(listen, counters, "management", MAX_BODY_BYTES, self._handle)
        self._server.listener.max_connections = MAX_CALLERS

    def run(self) -> None:
        """Accept connections; runs in a greenlet of its own."""
        self._server.listener.run()

    def _handle(self, request: HttpRequest, exchange: HttpExchange) -> None:
        request.keep_alive = False  # one call per connection
        self._counters.add("management.calls")
        try:
            if request.path == CHANGE_PATH:
                if request.method == "POST":
                    self._submit_change(read_change(request.body), exchange)
                else:
                    reject(exchange, HTTPStatus.METHOD_NOT_ALLOWED, "only POST")
                return
            call = self._calls.get(request.path)
            if call is None:
                reject(exchange, HTTPStatus.NOT_FOUND, "no such call")
            elif request.method != "GET":
                reject(exchange, HTTPStatus.METHOD_NOT_ALLOWED, "only GET")
            else:
                send_answer(exchange, call(request))
        except BadRequestError as err:
            reject(exchange, HTTPStatus.BAD_REQUEST, str(err))


def send_answer(exchange: HttpExchange, answer: Answer) -> None:
    """Send the answer to a call as JSON."""
    exchange.json(answer.status, answer.to_json())


def reject(exchange: HttpExchange, status: HTTPStatus, why: str) -> None:
    """Answer an invalid call with an HTTP status and the reason."""
    send_answer(exchange, Answer(status, RejectedAnswer(why)))
