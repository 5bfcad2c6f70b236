"""The datagram transport's rate limits by source address."""

import pytest

from cypressledge.broker.metrics import Counters
from cypressledge.fleet.datagram_transport import (
    BUCKET_IDLE_TIMEOUT,
    MAX_BURST,
    MAX_OTHER_BUCKETS,
    DatagramTransport,
)


@pytest.fixture
def transport():
    made = DatagramTransport("n0", ("127.0.0.1", 0), Counters(), lambda: made.at, lambda: (1, 1, 1, 1))
    made.at = 10**9
    yield made
    made.close()


def test_buckets_of_long_idle_addresses_are_freed(transport):
    for port in range(MAX_OTHER_BUCKETS + 100):
        transport.receive(b"", ("10.0.0.1", port))
    assert len(transport.other_buckets) <= MAX_OTHER_BUCKETS + 1  # all further addresses share one bucket
    assert ("10.0.0.1", MAX_OTHER_BUCKETS + 50) not in transport.other_buckets
    transport.at += BUCKET_IDLE_TIMEOUT
    transport.receive(b"", ("10.0.0.1", 5))
    transport.receive(b"", ("10.0.0.2", 1))
    assert ("10.0.0.2", 1) in transport.other_buckets
    assert ("10.0.0.1", 5) in transport.other_buckets
    assert len(transport.other_buckets) <= 3


def test_spoofed_addresses_neither_grow_without_bound_nor_lock_out_a_peer(transport):
    transport.set_peers({"n1": ("127.0.0.1", 1)})
    for port in range(20_000):
        transport.at += 10
        transport.receive(b"", ("10.0.0.1", port))
    assert len(transport.other_buckets) <= MAX_OTHER_BUCKETS + 1
    assert transport.counters.counts["fleet.flooded"] > 15_000
    flooded = transport.counters.counts["fleet.flooded"]
    for _ in range(int(MAX_BURST)):
        transport.receive(b"", ("127.0.0.1", 1))
    assert transport.counters.counts["fleet.flooded"] == flooded
    transport.receive(b"", ("127.0.0.1", 1))
    assert transport.counters.counts["fleet.flooded"] == flooded + 1  # a peer's rate is limited as well
    transport.set_peers({"n1": ("127.0.0.1", 2)})
    assert list(transport.peer_buckets) == [("127.0.0.1", 2)]
