"""The configuration file of a broker, which is read at the start and on each reload."""

import json
import resource
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from cypressledge.broker.discovered_engine import DiscoveredEngine
from cypressledge.decisions import contract as c
from cypressledge.settings import SettingsError, parse_settings

DEFAULT_MEMORY_MB = 192  # MB; memory limit if the configuration contains none
RESERVED_SOCKETS = 16  # descriptors that are not available to clients or engines
BASE_MEMORY_MB = 28  # MB; memory of a broker under light load, including working space
MIN_SPARE_MEMORY_MB = 4  # MB; spare memory even if the limit is lower than the base memory
MAX_PORT = 65_535
ANY_ADDRESS = "0.0.0.0"
HEXADECIMAL = 16
US_PER_SECOND = 1e6
ENGINE_STATES = {
    "Ready": c.EngineState.READY,
    "Terminating": c.EngineState.DRAINING,
    "Gone": c.EngineState.REMOVED,
}


class ConfigError(Exception):
    """The configuration is invalid or cannot be applied."""


def parse_address(text: object) -> tuple[str, int]:
    """Return an address HOST:PORT as a pair of host and port. Raises `ConfigError`."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not port.isdecimal() or not port.isascii() or int(port) > MAX_PORT:
        raise ConfigError(f"no HOST:PORT: {text!r}")
    return host.strip("[]"), int(port)


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits that the deployment sets for this process and its connections."""

    max_sockets: int  # descriptors of the process
    memory_mb: int  # MB; memory limit of the process
    max_streams: int  # concurrent attempts on one connection to an engine
    connect_timeout_s: float
    idle_timeout_s: float  # seconds after which an engine closes an idle connection
    max_retry_after: int  # µs that a client is asked to wait after a rejection
    progress_interval_us: int  # µs between progress notifications of an attempt; 0: engines send none

    def max_clients(self, shared: bool) -> int:
        """Return the maximum number of JSON-RPC client connections.

        `shared`: the hosted service's frontends use a part of the descriptors."""
        return (self.max_sockets - RESERVED_SOCKETS) * (2 if shared else 3) // 5

    def max_engine_connections(self, shared: bool) -> int:
        """Return the maximum number of connections to the engines of one wire protocol."""
        return self.max_sockets // (5 if shared else 4)

    @property
    def spare_memory(self) -> int:
        """The memory in bytes that is available beyond the program's own needs."""
        return max(self.memory_mb - BASE_MEMORY_MB, MIN_SPARE_MEMORY_MB) << 20


@dataclass(frozen=True, slots=True)
class Config:
    """The validated contents of the configuration file, converted to the broker's types."""

    name: str
    listen: tuple[str, int]
    inherited_socket_fd: int | None  # listening socket for clients, if the platform passes it to each process
    management: tuple[str, int] | None
    metrics_interval_s: float  # seconds between log lines of all counters; 0: never
    dns_server: tuple[str, int] | None
    seed: int
    limits: Limits
    settings: c.Settings
    classes: tuple[str, ...]
    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    tenants: frozenset[str]
    quotas: dict[str, float]  # requests per second within a tenant's quota, over all brokers
    serial: int
    engines: tuple[DiscoveredEngine, ...]


def read_config(environment: Mapping[str, str], sections: Mapping[str, object] | None = None) -> Config:
    """Return the configuration that the environment names; `sections` replace those of the file's settings.

    Raises `ConfigError`."""
    path = environment.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file, parse_constant=_reject_constant)
        raw["settings"] |= sections or {}
        return _config(raw, environment)
    except OSError as err:
        raise ConfigError(f"{path}: {err.strerror}") from None
    except KeyError as err:
        raise ConfigError(f"{path} lacks {err}") from None
    except (SettingsError, TypeError, ValueError, AttributeError, RecursionError) as err:
        raise ConfigError(f"{path}: {err}") from None


