"""The queue of received bytes, stored in parts."""

from hypothesis import given
from hypothesis import strategies as st

from cypressledge.net.byte_queue import PART_SIZE, ByteQueue

PIECES = st.lists(st.binary(max_size=40) | st.integers(1, 3 * PART_SIZE).map(bytes), max_size=12)


def filled(*pieces):
    queue = ByteQueue()
    for piece in pieces:
        queue.append(memoryview(piece))
    return queue


@given(PIECES, st.lists(st.integers(0, 2 * PART_SIZE), max_size=8))
def test_bytes_are_taken_in_order_however_they_were_added(pieces, sizes):
    queue, expected = filled(*pieces), b"".join(pieces)
    for size in sizes:
        size = min(size, len(queue))
        assert queue.take(size) == expected[:size]
        expected = expected[size:]
        assert len(queue) == len(expected)
    assert queue.take(len(queue)) == expected


@given(PIECES, st.integers(1, 3 * PART_SIZE))
def test_parts_add_up_to_the_bytes_added(pieces, max_size):
    queue, taken = filled(*pieces), []
    while len(queue):
        taken.append(queue.take_part(max_size))
        assert 0 < len(taken[-1]) <= max_size
    assert b"".join(taken) == b"".join(pieces)


def test_a_delimiter_is_found_across_parts_up_to_the_end_of_the_search():
    queue = filled(bytes(PART_SIZE - 1), b"\r", bytes(PART_SIZE), b"\n")
    assert queue.find(b"\r", PART_SIZE) == PART_SIZE - 1
    assert queue.find(b"\r\0", PART_SIZE) == -1
    assert queue.find(b"\r\0", PART_SIZE + 1) == PART_SIZE - 1
    assert queue.peek(PART_SIZE)[-1:] == b"\r"
    assert queue.find(b"\n", 3 * PART_SIZE) == 2 * PART_SIZE


def test_an_empty_queue_has_nothing_to_find_or_take():
    queue = filled(b"")
    assert (queue.find(b"x", 10), queue.take(0), queue.peek(0), len(queue)) == (-1, b"", b"", 0)
    queue = filled(b"abc")
    queue.clear()
    assert (queue.find(b"a", 10), len(queue)) == (-1, 0)
