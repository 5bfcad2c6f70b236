"""The management address for operators: HTTP/1.1, one call per connection, answered in the socket greenlets.

No call goes through the core's inbox, so a busy broker, many queued requests or a stalled engine never delay
an answer. Slow and silent callers are handled by `HttpServer`, each in its own greenlet, with the limits that
apply to every HTTP client."""

from collections.abc import Callable
from dataclasses import dataclass

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.metrics import Counters
from cypressledge.config import Limits
from cypressledge.decisions.contract import EngineState
from cypressledge.net.http_exchange import HttpExchange, HttpRequest
from cypressledge.net.http_request_parser import limit_pending_requests
from cypressledge.net.http_server import HttpServer
from cypressledge.net.socket_io import Address

METRIC_PREFIX = "svc"
REPLY_METRICS = ("success", "overload", "error", "dispatches")
MAX_BODY_SIZE = 256  # bytes; a body is an engine's id
DESCRIPTORS_PER_CALLER = 32  # file descriptors allowed to the process, for each concurrent caller
MIN_CALLERS, MAX_CALLERS = 4, 64  # concurrent connections; the minimum until the configuration is known

Answer = tuple[int, bytes]  # status and body
Call = Callable[[HttpRequest], Answer]


class ManagementServer:
    """HTTP server that answers `GET /status` and further calls registered by path."""

    def __init__(self, address: Address, counters: Counters, is_accepting: Callable[[], bool]) -> None:
        """`is_accepting` returns whether this process accepts clients."""
        self.counters, self.is_accepting = counters, is_accepting
        self.calls: dict[str, tuple[str, Call]] = {"/status": ("GET", self._status)}
        self.server = HttpServer(address, counters, "management", MAX_BODY_SIZE, self._handle)
        self.server.listener.max_connections = MIN_CALLERS

    def add(self, path: str, method: str, call: Call) -> None:
        """Register the handler for a path and the one method that the path accepts."""
        self.calls[path] = (method, call)

    def apply_limits(self, limits: Limits) -> None:
        """Derive the number of concurrent callers from the deployment's limits."""
        callers = max(limits.max_sockets // DESCRIPTORS_PER_CALLER, MIN_CALLERS)
        self.server.listener.max_connections = min(MAX_CALLERS, callers)
        limit_pending_requests(limits)

    def _handle(self, request: HttpRequest, exchange: HttpExchange) -> None:
        request.keep_alive = False  # one call per connection
        status, body = self._route(request)
        self.counters.add(f"management.{status}")
        exchange.answer(status, {"Content-Type": "text/plain"}, body)

    def _route(self, request: HttpRequest) -> Answer:
        registered = self.calls.get(request.path)
        if registered is None:
            return 404, b"no such call\n"
        method, call = registered
        if request.method != method:
            return 405, f"only {method}\n".encode()
        return call(request)

    def _status(self, request: HttpRequest) -> Answer:
        return (200, b"taking clients\n") if self.is_accepting() else (503, b"not taking clients\n")


def metrics(core: BrokerCore, classes: tuple[str, ...]) -> bytes:
    """Return the answer to `GET /status/metrics`: statsd lines of counters since startup and of gauges."""
    counts = core.counters.counts
    lines = [
        f"{METRIC_PREFIX}.replies.{class_name}.{name}:{counts[f'replies.{class_name}.{name}']}|c"
        for class_name in classes
        for name in REPLY_METRICS
    ]
    dispatches = sum(counts[f"replies.{class_name}.dispatches"] for class_name in classes)
    engines = count_engines(core)
    lines += [
        f"{METRIC_PREFIX}.dispatches:{dispatches}|c",
        f"{METRIC_PREFIX}.concurrent:{len(core.ledger.requests)}|g",
        f"{METRIC_PREFIX}.targets:{engines.listed}|g",
        f"{METRIC_PREFIX}.targets_disabled:{engines.avoided}|g",
        f"{METRIC_PREFIX}.reload_success:{counts['reloads']}|c",
        f"{METRIC_PREFIX}.reload_failure:{counts['reload_failures']}|c",
    ]
    return "\n".join(lines).encode() + b"\n"


@dataclass(frozen=True, slots=True)
class EngineCounts:
    """The numbers of listed and avoided engines."""

    listed: int  # engines in any list that are not removed
    avoided: int  # listed engines that are in maintenance, draining or ejected


def count_engines(core: BrokerCore) -> EngineCounts:
    """Count the listed engines, and those of them that the broker avoids."""
    known = core.loop.manager.engines
    listed = [
        core.engines.maintenance.effective_entry(engine.endpoint.name, engine.entry)
        for engines in core.engines.engine_lists.values()
        for engine in engines
        if engine.entry.state is not EngineState.REMOVED
    ]
    avoided = sum(
        entry.state is not EngineState.READY or (entry.engine in known and known[entry.engine].ejected)
        for entry in listed
    )
    return EngineCounts(len(listed), avoided)
