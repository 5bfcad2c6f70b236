"""Size limits of frames over a real socket."""

import os

import gevent
import pytest
from gevent import socket

from cypressledge.controlplane.framing import ConnectionEndedError, FramedConnection
from cypressledge.controlplane.messages import CompleteSnapshot
from cypressledge.controlplane.traffic_counters import TrafficCounters


@pytest.fixture
def pair():
    """Two ends of a connection; the second accepts only small frames, as before a Hello."""
    ends = [
        FramedConnection(sock, TrafficCounters(), max_frame_bytes)
        for sock, max_frame_bytes in zip(socket.socketpair(), (4 << 20, 4 << 10), strict=True)
    ]
    yield ends
    for end in ends:
        end.close()


def test_larger_frames_are_accepted_after_the_limit_is_raised(pair):
    large = CompleteSnapshot(os.urandom(300_000))
    pair[1].set_max_frame_bytes(4 << 20)
    gevent.spawn(pair[0].send, large)
    assert pair[1].receive(5) == large


def test_frame_over_the_limit_ends_the_connection(pair):
    gevent.spawn(pair[0].send, CompleteSnapshot(bytes(5_000)))
    with pytest.raises(ConnectionEndedError, match="a frame of"):
        pair[1].receive(5)
