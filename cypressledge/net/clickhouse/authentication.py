"""Authentication of the tenant that a request names by headers, basic authentication or parameters."""

import base64
import binascii

from cypressledge.net.clickhouse.errors import ClickHouseError, ErrorCode
from cypressledge.net.http_exchange import HttpRequest
from cypressledge.tenants import Tenant, Tenants

MAX_NAME_IN_ERROR = 64  # characters; longer names are cut off in error messages


def authenticate(request: HttpRequest, tenants: Tenants) -> Tenant:
    """Return the tenant; a request may use only one of the methods. Raises `ClickHouseError`."""
    headers, params = request.headers, request.params
    credentials = []
    if "x-clickhouse-user" in headers or "x-clickhouse-key" in headers:
        credentials.append((headers.get("x-clickhouse-user", ""), headers.get("x-clickhouse-key", "")))
    if "authorization" in headers:
        credentials.append(_basic_credentials(headers["authorization"]))
    if "user" in params or "password" in params:
        credentials.append((params.get("user", ""), params.get("password", "")))
    if len(credentials) > 1:
        raise _authentication_error("Invalid authentication: only one way of naming the user may be used")
    name, key = credentials[0] if credentials else ("default", "")
    tenant = tenants.authenticate(name, key)
    if tenant is None:
        raise _authentication_error(
            f"{name[:MAX_NAME_IN_ERROR]}: Authentication failed: password is incorrect, "
            "or there is no user with such name"
        )
    return tenant


def _authentication_error(text: str) -> ClickHouseError:
    return ClickHouseError(ErrorCode.AUTHENTICATION_FAILED, text)


def _basic_credentials(value: str) -> tuple[str, str]:
    scheme, _, encoded = value.partition(" ")
    try:
        name, _, key = base64.b64decode(encoded.strip(), validate=True).decode().partition(":")
    except (ValueError, binascii.Error):
        raise _authentication_error("Invalid authentication: cannot read the Authorization header") from None
    if scheme.lower() != "basic":
        raise _authentication_error("Invalid authentication: only basic is supported")
    return name, key
