"""The tenants of the hosted service: who may ask, with which key, and how much at once."""

import hashlib
import hmac
import re
from dataclasses import dataclass

TENANT_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}\Z", re.A)
MIN_KEY_LENGTH = 12  # characters of a key


class TenantError(ValueError):
    """A tenant that can't be as asked."""


def digest(key: str) -> str:
    """Keys are kept as their SHA-256 only."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass(slots=True)
class Tenant:
    """One tenant. `most_open`: its open requests at this broker; 0 is no limit."""

    name: str
    key_sha256: str
    max_open: int = 0
    enabled: bool = True
    open_requests: int = 0

    def describe(self) -> dict:
        """What the administration API tells; never the key."""
        return {
            "name": self.name,
            "most_open": self.max_open,
            "enabled": self.enabled,
            "open": self.open_requests,
        }


class Tenants:
    """All tenants by name, besides those that the site's settings name (`fixed`; they have no key here)."""

    def __init__(self) -> None:
        self.site_tenants: frozenset[str] = frozenset()
        self.by_name: dict[str, Tenant] = {}

    def __contains__(self, name: str) -> bool:
        """Whether a front that asks for no key may name it: never one that has a key."""
        return name in self.site_tenants

    def update(self, name: str, given: dict) -> Tenant:
        """Add a tenant, or change those of its fields that are given."""
        old = self.by_name.get(name)
        if not isinstance(name, str) or not TENANT_NAME.match(name):
            raise TenantError("name must be 1 to 64 letters, digits, '_', '.' or '-'")
        unknown = set(given) - {"name", "key", "key_sha256", "most_open", "enabled"}
        if unknown:
            raise TenantError(f"unknown field {sorted(unknown)[0]}")
        if given.get("name", name) != name:
            raise TenantError("a tenant can't be renamed")
        key = self._key(given, old)
        most = given.get("most_open", old.max_open if old else 0)
        enabled = given.get("enabled", old.enabled if old else True)
        if type(most) is not int or most < 0 or type(enabled) is not bool:
            raise TenantError("most_open must be a whole number, enabled true or false")
        tenant = old or Tenant(name, key)
        tenant.key_sha256, tenant.max_open, tenant.enabled = key, most, enabled
        self.by_name[name] = tenant
        return tenant

    @staticmethod
    def _key(given: dict, old: Tenant | None) -> str:
        if "key" in given:
            if not isinstance(given["key"], str) or len(given["key"]) < MIN_KEY_LENGTH:
                raise TenantError(f"key must have at least {MIN_KEY_LENGTH} characters")
            return digest(given["key"])
        hashed = given.get("key_sha256", old.key_sha256 if old else None)
        if not isinstance(hashed, str) or not re.fullmatch(r"[0-9a-f]{64}", hashed):
            raise TenantError("key is missing")
        return hashed

    def authenticate(self, name: str, key: str) -> Tenant | None:
        """The tenant, if the key is its own; takes as long for a wrong name."""
        tenant = self.by_name.get(name)
        right = hmac.compare_digest(digest(key), tenant.key_sha256 if tenant else digest(""))
        return tenant if tenant is not None and right and tenant.enabled else None

    def remove(self, name: str) -> bool:
        """Forget a tenant; what it has open is still answered."""
        return self.by_name.pop(name, None) is not None
