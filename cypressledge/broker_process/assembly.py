"""Puts the parts of one broker together, as its configuration names them."""

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.metrics import Counters
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

LINE_PROTOCOL = "lines"  # the wire of engines that the platform's directory lists


@dataclass(slots=True)
class BrokerComponents:
    """The parts of one broker, for what starts, reconfigures and stops them."""

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
        """Whether this process accepts clients, and will go on doing so."""
        return self.frontend.listener.accepting.is_set() and not self.core.ledger.is_stopping

    def frontends(self) -> "list[JsonRpcFrontend | HostedService]":
        """All that clients connect to."""
        return [self.frontend] if self.service is None else [self.frontend, self.service]


def decision_settings(config: Config, service: "ServiceConfig | None") -> Settings:
    """The decision module's settings.

    Guards against ClickHouse engines being taken for ones that lose answers: they report no progress of a
    query whose rows are on their way, or of which they don't know the share done."""
    progress_interval = config.settings.progress_interval if service is None else 0
    return replace(config.settings, progress_interval=progress_interval, max_send_delay=MAX_SEND_DELAY)


def assemble_components(config: Config, service: "ServiceConfig | None") -> BrokerComponents:
    """The parts of a broker, listening but not started."""
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
    if config.management is not None:
        _add_management(parts, config, config.management)
    engine_naming.publish(core, EngineListKind.CACHED, config.engines)
    if service is not None:
        parts.service = _hosted_service(service, parts, config)
    return parts


def _hosted_service(settings: "ServiceConfig", parts: BrokerComponents, config: Config) -> "HostedService":
    """The hosted service. Imported here alone: a broker without it does not load its protocols."""
    from cypressledge.service import HostedService

    return HostedService(settings, parts.core, config, parts.tenants)


def _add_management(parts: BrokerComponents, config: Config, address: tuple[str, int]) -> None:
    """The operators' address and its calls. Imported here alone: a broker without it loads no HTTP."""
    from cypressledge.net.maintenance_file import MaintenanceFile
    from cypressledge.net.management import ManagementServer, metrics

    management = ManagementServer(address, parts.counters, parts.is_taking_clients)
    maintenance_file = MaintenanceFile(parts.core, config.name)
    management.add("/status/metrics", "GET", lambda request: (200, metrics(parts.core, config.classes)))
    management.add("/maintenance/enter", "POST", lambda request: maintenance_file.handle_call(request, True))
    management.add("/maintenance/exit", "POST", lambda request: maintenance_file.handle_call(request, False))
    parts.management, parts.maintenance_file = management, maintenance_file
