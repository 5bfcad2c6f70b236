"""Parsing of engines' messages on the line protocol, valid and malformed."""

import socket

import pytest

from cypressledge.decisions.contract import ProgressKind
from cypressledge.net.line_protocol.messages import (
    COLUMN_COUNT,
    MAX_LINE_SIZE,
    MAX_PAGE_SIZE,
    MAX_PROGRESS_VALUE,
    PROGRESS_KINDS,
    MalformedMessageError,
    has_complete_rows,
    parse_count,
    parse_fields,
    parse_progress_value,
    take_message,
)
from cypressledge.net.receive_buffer import BufferLimitError, ReceiveBuffer


def received(data):
    """Return a buffer that contains these bytes."""
    buffer = ReceiveBuffer(1 << 20)
    receiver, sender = socket.socketpair()
    with receiver, sender:
        sender.sendall(data)
        while len(buffer) < len(data):
            buffer.receive(receiver)
    return buffer


def test_a_message_is_id_status_word_fields_and_body():
    buffer = received(b"00aa 200 count=1 4\r\nrow\n\r\n00bb 503 - 0\r\n\r\n")
    assert take_message(buffer) == (b"00aa", b"200", b"count=1", b"row\n")
    assert take_message(buffer) == (b"00bb", b"503", b"-", b"")
    assert take_message(buffer) is None


@pytest.mark.parametrize("data", [b"00aa 200 count=1 4", b"00aa 200 count=1 4\r\nrow\n\r"])
def test_an_incomplete_message_stays_in_the_buffer(data):
    buffer = received(data)
    assert take_message(buffer) is None
    assert len(buffer) == len(data)


@pytest.mark.parametrize(
    "data",
    [
        b"00aa 200 4\r\n",
        b"00aa 200 count=1 4 more\r\n",
        b"00aa 200 count=1 -4\r\n",
        b"00aa 200 count=1 %d\r\n" % (MAX_PAGE_SIZE + 1),
        b"00aa 200 count=1 2\r\nrow\n\r\n",
    ],
)
def test_a_message_of_another_format_is_malformed(data):
    with pytest.raises(MalformedMessageError):
        take_message(received(data))


def test_a_page_of_the_maximum_size_is_accepted():
    body = b"x" * MAX_PAGE_SIZE
    message = take_message(received(b"00aa 200 count=1 %d\r\n%s\r\n" % (len(body), body)))
    assert message == (b"00aa", b"200", b"count=1", body)


def test_a_line_that_does_not_end_is_an_error():
    with pytest.raises(BufferLimitError):
        take_message(received(b"x" * (MAX_LINE_SIZE + 1)))


def test_fields_are_pairs_or_a_dash():
    assert parse_fields(b"-") == {}
    assert parse_fields(b"note=done,reading=0.4") == {b"note": b"done", b"reading": b"0.4"}
    with pytest.raises(MalformedMessageError):
        parse_fields(b"note=done,reading")


def test_a_count_is_a_whole_number_within_its_bounds():
    assert parse_count({b"count": b"1"}, b"count", 1, 64) == 1
    assert parse_count({b"count": b"64"}, b"count", 1, 64) == 64
    for value in (b"0", b"65", b"-1", b"1.5", b""):
        with pytest.raises(MalformedMessageError):
            parse_count({b"count": value}, b"count", 1, 64)
    with pytest.raises(MalformedMessageError):
        parse_count({}, b"count", 1, 64)


def test_a_progress_value_is_a_number_within_its_bounds():
    assert parse_progress_value({b"reading": b"0"}) == 0.0
    assert parse_progress_value({b"reading": b"1e9"}) == MAX_PROGRESS_VALUE
    for fields in ({b"reading": b"nan"}, {b"reading": b"-1"}, {b"reading": b"1.1e9"}, {b"reading": b"x"}, {}):
        with pytest.raises(MalformedMessageError):
            parse_progress_value(fields)


def test_rows_are_complete_text_of_three_columns():
    assert COLUMN_COUNT == 3
    for body in (b"", b"a\tb\tc\n", b"a\tb\tc\nd\te\tf\n", b"\t\t\n"):
        assert has_complete_rows(body)
    for body in (b"a\tb\tc", b"a\tb\n", b"a\tb\tc\td\n", b"a\tb\t\xff\n", b"a\tb\t\0\n", b"\n"):
        assert not has_complete_rows(body)


def test_progress_kinds_by_the_words_of_the_protocol():
    assert PROGRESS_KINDS == {
        b"done": ProgressKind.PROGRESS,
        b"spills": ProgressKind.SPILLING,
        b"waits": ProgressKind.WAITING,
    }
