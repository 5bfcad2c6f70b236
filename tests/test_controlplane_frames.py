"""Frames over a real socket: their bounds."""

import os

import gevent
import pytest
from gevent import socket

from cypressledge.controlplane.framing import Ended, Frames, Traffic
from cypressledge.controlplane.messages import CompleteSnapshot


@pytest.fixture
def pair():
    """Two ends; the second takes small frames only, as before a Hello."""
    ends = [
        Frames(sock, Traffic(), most)
        for sock, most in zip(socket.socketpair(), (4 << 20, 4 << 10), strict=True)
    ]
    yield ends
    for end in ends:
        end.close()


def test_frames_may_be_larger_once_it_is_known_who_sends(pair):
    large = CompleteSnapshot(os.urandom(300_000))
    pair[1].allow(4 << 20)
    gevent.spawn(pair[0].send, large)
    assert pair[1].receive(5) == large


def test_a_frame_over_the_bound_ends_the_connection(pair):
    gevent.spawn(pair[0].send, CompleteSnapshot(bytes(5_000)))
    with pytest.raises(Ended, match="a frame of"):
        pair[1].receive(5)
