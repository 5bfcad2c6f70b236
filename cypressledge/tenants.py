"""The tenants of the hosted service, with their keys and their limits on open requests."""

import hashlib
import hmac
import re
from collections.abc import Mapping
from dataclasses import dataclass

TENANT_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}\Z", re.A)
KEY_DIGEST = re.compile(r"[0-9a-f]{64}", re.A)
MIN_KEY_LENGTH = 12  # characters
FIELDS = frozenset(("name", "key", "key_sha256", "most_open", "enabled"))  # keys of a tenant in JSON and TOML


class TenantError(ValueError):
    """A tenant definition or change is invalid."""


def key_digest(key: str) -> str:
    """Return the SHA-256 digest of a key in hexadecimal; keys are stored only in this form."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass(slots=True)
class Tenant:
    """One tenant. `max_open`: limit of its open requests at this broker; 0: no limit."""

    name: str
    key_sha256: str
    max_open: int = 0
    enabled: bool = True
    open_requests: int = 0

    def describe(self) -> dict[str, object]:
        """Return the tenant as the administration API shows it, without its key."""
        return {
            "name": self.name,
            "most_open": self.max_open,
            "enabled": self.enabled,
            "open": self.open_requests,
        }


class Tenants:
    """All tenants: those with a key by name, and the names of the site's tenants, which have no key."""

    def __init__(self) -> None:
        self.site_tenants: frozenset[str] = frozenset()
        self.by_name: dict[str, Tenant] = {}

    def __contains__(self, name: str) -> bool:
        """Return whether a frontend without authentication accepts the tenant; only site tenants qualify."""
        return name in self.site_tenants

    def update(self, name: str, given: Mapping[str, object]) -> Tenant:
        """Add a tenant, or change the given fields of an existing one; raises `TenantError`."""
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
        """Return the tenant if the key is correct and the tenant is enabled, else None.

        The check takes the same time for an unknown name."""
        tenant = self.by_name.get(name)
        expected = tenant.key_sha256 if tenant is not None else key_digest("")
        key_matches = hmac.compare_digest(key_digest(key), expected)
        return tenant if tenant is not None and key_matches and tenant.enabled else None

    def remove(self, name: str) -> bool:
        """Remove a tenant, and return whether it existed; its open requests are still answered."""
        return self.by_name.pop(name, None) is not None


def _read_key(given: Mapping[str, object], old: Tenant | None) -> str:
    """Return the digest of a tenant's key: the given one, or else that of the existing tenant."""
    if "key" in given:
        key = given["key"]
        if not isinstance(key, str) or len(key) < MIN_KEY_LENGTH:
            raise TenantError(f"key must have at least {MIN_KEY_LENGTH} characters")
        return key_digest(key)
    digest = given.get("key_sha256", old.key_sha256 if old else None)
    if not isinstance(digest, str) or not KEY_DIGEST.fullmatch(digest):
        raise TenantError("key is missing")
    return digest
