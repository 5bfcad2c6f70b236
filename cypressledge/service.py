"""The hosted service beside the platform's front: ClickHouse HTTP, DNS-SD and the administration API.

Off unless `--service FILE` names its settings (`deploy/clickhouse.toml` is one).
"""

import os
import tomllib
from dataclasses import dataclass, field

from cypressledge.broker.core import BrokerCore
from cypressledge.config import Config, ConfigError, Limits, parse_address
from cypressledge.net.admin import Admin
from cypressledge.net.clickhouse import ChFront, ChLink
from cypressledge.net.dns_discovery import EngineNaming
from cypressledge.net.dns_sd import DnsSdPoller
from cypressledge.net.http import BODIES
from cypressledge.tenants import TenantError, Tenants

WIRE = "clickhouse"
MAX_ADMIN_CONNECTIONS = 16
MAX_CLIENT_CONNECTIONS = 128  # client connections over HTTP, where the descriptors allow as many


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """What the service's file says."""

    listen: tuple[str, int]
    dns_server: tuple[str, int] | None
    dns_service: str
    admin_listen: tuple[str, int] | None
    admin_token: str
    engine_user: str
    engine_key: str
    tenants: list[dict] = field(default_factory=list)


def read_service(path: str, env=os.environ) -> ServiceConfig:
    """The settings of the file; secrets come from the environment variables that it names."""
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
        front, admin, sd = raw["clickhouse"], raw.get("admin"), raw.get("dns_sd")
        engines = raw.get("engines", {})
        token = env.get(admin.get("token_env", ""), "") if admin else ""
        if admin and len(token) < 16:
            named = admin.get("token_env")
            raise ConfigError(f"{path}: the admin API needs a token of 16 characters in {named}")
        scratch = Tenants()
        for given in raw.get("tenant", ()):
            scratch.update(given.get("name"), given)
        return ServiceConfig(
            listen=parse_address(front["listen"]),
            dns_server=parse_address(sd["server"]) if sd else None,
            dns_service=sd["service"] if sd else "",
            admin_listen=parse_address(admin["listen"]) if admin else None,
            admin_token=token,
            engine_user=engines.get("user", ""),
            engine_key=env.get(engines.get("key_env", ""), ""),
            tenants=raw.get("tenant", []),
        )
    except OSError as err:
        raise ConfigError(f"{path}: {err.strerror}") from None
    except tomllib.TOMLDecodeError as err:
        raise ConfigError(f"{path} is not TOML: {err}") from None
    except KeyError as err:
        raise ConfigError(f"{path} lacks {err}") from None
    except TenantError as err:
        raise ConfigError(f"{path}: tenant: {err}") from None
    except (TypeError, AttributeError) as err:
        raise ConfigError(f"{path} is of the wrong form: {err}") from None


class Service:
    """The parts of the hosted service round one core."""

    def __init__(self, told: ServiceConfig, core: BrokerCore, config: Config, tenants: Tenants) -> None:
        self.told, self.tenants, self.core = told, tenants, core
        self.link = ChLink(core, config.limits)
        core.add_transport(WIRE, self.link)
        self.front = ChFront(core, told.listen, config.classes, tenants)
        self.servers = [self.front.server]
        self.parts = []
        self.admin = None
        if told.admin_listen:
            self.admin = Admin(core, told.admin_listen, tenants)
            self.servers.append(self.admin.server)
        self.engine_naming = EngineNaming(config.kinds, config.zones, WIRE)
        self.names = DnsSdPoller(core, told.dns_server, told.dns_service, self.engine_naming)
        self.parts += [self.names.run, *(server.listener.run for server in self.servers)]
        self._take(told)

    def _take(self, told: ServiceConfig) -> None:
        """Tenants that the file no longer names are gone; those that the API has added stay."""
        for name in {t["name"] for t in self.told.tenants} - {t["name"] for t in told.tenants}:
            self.tenants.remove(name)
        for given in told.tenants:
            self.tenants.update(given["name"], given)
        self.told = told
        self.link.login(told.engine_user, told.engine_key)
        if self.admin is not None:
            self.admin.token = told.admin_token

    def limit(self, limits: Limits) -> None:
        """Take what the deployment allows."""
        self.link.limits = limits
        self.front.server.listener.most = min(MAX_CLIENT_CONNECTIONS, limits.max_sockets // 10)
        if self.admin is not None:
            self.admin.server.listener.most = min(MAX_ADMIN_CONNECTIONS, limits.max_sockets // 32)
        BODIES.most = limits.spare_memory // 8

    def check(self, told: ServiceConfig) -> None:
        """Whether this can be taken without a restart."""
        if (told.listen, told.admin_listen) != (self.told.listen, self.told.admin_listen):
            raise ConfigError("other addresses to listen on need a restart")

    def reload(self, told: ServiceConfig, config: Config) -> None:
        """Take what its file says now."""
        self._take(told)
        self.engine_naming.rename(self.core, config.kinds, config.zones)
        self.names.browse(told.dns_server, told.dns_service)

    def stop(self) -> None:
        """Accept nobody any more."""
        for server in self.servers:
            server.listener.stop()

    def flush(self, seconds: float) -> None:
        """Let the last answers go out."""
        for server in self.servers:
            server.flush(seconds)
