"""The order in which brokers try to acquire a lease: rendezvous hashing over those alive. No I/O.

Each broker's place in a lease's order depends only on a hash of both names. So the leases of a failed broker
spread over all the others, and brokers that see the same peers alive agree without a message. Brokers that
see different peers alive request votes in a different order, which is harmless: votes decide, never this
order. Method: Thaler and Ravishankar (1998).
"""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

CANDIDATES = 3  # brokers; those that request votes for one lease


@lru_cache(maxsize=65_536)
def weight(key: str, name: str) -> int:
    """Return a broker's weight for a lease (or any other key). The highest weight is the first candidate."""
    return int.from_bytes(blake2b(f"{key}\0{name}".encode(), digest_size=8).digest(), "big")


def candidate_order(lease: str, alive: Iterable[str], count: int = CANDIDATES) -> list[str]:
    """Return the first `count` candidates for a lease among those alive, in order."""
    return sorted(alive, key=lambda name: weight(lease, name), reverse=True)[:count]
