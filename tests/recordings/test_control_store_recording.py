"""A control store written at 9c5e980 (control_store_9c5e980/generate.py) opens, and goes on."""

import json
import shutil
from pathlib import Path

import msgspec
import pytest

from cypressledge.controlplane.messages import Change, Op, Snapshot
from cypressledge.controlplane.replica import Replica
from cypressledge.controlplane.replica_context import ReplicaHandlers, ReplicaIdentity
from cypressledge.controlplane.sqlite_storage import SqliteStorage
from cypressledge.controlplane.state_values import Broker, Engine, StateError, encode_value

RECORDING = Path(__file__).parent / "control_store_9c5e980"
EXPECTED = json.loads((RECORDING / "expected.json").read_text())
SECOND = 1_000_000  # µs


def plain(value):
    """Structs as arrays, by position; bytes as hex."""
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    if isinstance(value, Change | Snapshot | msgspec.Struct):
        return plain(msgspec.to_builtins(value, builtin_types=(bytes,)))
    return value


@pytest.fixture
def store(tmp_path):
    shutil.copy(RECORDING / "store.sqlite", tmp_path / "store.sqlite")
    store = SqliteStorage(tmp_path / "store.sqlite", "control-1")
    yield store
    store.close()


@pytest.fixture
def handed():
    return []


@pytest.fixture
def replica(store, handed):
    identity = ReplicaIdentity("control-1", 78, ("control-1",))
    handlers = ReplicaHandlers(
        lambda peer, message: None,
        lambda changes, snapshot: handed.append((changes, snapshot)),
        lambda name, **what: None,
    )
    return Replica(identity, store, SECOND, handlers)


def test_all_that_it_holds_is_read(store):
    loaded = store.load()
    assert plain(loaded.base) == EXPECTED["snapshot"]
    assert plain(loaded.changes) == EXPECTED["changes"]
    assert [loaded.commit, plain(loaded.promised), loaded.joining] == [
        EXPECTED["commit"],
        EXPECTED["promised"],
        EXPECTED["joining"],
    ]
    assert [change.version for change in loaded.changes] == [4, 5, 6]


def test_the_state_and_the_versions_of_its_keys_are_those_of_then(replica, handed):
    assert plain(replica.log.committed_state.snapshot()) == EXPECTED["state"]
    assert [(changes, plain(snapshot)) for changes, snapshot in handed] == [(None, EXPECTED["state"])]
    assert {key: entry.version for key, entry in replica.log.committed_state.entries.items()} == {
        "engine/e1": 2,
        "broker/b1": 3,
        "broker/b2": 3,
        "engine/e2": 6,
    }
    assert replica.log.committed_state.removed == {"engine/e0": 4}
    assert replica.log.committed_state.engines() == {
        "e1": Engine("e1.example:8123", "small", "z2", 3, "draining", 1_700_000_000_000),
        "e2": Engine("e2.example:8123"),
    }
    assert replica.log.committed_state.brokers() == {
        "b1": Broker("b1.example:7000", "z1", "north"),
        "b2": Broker("b2.example:7000"),
    }


def test_values_are_encoded_to_the_bytes_of_then(replica):
    for name, value in {
        **replica.log.committed_state.engines(),
        **replica.log.committed_state.brokers(),
    }.items():
        key = f"engine/{name}" if isinstance(value, Engine) else f"broker/{name}"
        assert encode_value(value) == replica.log.committed_state.entries[key].value


def test_a_request_of_then_is_known_when_repeated_and_the_history_goes_on(replica):
    assert replica.update_lease(2 * SECOND, 7, 1 << 60)
    for request, version in (("request-1", 2), ("request-2", 3)):
        known = replica.propose(3 * SECOND, [Op("engine/e1")], 0, request)
        assert (known.version, known.state) == (version, "done")
    known = replica.propose(3 * SECOND, [Op("engine/e0")], 0, "request-3")
    assert (known.version, known.epoch, known.state) == (4, 5, "done")
    with pytest.raises(StateError, match="request-3 became version 4, with other contents"):
        replica.propose(3 * SECOND, [Op("engine/e2")], 0, "request-3")
    new = replica.propose(3 * SECOND, [Op("engine/e2")], 7, "request-4")
    assert (new.version, new.epoch, new.state) == (8, 7, "done")
    assert replica.log.committed_state.removed == {"engine/e0": 4, "engine/e2": 8}


def test_a_promise_of_then_binds(replica):
    assert not replica.update_lease(2 * SECOND, 6, 1 << 60)


def test_what_it_writes_is_read_back_with_the_same_bytes_before(store, replica):
    replica.update_lease(2 * SECOND, 7, 1 << 60)
    replica.propose(3 * SECOND, [Op("engine/e2")], 7, "request-4")
    loaded = store.load()
    assert plain(loaded.changes[:3]) == EXPECTED["changes"]
    assert [(change.epoch, change.version) for change in loaded.changes[3:]] == [(7, 7), (7, 8)]
    assert plain(loaded.base) == EXPECTED["snapshot"]
    assert loaded.promised == (7, 78)
