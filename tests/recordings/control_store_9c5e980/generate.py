"""Writes `store.sqlite` and `expected.json` beside it: run at commit 9c5e980, from the root of its tree.

Kept to show how the recording was made; its names are those of that commit.
"""

import json
from pathlib import Path

import msgspec

from cypressledge.controlplane.messages import Op
from cypressledge.controlplane.replica import Replica
from cypressledge.controlplane.state import Broker, Engine, canonical
from cypressledge.controlplane.store import Store

HERE = Path(__file__).parent
SECOND = 1_000_000  # µs
LEASED_UNTIL = 1 << 60


def engine(name: str, **fields: object) -> Op:
    return Op(f"engine/{name}", canonical(Engine(**fields)))


def main() -> None:
    path = HERE / "store.sqlite"
    path.unlink(missing_ok=True)
    store = Store(path, "control-1", "first")
    replica = Replica(
        "control-1",
        77,
        ("control-1",),
        store,
        SECOND,
        lambda peer, message: None,
        lambda changes, snapshot: None,
        lambda name, **what: None,
    )
    replica.begin("recorded-lineage", [engine("e0", address="e0.example:8123", kind="large", zone="z1")])
    assert replica.lease(SECOND, 5, LEASED_UNTIL)
    requests = [
        (
            "request-1",
            [
                engine(
                    "e1",
                    address="e1.example:8123",
                    kind="small",
                    zone="z2",
                    cell=3,
                    state="draining",
                    born_ms=1_700_000_000_000,
                )
            ],
        ),
        (
            "request-2",
            [
                Op("broker/b1", canonical(Broker("b1.example:7000", zone="z1", region="north"))),
                Op("broker/b2", canonical(Broker("b2.example:7000"))),
            ],
        ),
        ("request-3", [Op("engine/e0")]),
    ]
    for number, (request, ops) in enumerate(requests):
        replica.propose(
            2 * SECOND,
            ops,
            replica.state.version,
            request,
            "someone",
            f"reason {number}",
            1_750_000_000_000 + number,
        )
        if number == 1:
            store.compact(replica.state.snapshot())  # a snapshot, with changes behind it
    replica.lease(3 * SECOND, None, 0)
    replica.lease(3 * SECOND, 6, LEASED_UNTIL)  # a second epoch
    replica.propose_own(4 * SECOND, [engine("e2", address="e2.example:8123")], "made by the primary", 9)
    loaded = store.load()
    expected = {
        "snapshot": plain(loaded.base),
        "changes": plain(loaded.changes),
        "commit": loaded.commit,
        "promised": plain(loaded.promised),
        "joining": loaded.joining,
        "state": plain(replica.state.snapshot()),
    }
    store.close()
    (HERE / "expected.json").write_text(json.dumps(expected, indent=1) + "\n")


def plain(value: object) -> object:
    """Structs are arrays here, by position; bytes as hex."""
    return _hex(msgspec.to_builtins(value, builtin_types=(bytes,)))


def _hex(value: object) -> object:
    if isinstance(value, bytes):
        return value.hex()
    return [_hex(v) for v in value] if isinstance(value, list | tuple) else value


if __name__ == "__main__":
    main()
