"""A broker's first message: whether it can be, and what the state should say of that broker. No I/O."""

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
    """Whether a Hello says a name and a position that can be."""
    if not KEY_PATTERN.fullmatch(_broker_key(hello.name)):
        return False
    if not hello.cluster_id:
        return hello.version == 0
    return hello.version > 0 and hello.epoch >= 0 and len(hello.digest) == DIGEST_BYTES


def registration_of(hello: Hello) -> Op | None:
    """What the state should say of a broker; none where it isn't to be registered.

    Raises `StateError` where it is at no address that can be connected to.
    """
    if not hello.address:
        return None
    key = _broker_key(hello.name)
    value = encode_value(Broker(hello.address, hello.zone, hello.region))
    address_of(key, value)
    return Op(key, value)


def _broker_key(name: str) -> str:
    return BROKER_PREFIX + name
