"""Framing by a `Content-Length` header before each message, as in the Language Server Protocol."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from cypressledge.net.jsonrpc.errors import ErrorCode, FramingError, JsonRpcError
from cypressledge.net.jsonrpc.message_outline import MessageOutline
from cypressledge.net.receive_buffer import ReceiveBuffer

MAX_HEADER_SIZE = 1024  # bytes
MAX_BODY_SIZE = 512 << 10  # bytes
MAX_SKIPPED_BODY_SIZE = 8 << 20  # bytes; a larger body is not even read to its end
MAX_VALUES = 1000  # of one message; each may take a hundred bytes, many times the size of its text
HEADER_END = b"\r\n\r\n"


class SkipReason(Enum):
    """Why a message was not stored."""

    TOO_LARGE = auto()
    NO_MEMORY = auto()  # the incomplete messages of all clients together filled the buffers


@dataclass(frozen=True, slots=True)
class Frame:
    """One complete message. If it was not stored, the body lacks its long strings."""

    body: bytes
    skip_reason: SkipReason | None = None


@dataclass(slots=True)
class SkippedMessage:
    """A message that is read to its end, but not stored."""

    reason: SkipReason
    remaining: int  # bytes that have not been received
    outline: MessageOutline = field(default_factory=MessageOutline)


class FrameReader:
    """Splits the bytes that a client sends into messages.

    A message that is too large is not stored, but read to its end like any other: its call can be answered by
    its outline, and so can the messages behind it. The incomplete messages of all clients share a budget.
    When it is exhausted, the largest of them is no longer stored.
    """

    def __init__(self, on_skip: Callable[[], None]) -> None:
        """`on_skip` is called when a message is no longer stored for lack of memory."""
        self.buffer = ReceiveBuffer(MAX_BODY_SIZE + MAX_HEADER_SIZE, on_give_up=self._give_up_message)
        self._on_skip = on_skip
        self._skipped: SkippedMessage | None = None

    def has_incomplete_message(self) -> bool:
        """Return whether a part of a message has been received."""
        return bool(len(self.buffer)) or self._skipped is not None

    def take(self) -> Frame | None:
        """Remove and return the next message; None until it is complete.

        Raises `FramingError`, and `BufferLimitError` if the header does not end within its limit."""
        if self._skipped is not None:
            return self._take_skipped(self._skipped)
        header = self.buffer.peek_until(HEADER_END, MAX_HEADER_SIZE)
        if header is None:
            return None
        header_size, size = len(header) + len(HEADER_END), _content_length(header)
        if size > MAX_BODY_SIZE:
            return self._skip_message(header_size, size, SkipReason.TOO_LARGE)
        if len(self.buffer) < header_size + size:
            return None
        self.buffer.take(header_size)
        body = self.buffer.take(size)
        assert body is not None
        return Frame(body)

    def close(self) -> None:
        """Drop an incomplete message, and return its bytes to the budget."""
        self.buffer.close()

    def _give_up_message(self) -> None:
        """Store no more of the incomplete message than its outline.

        Its header is complete: a header alone is never charged to the budget."""
        header = self.buffer.peek_until(HEADER_END, MAX_HEADER_SIZE)
        assert header is not None
        self._skip_message(len(header) + len(HEADER_END), _content_length(header), SkipReason.NO_MEMORY)
        self._on_skip()

    def _skip_message(self, header_size: int, size: int, reason: SkipReason) -> Frame | None:
        self.buffer.take(header_size)
        self._skipped = SkippedMessage(reason, size)
        return self._take_skipped(self._skipped)

    def _take_skipped(self, skipped: SkippedMessage) -> Frame | None:
        while part := self.buffer.take_part(skipped.remaining):
            skipped.outline.add(part)
            skipped.remaining -= len(part)
        if skipped.remaining:
            return None
        self._skipped = None
        return Frame(skipped.outline.text(), skipped.reason)


def parse_message(body: bytes) -> Any:
    """Return the JSON value of a message. Raises `JsonRpcError`.

    Characters that may separate values are counted before; statements contain none, as they are base64."""
    if body.count(b",") + body.count(b"[") + body.count(b"{") > MAX_VALUES:
        raise JsonRpcError(ErrorCode.PARSE_ERROR, "too many values in a message")
    try:
        return json.loads(body)
    except (ValueError, RecursionError):
        raise JsonRpcError(ErrorCode.PARSE_ERROR, "not JSON") from None


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
    if size is None or size > MAX_SKIPPED_BODY_SIZE:
        raise FramingError("no Content-Length" if size is None else "frame too long")
    return size
