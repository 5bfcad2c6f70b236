"""The hosted service: a ClickHouse HTTP frontend, DNS-SD discovery and the administration API.

It runs in addition to the platform's frontend if `--service FILE` names its settings. Otherwise this module
and its dependencies are not loaded.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from cypressledge.broker.core import BrokerCore
from cypressledge.config import Config, ConfigError, Limits
from cypressledge.net.admin_api import AdminApi
from cypressledge.net.clickhouse.engine_response import BUFFERED_RESPONSES
from cypressledge.net.clickhouse.frontend import ClickHouseFrontend
from cypressledge.net.clickhouse.transport import ClickHouseTransport
from cypressledge.net.dns_sd import DnsSdPoller
from cypressledge.net.engine_naming import EngineNaming
from cypressledge.net.http_request_parser import limit_pending_requests
from cypressledge.service_config import ServiceConfig
from cypressledge.tenants import Tenants

WIRE = "clickhouse"
MAX_ADMIN_CONNECTIONS = 16  # connections; fewer if there are not enough descriptors
MAX_CLIENT_CONNECTIONS = 128  # HTTP connections; fewer if there are not enough descriptors
DESCRIPTORS_PER_ADMIN = 32  # divisor: 1/32 of the descriptors may be admin connections
DESCRIPTORS_PER_CLIENT = 10  # divisor: 1/10 of the descriptors may be client connections
MEMORY_SHARE_OF_RESPONSES = 8  # divisor: buffered responses may use 1/8 of the spare memory


def _tenant_names(tenants: Iterable[Mapping[str, Any]]) -> set[str]:
    return {given["name"] for given in tenants}


class HostedService:
    """The parts of the hosted service that use one broker core."""

    def __init__(self, settings: ServiceConfig, core: BrokerCore, config: Config, tenants: Tenants) -> None:
        self._settings = settings
        self._tenants = tenants
        self._core = core
        self.transport = ClickHouseTransport(core, config.limits)
        core.add_transport(WIRE, self.transport)
        self._frontend = ClickHouseFrontend(core, settings.listen, config.classes, tenants)
        self._servers = [self._frontend.server]
        self._admin: AdminApi | None = None
        if settings.admin_listen:
            self._admin = AdminApi(core, settings.admin_listen, tenants)
            self._servers.append(self._admin.server)
        self._engine_naming = EngineNaming(config.kinds, config.zones, WIRE)
        self._discovery = DnsSdPoller(core, settings.dns_server, settings.dns_service, self._engine_naming)
        self._apply(settings)

    def main_loops(self) -> list[Callable[[], None]]:
        """Return the functions that run until the process exits, each on its own greenlet."""
        return [self._discovery.run, *(server.listener.run for server in self._servers)]

    def _apply(self, settings: ServiceConfig) -> None:
        """Apply the settings. Tenants deleted from the file are removed, those added by the API are kept."""
        for name in _tenant_names(self._settings.tenants) - _tenant_names(settings.tenants):
            self._tenants.remove(name)
        for given in settings.tenants:
            self._tenants.update(given["name"], given)
        self._settings = settings
        self.transport.set_login(settings.engine_user, settings.engine_key)
        if self._admin is not None:
            self._admin.token = settings.admin_token

    def apply_limits(self, limits: Limits) -> None:
        """Apply the limits of the deployment to connections and request bodies."""
        self.transport.limits = limits
        clients = limits.max_sockets // DESCRIPTORS_PER_CLIENT
        self._frontend.server.listener.max_connections = min(MAX_CLIENT_CONNECTIONS, clients)
        if self._admin is not None:
            admins = limits.max_sockets // DESCRIPTORS_PER_ADMIN
            self._admin.server.listener.max_connections = min(MAX_ADMIN_CONNECTIONS, admins)
        limit_pending_requests(limits)
        BUFFERED_RESPONSES.limit = limits.spare_memory // MEMORY_SHARE_OF_RESPONSES

    def check_applicable(self, settings: ServiceConfig) -> None:
        """Raise `ConfigError` for a change that cannot be applied without a restart."""
        old = self._settings
        if (settings.listen, settings.admin_listen) != (old.listen, old.admin_listen):
            raise ConfigError("other addresses to listen on need a restart")

    def reload(self, settings: ServiceConfig, config: Config) -> None:
        """Apply the service's new settings and the broker's new configuration."""
        self._apply(settings)
        self._engine_naming.rename(self._core, config.kinds, config.zones)
        self._discovery.browse(settings.dns_server, settings.dns_service)

    def stop(self) -> None:
        """Stop accepting connections."""
        for server in self._servers:
            server.listener.stop()

    def flush(self, seconds: float) -> None:
        """Wait up to `seconds` for each server to send its last answers."""
        for server in self._servers:
            server.flush(seconds)
