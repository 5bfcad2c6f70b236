"""A control process's sqlite file: truncated, corrupted, restored or full, and its size over many changes."""

import shutil
import sqlite3
from pathlib import Path

import pytest

from cypressledge.controlplane import sqlite_storage as module
from cypressledge.controlplane.log_storage import StorageError
from cypressledge.controlplane.messages import Op
from cypressledge.controlplane.replica import Replica
from cypressledge.controlplane.replica_context import ReplicaHandlers, ReplicaIdentity
from cypressledge.controlplane.sqlite_storage import SqliteStorage, StorageUnusableError
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_values import Engine, encode_value


class StoreWriter:
    """Applies changes to a state and writes each of them to a store."""

    def __init__(self, path, **options):
        self.store = SqliteStorage(path, "a", "first", **options)
        self.state = FleetState("l")
        self.store.install(self.state.snapshot())

    def change(self, number=0, commit=True):
        op = Op(
            f"engine/e{number % 490}",
            encode_value(Engine(f"host-{number % 490}.example:80", zone="z", start_time_ms=number)),
        )
        change = self.state.draft_change(1, [op], f"request-{number}", "someone", "a test", number)
        self.store.append([change])
        self.state.apply(change)
        if commit:
            self.store.commit(change.version)


def position_and_digest_of(loaded):
    """Return (version, digest) of a store's contents; applying the changes checks their digests."""
    state = FleetState.restore(loaded.base)
    for change in loaded.changes:
        state.apply(change)
    return state.version, state.digest


def read(path, name="a"):
    """Return the contents of a store, or the one-line error with which it is rejected."""
    try:
        store = SqliteStorage(path, name)
    except StorageUnusableError as err:
        assert "\n" not in str(err) and "tart" in str(err) or "Give each" in str(err) or "Stop" in str(err)
        return str(err)
    try:
        loaded = store.load()
        return (*position_and_digest_of(loaded), loaded.promised, loaded.commit)
    finally:
        store.close()


@pytest.fixture
def killed_store(tmp_path):
    """Files of a process killed after 20 changes, all complete states until then, and a path to write to."""
    writer = StoreWriter(tmp_path / "live", before_step=lambda step: None)
    writer.store.promise(3, 5)
    states = {(0, writer.state.digest, (3, 5), 0)}
    for number in range(20):
        if number == 10:  # one part is in the file, the other in its write-ahead log
            writer.store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)").fetchall()
        writer.change(number, commit=False)
        states.add((writer.state.version, writer.state.digest, (3, 5), writer.state.version - 1))
        writer.store.commit(writer.state.version)
        states.add((writer.state.version, writer.state.digest, (3, 5), writer.state.version))
    for end in ("", "-wal"):
        shutil.copy(tmp_path / f"live{end}", tmp_path / f"kept{end}")
    writer.store.close()
    files = {end: (tmp_path / f"kept{end}").read_bytes() for end in ("", "-wal")}
    files["closed"] = (tmp_path / "live").read_bytes()
    return files, states, tmp_path / "tried"


def write_store_files(path, files):
    """Write these files and delete others; a file that was closed has no write-ahead log."""
    for end in ("", "-wal"):
        Path(f"{path}{end}").unlink(missing_ok=True)
    for end, body in ({"": files["closed"]} if "closed" in files else files).items():
        Path(f"{path}{end}").write_bytes(body)


def test_the_store_of_a_killed_process_is_complete(killed_store):
    files, states, path = killed_store
    del files["closed"]
    write_store_files(path, files)
    found = read(path)
    assert found == max(states, key=lambda s: (s[0], s[3]))
    assert found[0] == 20


