"""Outlines of messages that are too large to be stored."""

import json

from hypothesis import given
from hypothesis import strategies as st

from cypressledge.net.jsonrpc.message_outline import MAX_OUTLINE_SIZE, MAX_STRING_SIZE, MessageOutline


def outline(text, part_size):
    result = MessageOutline()
    for begin in range(0, len(text), part_size):
        result.add(text[begin : begin + part_size])
    return result.text()


def without_long_strings(value):
    """What the outline of a value should hold."""
    if isinstance(value, str):
        return value if len(json.dumps(value)) - 2 <= MAX_STRING_SIZE else ""
    if isinstance(value, list):
        return [without_long_strings(item) for item in value]
    if isinstance(value, dict):
        return {name: without_long_strings(item) for name, item in value.items()}
    return value


STRINGS = st.text(max_size=8) | st.text(st.sampled_from('"\\/A\n'), min_size=200, max_size=400)
VALUES = st.recursive(
    STRINGS | st.integers() | st.booleans() | st.none(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=6,
)


@given(VALUES, st.integers(1, 50))
def test_an_outline_is_the_text_without_its_long_strings_however_it_is_split(value, part_size):
    text = json.dumps(value, indent=1).encode()
    assert json.loads(outline(text, part_size)) == without_long_strings(value)


def test_an_outline_has_a_maximum_size():
    for text in (
        b"[" * 100_000,
        b"[" + b"1," * 50_000,
        b'["' + b"x" * 100_000,
        b'["' + b'\\"' * 50_000,
        b'"",' * 40_000,
    ):
        assert len(outline(text, 16 << 10)) <= MAX_OUTLINE_SIZE + MAX_STRING_SIZE + 2
