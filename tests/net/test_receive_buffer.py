"""The receive buffer of a connection, and the growth budget that all buffers share."""

import socket

import pytest

from cypressledge.net import receive_buffer
from cypressledge.net.receive_buffer import (
    INITIAL_SIZE,
    SHRINK_THRESHOLD,
    BufferLimitError,
    ByteBudget,
    ReceiveBuffer,
)

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
        sent = sender.send(data[:INITIAL_SIZE])
        data = data[sent:]
        assert buffer.receive(receiver) > 0


def test_a_budget_reserves_up_to_its_limit_or_nothing():
    budget = ByteBudget(10)
    assert budget.reserve(10)
    assert not budget.reserve(1)
    assert budget.used == 10
    budget.release(4)
    assert budget.reserve(4)


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
    sender.sendall(bytes(INITIAL_SIZE))
    assert buffer.receive(receiver) == INITIAL_SIZE
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
    buffer = ReceiveBuffer(INITIAL_SIZE)
    receive_all(buffer, sockets, bytes(INITIAL_SIZE))
    with pytest.raises(BufferLimitError, match=f"{INITIAL_SIZE} bytes unread"):
        buffer.receive(sockets[0])


def test_growth_is_charged_to_the_budget_and_returned(budget, sockets):
    buffer = ReceiveBuffer(LIMIT)
    receive_all(buffer, sockets, bytes(SHRINK_THRESHOLD + 1))
    assert budget.used == len(buffer.data) - INITIAL_SIZE
    buffer.take_all()
    assert (budget.used, len(buffer.data)) == (0, INITIAL_SIZE)
    receive_all(buffer, sockets, bytes(INITIAL_SIZE + 1))
    assert budget.used == INITIAL_SIZE
    del buffer
    assert budget.used == 0


def test_a_buffer_cannot_grow_beyond_the_budget_of_all(budget, sockets):
    budget.limit = 0
    buffer = ReceiveBuffer(LIMIT)
    receive_all(buffer, sockets, bytes(INITIAL_SIZE))
    with pytest.raises(BufferLimitError, match="all buffers together"):
        buffer.receive(sockets[0])


def test_space_of_consumed_bytes_is_reused_before_the_buffer_grows(budget, sockets):
    budget.limit = 0
    buffer = ReceiveBuffer(LIMIT)
    receive_all(buffer, sockets, bytes(INITIAL_SIZE - 3) + b"abc")
    buffer.take(INITIAL_SIZE - 3)
    receive_all(buffer, sockets, b"def")
    assert buffer.take_all() == b"abcdef"
