"""What a broker is told by its configuration file, read whole at the start and again at SIGHUP."""

import json
import resource
from dataclasses import dataclass

from cypressledge.decisions import contract as c
from cypressledge.net.dns_discovery import DiscoveredEngine, configured_engines
from cypressledge.settings import SettingsError, parse_settings

DEFAULT_MEMORY_MB = 192  # where the configuration names no limit
RESERVED_SOCKETS = 16  # descriptors that are no client's and no engine's
BASE_MEMORY_MB = 28  # what a broker takes on a calm day, with room to work


class ConfigError(Exception):
    """The configuration can't be used."""


def parse_address(text: object) -> tuple[str, int]:
    """HOST:PORT as a pair."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"no HOST:PORT: {text!r}")
    return host.strip("[]"), int(port)


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment allows this process and its connections."""

    max_sockets: int
    memory_mb: int
    max_streams: int
    connect_timeout_s: float
    idle_timeout_s: float
    max_retry_after: int
    progress_interval_us: int

    def max_clients(self, shared: bool) -> int:
        """JSON-RPC clients held at once; fewer where the service's fronts share the descriptors."""
        return (self.max_sockets - RESERVED_SOCKETS) * (2 if shared else 3) // 5

    def max_engine_connections(self, shared: bool) -> int:
        """Connections to the engines of one wire."""
        return self.max_sockets // (5 if shared else 4)

    @property
    def spare_memory(self) -> int:
        """Bytes of memory beyond what the program itself takes."""
        return max(self.memory_mb - BASE_MEMORY_MB, 4) << 20


@dataclass(frozen=True, slots=True)
class Config:
    """All that the file says, in the broker's terms: whatever can be wrong with it has been found by now."""

    name: str
    listen: tuple[str, int]
    inherited_socket_fd: int | None  # the clients' socket, where the platform holds it and hands it on
    management: tuple[str, int] | None
    metrics_interval_s: float  # seconds between log lines of all counters; 0 is never
    dns_server: tuple[str, int] | None
    seed: int
    limits: Limits
    settings: c.Settings
    classes: tuple[str, ...]
    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    tenants: frozenset[str]
    quotas: dict[str, float]  # requests a second of a tenant within its share, over all brokers
    serial: int
    engines: tuple[DiscoveredEngine, ...]


def read_config(env, sections: dict | None = None) -> Config:
    """The configuration named by the environment; `sections` of its settings in place of the file's."""
    path = env.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
        raw["settings"] |= sections or {}
        return _config(raw, env)
    except OSError as err:
        raise ConfigError(f"{path}: {err.strerror}") from None
    except KeyError as err:
        raise ConfigError(f"{path} lacks {err}") from None
    except (SettingsError, TypeError, ValueError, AttributeError, RecursionError) as err:
        raise ConfigError(f"{path}: {err}") from None


def _config(raw: dict, env) -> Config:
    s, seed = raw["settings"], raw["seed"]
    limits = _limits(raw["limits"], s)
    serial, engines = configured_engines(raw["known"])
    return Config(
        name=env.get("ROUTER_NAME") or raw["name"],
        listen=parse_address(env.get("ROUTER_LISTEN") or raw["listen"]),
        inherited_socket_fd=_descriptor(env.get("ROUTER_SOCKET_FD")),
        management=_management(env.get("ROUTER_MANAGEMENT") or raw.get("management")),
        metrics_interval_s=_seconds(env.get("ROUTER_FIGURES_S")),
        dns_server=parse_address(raw["dns"]) if raw.get("dns") else None,
        seed=int(seed, 16) if isinstance(seed, str) else int(seed),
        limits=limits,
        settings=parse_settings(s),
        classes=tuple(k["Name"] for k in s["Classes"]),
        kinds=tuple(s["Skus"]),
        zones=tuple(s["Dcs"]),
        tenants=frozenset(t["Name"] for t in s.get("Customers", ())),
        quotas={t["Name"]: float(t.get("QuotaRps", 0)) for t in s.get("Customers", ())},
        serial=serial,
        engines=tuple(engines),
    )


def _seconds(text: str | None) -> float:
    """A period in seconds; none, or nonsense, is off."""
    try:
        return max(float(text or 0), 0.0)
    except ValueError:
        return 0.0


def _descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not text.isdigit():
        raise ConfigError(f"ROUTER_SOCKET_FD is no descriptor: {text!r}")
    return int(text)


def _management(text: object) -> tuple[str, int] | None:
    """The second address; a bare port is on every address."""
    if text is None or text == "":
        return None
    if isinstance(text, int) or (isinstance(text, str) and text.isdigit()):
        return "0.0.0.0", int(text)
    return parse_address(text)


def _limits(raw: dict, s: dict) -> Limits:
    site = s["Limits"]
    limits = Limits(
        # Guards against a process that is allowed fewer descriptors than its file says.
        max_sockets=min(int(raw["sockets"]), resource.getrlimit(resource.RLIMIT_NOFILE)[0]),
        memory_mb=int(raw.get("memory_mb", DEFAULT_MEMORY_MB)),
        max_streams=int(site["StreamsPerConn"]),
        connect_timeout_s=site["ConnectTimeout"] / 1e6,
        idle_timeout_s=site["ConnIdle"] / 1e6,
        max_retry_after=int(site.get("MaxRetryAfter", 0)),
        progress_interval_us=int(s.get("FamilyInfo", {}).get("TellsEvery", 0)),
    )
    if (
        min(
            limits.max_sockets,
            limits.memory_mb,
            limits.max_streams,
            limits.connect_timeout_s,
            limits.idle_timeout_s,
        )
        <= 0
    ):
        raise ValueError("a limit is not above 0")
    return limits
