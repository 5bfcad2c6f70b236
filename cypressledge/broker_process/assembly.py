"""Creates and connects the parts of one broker according to its configuration."""

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.metrics import Counters, log
from cypressledge.broker.requests import MAX_SEND_DELAY
from cypressledge.config import Config
from cypressledge.decisions.contract import EngineListKind, Settings
from cypressledge.net.dns_discovery import DirectoryPoller
from cypressledge.net.engine_naming import EngineNaming
from cypressledge.net.jsonrpc.frontend import JsonRpcFrontend
from cypressledge.net.line_protocol.transport import LineProtocolTransport
from cypressledge.tenants import Tenants

if TYPE_CHECKING:
    from cypressledge.net.maintenance_file import MaintenanceFile
    from cypressledge.net.management import ManagementServer
    from cypressledge.service import HostedService
    from cypressledge.service_config import ServiceConfig

LINE_PROTOCOL = "lines"  # wire protocol of the engines that the platform's directory lists


@dataclass(slots=True)
class BrokerComponents:
    """The parts of one broker, for the code that starts, reconfigures and stops them."""

    counters: Counters
    core: BrokerCore
    tenants: Tenants
    transport: LineProtocolTransport
    frontend: JsonRpcFrontend
    engine_naming: EngineNaming
    directory: DirectoryPoller
    management: "ManagementServer | None" = None
    maintenance_file: "MaintenanceFile | None" = None
    service: "HostedService | None" = None

    def is_taking_clients(self) -> bool:
        """Return whether this process accepts clients and is not stopping."""
        return self.frontend.listener.accepting.is_set() and not self.core.ledger.is_stopping

    def frontends(self) -> "list[JsonRpcFrontend | HostedService]":
        """Return all frontends that clients connect to."""
        return [self.frontend] if self.service is None else [self.frontend, self.service]


def decision_settings(config: Config, service: "ServiceConfig | None") -> Settings:
    """Return the settings of the decision module.

    With the hosted service, no progress notifications are expected. ClickHouse engines send none for a query
    whose rows are being transferred or whose completed share is unknown, and the module would conclude that
    the engine had lost the answer."""
    progress_interval = config.settings.progress_interval if service is None else 0
    return replace(config.settings, progress_interval=progress_interval, max_send_delay=MAX_SEND_DELAY)


def assemble_components(config: Config, service: "ServiceConfig | None") -> BrokerComponents:
    """Return the parts of a broker; their sockets are listening, but their loops are not started."""
    counters = Counters()
    core = BrokerCore(decision_settings(config, service), config.seed, counters)
    transport = LineProtocolTransport(core, config.limits)
    core.add_transport(LINE_PROTOCOL, transport)
    tenants = Tenants()
    frontend = JsonRpcFrontend(
        core, config.listen, config.classes, tenants, counters, config.inherited_socket_fd
    )
    engine_naming = EngineNaming(config.kinds, config.zones, LINE_PROTOCOL)
    directory = DirectoryPoller(core, config.dns_server, engine_naming, config.serial)
    parts = BrokerComponents(counters, core, tenants, transport, frontend, engine_naming, directory)
    if config.inherited_socket_fd is not None:
        _share_query_ids(parts, config.listen[1])
    if config.management is not None:
        _add_management(parts, config, config.management)
    engine_naming.publish(core, EngineListKind.CACHED, config.engines)
    if service is not None:
        parts.service = _hosted_service(service, parts, config)
    return parts


def _hosted_service(settings: "ServiceConfig", parts: BrokerComponents, config: Config) -> "HostedService":
    """Return the hosted service. Imported only here, so that other brokers do not load its protocols."""
    from cypressledge.service import HostedService

    return HostedService(settings, parts.core, config, parts.tenants)


def _share_query_ids(parts: BrokerComponents, port: int) -> None:
    """Share the query ids with the other processes that accept from the inherited socket."""
    from cypressledge.net.query_id_table import QueryIdTable

    try:
        parts.core.ledger.query_ids.shared = QueryIdTable(port)
    except OSError as err:
        log(f"query ids: not shared with the other process of an upgrade: {err}")


def _add_management(parts: BrokerComponents, config: Config, address: tuple[str, int]) -> None:
    """Add the management server and its calls, imported only here so that other brokers do not load HTTP."""
    from cypressledge.net.maintenance_file import MaintenanceFile
    from cypressledge.net.management import ManagementServer, metrics

    management = ManagementServer(address, parts.counters, parts.is_taking_clients)
    maintenance_file = MaintenanceFile(parts.core, config.name)
    management.add("/status/metrics", "GET", lambda request: (200, metrics(parts.core, config.classes)))
    management.add("/maintenance/enter", "POST", lambda request: maintenance_file.handle_call(request, True))
    management.add("/maintenance/exit", "POST", lambda request: maintenance_file.handle_call(request, False))
    parts.management, parts.maintenance_file = management, maintenance_file
