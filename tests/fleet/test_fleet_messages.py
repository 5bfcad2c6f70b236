"""The encoding of datagrams, and the rejection of invalid ones."""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypressledge.fleet.messages import (
    MAX_DATAGRAM_BYTES,
    VERSION,
    Ack,
    Envelope,
    GossipUpdate,
    InvalidDatagramError,
    VoteRequest,
    decode,
    encode,
)


def envelope(**more):
    return Envelope(
        **{
            "version": VERSION,
            "sender": "a",
            "recipient": "b",
            "instance_id": 1,
            "incarnation": 1,
            "voters_version": 1,
            "oldest_voters_version": 1,
            "items": [VoteRequest("l", 1, 1, 1, 1, 1), Ack(1, "", [GossipUpdate("c", 2, 0)])],
        }
        | more
    )


def test_messages_are_decoded_as_encoded():
    assert decode(encode(envelope())) == envelope()


@pytest.mark.parametrize(
    ("raw", "why"),
    [
        (b"", "garbled"),
        (b"\xc1", "garbled"),
        (encode(envelope())[:-3], "garbled"),
        (b"x" * (MAX_DATAGRAM_BYTES + 1), "large"),
        (encode(envelope(version=VERSION + 1)), "version"),
        (encode(envelope(items=[VoteRequest("l", 1, 1, 1, 1, 1)] * 300)), "large"),
        (b"\x92\x09\xa3new", "version"),
        (b"\x91" * 8_000, "garbled"),
    ],
)
def test_invalid_datagram_is_named_by_its_counter(raw, why):
    with pytest.raises(InvalidDatagramError, match=why):
        decode(raw)


@given(st.binary(max_size=300))
@settings(max_examples=300)
def test_arbitrary_bytes_raise_nothing_else(raw):
    with contextlib.suppress(InvalidDatagramError):
        decode(raw)
