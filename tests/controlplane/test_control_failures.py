"""The control plane's hard cases, between processes of the program: killed, stopped, cut off, put back.

Every process is the real one; followers without a broker, operators, relays and a stand-in that lies are in
the test's own process. Random choices come from fixed seeds.
"""

import os
import random
import resource
import shutil
import signal
import time
from collections import Counter

import gevent
import pytest
import yaml

from cypressledge.controlplane.messages import AppliedPosition, Hello, SnapshotRequest
from cypressledge.controlplane.publisher import PublisherLimits
from cypressledge.lab.processes import until
from cypressledge.lab.site import free_port, free_udp_ports
from tests.fakes.command_line import run
from tests.fakes.control_cluster import LEASE_TERM, SEED, ControlCluster, engine
from tests.fakes.control_processes import WAIT
from tests.fakes.controlled_broker import ControlledBroker
from tests.fakes.fake_control import LyingControlServer, RawConnection

MB = 1 << 20


@pytest.fixture
def plane(request):
    made = ControlCluster(**getattr(request, "param", {}))
    yield made
    made.close()


def with_plane(**how):
    return pytest.mark.parametrize("plane", [how], indirect=True, ids=[""])


# Killed, stopped


@with_plane(fault="kill-before-answer:3")
def test_primary_killed_before_its_answer_and_then_all_at_once(plane):
    first = plane.wait_for_settled_leader()
    follower = plane.follow("b1", "z1")
    done = {f"engine/e{i}": plane.change({f"engine/e{i}": engine(i)}, f"r{i}")["version"] for i in (1, 2)}
    assert plane.post_change(first, {"engine/e3": engine(3)}, "r3") == (0, {})  # decided, and then nothing
    first.process.wait(WAIT)
    assert first.process.returncode == -signal.SIGKILL
    told = plane.change({"engine/e3": engine(3)}, "r3")
    assert told["primary"] != first.name
    assert told["epoch"] < plane.leader(first.name).status()["epoch"]
    first.start()
    plane.wait_for_one_history(told["version"])
    assert plane.times_in_history("r3") == 1
    assert plane.version_of_key("engine/e3") == told["version"]
    assert plane.change({"engine/e3": engine(3)}, "r3")["version"] == told["version"]

    # All of them, at once
    before = plane.position(first), first.call("state")[1]["entries"]
    plane.wait_for(lambda: follower.version == before[0][0], "the follower")
    held = follower.state.digest
    for server in plane.controls.values():
        server.kill()
    plane.wait_for(lambda: not follower.server(), "a follower that is alone")
    assert follower.version == before[0][0]
    assert follower.state.digest == held
    for server in plane.controls.values():
        server.start()
    plane.leader()
    version = plane.wait_for_one_history(before[0][0] + 1)
    entries = first.call("state")[1]["entries"]
    assert entries == before[1]
    assert {k: entries[k]["version"] for k in done} == done
    plane.wait_for(lambda: follower.version == version, "a follower that goes on")
    told = plane.change({"engine/e3": engine(3)}, "r3")
    assert told["version"] == plane.version_of_key("engine/e3") < version  # known still
    assert follower.has_never_gone_back()


def strike(plane, primary, least=0):
    """Ask for changes until the primary's fault strikes: (keys acknowledged and their versions, the request
    that was under way)."""
    done = {}
    for number in range(1, 30):
        key, request = f"engine/e{number}", f"r{number}"
        asked = gevent.spawn(plane.post_change, primary, {key: engine(number)}, request)
        until(lambda a=asked: primary.is_halted() or not primary.running() or a.ready(), WAIT)
        if primary.is_halted() or not primary.running():
            return done, key, request
        status, told = asked.get(timeout=WAIT)
        assert status == 200, told
        done[key] = told["version"]
    raise AssertionError("no fault has struck")


