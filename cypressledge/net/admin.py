"""The administration API: tenants, engines and counters, as JSON over HTTP on a listener of its own."""

import hmac
import json

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.metrics import log
from cypressledge.decisions.contract import EngineState
from cypressledge.net.http import Exchange, HttpRequest, HttpServer
from cypressledge.tenants import TenantError, Tenants

BODY_MOST = 64 << 10
STATE_NAMES = {EngineState.READY: "ready", EngineState.DRAINING: "draining", EngineState.REMOVED: "gone"}


class AdminError(Exception):
    """What the caller did wrong, as an HTTP status and a text."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Admin:
    """Answers `/v1/tenants`, `/v1/tenants/NAME`, `/v1/engines`, `/v1/counters` to whoever holds the token."""

    def __init__(self, core: BrokerCore, listen: tuple[str, int], tenants: Tenants) -> None:
        self.core, self.token, self.tenants = core, "", tenants
        self.server = HttpServer(listen, core.counters, "admin", BODY_MOST, self._handle)

    def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        try:
            self._authorise(request)
            exchange.json(*self._route(request))
        except AdminError as err:
            exchange.json(err.status, {"error": str(err)})
        except TenantError as err:
            exchange.json(422, {"error": str(err)})

    def _authorise(self, request: HttpRequest) -> None:
        given = request.headers.get("authorization", "").encode()
        if not hmac.compare_digest(given, b"Bearer " + self.token.encode()):
            self.core.counters.add("admin.unauthorised")
            raise AdminError(401, "a bearer token is needed")

    def _route(self, request: HttpRequest) -> tuple[int, object]:
        parts = request.path.strip("/").split("/")
        if parts[:2] == ["v1", "tenants"] and len(parts) <= 3:
            return self._one(request, parts[2]) if len(parts) == 3 else self._all(request)
        if request.path == "/v1/engines":
            self._only(request, "GET")
            return 200, {"engines": self._engines()}
        if request.path == "/v1/counters":
            self._only(request, "GET")
            return 200, self.core.counters.show()
        raise AdminError(404, "no such resource")

    @staticmethod
    def _only(request: HttpRequest, *methods: str) -> None:
        if request.method not in methods:
            raise AdminError(405, "only " + ", ".join(methods))

    def _all(self, request: HttpRequest) -> tuple[int, object]:
        self._only(request, "GET", "POST")
        if request.method == "GET":
            return 200, {
                "tenants": [self.tenants.by_name[n].describe() for n in sorted(self.tenants.by_name)]
            }
        given = self._body(request)
        name = given.get("name")
        if isinstance(name, str) and name in self.tenants.by_name:
            raise AdminError(409, f"tenant {name} exists")
        return 201, self._put(name, given)

    def _one(self, request: HttpRequest, name: str) -> tuple[int, object]:
        self._only(request, "GET", "PATCH", "DELETE")
        if name not in self.tenants.by_name:
            raise AdminError(404, f"no tenant {name}")
        if request.method == "DELETE":
            self.tenants.remove(name)
            log(f"admin: tenant {name} removed")
            return 204, None
        if request.method == "PATCH":
            return 200, self._put(name, self._body(request))
        return 200, self.tenants.by_name[name].describe()

    def _put(self, name, given: dict) -> dict:
        tenant = self.tenants.update(name, given)
        log(f"admin: tenant {name} set")
        return tenant.describe()

    @staticmethod
    def _body(request: HttpRequest) -> dict:
        try:
            given = json.loads(request.body)
        except (ValueError, RecursionError):
            raise AdminError(400, "the body is not JSON") from None
        if not isinstance(given, dict):
            raise AdminError(400, "the body is no object")
        return given

    def _engines(self) -> list[dict]:
        out = {e.id: len(e.out) for e in self.core.loop.manager.engines.values()}
        return [
            {
                "name": place.name,
                "address": "%s:%d" % place.address,
                "wire": place.wire,
                "state": STATE_NAMES[entry.state],
                "attempts": out.get(place.id, 0),
            }
            for held in self.core.engines.engine_lists.values()
            for entry, place in held
        ]
