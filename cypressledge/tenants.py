"""The tenants of the hosted service: who may ask, with which key, and how much at once."""

import hashlib
import hmac
import re
from collections.abc import Mapping
from dataclasses import dataclass

TENANT_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}\Z", re.A)
KEY_DIGEST = re.compile(r"[0-9a-f]{64}", re.A)
MIN_KEY_LENGTH = 12  # characters
FIELDS = frozenset(("name", "key", "key_sha256", "most_open", "enabled"))  # of a tenant, as JSON or TOML


class TenantError(ValueError):
    """A tenant that can't be as asked."""


def key_digest(key: str) -> str:
    """Keys are kept as their SHA-256 only."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass(slots=True)
class Tenant:
    """One tenant. `max_open`: its open requests at this broker; 0 is no limit."""

    name: str
    key_sha256: str
    max_open: int = 0
    enabled: bool = True
    open_requests: int = 0

    def describe(self) -> dict[str, object]:
        """What the administration API answers with; never the key."""
        return {
            "name": self.name,
            "most_open": self.max_open,
            "enabled": self.enabled,
            "open": self.open_requests,
        }


class Tenants:
    """All tenants by name, besides those that the site's settings name: these have no key here."""

    def __init__(self) -> None:
        self.site_tenants: frozenset[str] = frozenset()
        self.by_name: dict[str, Tenant] = {}

    def __contains__(self, name: str) -> bool:
        """Whether a frontend that asks for no key may name it: never one that has a key."""
        return name in self.site_tenants

    def update(self, name: str, given: Mapping[str, object]) -> Tenant:
        """Add a tenant, or change those of its fields that are given; raises `TenantError`."""
        old = self.by_name.get(name)
        if not isinstance(name, str) or not TENANT_NAME.match(name):
            raise TenantError("name must be 1 to 64 letters, digits, '_', '.' or '-'")
        if unknown := given.keys() - FIELDS:
            raise TenantError(f"unknown field {sorted(unknown)[0]}")
        if given.get("name", name) != name:
            raise TenantError("a tenant can't be renamed")
        key_sha256 = _read_key(given, old)
        max_open = given.get("most_open", old.max_open if old else 0)
        enabled = given.get("enabled", old.enabled if old else True)
        if type(max_open) is not int or max_open < 0 or type(enabled) is not bool:
            raise TenantError("most_open must be a whole number, enabled true or false")
        tenant = old or Tenant(name, key_sha256)
        tenant.key_sha256, tenant.max_open, tenant.enabled = key_sha256, max_open, enabled
        self.by_name[name] = tenant
        return tenant

    def authenticate(self, name: str, key: str) -> Tenant | None:
        """The tenant, if the key is its own and it is enabled; takes as long for a wrong name."""
        tenant = self.by_name.get(name)
        expected = tenant.key_sha256 if tenant is not None else key_digest("")
        key_matches = hmac.compare_digest(key_digest(key), expected)
        return tenant if tenant is not None and key_matches and tenant.enabled else None

    def remove(self, name: str) -> bool:
        """Forget a tenant, and answer whether there was one; what it has open is still answered."""
        return self.by_name.pop(name, None) is not None


def _read_key(given: Mapping[str, object], old: Tenant | None) -> str:
    """The digest of a tenant's key, as given or as it was before."""
    if "key" in given:
        key = given["key"]
        if not isinstance(key, str) or len(key) < MIN_KEY_LENGTH:
            raise TenantError(f"key must have at least {MIN_KEY_LENGTH} characters")
        return key_digest(key)
    digest = given.get("key_sha256", old.key_sha256 if old else None)
    if not isinstance(digest, str) or not KEY_DIGEST.fullmatch(digest):
        raise TenantError("key is missing")
    return digest