@pytest.mark.parametrize(
    "plane",
    [{"fault": "kill-before:append:13"}, {"fault": "stop-before:append:13"}],
    indirect=True,
    ids=["killed", "stopped"],
)
def test_primary_killed_or_stopped_between_its_own_disk_and_the_next(plane):
    primary = plane.wait_for_settled_leader()
    other, away = plane.others(primary.name)
    away.kill()  # so that every change has one way to go
    plane.wait_for(lambda: primary.status()["peers"] == [other.name], "a link that has ended")
    done, key, request = strike(plane, primary)
    stopped = primary.is_halted()
    assert len(done) > 2
    assert stopped == primary.running()
    away.start()
    plane.leader(primary.name)
    later = plane.change({"engine/late": engine(99)}, "late")
    assert request not in {c[2] for c in plane.changes(other)}  # nobody else had it
    if stopped:
        ended = len(primary.logged("leader_stopped"))
        primary.signal(signal.SIGCONT)
        plane.wait_for(lambda: len(primary.logged("leader_stopped")) > ended, "a primary that steps down")
        # Its AppendEntries left after it went on: both turn it down.
        plane.wait_for(
            lambda: primary.status()["traffic"].get("in.denied", {}).get("frames", 0) >= 1, "a denial"
        )
    else:
        kept = primary.last_stored_position()
        assert kept[1] > max(done.values())
        assert kept[0] < later["epoch"]
        primary.start()
    plane.wait_for(lambda: primary.logged("truncated"), "a tail that is dropped")
    plane.wait_for_one_history(later["version"])
    assert primary.status()["role"] == "standby"
    assert {k: plane.version_of_key(k) for k in done} == done
    assert plane.version_of_key(key) == -1
    again = plane.change({key: engine(50)}, request)
    plane.wait_for_one_history(again["version"])
    assert plane.times_in_history(request) == 1
    assert plane.version_of_key(key) == again["version"]


# Disks


def test_full_disk_and_a_file_that_is_cut_off(plane):
    primary = plane.wait_for_settled_leader()
    follower = plane.follow("b1", "z1")
    keys = [f"engine/e{i}" for i in range(1, 6)]
    done = {key: plane.change({key: engine(i)}, key)["version"] for i, key in enumerate(keys)}
    size = (primary.store / "history.sqlite-wal").stat().st_size
    assert size > 4 * primary.log_file.stat().st_size  # the limit counts for its log too
    soft, hard = resource.prlimit(primary.process.pid, resource.RLIMIT_FSIZE)
    resource.prlimit(primary.process.pid, resource.RLIMIT_FSIZE, (size, hard))
    status, told = plane.post_change(primary, {"engine/full": engine(60)}, "full")
    assert (status, told["answer"]) == (503, "unknown")
    assert primary.logged("disk_error")
    assert primary.logged("leader_stopped")
    plane.leader(primary.name)
    told = plane.change({"engine/full": engine(60)}, "full")
    assert told["primary"] != primary.name
    plane.wait_for(lambda: follower.version >= told["version"], "others that go on")
    assert primary.running()
    assert plane.position(primary)[0] < told["version"]
    resource.prlimit(primary.process.pid, resource.RLIMIT_FSIZE, (soft, hard))
    plane.wait_for_one_history(told["version"])
    assert plane.times_in_history("full") == 1
    assert {k: plane.version_of_key(k) for k in done} == done

    # Cut off in the middle of its last page
    damaged = plane.others(plane.leader().name)[0]
    assert damaged.terminate() == 0
    file = damaged.store / "history.sqlite"
    os.truncate(file, file.stat().st_size - 2048)
    before = len(damaged.log_text().splitlines())
    damaged.start()
    assert damaged.process.wait(WAIT) == 2
    words = damaged.log_text().splitlines()[before:]
    assert len(words) == 1, words
    assert "damaged" in words[0], words
    assert "--rejoin" in words[0], words
    told = plane.change({"engine/e9": engine(9)}, "r9")
    for left in damaged.store.iterdir():
        left.rename(damaged.folder / f"moved-{left.name}")
    before = len(damaged.log_text().splitlines())
    damaged.start()  # an empty one is none either
    assert damaged.process.wait(WAIT) == 2
    words = damaged.log_text().splitlines()[before:]
    assert len(words) == 1, words
    assert "--rejoin" in words[0], words
    damaged.start("--rejoin")
    plane.wait_for(lambda: damaged.logged("joined"), "a voter that has joined")
    plane.wait_for_one_history(told["version"])
    assert damaged.status()["joining"] is False
    assert follower.has_never_gone_back()


# Followers that cost


def many(count, salt):
    """Engines that take some bytes, and do not pack well."""
    draw = random.Random(salt)
    return {
        f"engine/x{i}": {
            "address": f"127.{salt}.{i // 250}.{i % 250 + 1}:7002",
            "kind": f"{draw.getrandbits(256):064x}",
        }
        for i in range(count)
    }


