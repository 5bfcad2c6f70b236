"""Stable hashes of names: brokers of all versions must compute the same numbers."""

import pytest

from cypressledge.broker.stable_hash import stable_hash


@pytest.mark.parametrize(
    ("text", "number"), [("s-1", 103228392569930), ("é", 278393303573770), ("", 243927366461433)]
)
def test_a_name_has_the_same_number_at_every_broker(text, number):
    assert stable_hash(text) == number


def test_the_size_is_in_bytes():
    assert stable_hash("s-1", 8) == 226042384122961421
    assert stable_hash("s-1", 4) < 1 << 32
