"""The servers that a subscriber connects to, the times of its attempts, and when it leaves a server."""

from itertools import pairwise

from cypressledge.controlplane import messages as m
from cypressledge.controlplane.server_selection import Server, order_servers
from cypressledge.controlplane.subscriber import (
    SILENCE_TIMEOUT,
    BrokerIdentity,
    ConfigSubscriber,
    SubscriberCallbacks,
)
from tests.controlplane.distribution_harnesses import (
    SECOND_US,
    SubscriberHarness,
)


def test_servers_are_ordered_by_zone_then_region_then_hash():
    servers = [Server(f"c{i}", "", z, r) for i, (z, r) in enumerate(["xp", "zr", "yr", "zr", "xp", "yr"])]
    found = [order_servers(f"b{i}", "z", "r", servers) for i in range(64)]
    assert {tuple(s.zone for s in one) for one in found} == {("z", "z", "y", "y", "x", "x")}
    assert 20 < sum(one[0].name == "c1" for one in found) < 44


def test_subscriber_backs_off_and_honours_retry_after():
    receiver, now, attempts = SubscriberHarness(server_count=3), 0, []
    for _ in range(300):
        due = receiver.subscriber.tick(now)
        if len(receiver.dialled) > len(attempts):
            attempts.append(now)
            receiver.subscriber.disconnected(now, "refused")
        else:
            now = due
    gaps = [b - a for a, b in pairwise(attempts)]
    assert all(gap <= min(0.1 * SECOND_US * 2**i, 5 * SECOND_US) for i, gap in enumerate(gaps))
    assert len(gaps) > 100
    assert max(gaps[10:]) > 4 * SECOND_US
    assert min(gaps[10:]) < SECOND_US
    assert [s.name for s in receiver.dialled[:4]] == ["c0", "c1", "c2", "c0"]
    receiver = SubscriberHarness().connect()
    receiver.receive(m.Disconnect("full", 7_000))
    assert 7 * SECOND_US <= receiver.subscriber.tick(receiver.now) - receiver.now <= 9 * SECOND_US
    receiver = SubscriberHarness(server_count=2).connect()
    receiver.receive(m.Disconnect("full", 7_000))
    receiver.connect(receiver.now)
    receiver.subscriber.disconnected(receiver.now, "x")
    assert receiver.subscriber.tick(receiver.now) - receiver.now <= SECOND_US
    assert receiver.subscriber.selector.current == 1


def test_steady_connection_resets_the_backoff():
    receiver = SubscriberHarness()
    for connection_us in [0] * 8 + [5 * SECOND_US] * 8:
        receiver.connect(receiver.now if receiver.sent else 0)
        receiver.subscriber.disconnected(receiver.now + connection_us, "reset")
        wait = receiver.subscriber.tick(receiver.now + connection_us) - receiver.now - connection_us
        if connection_us:
            assert wait <= SECOND_US // 10
    assert (
        ConfigSubscriber(BrokerIdentity("b", 1), [], 1, SubscriberCallbacks(*[None] * 5)).tick(0) > SECOND_US
    )  # there is no server


def test_subscriber_leaves_a_silent_server_and_times_out_connecting():
    receiver = SubscriberHarness(server_count=2)
    now = receiver.subscriber.tick(0)
    due = receiver.subscriber.tick(now)
    assert due - now == 1.5 * SECOND_US
    assert receiver.dialled[0].name == "c0"
    receiver.subscriber.tick(due)
    assert receiver.ended == ["connect timeout"]
    receiver.connect(due)
    assert receiver.dialled[1].name == "c1"
    receiver.subscriber.tick(receiver.now + SILENCE_TIMEOUT - 1)
    assert len(receiver.ended) == 1
    receiver.subscriber.tick(receiver.now + SILENCE_TIMEOUT)
    assert receiver.ended[1:] == ["silent"]


