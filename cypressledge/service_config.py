"""Settings of the hosted service, in the file that `--service FILE` names (see `deploy/clickhouse.toml`)."""

import os
import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from cypressledge.config import ConfigError, parse_address
from cypressledge.tenants import TenantError, Tenants

MIN_TOKEN_LENGTH = 16  # characters
MAX_LABEL_LENGTH = 63  # bytes of one label of a DNS name


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """The validated contents of the service's file."""

    listen: tuple[str, int]
    dns_server: tuple[str, int] | None
    dns_service: str
    admin_listen: tuple[str, int] | None
    admin_token: str
    engine_user: str
    engine_key: str
    tenants: tuple[Mapping[str, Any], ...]  # fields of each tenant, as for `Tenants.update`


def read_service(path: str, environment: Mapping[str, str] = os.environ) -> ServiceConfig:
    """Return the settings of the file; secrets are read from the environment variables that it names.

    Raises `ConfigError`."""
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
        return _service_config(path, raw, environment)
    except OSError as err:
        raise ConfigError(f"{path}: {err.strerror}") from None
    except UnicodeDecodeError:
        raise ConfigError(f"{path} is not UTF-8") from None
    except tomllib.TOMLDecodeError as err:
        raise ConfigError(f"{path} is not TOML: {err}") from None
    except KeyError as err:
        raise ConfigError(f"{path} lacks {err}") from None
    except TenantError as err:
        raise ConfigError(f"{path}: tenant: {err}") from None
    except (TypeError, AttributeError) as err:
        raise ConfigError(f"{path} is of the wrong form: {err}") from None


def _service_config(path: str, raw: dict, environment: Mapping[str, str]) -> ServiceConfig:
    frontend, admin, dns_sd = raw["clickhouse"], raw.get("admin"), raw.get("dns_sd")
    engines = raw.get("engines", {})
    token = environment.get(admin.get("token_env", ""), "") if admin else ""
    if admin and len(token) < MIN_TOKEN_LENGTH:
        variable = admin.get("token_env")
        raise ConfigError(
            f"{path}: the admin API needs a token of {MIN_TOKEN_LENGTH} characters in {variable}"
        )
    return ServiceConfig(
        listen=parse_address(frontend["listen"]),
        dns_server=parse_address(dns_sd["server"]) if dns_sd else None,
        dns_service=_dns_name(path, dns_sd["service"]) if dns_sd else "",
        admin_listen=parse_address(admin["listen"]) if admin else None,
        admin_token=token,
        engine_user=engines.get("user", ""),
        engine_key=environment.get(engines.get("key_env", ""), ""),
        tenants=_checked_tenants(raw.get("tenant", ())),
    )


def _dns_name(path: str, text: str) -> str:
    """Return a DNS name as given. Raises `ConfigError` if a label is empty or too long."""
    labels = text.removesuffix(".").split(".")
    if not all(0 < len(label.encode()) <= MAX_LABEL_LENGTH for label in labels):
        raise ConfigError(f"{path}: service is no DNS name: {text!r}")
    return text


def _checked_tenants(listed: Iterable[dict]) -> tuple[Mapping[str, Any], ...]:
    """Return the tenants as given. Raises `TenantError` for an invalid one."""
    scratch, checked = Tenants(), tuple(listed)
    for given in checked:
        scratch.update(given.get("name", ""), given)
    return checked
