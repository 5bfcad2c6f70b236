"""Parses a query from the parameters of a call, and rejects what no engine could execute."""

import base64
import binascii
import re
from typing import Any

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.requests import Query
from cypressledge.clock import monotonic_us
from cypressledge.decisions.contract import Idempotency
from cypressledge.net.jsonrpc.errors import ErrorCode, JsonRpcError
from cypressledge.sql import table_group
from cypressledge.tenants import Tenants

MAX_WAIT_MULTIPLE = 2  # a `wait` above this multiple of the class's deadline is rejected
MAX_COST_MS = 1e8
MAX_MEMORY_MB = 1e6
QUERY_ID = re.compile(r"[0-9a-f]{16}\Z", re.A)
IDEMPOTENCY_KEY = re.compile(r"[0-9A-Za-z_.:/+~-]{1,128}\Z", re.A)


class QueryParser:
    """Converts the parameters of a call to a `Query`."""

    def __init__(self, core: BrokerCore, classes: tuple[str, ...], tenants: Tenants) -> None:
        self.core, self.tenants = core, tenants
        self.classes = {name: index for index, name in enumerate(classes)}  # named like methods

    def parse(self, method: str, params: object, has_statement: bool = True) -> Query:
        """Return the query of a call; its statement is empty if it was not stored. Raises `JsonRpcError`.

        Values that engines cannot read must be rejected here: an engine closes the connection on which it
        receives one, together with the attempts of other requests."""
        now = monotonic_us()
        if not isinstance(params, dict):
            raise _invalid("params is no object")
        class_index = self.classes[method]
        class_settings = self.core.settings.classes[class_index]
        wait_ms = _number(params, "wait", class_settings.deadline / 1000 * MAX_WAIT_MULTIPLE)
        if wait_ms < 1:
            raise _invalid("wait is no figure in range")
        query_id, tenant = self._query_id(params), self._tenant(params)
        if params.get("retry", 0) not in (0, 1):
            raise _invalid("retry is not 1")
        statement, text = _statement(params.get("content")) if has_statement else (b"", "")
        return Query(
            id=query_id,
            class_index=class_index,
            class_name=method,
            tenant=tenant,
            statement=statement,
            deadline=now + int(wait_ms * 1000),
            key=_idempotency_key(params, class_settings.idempotency is Idempotency.WITH_KEY),
            cost=int(_number(params, "cost", MAX_COST_MS, 0.0) * 1000),
            memory_mb=_number(params, "mem", MAX_MEMORY_MB, 0.0),
            is_client_retry=bool(params.get("retry")),
            table_group=table_group(text),
        )

    def _query_id(self, params: dict) -> str:
        query_id = params.get("id")
        if not isinstance(query_id, str) or not QUERY_ID.match(query_id):
            raise _invalid("id is not 16 hex digits")
        if self.core.ledger.is_open(query_id):
            raise _invalid("id is that of an open request")
        return query_id

    def _tenant(self, params: dict) -> str:
        tenant = params.get("tenant")
        if not isinstance(tenant, str) or tenant not in self.tenants:
            raise _invalid("unknown tenant")
        return tenant


def _invalid(text: str) -> JsonRpcError:
    return JsonRpcError(ErrorCode.INVALID_PARAMS, text)


def _number(params: dict, name: str, maximum: float, default: float | None = None) -> float:
    value: Any = params.get(name, default)
    if type(value) not in (int, float) or not 0 <= value <= maximum:  # NaN fails the comparison
        raise _invalid(f"{name} is no figure in range")
    return value


def _idempotency_key(params: dict, required: bool) -> str:
    key = params.get("once")
    if not required:
        if key is not None:
            raise _invalid("once belongs to classes that carry a key")
        return ""
    if key is None:
        raise _invalid("once is missing")
    if not isinstance(key, str) or not IDEMPOTENCY_KEY.match(key):
        raise _invalid("once is no key")
    return key


def _statement(content: Any) -> tuple[bytes, str]:
    """Return the decoded statement as bytes and as text. Raises `JsonRpcError`."""
    try:
        statement = base64.b64decode(content, validate=True)
        text = statement.decode()
    except (TypeError, ValueError, binascii.Error):
        raise _invalid("content is not base64 of a statement") from None
    if not text.strip() or "\0" in text:
        raise _invalid("content is no statement")
    return statement, text