def test_subscriber_tries_a_nearer_server_and_returns_if_it_fails():
    receiver = SubscriberHarness(server_count=3)
    now = receiver.subscriber.tick(0)
    receiver.subscriber.tick(now)
    receiver.subscriber.disconnected(now, "refused")
    receiver.connect(now)
    assert receiver.dialled[-1].name == "c1"
    start, waits = receiver.now, []
    for _ in range(2):
        while receiver.dialled[-1].name == "c1":
            due = receiver.subscriber.tick(receiver.now)
            receiver.now = min(max(due, receiver.now), receiver.now + SECOND_US)
            if receiver.subscriber.phase.value == "following":
                receiver.subscriber.received(receiver.now, m.Heartbeat(0, 0, b"", "", 0))
        waits.append(receiver.now - start)
        assert receiver.ended[-1] == "nearer server"
        receiver.subscriber.disconnected(receiver.now, "refused")
        receiver.connect(receiver.now)
        start = receiver.now
        assert receiver.dialled[-1].name == "c1"
    assert 20 * SECOND_US <= waits[0] <= 41 * SECOND_US
    assert 40 * SECOND_US <= waits[1] <= 82 * SECOND_US


def outage(receiver: SubscriberHarness, until: int) -> list[tuple[int, str]]:
    """Refuse each attempt until a time; return the time and the server of each attempt."""
    now, attempts = 0, []
    while now < until:
        due = receiver.subscriber.tick(now)
        if len(receiver.dialled) > len(attempts):
            attempts.append((now, receiver.dialled[-1].name))
            receiver.subscriber.disconnected(now, "refused")
            due = receiver.subscriber.tick(now)
        now = max(now, due)
    return attempts


def test_subscriber_tries_all_servers_and_pauses_between_rounds():
    receiver = SubscriberHarness(server_count=8)
    attempts = outage(receiver, 60 * SECOND_US)
    names = [name for _, name in attempts]
    assert names == ([s.name for s in receiver.subscriber.selector.servers] * len(names))[: len(names)]
    waits = [b - a for (a, _), (b, _) in pairwise(attempts)]
    within = [w for i, w in enumerate(waits) if (i + 1) % 8]
    between = waits[7::8]
    assert max(within) <= 100_000  # a server that is up is found within a second
    assert all(w <= min(100_000 << (i + 1), 5 * SECOND_US) for i, w in enumerate(between))
    assert max(between) > SECOND_US
    assert len(attempts) < 8 * 40


def test_subscriber_leaves_a_server_without_leader_contact():
    receiver, left = SubscriberHarness(server_count=3).connect(), []
    stale = m.Heartbeat(0, 0, b"", "c1", 11_000)
    now = receiver.now
    while now < 100 * SECOND_US:
        now += SECOND_US
        receiver.subscriber.tick(now)
        if receiver.subscriber.phase.value == "connecting":
            receiver.subscriber.connected(now)
            receiver.subscriber.received(now, m.HelloAccepted("c", 1, "line"))
        receiver.subscriber.received(
            now, stale if now < 80 * SECOND_US else m.Heartbeat(0, 0, b"", "c1", 100)
        )
        if receiver.ended.count("stale") > len(left):
            left.append((now, receiver.dialled[-1].name))
    assert left[0][0] - receiver.now >= 10 * SECOND_US
    assert left[0][1] == "c0"
    gaps = [b[0] - a[0] for a, b in pairwise(left)]
    assert len(left) >= 2
    assert gaps == sorted(gaps)
    assert gaps[0] >= 10 * SECOND_US
    assert all(at < 81 * SECOND_US for at, _ in left)


def test_subscriber_stays_with_its_only_server_or_one_with_recent_leader_contact():
    for servers, silent in ((1, 60_000), (3, 9_000)):
        receiver = SubscriberHarness(server_count=servers).connect()
        for second in range(1, 15):
            receiver.subscriber.received(
                receiver.now + second * SECOND_US, m.Heartbeat(0, 0, b"", "c1", silent)
            )
        assert not receiver.ended
