"""The send queue of a connection, with slow peers and process-wide limits."""

import unittest
from unittest.mock import patch

import gevent
import gevent.socket
import pytest

from cypressledge.net.socket_writer import QUEUED_BYTES, SocketWriter


class SlowReaders(unittest.TestCase):
    """Several peers that do not read exhaust the budget of queued bytes."""

    def test_the_connection_with_the_most_queued_bytes_fails_not_the_next_writer(self):
        """Regression: a client that read all its answers was disconnected because others did not."""
        self.enterContext(patch.object(QUEUED_BYTES, "limit", 3 << 19))
        pairs = [gevent.socket.socketpair() for _ in range(3)]
        failed = []
        slow, slower, good = (
            SocketWriter(ours, 4 << 20, 30.0, lambda reason, number=number: failed.append(number))
            for number, (ours, _) in enumerate(pairs)
        )
        for writer, size in ((slow, 1 << 20), (slower, 1 << 20), (slow, 512 << 10), (slower, 900 << 10)):
            writer.write(b"x" * size)
            gevent.sleep(0.01)
        good.write(b"y" * (900 << 10))
        received_bytes = 0
        with gevent.Timeout(5):
            while received_bytes < 900 << 10:
                received_bytes += len(pairs[2][1].recv(1 << 20))
        assert failed == [1]
        for pair in pairs:
            for sock in pair:
                sock.close()


LARGE = b"x" * (8 << 20)  # more than the kernel takes from a socket whose peer does not read


@pytest.fixture
def sockets():
    """Two connected sockets: the first is written to, the second is the peer."""
    ours, theirs = gevent.socket.socketpair()
    with ours, theirs, gevent.Timeout(5):
        yield ours, theirs


@pytest.fixture
def failures():
    """The reasons with which connections failed."""
    return []


def received(sock, size):
    data = b""
    while len(data) < size:
        data += sock.recv(size - len(data))
    return data


def test_parts_are_sent_in_order(sockets, failures):
    ours, theirs = sockets
    writer = SocketWriter(ours, 1 << 20, 30.0, failures.append)
    writer.write(b"head,", b"body,")
    writer.write(b"next")
    assert not writer.flushed.is_set()
    assert received(theirs, 14) == b"head,body,next"
    writer.flushed.wait()
    assert (writer.queued_bytes, failures) == (0, [])


def test_bytes_are_dropped_if_should_send_returns_false(sockets, failures):
    ours, theirs = sockets
    writer = SocketWriter(ours, 1 << 20, 30.0, failures.append)
    writer.write(b"dropped", should_send=lambda: False)
    writer.write(b"sent", should_send=lambda: True)
    assert received(theirs, 4) == b"sent"


def test_a_connection_fails_beyond_the_limit_of_queued_bytes(sockets, failures):
    ours, _ = sockets
    used = QUEUED_BYTES.used
    writer = SocketWriter(ours, 10, 30.0, failures.append)
    writer.write(b"x" * 10)
    assert failures == []
    writer.write(b"x")
    assert failures == ["peer does not read"]
    assert (writer.closed, writer.queued_bytes, QUEUED_BYTES.used) == (True, 0, used)


def test_a_connection_fails_if_a_send_takes_too_long(sockets, failures):
    ours, _ = sockets
    writer = SocketWriter(ours, len(LARGE), 0.05, failures.append)
    writer.write(LARGE)
    writer.flushed.wait()
    assert failures == ["write: 0.05 seconds"]


def test_a_streamed_answer_continues_below_the_low_water_mark(sockets, failures):
    ours, theirs = sockets
    writer = SocketWriter(ours, len(LARGE), 30.0, failures.append)
    writer.write(b"x" * (256 << 10))
    assert writer.below_low_water.is_set()
    writer.write(b"x")
    assert not writer.below_low_water.is_set()
    received(theirs, (256 << 10) + 1)
    writer.below_low_water.wait()


def test_bytes_queued_before_a_close_are_sent_and_later_writes_are_dropped(sockets, failures):
    ours, theirs = sockets
    writer = SocketWriter(ours, 1 << 20, 30.0, failures.append)
    drained = []
    writer.write(b"answer")
    writer.close(lambda: drained.append(received(theirs, 6)))
    writer.write(b"too late")
    assert drained == []
    writer.flushed.wait()
    gevent.sleep(0)
    assert drained == [b"answer"]
    ours.shutdown(gevent.socket.SHUT_WR)
    assert theirs.recv(8) == b""
    writer.close(lambda: drained.append("at once"))
    assert drained[1:] == ["at once"]