def test_followers_that_do_not_read_read_slowly_or_talk_nonsense(plane):
    primary = plane.wait_for_settled_leader()
    for salt in (1, 2):
        plane.change({f"{k}-{salt}": v for k, v in many(1500, salt).items()}, f"many{salt}")
    good = plane.follow("good", only=(primary.name,))
    plane.wait_for(lambda: good.version == primary.status()["version"], "the good one")
    memory = primary.memory_bytes()
    deaf = [RawConnection(plane.ports[primary.name], small_buffer=True).hello(f"deaf{i}") for i in range(4)]
    slow = [RawConnection(plane.ports[primary.name], small_buffer=True).hello(f"slow{i}") for i in range(2)]
    draw = random.Random(5)
    mad = [RawConnection(plane.ports[primary.name]) for _ in range(5)]
    for raw, words in zip(
        mad,
        [
            b"\xff" * 8,
            b"\0\0\0\0",
            draw.randbytes(9000),
            b"GET / HTTP/1.1\r\n\r\n",
            b"\0\0\0\4\xc1\xc1\xc1\xc1",
        ],
        strict=True,
    ):
        raw.sock.sendall(words)
    late = RawConnection(plane.ports[primary.name]).hello("late")
    late.sock.sendall(b"\0\0\1\0" + draw.randbytes(256))
    mute = RawConnection(plane.ports[primary.name])  # never says Hello
    readers = [gevent.spawn(raw.read_slowly) for raw in slow]
    ends = [gevent.spawn(raw.read_slowly, 65_536, 0) for raw in (*mad, late, mute)]
    new = plane.follow("new", only=(primary.name,))
    plane.wait_for(lambda: new.version, "one that comes while snapshots are out to those")
    most, longest, number = memory, time.monotonic() - new.dials[0], 0
    until_all = time.monotonic() + PublisherLimits().answer_timeout_s + 6
    while primary.status()["brokers"] > 2 and time.monotonic() < until_all:
        number += 1
        began = time.monotonic()
        told = plane.change({f"engine/y{number % 7}": engine(200 + number)}, f"y{number}")
        plane.wait_for(lambda v=told["version"]: good.version >= v, "the good one, meanwhile")
        longest = max(longest, time.monotonic() - began)
        most = max(most, primary.memory_bytes())
    took = time.monotonic() - deaf[0].began
    print(
        f"all ended after {took:.1f} s, {number} changes, the slowest in force after {longest:.2f} s, "
        f"{(most - memory) / MB:.1f} MB more"
    )
    assert primary.status()["brokers"] == 2
    assert number > 5
    assert most - memory < 24 * MB
    assert longest < 5
    gevent.joinall(ends, WAIT)
    assert all(raw.ended and raw.ended - raw.began < 4 for raw in (*mad, late))
    assert mute.ended
    assert mute.ended - mute.began < 8
    counters = primary.status()["counters"]
    assert counters["control.disconnected_silent"] == 6
    assert good.has_never_gone_back()
    assert new.has_never_gone_back()
    for raw in (*deaf, *slow, *mad, late, mute):
        raw.close()
    gevent.killall(readers)


# A control process that lies


def test_a_change_whose_digest_differs_is_not_taken(tmp_path):
    liar = LyingControlServer()
    places = [liar.address, *(f"127.0.0.1:{free_port()}" for _ in range(2))]
    servers = [
        {
            "name": f"c{number}",
            "address": place,
            "fleet": f"127.0.0.1:{free_port()}",
            "zone": f"z{number}",
            "management": f"127.0.0.1:{free_port()}",
        }
        for number, place in enumerate(places, 1)
    ]
    control_file = tmp_path / "control.yaml"
    control_file.write_text(yaml.safe_dump({"servers": servers}))
    broker = ControlledBroker("n1", tmp_path, control_file)
    broker.zone, broker.optimised = "z1", True
    broker.start()
    try:
        assert until(lambda: len(liar.received) == 4, WAIT), broker.log_text()
        hello, first, asked, last = liar.received
        assert isinstance(hello, Hello)
        assert isinstance(first, AppliedPosition)
        assert isinstance(last, AppliedPosition)
        assert isinstance(asked, SnapshotRequest), asked
        assert asked.reason == "digest", asked
        assert (last.version, last.digest) == (2, liar.state.digest)
        told = broker.show("/control/status")
        assert told["counts"]["change_digest_differs"] == 1
        assert told["digest"] == liar.state.digest.hex()
        assert [e["version"] for e in broker.logged("control_change_digest_differs")] == [2]
    finally:
        broker.kill()
        liar.server.stop()


# Many at once


