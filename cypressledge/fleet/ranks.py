"""Who is next in line for a lease: rendezvous hashing over the living. No I/O.

Each broker's place in a lease's line comes from a hash of both names alone, so a dead broker's leases spread
over all the others, and brokers that see the same peers alive agree without a word. Those that see others
only ask in another order: votes decide, never ranks. Method: Thaler and Ravishankar (1998).
"""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

LINE = 3  # brokers that stand by for one lease


@lru_cache(maxsize=65_536)
def weight(lease: str, name: str) -> int:
    """A broker's weight for a lease; the highest is first in line."""
    return int.from_bytes(blake2b(f"{lease}\0{name}".encode(), digest_size=8).digest(), "big")


def line(lease: str, alive: Iterable[str], most: int = LINE) -> list[str]:
    """The first `most` in line for a lease among those alive."""
    return sorted(alive, key=lambda name: weight(lease, name), reverse=True)[:most]
