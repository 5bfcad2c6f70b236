"""The fleet's settings file: valid files, and one line of error for each kind of mistake."""

import time

import pytest
import yaml

from cypressledge.config import ConfigError
from cypressledge.fleet.settings import read_fleet_settings
from cypressledge.lab.virtual_fleet import SECOND_US as S

GOOD = {
    "peers": [{"name": n, "address": f"127.0.0.1:{9700 + i}"} for i, n in enumerate("abcd")],
    "voters": [{"version": 1, "names": ["a", "b", "c"]}],
    "leases": [{"name": "l"}],
    "tasks": [{"kind": "summary", "lease": "l"}],
}


FOUR = {"version": 2, "names": ["a", "b", "c", "d"]}


def read(tmp_path, text):
    path = tmp_path / "fleet.yaml"
    path.write_text(text if isinstance(text, str) else yaml.safe_dump(text))
    return read_fleet_settings(str(path))


def test_valid_file_is_read(tmp_path):
    got = read(tmp_path, GOOD | {"voters": [*GOOD["voters"], FOUR]})
    assert got.voter_sets == {1: ("a", "b", "c"), 2: ("a", "b", "c", "d")}
    assert got.longest_term == 3 * S


@pytest.mark.parametrize(
    ("change", "word"),
    [
        ("peers: [", "is not YAML"),
        ("- 1", "Expected `object`"),
        ({"colour": 1}, "unknown field `colour`"),
        ({"peers": GOOD["peers"] * 2}, "named twice"),
        ({"peers": [{"name": "a b", "address": "x:1"}]}, "regex"),
        ({"peers": [{"name": "a"}]}, "missing required field `address`"),
        ({"voters": []}, "no voters"),
        ({"peers": [*GOOD["peers"], {"name": "e", "address": "nowhere"}]}, "no HOST:PORT"),
        ({"voters": [{"version": 1, "names": ["a", "b"]}]}, "3 to 7"),
        ({"voters": [{"version": 1, "names": ["a", "b", "z"]}]}, "voter z is not among the peers"),
        ({"voters": [*GOOD["voters"], {"version": 2, "names": ["a", "b", "d"]}]}, "exactly one voter"),
        ({"voters": [*GOOD["voters"], FOUR | {"version": 3}]}, "version 2 is missing"),
        ({"leases": [{"name": "l", "term_s": 9}]}, "over longest_term_s"),
        ({"term_s": -1}, "> 0"),
        ({"tasks": [{"kind": "summary", "lease": "m"}]}, "no lease m"),
        ({"tasks": [{"kind": "dance", "lease": "l"}]}, "Invalid enum value"),
        ({"tasks": [{"kind": "call", "lease": "l", "at": "x"}]}, "no HOST:PORT"),
        ({"tasks": [{"kind": "summary", "lease": "l", "longest_s": 2}]}, "over half the term"),
        ({"leases": [{"name": "l", "places": 0}]}, ">= 1"),
        ({"drift_ppm": 10**6}, "<= 200000"),
    ],
)
def test_each_mistake_is_one_line(tmp_path, change, word):
    with pytest.raises(ConfigError) as caught:
        read(tmp_path, change if isinstance(change, str) else GOOD | change)
    assert word in str(caught.value)
    assert "\n" not in str(caught.value)


def test_file_of_many_peers_is_read_quickly(tmp_path):
    peers = [{"name": f"n{i}", "address": f"10.0.{i // 250}.{i % 250}:9000"} for i in range(600)]
    path = tmp_path / "fleet.yaml"
    path.write_text(yaml.safe_dump({"peers": peers, "voters": [{"version": 1, "names": ["n0", "n1", "n2"]}]}))
    took = []
    for _ in range(3):
        began = time.process_time()
        assert len(read_fleet_settings(str(path)).peers) == 600
        took.append(time.process_time() - began)
    assert min(took) < 0.5
