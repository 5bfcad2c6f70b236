"""Parses a query from an HTTP request, and rejects what this interface does not support."""

import math
import re
import secrets

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.requests import CLIENT_KEY, Query, Repeats
from cypressledge.clock import monotonic_us
from cypressledge.decisions.contract import Idempotency
from cypressledge.net.clickhouse.errors import ClickHouseError, ErrorCode
from cypressledge.net.clickhouse.statements import (
    FORMAT_CLAUSE,
    SUPPORTED_FORMATS,
    StatementKind,
    statement_kind,
)
from cypressledge.net.http_exchange import HttpRequest
from cypressledge.sql import table_group

QUERY_ID = re.compile(r"[!-~]{1,128}\Z", re.A)
MAX_NUMBER = 1e9  # maximum value of any numeric parameter
MAX_NAME_IN_ERROR = 64  # characters; longer names are cut off in error messages
UNSUPPORTED_PARAMETERS = (
    "session_id",
    "compress",
    "decompress",
    "database",
    "role",
    "quota_key",
)
SUPPORTED_PARAMETERS = frozenset(
    (
        "query",
        "query_id",
        "user",
        "password",
        "workload",
        "max_execution_time",
        "default_format",
        "insert_deduplication_token",
        "wait_end_of_query",
        "cancel_http_readonly_queries_on_client_close",
        "cost_ms",
        "memory_mb",
        "client_retry",
    )
)


class QueryParser:
    """Converts an HTTP request to a `Query`."""

    def __init__(self, core: BrokerCore, classes: tuple[str, ...]) -> None:
        self.core, self.class_names = core, classes
        self.classes = {name: index for index, name in enumerate(classes)}

    def parse(self, request: HttpRequest, tenant: str) -> Query:
        """Return the query of a request. Raises `ClickHouseError`."""
        _check_supported(request)
        now = monotonic_us()
        statement = _statement(request)
        text = statement.decode("utf-8", "replace")
        kind = statement_kind(text)
        _check_method_and_format(request, text, kind)
        class_index = self._class_index(request, kind)
        class_settings = self.core.settings.classes[class_index]
        query_id, client_key = _query_id_and_key(request)
        needs_key = class_settings.idempotency is Idempotency.WITH_KEY
        seconds = _number(request, "max_execution_time")
        longest = class_settings.deadline
        return Query(
            id=query_id,
            class_index=class_index,
            class_name=self.class_names[class_index],
            tenant=tenant,
            statement=statement,
            deadline=now + (min(int(seconds * 1e6), longest) if seconds else longest),
            # Engines must recognise the broker's retries, even if the client sends no token.
            key=client_key or (query_id if needs_key else ""),
            cost=int(_number(request, "cost_ms") * 1000),
            memory_mb=_number(request, "memory_mb"),
            table_group=table_group(text, escapes=True),
            is_client_retry=request.params.get("client_retry") == "1",
            repeats=_repeats(kind, class_settings.idempotency, bool(client_key)),
        )

    def _class_index(self, request: HttpRequest, kind: StatementKind) -> int:
        """Return the class named by `workload`; without it, all that is not surely a read is a load."""
        name = request.params.get("workload")
        if name is None:
            loads = [index for index, spec in enumerate(self.core.settings.classes) if spec.is_load]
            return loads[0] if loads and kind is not StatementKind.READ else 0
        if name not in self.classes:
            raise ClickHouseError(ErrorCode.BAD_ARGUMENTS, f"Unknown workload {name[:MAX_NAME_IN_ERROR]}")
        return self.classes[name]


def _query_id_and_key(request: HttpRequest) -> tuple[str, str]:
    query_id = request.params.get("query_id") or secrets.token_hex(8)
    key = request.params.get("insert_deduplication_token", "")
    if not QUERY_ID.match(query_id) or key and not CLIENT_KEY.match(key):
        text = "query_id and insert_deduplication_token are words of at most 128 characters"
        raise ClickHouseError(ErrorCode.BAD_ARGUMENTS, text)
    return query_id, key


def _check_supported(request: HttpRequest) -> None:
    """Reject unsupported parameters and headers, rather than ignore them. Raises `ClickHouseError`."""
    params, headers = request.params, request.headers
    database = params.get("database") or headers.get("x-clickhouse-database", "")
    for name, value in (params | {"database": database}).items():
        shown = name[:MAX_NAME_IN_ERROR]
        if name in UNSUPPORTED_PARAMETERS and value not in ("", "0", "default") or name.startswith("param_"):
            raise ClickHouseError(ErrorCode.NOT_IMPLEMENTED, f"Parameter {shown} is not supported")
        if name not in SUPPORTED_PARAMETERS and name not in UNSUPPORTED_PARAMETERS:
            raise ClickHouseError(ErrorCode.UNKNOWN_SETTING, f"Unknown setting {shown}")
    if headers.get("content-encoding", "identity") != "identity":
        raise ClickHouseError(ErrorCode.NOT_IMPLEMENTED, "Compressed requests are not supported")
    if headers.get("content-type", "").startswith("multipart/"):
        raise ClickHouseError(ErrorCode.NOT_IMPLEMENTED, "External data is not supported")
    if request.method == "POST" and not request.has_length:
        text = "The Transfer-Encoding is not chunked and there is no Content-Length header"
        raise ClickHouseError(ErrorCode.HTTP_LENGTH_REQUIRED, text)
    _check_format(params.get("default_format") or headers.get("x-clickhouse-format") or "TSV")


def _check_format(name: str) -> None:
    if name not in SUPPORTED_FORMATS:
        text = f"Unknown format {name[:MAX_NAME_IN_ERROR]}: only TabSeparated is supported"
        raise ClickHouseError(ErrorCode.UNKNOWN_FORMAT, text)


def _statement(request: HttpRequest) -> bytes:
    """Return the statement: the `query` parameter followed by the body, as in ClickHouse."""
    query = request.params.get("query", "").encode()
    statement = query + b"\n" + request.body if query and request.body else query or request.body
    if not statement.strip():
        raise ClickHouseError(ErrorCode.SYNTAX_ERROR, "Syntax error: empty query")
    return statement


def _check_method_and_format(request: HttpRequest, text: str, kind: StatementKind) -> None:
    """Reject a write by GET, and formats of results that are not supported. Raises `ClickHouseError`."""
    if request.method == "GET" and kind is not StatementKind.READ:
        raise ClickHouseError(ErrorCode.READONLY, "Cannot execute query in readonly mode: use POST")
    format_clause = FORMAT_CLAUSE.search(request.params.get("query") or text)
    if format_clause and kind is not StatementKind.INSERT:  # an INSERT names the format of its data
        _check_format(format_clause[1])


def _repeats(kind: StatementKind, idempotency: Idempotency, client_has_key: bool) -> Repeats:
    """Return who may repeat a statement, where that is less than its class allows."""
    if kind is StatementKind.READ or idempotency is Idempotency.NOT_IDEMPOTENT:
        return Repeats.AS_ITS_CLASS
    if kind is StatementKind.INSERT and idempotency is Idempotency.WITH_KEY:
        return Repeats.AS_ITS_CLASS if client_has_key else Repeats.BY_BROKER
    return Repeats.NOBODY


def _number(request: HttpRequest, name: str) -> float:
    try:
        value = float(request.params.get(name) or 0)
    except ValueError:
        value = -1.0
    if not math.isfinite(value) or not 0 <= value <= MAX_NUMBER:
        raise ClickHouseError(ErrorCode.BAD_ARGUMENTS, f"{name} is no figure in range")
    return value
