"""Hashes of names that are the same at every broker and in every process, unlike those of `hash()`."""

import hashlib


def stable_hash(text: str, size: int = 6) -> int:
    """Return the BLAKE2b digest of `size` bytes of the text, as an unsigned big-endian number."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=size).digest(), "big")
