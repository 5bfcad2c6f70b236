"""The administration API: tenants, engines and counters, as JSON over HTTP on a separate listener."""

import hmac
import json
from typing import Any

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.metrics import log
from cypressledge.decisions.contract import EngineState
from cypressledge.net.http_exchange import HttpExchange, HttpRequest
from cypressledge.net.http_server import HttpServer
from cypressledge.net.socket_io import Address
from cypressledge.tenants import TenantError, Tenants

MAX_BODY_SIZE = 64 << 10  # bytes
STATE_NAMES = {EngineState.READY: "ready", EngineState.DRAINING: "draining", EngineState.REMOVED: "gone"}

Answer = tuple[int, object]  # HTTP status, and the value to send as JSON; None sends an empty body


class AdminRequestError(Exception):
    """An invalid request to the administration API, with the HTTP status and the text to answer."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class AdminApi:
    """HTTP server for `/v1/tenants`, `/v1/tenants/NAME`, `/v1/engines` and `/v1/counters`.

    Callers authenticate with a bearer token."""

    def __init__(self, core: BrokerCore, address: Address, tenants: Tenants) -> None:
        self.core, self.token, self.tenants = core, "", tenants
        self.server = HttpServer(address, core.counters, "admin", MAX_BODY_SIZE, self._handle)

    def _handle(self, request: HttpRequest, exchange: HttpExchange) -> None:
        try:
            self._authorize(request)
            exchange.json(*self._route(request))
        except AdminRequestError as err:
            exchange.json(err.status, {"error": str(err)})
        except TenantError as err:
            exchange.json(422, {"error": str(err)})

    def _authorize(self, request: HttpRequest) -> None:
        given = request.headers.get("authorization", "").encode()
        if not hmac.compare_digest(given, b"Bearer " + self.token.encode()):
            self.core.counters.add("admin.unauthorised")
            raise AdminRequestError(401, "a bearer token is needed")

    def _route(self, request: HttpRequest) -> Answer:
        parts = request.path.strip("/").split("/")
        if parts[:2] == ["v1", "tenants"] and len(parts) <= 3:
            return (
                self._handle_tenant(request, parts[2]) if len(parts) == 3 else self._handle_tenants(request)
            )
        if request.path == "/v1/engines":
            self._require_method(request, "GET")
            return 200, {"engines": self._describe_engines()}
        if request.path == "/v1/counters":
            self._require_method(request, "GET")
            return 200, self.core.counters.show()
        raise AdminRequestError(404, "no such resource")

    @staticmethod
    def _require_method(request: HttpRequest, *methods: str) -> None:
        if request.method not in methods:
            raise AdminRequestError(405, "only " + ", ".join(methods))

    def _handle_tenants(self, request: HttpRequest) -> Answer:
        self._require_method(request, "GET", "POST")
        tenants = self.tenants.by_name
        if request.method == "GET":
            return 200, {"tenants": [tenants[name].describe() for name in sorted(tenants)]}
        fields = self._parse_body(request)
        name = fields.get("name")
        if isinstance(name, str) and name in tenants:
            raise AdminRequestError(409, f"tenant {name} exists")
        return 201, self._put_tenant(name, fields)

    def _handle_tenant(self, request: HttpRequest, name: str) -> Answer:
        self._require_method(request, "GET", "PATCH", "DELETE")
        if name not in self.tenants.by_name:
            raise AdminRequestError(404, f"no tenant {name}")
        if request.method == "DELETE":
            self.tenants.remove(name)
            log(f"admin: tenant {name} removed")
            return 204, None
        if request.method == "PATCH":
            return 200, self._put_tenant(name, self._parse_body(request))
        return 200, self.tenants.by_name[name].describe()

    def _put_tenant(self, name: Any, fields: dict) -> dict:
        """Create or change a tenant and return its description.

        Raises `TenantError`, also if the name is not a string."""
        tenant = self.tenants.update(name, fields)
        log(f"admin: tenant {name} set")
        return tenant.describe()

    @staticmethod
    def _parse_body(request: HttpRequest) -> dict:
        try:
            fields = json.loads(request.body)
        except (ValueError, RecursionError):
            raise AdminRequestError(400, "the body is not JSON") from None
        if not isinstance(fields, dict):
            raise AdminRequestError(400, "the body is no object")
        return fields

    def _describe_engines(self) -> list[dict]:
        attempts = {engine.id: len(engine.in_flight) for engine in self.core.loop.manager.engines.values()}
        return [
            {
                "name": engine.endpoint.name,
                "address": "%s:%d" % engine.endpoint.address,
                "wire": engine.endpoint.wire,
                "state": STATE_NAMES[engine.entry.state],
                "attempts": attempts.get(engine.endpoint.id, 0),
            }
            for listed in self.core.engines.engine_lists.values()
            for engine in listed
        ]
