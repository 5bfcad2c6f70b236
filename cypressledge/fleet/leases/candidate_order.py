"""The order in which brokers may take a lease: rendezvous hashing over those alive. No I/O.

Each broker's place in a lease's order comes from a hash of both names alone, so a dead broker's leases spread
over all the others, and brokers that see the same peers alive agree without a message. Those that see others
only request votes in another order: votes decide, never this order. Method: Thaler and Ravishankar (1998).
"""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

CANDIDATES = 3  # brokers that stand by for one lease


@lru_cache(maxsize=65_536)
def weight(key: str, name: str) -> int:
    """A broker's weight for a lease (or any other key); the highest is the first candidate."""
    return int.from_bytes(blake2b(f"{key}\0{name}".encode(), digest_size=8).digest(), "big")


def candidate_order(lease: str, alive: Iterable[str], count: int = CANDIDATES) -> list[str]:
    """The first `count` candidates for a lease among those alive."""
    return sorted(alive, key=lambda name: weight(lease, name), reverse=True)[:count]
