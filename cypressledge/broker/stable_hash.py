"""Numbers for names that are the same at every broker and every start, unlike those of `hash()`."""

import hashlib


def stable_hash(text: str, size: int = 6) -> int:
    """The first `size` bytes of the text's BLAKE2b digest, as an unsigned number."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=size).digest(), "big")
