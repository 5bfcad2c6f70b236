"""Validates a broker's first message, and derives the broker's registration from it. No I/O."""

from cypressledge.controlplane.messages import Hello, Op
from cypressledge.controlplane.state import DIGEST_BYTES
from cypressledge.controlplane.state_values import (
    BROKER_PREFIX,
    KEY_PATTERN,
    Broker,
    address_of,
    encode_value,
)


def is_valid_hello(hello: Hello) -> bool:
    """Return whether the name and the position in a Hello are valid."""
    if not KEY_PATTERN.fullmatch(_broker_key(hello.name)):
        return False
    if not hello.cluster_id:
        return hello.version == 0
    return hello.version > 0 and hello.epoch >= 0 and len(hello.digest) == DIGEST_BYTES


def registration_of(hello: Hello) -> Op | None:
    """Return the operation that registers a broker in the state; None if its Hello has no address.

    Raises `StateError` if the address is not one that can be connected to.
    """
    if not hello.address:
        return None
    key = _broker_key(hello.name)
    value = encode_value(Broker(hello.address, hello.zone, hello.region))
    address_of(key, value)
    return Op(key, value)


def _broker_key(name: str) -> str:
    return BROKER_PREFIX + name
