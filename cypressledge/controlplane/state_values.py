"""Keys and values of the fleet's state: typed values, the canonical encoding, and addresses. No I/O."""

import re
from typing import Annotated, Literal, NamedTuple

import msgspec

from cypressledge.config import ConfigError, parse_address

# The names have the same form as `fleet.settings.Name`.
KEY_PATTERN = re.compile(r"(config|engine|broker)/[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
CONFIG_PREFIX, ENGINE_PREFIX, BROKER_PREFIX = "config/", "engine/", "broker/"  # prefixes of keys
MAX_HOST_LENGTH = 253  # characters; maximum length of a DNS name (RFC 1035)

ShortText = Annotated[str, msgspec.Meta(max_length=64)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]


class StateError(ValueError):
    """A change, value or snapshot is invalid; the message is one line of plain text."""


class Engine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One engine as set by operators.

    `address` is HOST:PORT; `kind` and `zone` are names in the settings; `start_time_ms` is the wall clock at
    the start of the engine's process, in ms, 0 if unknown.
    """

    address: str
    kind: ShortText = ""
    zone: ShortText = ""
    cell: Count = 0
    state: Literal["ready", "draining"] = "ready"
    start_time_ms: Count = msgspec.field(default=0, name="born_ms")


class Broker(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One broker; `address` is the HOST:PORT of its fleet socket."""

    address: str
    zone: ShortText = ""
    region: ShortText = ""


class Address(NamedTuple):
    """The address of an engine or broker; two of the same kind cannot share an address."""

    kind: str  # "engine" or "broker"
    host: str
    port: int


_encode = msgspec.msgpack.Encoder(order="sorted").encode
_decode = msgspec.msgpack.Decoder().decode
_decode_engine = msgspec.msgpack.Decoder(Engine).decode
_decode_broker = msgspec.msgpack.Decoder(Broker).decode


def encode_value(value: object) -> bytes:
    """Return the canonical encoding of plain data, an `Engine` or a `Broker`: MessagePack with sorted keys.

    Raises `StateError`.
    """
    try:
        return _encode(value)
    except (msgspec.MsgspecError, TypeError, ValueError, OverflowError, RecursionError) as err:
        raise StateError(f"not plain data: {err}") from None


def decode_value(encoded: bytes) -> object:
    """Return the plain data that `encode_value` encoded. Raises `StateError`."""
    try:
        return _decode(encoded)
    except (msgspec.MsgspecError, TypeError, ValueError, RecursionError) as err:
        raise StateError(f"not MessagePack: {err}") from None


def decode_engine(encoded: bytes) -> Engine:
    """Return the decoded value of an engine. Raises `StateError`."""
    try:
        return _decode_engine(encoded)
    except (msgspec.MsgspecError, RecursionError) as err:
        raise StateError(f"a value of engines: {err}") from None


def decode_broker(encoded: bytes) -> Broker:
    """Return the decoded value of a broker. Raises `StateError`."""
    try:
        return _decode_broker(encoded)
    except (msgspec.MsgspecError, RecursionError) as err:
        raise StateError(f"a value of brokers: {err}") from None


def address_of(key: str, value: bytes) -> Address | None:
    """Return the address of an engine or broker, None for other keys. Raises `StateError`."""
    kind = key.partition("/")[0]
    if kind not in ("engine", "broker"):
        return None
    try:
        typed = _decode_engine(value) if kind == "engine" else _decode_broker(value)
        host, port = parse_address(typed.address)
    except (msgspec.MsgspecError, ConfigError, ValueError, RecursionError) as err:
        raise StateError(f"{key}: {err}") from None
    # An address must be one that a client can connect to.
    is_host = bool(host) and host.isprintable() and " " not in host and len(host) <= MAX_HOST_LENGTH
    if not is_host or not port:
        raise StateError(f"{key}: no HOST:PORT that can be connected to")
    return Address(kind, host.lower(), port)
