"""Misbehaving subscribers, a control process with a wrong digest, and one killed with many subscribers."""

import random
import time
from collections import Counter
from dataclasses import dataclass

import gevent
import yaml

from cypressledge.controlplane.messages import AppliedPosition, Hello, SnapshotRequest
from cypressledge.controlplane.publisher import PublisherLimits
from cypressledge.lab.processes import until
from cypressledge.lab.site import free_port
from tests.fakes.control_cluster import engine
from tests.fakes.control_processes import WAIT
from tests.fakes.controlled_broker import ControlledBroker
from tests.fakes.fake_control import InvalidDigestControlServer, RawConnection

MB = 1 << 20


def incompressible_engines(count, salt):
    """Return engines whose encoding is large and does not compress well."""
    rng = random.Random(salt)
    return {
        f"engine/x{i}": {
            "address": f"127.{salt}.{i // 250}.{i % 250 + 1}:7002",
            "kind": f"{rng.getrandbits(256):064x}",
        }
        for i in range(count)
    }


class BadSubscribers:
    """Connections that don't read, read slowly, send malformed messages first or later, or send nothing."""

    def __init__(self, port: int) -> None:
        rng = random.Random(5)
        self.unread = [RawConnection(port, small_buffer=True).hello(f"deaf{i}") for i in range(4)]
        self.slow = [RawConnection(port, small_buffer=True).hello(f"slow{i}") for i in range(2)]
        malformed = [
            b"\xff" * 8,
            b"\0\0\0\0",
            rng.randbytes(9000),
            b"GET / HTTP/1.1\r\n\r\n",
            b"\0\0\0\4\xc1\xc1\xc1\xc1",
        ]
        self.malformed = [RawConnection(port) for _ in malformed]
        for connection, raw in zip(self.malformed, malformed, strict=True):
            connection.sock.sendall(raw)
        self.malformed_later = RawConnection(port).hello("late")
        self.malformed_later.sock.sendall(b"\0\0\1\0" + rng.randbytes(256))
        self.silent = RawConnection(port)  # never sends a Hello
        self.readers = [gevent.spawn(connection.read_slowly) for connection in self.slow]
        self.ends = [
            gevent.spawn(connection.read_slowly, 65_536, 0)
            for connection in (*self.malformed, self.malformed_later, self.silent)
        ]

    def check_ended_in_time(self) -> None:
        gevent.joinall(self.ends, WAIT)
        malformed = (*self.malformed, self.malformed_later)
        assert all(raw.ended and raw.ended - raw.began < 4 for raw in malformed)
        assert self.silent.ended
        assert self.silent.ended - self.silent.began < 8

    def close(self) -> None:
        connections = (*self.unread, *self.slow, *self.malformed, self.malformed_later, self.silent)
        for connection in connections:
            connection.close()
        gevent.killall(self.readers)


@dataclass(slots=True)
class ChangeCosts:
    """Number, duration and memory of changes while bad subscribers are connected."""

    count: int
    slowest_s: float
    max_memory: int  # bytes of the control process


def commit_changes_until_bad_subscribers_are_gone(cluster, leader, good, changes: ChangeCosts) -> None:
    """Commit changes one after another until only the two good subscribers are connected to the leader.

    Each change is awaited at a good subscriber.
    """
    deadline = time.monotonic() + PublisherLimits().answer_timeout_s + 6
    while leader.status()["brokers"] > 2 and time.monotonic() < deadline:
        changes.count += 1
        began = time.monotonic()
        key = f"engine/y{changes.count % 7}"
        answer = cluster.change({key: engine(200 + changes.count)}, f"y{changes.count}")
        cluster.wait_for(lambda v=answer["version"]: good.version >= v, "the good one, meanwhile")
        changes.slowest_s = max(changes.slowest_s, time.monotonic() - began)
        changes.max_memory = max(changes.max_memory, leader.memory_bytes())


def test_subscribers_that_do_not_read_or_send_malformed_messages(cluster):
    leader = cluster.wait_for_settled_leader()
    for salt in (1, 2):
        engines = incompressible_engines(1500, salt)
        cluster.change({f"{key}-{salt}": value for key, value in engines.items()}, f"many{salt}")
    good = cluster.follow("good", only=(leader.name,))
    cluster.wait_for(lambda: good.version == leader.status()["version"], "the good one")
    memory = leader.memory_bytes()
    bad = BadSubscribers(cluster.ports[leader.name])
    new = cluster.follow("new", only=(leader.name,))
    cluster.wait_for(lambda: new.version, "a new subscriber while snapshots to the bad ones are in flight")
    changes = ChangeCosts(0, time.monotonic() - new.connect_times[0], memory)
    commit_changes_until_bad_subscribers_are_gone(cluster, leader, good, changes)
    took, more = time.monotonic() - bad.unread[0].began, changes.max_memory - memory
    print(
        f"all bad connections closed after {took:.1f} s, {changes.count} changes, the slowest in force after "
        f"{changes.slowest_s:.2f} s, {more / MB:.1f} MB more"
    )
    assert leader.status()["brokers"] == 2
    assert changes.count > 5
    assert more < 24 * MB
    assert changes.slowest_s < 5
    bad.check_ended_in_time()
    assert leader.status()["counters"]["control.disconnected_silent"] == 6
    assert good.has_never_gone_back()
    assert new.has_never_gone_back()
    bad.close()