def _config(raw: dict, environment: Mapping[str, str]) -> Config:
    """Return the configuration from the file's values; values of the environment take precedence."""
    settings, seed = raw["settings"], raw["seed"]
    limits = _limits(raw["limits"], settings)
    known = raw["known"]
    engines = _configured_engines(known)
    serial = int(known.get("offset", 0))
    customers = settings.get("Customers", ())
    return Config(
        name=environment.get("ROUTER_NAME") or raw["name"],
        listen=parse_address(environment.get("ROUTER_LISTEN") or raw["listen"]),
        inherited_socket_fd=_parse_descriptor(environment.get("ROUTER_SOCKET_FD")),
        management=_parse_management(environment.get("ROUTER_MANAGEMENT") or raw.get("management")),
        metrics_interval_s=_parse_seconds(environment.get("ROUTER_FIGURES_S")),
        dns_server=parse_address(raw["dns"]) if raw.get("dns") else None,
        seed=int(seed, HEXADECIMAL) if isinstance(seed, str) else int(seed),
        limits=limits,
        settings=parse_settings(settings),
        classes=tuple(each["Name"] for each in settings["Classes"]),
        kinds=_names(settings["Skus"], "Skus"),
        zones=_names(settings["Dcs"], "Dcs"),
        tenants=frozenset(customer["Name"] for customer in customers),
        quotas={customer["Name"]: float(customer.get("QuotaRps", 0)) for customer in customers},
        serial=serial,
        engines=tuple(engines),
    )


def _reject_constant(text: str) -> None:
    """Raise `ValueError` for Infinity and NaN, which JSON does not have."""
    raise ValueError(f"no figure in range: {text}")


def _names(values: list[Any], key: str) -> tuple[str, ...]:
    """Return the names in a list of the settings. Raises `ValueError`."""
    if not all(isinstance(value, str) for value in values):
        raise ValueError(f"{key} holds something that is no name")
    return tuple(values)


def _configured_engines(known: Mapping[str, Any]) -> list[DiscoveredEngine]:
    """Return the engines in the file, by applying its events in order.

    A complete event replaces all engines; the others contain changes."""
    engines: dict[str, DiscoveredEngine] = {}
    for event in known.get("batch", ()):
        topology = event["topology"]
        if topology.get("complete"):
            engines.clear()
        for member in topology["members"]:
            if member["phase"] == "Gone":
                engines.pop(member["id"], None)
                continue
            host, _, port = member["host_port"].rpartition(":")
            engines[member["id"]] = DiscoveredEngine(
                name=member["id"],
                host=host,
                port=int(port),
                state=ENGINE_STATES[member["phase"]],
                kind=member.get("flavor", ""),
                zone=member.get("locality", ""),
                cell=int(member.get("cell", 0)),
                started_at_ms=int(member.get("up_since_ms") or 0),
            )
    return list(engines.values())


def _parse_seconds(text: str | None) -> float:
    """Return a period in seconds; 0 (off) if it is missing or not a number."""
    try:
        return max(float(text or 0), 0.0)
    except ValueError:
        return 0.0


def _parse_descriptor(text: str | None) -> int | None:
    """Return the descriptor of the inherited socket, or None if it is not set. Raises `ConfigError`."""
    if not text:
        return None
    if not text.isdigit():
        raise ConfigError(f"ROUTER_SOCKET_FD is no descriptor: {text!r}")
    return int(text)


def _parse_management(text: object) -> tuple[str, int] | None:
    """Return the management address, or None if it is not set; a port alone means all local addresses.

    Raises `ConfigError`."""
    if text is None or text == "":
        return None
    if isinstance(text, int) or (isinstance(text, str) and text.isdigit()):
        return ANY_ADDRESS, int(text)
    return parse_address(text)


def _limits(raw: Mapping[str, Any], settings: Mapping[str, Any]) -> Limits:
    """Return the limits of the deployment; all of them but the last two must be greater than 0.

    Raises `ValueError`."""
    site = settings["Limits"]
    limits = Limits(
        # The process may be allowed fewer descriptors than its file states.
        max_sockets=min(int(raw["sockets"]), resource.getrlimit(resource.RLIMIT_NOFILE)[0]),
        memory_mb=int(raw.get("memory_mb", DEFAULT_MEMORY_MB)),
        max_streams=int(site["StreamsPerConn"]),
        connect_timeout_s=site["ConnectTimeout"] / US_PER_SECOND,
        idle_timeout_s=site["ConnIdle"] / US_PER_SECOND,
        max_retry_after=int(site.get("MaxRetryAfter", 0)),
        progress_interval_us=int(settings.get("FamilyInfo", {}).get("TellsEvery", 0)),
    )
    positive = (
        limits.max_sockets,
        limits.memory_mb,
        limits.max_streams,
        limits.connect_timeout_s,
        limits.idle_timeout_s,
    )
    if min(positive) <= 0:
        raise ValueError("a limit is not above 0")
    return limits
