"""The receive buffer of a connection, and the growth budget that all buffers share."""

import socket

import pytest

from cypressledge.net import receive_buffer
from cypressledge.net.byte_budget import ByteBudget
from cypressledge.net.receive_buffer import READ_SIZE, UNCHARGED_SIZE, BufferLimitError, ReceiveBuffer

LIMIT = 1 << 20  # bytes, more than any test here sends


@pytest.fixture
def budget(monkeypatch):
    """A separate growth budget for the buffers of this test."""
    own_budget = ByteBudget(LIMIT)
    monkeypatch.setattr(receive_buffer, "BUFFER_GROWTH", own_budget)
    return own_budget


@pytest.fixture
def sockets():
    """Two connected sockets: the first receives what is sent on the second."""
    receiver, sender = socket.socketpair()
    receiver.settimeout(5.0)  # a read that would block forever fails its test
    with receiver, sender:
        yield receiver, sender


def receive_all(buffer, sockets, data):
    """Send the bytes, and read them into the buffer."""
    receiver, sender = sockets
    expected = len(buffer) + len(data)
    while data or len(buffer) < expected:
        sent = sender.send(data[:UNCHARGED_SIZE])
        data = data[sent:]
        assert buffer.receive(receiver) > 0


def receive_nothing(buffer):
    """Wait for bytes that do not come: what the buffer holds is charged."""
    receiver, sender = socket.socketpair()
    with receiver, sender:
        receiver.setblocking(False)
        with pytest.raises(BlockingIOError):
            buffer.receive(receiver)


def test_bytes_are_taken_in_order_once_enough_have_been_received(budget, sockets):
    buffer = ReceiveBuffer(LIMIT)
    receive_all(buffer, sockets, b"abcdef")
    assert buffer.take(7) is None
    assert buffer.take(2) == b"ab"
    assert len(buffer) == 4
    assert buffer.take_all() == b"cdef"
    assert len(buffer) == 0


def test_the_end_of_the_stream_reads_as_no_bytes(budget, sockets):
    receiver, sender = sockets
    sender.close()
    assert ReceiveBuffer(LIMIT).receive(receiver) == 0


def test_a_read_that_uses_all_free_space_sets_was_filled(budget, sockets):
    receiver, sender = sockets
    buffer = ReceiveBuffer(LIMIT)
    sender.sendall(bytes(READ_SIZE))
    assert buffer.receive(receiver) == READ_SIZE
    assert buffer.was_filled
    sender.sendall(b"x")
    assert buffer.receive(receiver) == 1
    assert not buffer.was_filled


def test_a_line_is_peeked_at_and_stays_in_the_buffer(budget, sockets):
    buffer = ReceiveBuffer(LIMIT)
    receive_all(buffer, sockets, b"head")
    assert buffer.peek_until(b"\r\n", 8) is None
    receive_all(buffer, sockets, b"\r\nrest")
    assert buffer.peek_until(b"\r\n", 8) == b"head"
    assert len(buffer) == 10


def test_a_line_of_the_maximum_length_is_accepted(budget, sockets):
    buffer = ReceiveBuffer(LIMIT)
    receive_all(buffer, sockets, b"12345678\r\n")
    assert buffer.peek_until(b"\r\n", 8) == b"12345678"


def test_a_line_longer_than_its_limit_is_an_error(budget, sockets):
    buffer = ReceiveBuffer(LIMIT)
    receive_all(buffer, sockets, b"12345678")
    assert buffer.peek_until(b"\r\n", 8) is None
    receive_all(buffer, sockets, b"9")
    with pytest.raises(BufferLimitError, match="no end of line in 8 bytes"):
        buffer.peek_until(b"\r\n", 8)


def test_unread_bytes_beyond_the_limit_are_an_error(budget, sockets):
    buffer = ReceiveBuffer(UNCHARGED_SIZE)
    receive_all(buffer, sockets, bytes(UNCHARGED_SIZE))
    with pytest.raises(BufferLimitError, match=f"{UNCHARGED_SIZE} bytes unread"):
        buffer.receive(sockets[0])


def test_bytes_that_are_held_are_charged_to_the_budget_and_returned(budget, sockets):
    buffer = ReceiveBuffer(LIMIT)
    receive_all(buffer, sockets, bytes(READ_SIZE))
    receive_nothing(buffer)
    assert budget.used == READ_SIZE - UNCHARGED_SIZE
    buffer.take(READ_SIZE - UNCHARGED_SIZE - 1)
    assert budget.used == 1
    buffer.take_all()
    assert budget.used == 0
    receive_all(buffer, sockets, bytes(UNCHARGED_SIZE + 1))
    receive_nothing(buffer)
    assert budget.used == 1
    del buffer
    assert budget.used == 0


def test_bytes_that_are_consumed_at_once_are_never_charged(budget, sockets):
    budget.limit = 0
    receiver, sender = sockets
    buffer = ReceiveBuffer(LIMIT)
    for _ in range(2):
        sender.sendall(bytes(READ_SIZE))
        assert buffer.receive(receiver) == READ_SIZE
        assert buffer.take_all() == bytes(READ_SIZE)


def test_a_buffer_cannot_grow_beyond_the_budget_of_all(budget, sockets):
    budget.limit = 0
    buffer = ReceiveBuffer(LIMIT)
    receive_all(buffer, sockets, bytes(UNCHARGED_SIZE))
    receive_all(buffer, sockets, b"x")
    with pytest.raises(BufferLimitError, match="all buffers together"):
        buffer.receive(sockets[0])


def test_the_largest_buffer_gives_up_its_bytes_whichever_grows(budget, sockets):
    given_up, buffers = [], {}
    for name in ("small", "large"):
        buffers[name] = ReceiveBuffer(
            LIMIT, on_give_up=lambda name=name: given_up.append((name, len(buffers[name].take_all())))
        )
    small, large = buffers.values()
    budget.limit = 3 * UNCHARGED_SIZE
    receive_all(large, sockets, bytes(4 * UNCHARGED_SIZE))
    receive_nothing(large)
    receive_all(small, sockets, bytes(2 * UNCHARGED_SIZE))
    receive_nothing(small)
    assert (given_up, budget.used) == ([("large", 4 * UNCHARGED_SIZE)], UNCHARGED_SIZE)
    receive_all(large, sockets, bytes(4 * UNCHARGED_SIZE))
    receive_nothing(large)  # it is the largest again, and the one that grows
    assert given_up[1:] == [("large", 4 * UNCHARGED_SIZE)]
    small.close()
    assert (budget.used, budget.holders) == (0, set())


def test_space_of_consumed_bytes_is_reused_before_the_buffer_grows(budget, sockets):
    budget.limit = 0
    buffer = ReceiveBuffer(LIMIT)
    receive_all(buffer, sockets, bytes(UNCHARGED_SIZE - 3) + b"abc")
    buffer.take(UNCHARGED_SIZE - 3)
    receive_all(buffer, sockets, b"def")
    assert buffer.take_all() == b"abcdef"