def test_a_hundred_followers_whose_control_process_dies(plane):
    primary = plane.wait_for_settled_leader()
    plane.change(many(1000, 3), "many")
    began = time.monotonic()
    agents = [plane.follow(f"b{i}", seed=1000 + i) for i in range(100)]
    plane.wait_for(lambda: all(a.server() and a.version for a in agents), "all have it in force")
    counts = Counter(a.server() for a in agents)
    dead = plane[max((n for n in counts if n != primary.name), key=counts.get)]
    held = [a for a in agents if a.server() == dead.name]
    dials = {a: len(a.dials) for a in held}
    at = time.monotonic()
    dead.kill()
    version = plane.change({"engine/e1": engine(1)}, "r1")["version"]
    plane.wait_for(lambda: all(a.version >= version for a in agents), "all in force again")
    took = time.monotonic() - at
    again = sorted(a.dials[dials[a]] - at for a in held)
    wholes = {}
    for agent in agents:
        for update in agent.taken:
            if update.is_snapshot:
                wholes.setdefault(update.server, []).append(update.at)
    limits = PublisherLimits()
    densest = max(sum(m <= n < m + 1 for n in moments) for moments in wholes.values() for m in moments)
    print(
        f"{dict(counts)}; {len(held)} lost, dialled again {again[0]:.3f} to {again[-1]:.3f} s after; all in"
        f" force {took:.2f} s after, {at - began:.2f} s to begin; {densest} snapshots a second at most"
    )
    assert len(held) > 15
    assert again[-1] - again[0] > 0.05
    assert (
        densest <= limits.max_snapshots_per_s + limits.max_concurrent_snapshots
    )  # begun in the second, and out before it
    assert took < 15
    assert all(a.has_never_gone_back() for a in agents)
    told = plane.leader().call("lag")[1]
    assert told["connected"] >= 100 or plane.wait_for(
        lambda: plane.leader().call("lag")[1].get("in_force") == 100, "all counted"
    )


# Operators, and brokers that move


def test_operators_at_once_and_bad_changes(plane):
    primary = plane.wait_for_settled_leader()
    base = primary.status()["version"]
    both = [
        gevent.spawn(
            plane.post_change,
            primary,
            {"engine/e1": engine(i), f"engine/o{i}": engine(10 + i)},
            f"two{i}",
            base=base,
        )
        for i in (1, 2)
    ]
    gevent.joinall(both, WAIT)
    answers = sorted((a.value for a in both), key=lambda a: a[0])
    assert [status for status, _ in answers] == [200, 409], answers
    assert answers[1][1]["answer"] == "clash"
    assert answers[1][1]["keys"] == ["engine/e1"]
    version = plane.wait_for_one_history(answers[0][1]["version"])
    before = plane.position(primary)
    bad = [
        {"engine/e2": engine(1) | {"cell": -1}},
        {"engine/e2": SEED["engines"]["e0"]},
        {"nothing/e2": {}},
        {"config/Rules": {"Fall": 1}},
    ]
    for number, sets in enumerate(bad):
        status, told = plane.post_change(primary, sets, f"bad{number}")
        assert (status, told["answer"]) == (400, "bad"), told
        assert "\n" not in told["why"], told
        assert told["why"], told
    assert plane.position(primary) == before
    assert plane.wait_for_one_history() == version

    file = plane.folder / "change.yaml"
    file.write_text(yaml.safe_dump({"engines": {"e2": SEED["engines"]["e0"]}}))
    at = [x for s in plane.controls.values() for x in ("--at", f"127.0.0.1:{s.management}")]
    code, out, err = run("control", "change", str(file), *at)
    assert (code, out, err.count("\n")) == (2, "", 1), (code, out, err)
    assert "engine/e0" in err, (code, out, err)
    file.write_text(yaml.safe_dump({"engines": {"e2": engine(30)}}))
    codes = [run("control", "change", str(file), *at, "--request", "cli", "--why", "twice") for _ in range(2)]
    assert [code for code, _, _ in codes] == [0, 0], codes
    assert codes[0][1] == codes[1][1], codes
    assert plane.times_in_history("cli") == 1
    assert plane.wait_for_one_history() == version + 1