def broker_that_follows(server: InvalidDigestControlServer, folder) -> ControlledBroker:
    """Return a broker whose settings list this server first, and two servers that don't exist."""
    addresses = [server.address, *(f"127.0.0.1:{free_port()}" for _ in range(2))]
    servers = [
        {
            "name": f"c{number}",
            "address": address,
            "fleet": f"127.0.0.1:{free_port()}",
            "zone": f"z{number}",
            "management": f"127.0.0.1:{free_port()}",
        }
        for number, address in enumerate(addresses, 1)
    ]
    control_file = folder / "control.yaml"
    control_file.write_text(yaml.safe_dump({"servers": servers}))
    broker = ControlledBroker("n1", folder, control_file)
    broker.zone, broker.optimised = "z1", True
    return broker


def test_change_whose_digest_differs_is_not_applied(tmp_path):
    lying_server = InvalidDigestControlServer()
    broker = broker_that_follows(lying_server, tmp_path)
    broker.start()
    try:
        assert until(lambda: len(lying_server.received) == 4, WAIT), broker.log_text()
        hello, first, asked, last = lying_server.received
        assert isinstance(hello, Hello)
        assert isinstance(first, AppliedPosition)
        assert isinstance(last, AppliedPosition)
        assert isinstance(asked, SnapshotRequest), asked
        assert asked.reason == "digest", asked
        assert (last.version, last.digest) == (2, lying_server.state.digest)
        status = broker.status()
        assert status["counts"]["change_digest_differs"] == 1
        assert status["digest"] == lying_server.state.digest.hex()
        assert [entry["version"] for entry in broker.logged("control_change_digest_differs")] == [2]
    finally:
        broker.kill()
        lying_server.server.stop()


def max_snapshots_per_second(subscribers) -> int:
    """Return the most snapshots of one server that were applied within a second."""
    moments = {}
    for subscriber in subscribers:
        for update in subscriber.applied_updates:
            if update.is_snapshot:
                moments.setdefault(update.server, []).append(update.at)
    return max(sum(m <= n < m + 1 for n in of_one) for of_one in moments.values() for m in of_one)


def test_hundred_subscribers_reconnect_after_their_control_process_is_killed(cluster):
    leader = cluster.wait_for_settled_leader()
    cluster.change(incompressible_engines(1000, 3), "many")
    began = time.monotonic()
    subscribers = [cluster.follow(f"b{i}", seed=1000 + i) for i in range(100)]
    cluster.wait_for(lambda: all(s.server() and s.version for s in subscribers), "all have it in force")
    counts = Counter(s.server() for s in subscribers)
    dead = cluster[max((name for name in counts if name != leader.name), key=counts.get)]
    lost = [s for s in subscribers if s.server() == dead.name]
    dials = {s: len(s.connect_times) for s in lost}
    killed = time.monotonic()
    dead.kill()
    version = cluster.change({"engine/e1": engine(1)}, "r1")["version"]
    cluster.wait_for(lambda: all(s.version >= version for s in subscribers), "all in force again")
    took = time.monotonic() - killed
    again = sorted(s.connect_times[dials[s]] - killed for s in lost)
    limits, densest = PublisherLimits(), max_snapshots_per_second(subscribers)
    print(
        f"{dict(counts)}; {len(lost)} disconnected, dialled again after {again[0]:.3f} to {again[-1]:.3f} s; "
        f"in force after {took:.2f} s; started in {killed - began:.2f} s; up to {densest} snapshots a second"
    )
    assert len(lost) > 15
    assert again[-1] - again[0] > 0.05
    # The snapshots sent within the second, and those in flight at its start.
    assert densest <= limits.max_snapshots_per_s + limits.max_concurrent_snapshots
    assert took < 15
    assert all(s.has_never_gone_back() for s in subscribers)
    lag = cluster.leader().call("lag")[1]
    assert lag["connected"] >= 100 or cluster.wait_for(
        lambda: cluster.leader().call("lag")[1].get("in_force") == 100, "all counted"
    )
