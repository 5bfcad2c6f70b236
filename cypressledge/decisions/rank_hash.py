"""Hash that gives all brokers the same order of engines without an exchange of messages."""

HASH_BITS = 64
HASH_RANGE = 2.0**HASH_BITS  # a hash divided by this is in the range 0 to 1
_MASK = (1 << HASH_BITS) - 1
# Odd multipliers of the SplitMix64 generator. They must not change, because brokers of different versions
# have to agree on the order of engines.
_TOKEN_MULTIPLIER = 0x9E3779B97F4A7C15
_ENGINE_MULTIPLIER = 0xBF58476D1CE4E5B9
_MIX_MULTIPLIER = 0x94D049BB133111EB
_FIRST_SHIFT = 31
_LAST_SHIFT = 29


def rank_hash(token: int, engine_id: int) -> int:
    """Return a 64-bit number by which engines are ordered for a token (rendezvous hashing)."""
    mixed = (token * _TOKEN_MULTIPLIER ^ engine_id * _ENGINE_MULTIPLIER) & _MASK
    mixed = (mixed ^ mixed >> _FIRST_SHIFT) * _MIX_MULTIPLIER & _MASK
    return mixed ^ mixed >> _LAST_SHIFT
