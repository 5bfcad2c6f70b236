"""The configuration in force, and its replacement while the broker runs."""

import traceback
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cypressledge.broker.discovered_engine import DiscoveredEngine
from cypressledge.broker.metrics import log
from cypressledge.broker_process.assembly import BrokerComponents, decision_settings
from cypressledge.config import Config, ConfigError
from cypressledge.decisions.contract import EngineListKind
from cypressledge.net.receive_buffer import BUFFER_GROWTH
from cypressledge.net.socket_writer import QUEUED_BYTES

if TYPE_CHECKING:
    from cypressledge.service_config import ServiceConfig

MAX_OPEN_REQUESTS = 4_000  # requests; fewer if the spare memory does not suffice
BYTES_PER_OPEN_REQUEST = 10_000  # bytes of memory, without the statement
MEMORY_SHARE_OF_STATEMENTS = 8  # divisor: statements may use 1/8 of the spare memory
MEMORY_SHARE_OF_RECEIVE_BUFFERS = 8  # divisor: incomplete messages may use 1/8 of the spare memory
MEMORY_SHARE_OF_SEND_QUEUES = 4  # divisor: queued answers may use 1/4 of the spare memory
DESCRIPTORS_PER_CLOSING_CLIENT = 32  # divisor: 1/32 of the descriptors are for evicted clients that close


@dataclass(frozen=True, slots=True)
class ConfigurationFiles:
    """The contents of the broker's file and of the hosted service's file, read at the same time."""

    broker: Config
    service: "ServiceConfig | None"


# Reads the files; the given sections replace those of the same name in the settings of the broker's file.
ConfigReader = Callable[[Mapping[str, object]], ConfigurationFiles]


class Reconfiguration:
    """Holds the configuration in force, and applies a new one either to all parts or to none."""

    def __init__(self, read: ConfigReader, config: Config, parts: BrokerComponents) -> None:
        self.config = config
        self.sections: dict = {}  # sections of the settings that replace those of the file
        self.has_external_engine_list = False  # engines come neither from the file nor from the directory
        self._read = read
        self._parts = parts

    def reload(self) -> bool:
        """Read the configuration file again and apply it, and return whether it is in force.

        If the file is invalid or contains changes that need a restart, the whole old configuration stays in
        force. The listener, the ledger, all connections and the serial of the engine list are kept."""
        try:
            self._apply(self.sections)
        except ConfigError as err:
            log(f"reload: the old configuration stays in force: {err}")
            return False
        except Exception:  # an exception of a signal handler would end the process with all open requests
            self._parts.counters.add("reload_failures")
            log(f"reload: failed, the new configuration may be in force in part:\n{traceback.format_exc()}")
            return False
        return True

    def apply_sections(self, sections: dict) -> None:
        """Replace sections of the file's settings, by name, from now on.

        Raises `ConfigError` if the old configuration stays in force."""
        self._apply(sections)
        log(f"control: new settings are in force: {' '.join(sorted(sections))}")

    def apply_engine_list(self, engines: list[DiscoveredEngine]) -> None:
        """Apply a complete engine list that replaces those of the file and the directory from now on.

        The directory is no longer polled."""
        if not self.has_external_engine_list:
            self.has_external_engine_list = True
            self._parts.directory.set_server(None)
        self._parts.engine_naming.publish(self._parts.core, EngineListKind.FULL, engines)

    def apply_limits(self, config: Config) -> None:
        """Set the limits of each part; called at the start and on each reload."""
        parts, limits = self._parts, config.limits
        is_shared = parts.service is not None
        ledger = parts.core.ledger
        ledger.max_retry_after = limits.max_retry_after
        ledger.max_open_requests = min(MAX_OPEN_REQUESTS, limits.spare_memory // BYTES_PER_OPEN_REQUEST)
        ledger.max_statement_bytes = limits.spare_memory // MEMORY_SHARE_OF_STATEMENTS
        BUFFER_GROWTH.limit = limits.spare_memory // MEMORY_SHARE_OF_RECEIVE_BUFFERS
        QUEUED_BYTES.limit = limits.spare_memory // MEMORY_SHARE_OF_SEND_QUEUES
        parts.transport.limits = limits
        parts.transport.max_connections = limits.max_engine_connections(is_shared)
        parts.tenants.site_tenants = config.tenants
        parts.frontend.listener.max_connections = limits.max_clients(is_shared)
        parts.frontend.listener.max_closing = limits.max_sockets // DESCRIPTORS_PER_CLOSING_CLIENT
        if parts.service is not None:
            parts.service.apply_limits(limits)
        if parts.management is not None:
            parts.management.apply_limits(limits)

    def _apply(self, sections: dict) -> None:
        """Read the files and apply them; raises `ConfigError` if the old configuration stays in force."""
        parts = self._parts
        try:
            files = self._read(sections)
            self._check_applicable(files)
        except ConfigError:
            parts.counters.add("reload_failures")
            raise
        config, service = files.broker, files.service
        self.config, self.sections = config, sections
        self.apply_limits(config)
        parts.core.reconfigure(decision_settings(config, service))
        parts.engine_naming.rename(parts.core, config.kinds, config.zones)
        if not self.has_external_engine_list:
            parts.directory.update(config.serial, config.engines)
            parts.directory.set_server(config.dns_server)
        if parts.service is not None and service is not None:
            parts.service.reload(service, config)
        parts.counters.add("reloads")

    def _check_applicable(self, files: ConfigurationFiles) -> None:
        """Raise `ConfigError` for a change that cannot be applied without a restart."""
        config = files.broker
        if config.classes != self.config.classes:
            raise ConfigError("other classes need a restart")
        if (config.listen, config.management) != (self.config.listen, self.config.management):
            raise ConfigError("another address to listen on needs a restart")
        if self._parts.service is not None and files.service is not None:
            self._parts.service.check_applicable(files.service)
