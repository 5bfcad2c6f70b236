"""The hosted service beside the platform's front: ClickHouse HTTP, DNS-SD and the administration API.

Off unless `--service FILE` names its settings (`deploy/clickhouse.toml` is one).
"""

import os
import tomllib
from dataclasses import dataclass, field

from cypressledge.core import Core
from cypressledge.net.admin import Admin
from cypressledge.net.clickhouse import ChFront, ChLink
from cypressledge.net.directory import Catalogue
from cypressledge.net.dnssd import DnsSd
from cypressledge.tenants import Tenants

WIRE = "clickhouse"


class ServiceError(Exception):
    """The service's settings can't be used."""


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


def address(text: object) -> tuple[str, int]:
    """HOST:PORT as a pair."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not port.isdigit() or int(port) > 65535:
        raise ServiceError(f"no HOST:PORT: {text!r}")
    return host.strip("[]"), int(port)


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
            raise ServiceError(f"{path}: the admin API needs a token of 16 characters in {named}")
        return ServiceConfig(
            listen=address(front["listen"]),
            dns_server=address(sd["server"]) if sd else None,
            dns_service=sd["service"] if sd else "",
            admin_listen=address(admin["listen"]) if admin else None, admin_token=token,
            engine_user=engines.get("user", ""), engine_key=env.get(engines.get("key_env", ""), ""),
            tenants=raw.get("tenant", []))
    except OSError as err:
        raise ServiceError(f"{path}: {err.strerror}") from None
    except tomllib.TOMLDecodeError as err:
        raise ServiceError(f"{path} is not TOML: {err}") from None
    except KeyError as err:
        raise ServiceError(f"{path} lacks {err}") from None
    except (TypeError, AttributeError) as err:
        raise ServiceError(f"{path} is of the wrong form: {err}") from None


class Service:
    """The parts of the hosted service round one core."""

    def __init__(self, config: ServiceConfig, core: Core, settings: dict, tenants: Tenants,
                 sockets: int) -> None:
        limits, classes = settings["Limits"], [k["Name"] for k in settings["Classes"]]
        for given in config.tenants:
            tenants.put(given.get("name"), given)
        self.link = ChLink(
            core, limits["ConnectTimeout"] / 1e6, limits["ConnIdle"] / 1e6, sockets // 4,
            config.engine_user, config.engine_key)
        core.links[WIRE] = self.link
        self.front = ChFront(core, config.listen, classes, tenants)
        self.servers = [self.front.server]
        self.parts = []
        if config.admin_listen:
            self.servers.append(Admin(core, config.admin_listen, config.admin_token, tenants).server)
        if config.dns_server:
            catalogue = Catalogue(settings["Skus"], settings["Dcs"], WIRE)
            self.parts.append(DnsSd(core, config.dns_server, config.dns_service, catalogue).run)
        self.parts += [server.listener.run for server in self.servers]

    def stop(self) -> None:
        """Accept nobody any more."""
        for server in self.servers:
            server.listener.stop()

    def flush(self, seconds: float) -> None:
        """Let the last answers go out."""
        for server in self.servers:
            server.flush(seconds)
