"""The fleet's state: its encoding and digest, and which changes are accepted and rejected."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cypressledge.controlplane import change_history as h
from cypressledge.controlplane import state as s
from cypressledge.controlplane.messages import (
    MAX_CHANGE_BYTES,
    MAX_OPS_PER_CHANGE,
    Change,
    Op,
    Snapshot,
    StateEntry,
)
from cypressledge.controlplane.state_validation import (
    BASE_NOT_REACHED,
    BASE_TOO_OLD,
    MAX_STATE_BYTES,
    find_conflicts,
    validate_change,
)
from cypressledge.controlplane.state_values import Broker, Engine, StateError, decode_value, encode_value
from cypressledge.lab.site import SETTINGS
from tests.controlplane.fleet_states import SETTINGS_OPS, apply_ops, broker, engine, populated_state


def test_equal_values_have_the_same_encoding():
    assert encode_value({"b": 1, "a": [2.5, None]}) == encode_value({"a": [2.5, None], "b": 1})
    as_dict = {"zone": "", "state": "ready", "kind": "", "cell": 0, "born_ms": 0, "address": "a:1"}
    assert encode_value(Engine("a:1")) == encode_value(as_dict)
    assert decode_value(encode_value({"a": [1, {"x": "y"}]})) == {"a": [1, {"x": "y"}]}
    for bad in (object(), 1 << 70, {1: 2, "a": 3}):
        with pytest.raises(StateError):
            encode_value(bad)
    with pytest.raises(StateError):
        decode_value(b"\xc1")


def test_state_returns_the_values_that_were_set():
    state = populated_state()
    assert state.config() == SETTINGS
    assert state.position == (1, 2)
    assert state.engines()["e2"] == Engine("10.0.0.2:9000")
    assert state.brokers() == {"b1": Broker("10.0.1.1:7400")}


_ops = st.dictionaries(
    st.sampled_from([f"engine/{n}" for n in "abcdef"]),
    st.one_of(st.none(), st.integers(0, 3).map(encode_value)),
    max_size=4,
)


@given(st.lists(_ops, max_size=12))
def test_incremental_digest_equals_the_digest_of_the_complete_state(steps):
    state = s.FleetState("line")
    for number, step in enumerate(steps):
        before = state.snapshot()
        change = state.draft_change(number, [Op(k, v) for k, v in step.items()], request_id=f"r{number}")
        assert state.snapshot() == before
        state.apply(change)
        again = s.FleetState.restore(h.decompress_snapshot(h.compress_snapshot(state.snapshot())))
        assert again.snapshot() == state.snapshot()
        assert state.digest_matches()
        assert state.size_bytes == again.size_bytes
        assert again.version_of_request(f"r{number}") == state.version


def test_an_invalid_change_leaves_the_state_unchanged():
    state = populated_state()
    good = state.draft_change(2, [engine("e3", "10.0.0.3:9000")])
    before = state.snapshot()
    many = [Op(f"engine/n{i}", b"\x01") for i in range(MAX_OPS_PER_CHANGE + 1)]
    for bad in (
        Change(2, 4, good.ops, good.digest),
        Change(2, 2, good.ops, good.digest),
        Change(0, 3, good.ops, good.digest),
        Change(2, 3, good.ops, b"\0" * 16),
        Change(2, 3, [engine("e3", "10.0.0.4:9000")], good.digest),
        Change(2, 3, many, good.digest),
        Change(2, 3, [Op("engine/e3", b"\0" * MAX_CHANGE_BYTES)], good.digest),
        Change(2, 3, good.ops * 2, good.digest),
        Change(2, 3, good.ops, good.digest, "r" * 600),
    ):
        with pytest.raises(StateError) as raised:
            state.apply(bad)
        assert "\n" not in str(raised.value)
        assert state.snapshot() == before
    state.apply(good)
    assert state.position == (2, 3)
    with pytest.raises(StateError):
        state.draft_change(1, [])


@pytest.mark.parametrize(
    ("ops", "message"),
    [
        ([Op("engine/-x", b"\x01")], "no key"),
        ([Op("other/x", b"\x01")], "no key"),
        ([Op("engine/x\n", None)], "no key"),
        ([Op("config/A", b"\x01"), Op("config/A", None)], "twice"),
        ([Op("engine/x", b"\xc1")], "not MessagePack"),
        ([Op("engine/x", encode_value({}))], "address"),
        ([Op("engine/x", encode_value({"address": "a:1", "colour": 1}))], "colour"),
        ([engine("x", "nowhere")], "HOST:PORT"),
        ([engine("x", ":80")], "HOST:PORT"),
        ([engine("x", "a:0")], "HOST:PORT"),
        ([engine("x", "a:²")], "engine/x"),
        ([engine("x", "a:1", state="gone")], "state"),
        ([engine("x", "a:1", cell=-1)], "cell"),
        ([Op("engine/x", b"\x82\xa4zone\xa0\xa7address\xa3a:1")], "canonical"),
        ([engine("x", "10.0.0.1:09000")], "at the address of engine/e1"),
        ([engine("x", "A:1"), engine("y", "a:1")], "at the address of engine/x"),
        ([broker("x", "10.0.1.1:7400")], "at the address of broker/b1"),
        ([Op("config/Rules", None)], "Rules"),
        ([Op("config/Classes", encode_value([]))], "config"),
        ([Op("config/Rules", encode_value(SETTINGS["Rules"] | {"StartCapacity": 2.0}))], "config"),
        ([Op("config/Extra", encode_value(float("nan")))], "config"),
        ([Op("config/Dcs", encode_value(["a", "a"]))], "twice"),
        ([Op("config/Limits", encode_value(SETTINGS["Limits"] | {"ConnIdle": 0}))], "limit"),
        ([Op(f"engine/n{i}", None) for i in range(MAX_OPS_PER_CHANGE + 1)], "keys in one change"),
        ([Op("config/Extra", encode_value("x" * MAX_CHANGE_BYTES))], "bytes"),
    ],
)
def test_invalid_operations_are_rejected(ops, message):
    with pytest.raises(StateError, match=message) as raised:
        validate_change(populated_state(), ops)
    assert "\n" not in str(raised.value)


def test_valid_operations_are_accepted():
    state = populated_state()
    validate_change(state, [])
    apply_ops(state, engine("e1", "10.0.0.2:9000"), engine("e2", "10.0.0.1:9000"))  # swap addresses
    apply_ops(state, Op("engine/e1", None), engine("e3", "10.0.0.2:9000"))
    apply_ops(state, engine("e4", "10.0.1.1:7400"))  # engines and brokers don't share sockets
    apply_ops(state, engine("e5", "10.0.0.1:9000", zone="z"), Op("engine/e2"))
    apply_ops(state, Op("engine/e5"))
    apply_ops(state, engine("e6", "10.0.0.1:9000"))  # the previous change freed the address
    with pytest.raises(StateError, match="engine/e3"):
        validate_change(state, [engine("e1", "10.0.0.2:9000")])
    other = state.copy()
    apply_ops(other, engine("e9", "10.0.0.9:9000"))
    apply_ops(state, engine("e8", "10.0.0.9:9000"))  # a copy has its own index of addresses
    apply_ops(state, *(Op(op.key) for op in SETTINGS_OPS))
    assert state.config() == {}
    assert state.digest_matches()
    assert other.digest_matches()


def test_a_state_too_large_for_a_frame_is_rejected():
    state = s.FleetState("line")
    value = encode_value(Engine("a:1", kind="k" * 64))
    state.entries = {f"engine/n{i}": StateEntry(f"engine/n{i}", value, 1) for i in range(10)}
    state.size_bytes = MAX_STATE_BYTES
    with pytest.raises(StateError, match="the state would have"):
        validate_change(state, [engine("x", "b:1")])


def test_conflicts_cover_updates_removals_and_all_config_sections():
    state = populated_state()
    base = state.version
    assert find_conflicts(state, base, [engine("e1", "a:1")]) == []
    apply_ops(state, Op("engine/e1"), engine("e2", "10.0.0.2:9001"))
    apply_ops(state, Op("config/Rules", encode_value(SETTINGS["Rules"] | {"StartCapacity": 0.5})))
    assert find_conflicts(state, base, [engine("e1", "a:1"), engine("e2", "a:2"), engine("e3", "a:3")]) == [
        "engine/e1",
        "engine/e2",
    ]
    assert find_conflicts(state, base, [Op("config/Dcs", b"")]) == ["config/Rules"]
    assert find_conflicts(state, state.version, [Op("config/Dcs", b""), Op("engine/e1", b"")]) == []
    assert find_conflicts(state, state.version + 1, []) == [BASE_NOT_REACHED]
    again = s.FleetState.restore(state.snapshot())  # a snapshot contains no removals
    assert find_conflicts(again, base, [engine("e1", "a:1")]) == [BASE_TOO_OLD]
    assert find_conflicts(again, base, [engine("e2", "a:1")]) == ["engine/e2"]
    assert find_conflicts(again, base, [Op("config/Dcs", b"")]) == ["config/Rules", BASE_TOO_OLD]
    assert find_conflicts(again, again.version, [engine("e1", "a:1"), Op("config/Dcs", b"")]) == []


def test_remembered_removals_and_requests_are_bounded(monkeypatch):
    monkeypatch.setattr(s, "MAX_REMEMBERED_REMOVALS", 2)
    state = s.FleetState("line")
    apply_ops(state, *(engine(f"e{number}", f"h:{number + 1}") for number in range(4)))
    for number in range(4):
        apply_ops(state, Op(f"engine/e{number}"), request_id=f"a{number}")
    assert list(state.removed) == ["engine/e2", "engine/e3"]
    assert state.removals_known_since == 3
    assert find_conflicts(state, 1, [Op("engine/e0")]) == [BASE_TOO_OLD]
    for number in range(s.MAX_REMEMBERED_REQUESTS):
        apply_ops(state, request_id=f"b{number}")
    assert len(state.requests) == s.MAX_REMEMBERED_REQUESTS
    assert state.version_of_request("a3") is None
    assert state.version_of_request("b0") == 6
    assert state.version_of_request("") is None


def test_a_snapshot_that_does_not_verify_is_rejected():
    good = populated_state().snapshot()
    entry = good.entries[0]
    rest = good.entries[1:]
    for entries in (
        rest,
        [*good.entries, entry],
        [StateEntry(entry.key, entry.value, 9), *rest],
        [StateEntry(entry.key, b"\x01", entry.version), *rest],
    ):
        with pytest.raises(StateError):
            s.FleetState.restore(Snapshot("line", 1, 2, good.digest, entries, []))
