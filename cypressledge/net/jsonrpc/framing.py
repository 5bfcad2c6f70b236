"""Framing by a `Content-Length` header before each message, as in the Language Server Protocol."""

from cypressledge.net.jsonrpc.errors import FramingError
from cypressledge.net.receive_buffer import ReceiveBuffer

MAX_HEADER_SIZE = 1024  # bytes
MAX_BODY_SIZE = 512 << 10  # bytes


def take_frame(buffer: ReceiveBuffer) -> bytes | None:
    """Remove one message from the buffer and return its body; None until it is complete.

    Raises `FramingError`, and `BufferLimitError` if the header does not end within its limit."""
    header = buffer.peek_until(b"\r\n\r\n", MAX_HEADER_SIZE)
    if header is None:
        return None
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
    frame = buffer.take(len(header) + 4 + size)
    return None if frame is None else frame[len(header) + 4 :]
