"""Framing by a `Content-Length` header before each message, as in the Language Server Protocol."""

from collections.abc import Callable
from dataclasses import dataclass

from cypressledge.net.jsonrpc.errors import FramingError
from cypressledge.net.jsonrpc.message_outline import MessageOutline
from cypressledge.net.receive_buffer import ReceiveBuffer

MAX_HEADER_SIZE = 1024  # bytes
MAX_BODY_SIZE = 512 << 10  # bytes
HEADER_END = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Frame:
    """One complete message."""

    body: bytes
    is_outline: bool = False  # the message was not stored, and the body lacks its long strings


class FrameReader:
    """Splits the bytes that a client sends into messages.

    The incomplete messages of all clients share a budget. When it is exhausted, the largest of them is no
    longer stored, but read to its end like any other: its call can still be answered, by its outline, and so
    can the messages behind it.
    """

    def __init__(self, on_skip: Callable[[], None]) -> None:
        """`on_skip` is called when a message is no longer stored."""
        self.buffer = ReceiveBuffer(MAX_BODY_SIZE + MAX_HEADER_SIZE, on_give_up=self._skip_message)
        self._on_skip = on_skip
        self._outline: MessageOutline | None = None  # of the message that is not stored
        self._outline_remaining = 0  # bytes of that message that have not been received

    def has_incomplete_message(self) -> bool:
        """Return whether a part of a message has been received."""
        return bool(len(self.buffer)) or self._outline is not None

    def take(self) -> Frame | None:
        """Remove and return the next message; None until it is complete.

        Raises `FramingError`, and `BufferLimitError` if the header does not end within its limit."""
        if self._outline is not None:
            return self._take_outline(self._outline)
        header = self.buffer.peek_until(HEADER_END, MAX_HEADER_SIZE)
        if header is None:
            return None
        header_size, size = len(header) + len(HEADER_END), _content_length(header)
        if len(self.buffer) < header_size + size:
            return None
        self.buffer.take(header_size)
        body = self.buffer.take(size)
        assert body is not None
        return Frame(body)

    def close(self) -> None:
        """Drop an incomplete message, and return its bytes to the budget."""
        self.buffer.close()

    def _skip_message(self) -> None:
        """Store no more of the incomplete message than its outline.

        Its header is complete: a header alone is never charged to the budget."""
        header = self.buffer.peek_until(HEADER_END, MAX_HEADER_SIZE)
        assert header is not None
        self.buffer.take(len(header) + len(HEADER_END))
        self._outline, self._outline_remaining = MessageOutline(), _content_length(header)
        self._take_outline(self._outline)
        self._on_skip()

    def _take_outline(self, outline: MessageOutline) -> Frame | None:
        part = self.buffer.take(min(len(self.buffer), self._outline_remaining)) or b""
        outline.add(part)
        self._outline_remaining -= len(part)
        if self._outline_remaining:
            return None
        self._outline = None
        return Frame(outline.text(), is_outline=True)


def _content_length(header: bytes) -> int:
    """Return the size of the body that a header announces. Raises `FramingError`."""
    size = None
    for line in header.split(b"\r\n"):
        name, colon, value = line.partition(b":")
        if not colon:
            raise FramingError("head line without a colon")
        if name.strip().lower() == b"content-length":
            value = value.strip()
            if not value.isdigit() or size is not None:
                raise FramingError("Content-Length is no number")
            size = int(value)
    if size is None or size > MAX_BODY_SIZE:
        raise FramingError("no Content-Length" if size is None else "frame too long")
    return size