def test_broker_replaced_at_a_new_address(plane):
    ports = free_udp_ports(["n1", "n2", "n3", "new"])
    fleet = {
        "peers": [{"name": n, "address": f"127.0.0.1:{ports[n]}"} for n in ("n1", "n2", "n3")],
        "voters": [{"version": 1, "names": ["n1", "n2", "n3"]}],
        "term_s": 1.0,
        "ping_s": 0.2,
        "grace_s": 1.0,
    }
    moved = fleet | {
        "peers": [
            fleet["peers"][0],
            {"name": "n2", "address": f"127.0.0.1:{ports['new']}"},
            fleet["peers"][2],
        ]
    }
    control_file = plane.control_file()
    brokers = {n: ControlledBroker(n, plane.folder, control_file, fleet=fleet) for n in ("n1", "n2")}
    plane.brokers += brokers.values()
    for broker in brokers.values():
        broker.zone, broker.optimised = "z1", True
        broker.start()

    def place(name):
        entry = plane.leader().call(f"state?prefix=broker/{name}")[1]["entries"].get(f"broker/{name}")
        return entry and entry["value"]["address"]

    plane.wait_for(lambda: place("n1") and place("n2") == f"127.0.0.1:{ports['n2']}", "both are registered")
    brokers["n2"].kill()
    brokers["n2"].fleet = moved  # its own file alone: n1's goes on naming the old address
    brokers["n2"].start()
    plane.wait_for(lambda: place("n2") == f"127.0.0.1:{ports['new']}", "the new address")

    def heard():
        rows = brokers["n2"].show("/fleet/peers") or []
        return any(r["name"] == "n1" and r["state"] == "alive" and r["heard_s"] is not None for r in rows)

    # n2 hears n1 only if n1 sends to where n2 is now.
    plane.wait_for(heard, f"n1, heard by the new n2\n{brokers['n1'].log_text()[-2000:]}")
    assert brokers["n1"].show("/control/status")["version"] == plane.wait_for_one_history()


# Cut off, put back


@with_plane(proxied=True)
def test_region_cut_off_during_a_change_and_a_disk_that_was_put_back(plane):
    primary = plane.wait_for_settled_leader()
    plane.change({"engine/e1": engine(1)}, "r1")
    inside = plane.follow("inside", only=(primary.name,))
    outside = plane.follow("outside", only=tuple(s.name for s in plane.others(primary.name)))
    plane.wait_for(lambda: inside.version == outside.version == primary.status()["version"], "followers")
    plane.cut(primary.name)
    asked = gevent.spawn(plane.post_change, primary, {"engine/e2": engine(2)}, "r2")
    second = plane.leader(primary.name)
    told = plane.change({"engine/e3": engine(3)}, "r3")
    plane.wait_for(lambda: outside.version >= told["version"], "the majority's side goes on")
    status, answer = asked.get(timeout=WAIT)
    assert (status, answer["answer"]) == (503, "unknown"), answer
    shown = primary.status()
    assert shown["role"] != "primary"
    assert shown["primary"] == ""
    assert shown["version"] < told["version"]
    assert plane.post_change(primary, {"engine/e4": engine(4)}, "r4")[0] == 421
    plane.wait_for(lambda: inside.status().stale_ms > 2000 * LEASE_TERM, "a follower that knows it is stale")
    assert inside.server() == primary.name
    assert inside.version == shown["version"]
    plane.heal()
    plane.wait_for_one_history(told["version"])
    assert plane.times_in_history("r2") == plane.times_in_history("r4") == 0
    again = plane.change({"engine/e2": engine(2)}, "r2")
    plane.wait_for(lambda: inside.version >= again["version"] <= outside.version, "all go on")
    assert plane.times_in_history("r2") == 1
    assert inside.status().stale_ms < 3000 * LEASE_TERM

    # An old copy of a disk, put back
    old = next(s for s in plane.others(plane.leader().name))
    after = plane.follow("after", only=(old.name,))
    old.kill()
    shutil.copytree(old.store, plane.folder / "copy")
    old.start()
    for number in range(5, 9):
        told = plane.change({f"engine/e{number}": engine(number)}, f"r{number}")
    plane.wait_for(lambda: after.version >= told["version"], "a follower of the one to be put back")
    held = after.version
    old.kill()
    shutil.rmtree(old.store)
    shutil.copytree(plane.folder / "copy", old.store)
    plane.cut(old.name)  # it has its old copy alone, and its follower nobody else
    old.start()
    plane.wait_for(lambda: after.server() and old.status().get("brokers"), "an old one that is followed")
    assert old.status()["version"] < held
    beats = after.traffic.frames["in.beat"]
    plane.wait_for(lambda: after.traffic.frames["in.beat"] > beats + 2, "some beats of the old one")
    assert after.version == held
    assert after.subscriber.counters.show().get("update_rejected", 0) == 0
    assert old.status()["role"] == "standby"
    plane.heal()
    told = plane.change({"engine/e9": engine(9)}, "r9")
    plane.wait_for(lambda: after.version >= told["version"], "a follower that goes on")
    plane.wait_for_one_history(told["version"])
    assert second.running()
    assert all(a.has_never_gone_back() for a in plane.subscribers)
