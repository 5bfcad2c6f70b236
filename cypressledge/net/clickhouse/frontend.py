"""Frontend that accepts queries over the ClickHouse HTTP interface and submits them to the core."""

from functools import partial

from cypressledge.broker.core import BrokerCore
from cypressledge.net.clickhouse.authentication import authenticate
from cypressledge.net.clickhouse.errors import ClickHouseError, ErrorCode, answer_error
from cypressledge.net.clickhouse.query_parser import QueryParser
from cypressledge.net.clickhouse.reply import ClickHouseReply
from cypressledge.net.http_exchange import HttpExchange, HttpRequest
from cypressledge.net.http_server import HttpServer
from cypressledge.net.socket_io import Address, peer_has_closed
from cypressledge.tenants import Tenants

MAX_BODY_SIZE = 4 << 20  # bytes
MAX_OPEN_QUERIES = 512
PLAIN_TEXT = {"Content-Type": "text/plain"}


class ClickHouseFrontend:
    """The HTTP server and its open queries."""

    def __init__(
        self, core: BrokerCore, address: Address, classes: tuple[str, ...], tenants: Tenants
    ) -> None:
        self.core, self.tenants, self.counters = core, tenants, core.counters
        self.query_parser = QueryParser(core, classes)
        self.open_queries: set[str] = set()
        self.server = HttpServer(address, self.counters, "clickhouse", MAX_BODY_SIZE, self._handle)

    def _handle(self, request: HttpRequest, exchange: HttpExchange) -> None:
        try:
            self._route(request, exchange)
        except ClickHouseError as err:
            self.counters.add(f"clickhouse.error.{int(err.code)}")
            answer_error(exchange, err.code, err.status, str(err))

    def _route(self, request: HttpRequest, exchange: HttpExchange) -> None:
        if request.method not in ("GET", "POST"):
            raise ClickHouseError(ErrorCode.NOT_IMPLEMENTED, f"Method {request.method} is not supported")
        if request.path == "/ping":
            if self.core.ledger.is_serving():
                exchange.answer(200, PLAIN_TEXT, b"Ok.\n")
            else:
                exchange.answer(503, PLAIN_TEXT, b"Not serving.\n")
        elif request.path != "/":
            raise ClickHouseError(ErrorCode.NOT_IMPLEMENTED, f"There is no handler {request.path}", 404)
        elif request.method == "GET" and "query" not in request.params:
            exchange.answer(200, PLAIN_TEXT, b"Ok.\n")
        else:
            self._submit(request, exchange)

    def _submit(self, request: HttpRequest, exchange: HttpExchange) -> None:
        tenant = authenticate(request, self.tenants)
        query = self.query_parser.parse(request, tenant.name)
        if self.core.ledger.is_open(query.id):
            code = ErrorCode.QUERY_WITH_SAME_ID_IS_ALREADY_RUNNING
            raise ClickHouseError(code, f"Query with id = {query.id} is already running")
        query.client_has_closed = partial(peer_has_closed, exchange.connection.sock)
        if query.client_has_closed():
            return  # the exchange ends with its connection, once the end of that has been read
        reply = ClickHouseReply(self, query, tenant, exchange)
        is_full = len(self.open_queries) >= MAX_OPEN_QUERIES or 0 < tenant.max_open <= tenant.open_requests
        reply.open()
        if is_full:
            self.counters.add("clickhouse.rejected")
            reply.reject(self.core.ledger.max_retry_after)
        else:
            reply.request = self.core.ledger.submit(query, reply)