@pytest.mark.parametrize("damage", ["cut", "garbled"])
@pytest.mark.parametrize("damaged_file", ["closed", "", "-wal"])
def test_a_damaged_file_is_rejected_or_holds_an_earlier_state(killed_store, damaged_file, damage):
    files, states, path = killed_store
    body, outcomes = files[damaged_file], {"rejected": 0, "earlier": 0, "complete": 0}
    newest = max(states, key=lambda s: (s[0], s[3]))
    step = max(64, len(body) // 120 // 64 * 64)
    if damaged_file != "closed":
        del files["closed"]
    for at in range(0, len(body), step):
        flipped = body[:at] + bytes(b ^ 0x55 for b in body[at : at + 64]) + body[at + 64 :]
        write_store_files(path, files | {damaged_file: body[:at] if damage == "cut" else flipped})
        found = read(path)
        if isinstance(found, str):
            outcomes["rejected"] += 1
            continue
        assert found in states, (at, found)
        outcomes["complete" if found == newest else "earlier"] += 1
    print(damaged_file or "file", damage, outcomes)
    # A file whose pages are all in its log, too, is complete again. A log without its end gives an
    # earlier state.
    log = "earlier" if damage == "cut" else "rejected"
    assert outcomes[{"closed": "rejected", "": "complete", "-wal": log}[damaged_file]] > 20
    assert log == "earlier" or outcomes["earlier"] < 10  # damage to the last step only


def test_missing_files_and_open_modes(killed_store):
    files, _, path = killed_store
    assert "--rejoin" in read(path)  # there is no file
    write_store_files(path, {"-wal": files["-wal"]})
    with pytest.raises(StorageUnusableError, match="only a log of it is left"):
        SqliteStorage(path, "a", "first")
    Path(f"{path}-wal").unlink()
    SqliteStorage(path, "a", "first").close()
    assert "it holds no history" in read(path)
    SqliteStorage(path, "a", "rejoin").close()
    again = SqliteStorage(path, "a")  # it continues joining without the option
    assert again.load().joining
    again.joined()
    again.close()
    assert "it holds no history" in read(path)
    write_store_files(path, files)
    assert "the store of a, not of b" in read(path, "b")
    held = SqliteStorage(path, "a", "first")
    assert "another process has it open" in read(path)
    held.close()


def test_an_old_copy_joins_after_its_quarantine(killed_store):
    files, _, path = killed_store
    write_store_files(path, files)
    store = SqliteStorage(path, "a", "rejoin")
    assert store.load().joining
    assert store.load().commit == 20
    replica = Replica(
        ReplicaIdentity("a", 1, ("a", "b", "c")),
        store,
        0,
        ReplicaHandlers(None, lambda *_: None, None),
        quarantine_us=5,
    )
    assert replica.joining
    assert replica.tick(4) == 5  # it sends nothing during its quarantine
    assert not replica.is_eligible(9)


def test_an_edit_that_sqlite_accepts_is_rejected(killed_store):
    files, _, path = killed_store
    edits = [
        "DELETE FROM changes WHERE version = 7",
        "DELETE FROM changes WHERE version = 20",
        "DELETE FROM rows WHERE name = 'base'",
        "DELETE FROM rows WHERE name = 'mark'",
        "UPDATE changes SET body = (SELECT body FROM changes WHERE version = 3) WHERE version = 4",
        "UPDATE changes SET body = 5 WHERE version = 4",
        "DROP TABLE changes",
        "UPDATE changes SET (body, digest) = (SELECT body, digest FROM changes WHERE version = 3) "
        "WHERE version = 4",
    ]
    for edit in edits:
        write_store_files(path, files)
        db = sqlite3.connect(path)
        db.execute(edit)
        db.commit()
        db.close()
        assert "damaged" in read(path), edit


def test_writes_succeed_again_after_a_full_disk(tmp_path):
    writer = StoreWriter(tmp_path / "full")
    run = writer.store.db.execute
    run(f"PRAGMA max_page_count={run('PRAGMA page_count').fetchone()[0] + 8}")
    with pytest.raises(StorageError, match="full"):
        for number in range(1_000):
            writer.change(number)
    before = (writer.state.version, writer.state.digest)
    with pytest.raises(StorageError):
        writer.change(1_000)
    assert position_and_digest_of(writer.store.load()) == before
    run("PRAGMA max_page_count=1000000")
    writer.change(1_001)
    assert position_and_digest_of(writer.store.load()) == (writer.state.version, writer.state.digest)
    writer.store.close()


def test_each_durable_step_is_atomic(tmp_path):
    """If the process ends before a step, the store holds nothing of it and all earlier steps."""
    steps = []

    def exit_before_step(step):
        steps.append(step)
        if step == end:
            raise SystemExit

    for end in ("promise", "append", "truncate", "commit", "compact", "install", "joined"):
        path = tmp_path / end
        StoreWriter(path).store.close()
        steps.clear()
        store = SqliteStorage(path, "a", "rejoin", exit_before_step)
        state = FleetState.restore(store.load().base)
        change = state.draft_change(1, [])
        after = FleetState.restore(state.snapshot())
        after.apply(change)
        calls = [
            ("promise", 4, 4),
            ("append", [change]),
            ("truncate", 0),
            ("append", [change]),
            ("commit", 1),
            ("compact", after.snapshot()),
            ("install", after.snapshot()),
            ("joined",),
        ]
        found = [store.load()]
        with pytest.raises(SystemExit):
            for name, *args in calls:
                getattr(store, name)(*args)
                found.append(store.load())
        store.close()
        assert steps[-1] == end
        again = SqliteStorage(path, "a")
        assert again.load() == found[-1]
        again.close()


def test_the_store_size_is_bounded(tmp_path, monkeypatch):
    """The size stays bounded over 50,000 changes of 490 engines.

    `synchronous` is off in this test only: it determines when data is written, not which data.
    """
    path = tmp_path / "steady"
    writer, sizes = StoreWriter(path), []
    writer.store.db.execute("PRAGMA synchronous=OFF")
    for batch_number in range(500):
        batch = []
        for offset in range(100):
            number = batch_number * 100 + offset
            op = Op(
                f"engine/e{number % 490}",
                encode_value(Engine(f"host-{number % 490}.example:80", start_time_ms=number)),
            )
            batch.append(writer.state.draft_change(1, [op], f"request-{number}", "someone", "a test", number))
            writer.state.apply(batch[-1])
        writer.store.append(batch)
        writer.store.commit(writer.state.version)
        if writer.store.needs_compaction:
            writer.store.compact(writer.state.snapshot())
        if batch_number % 60 == 59:  # the files as a kill would leave them, over many resets of the log
            write_store_files(
                tmp_path / "killed", {end: Path(f"{path}{end}").read_bytes() for end in ("", "-wal")}
            )
            assert read(tmp_path / "killed")[:2] == (writer.state.version, writer.state.digest)
        sizes.append(sum(Path(f"{path}{end}").stat().st_size for end in ("", "-wal")))
    print(f"largest {max(sizes):,} bytes, last {sizes[-1]:,}, file {path.stat().st_size:,}")
    assert max(sizes) < 10 << 20
    assert max(sizes[250:]) <= 1.2 * max(sizes[:250])
    assert writer.store.change_count <= module.COMPACTION_CHANGES
    assert position_and_digest_of(writer.store.load()) == (50_000, writer.state.digest)
    writer.store.close()


def test_compaction_is_due_by_size_too(tmp_path):
    writer = StoreWriter(tmp_path / "large")
    ops = [Op(f"engine/e{i}", encode_value(Engine(f"h{i}:80", zone="z" * 60))) for i in range(1_500)]
    while not writer.store.needs_compaction:
        change = writer.state.draft_change(1, ops)
        writer.state.apply(change)
        writer.store.append([change])
    assert writer.store.change_count < 200
    assert writer.store.change_bytes > module.COMPACTION_BYTES
    writer.store.commit(writer.state.version)
    before = (tmp_path / "large").stat().st_size
    writer.store.compact(writer.state.snapshot())
    assert before > 8 << 20
    assert not writer.store.needs_compaction
    assert (tmp_path / "large").stat().st_size < 1 << 20
    writer.store.close()
