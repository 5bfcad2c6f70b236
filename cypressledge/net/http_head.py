"""Limits on what is not body in an HTTP message: its first line, header fields, chunk sizes and trailers.

httptools reports a header field only once its end has been received, and holds it until then. Its callbacks
therefore cannot limit a field, and the bytes that are passed to the parser have to be counted.
"""

from dataclasses import dataclass

FIELD_OVERHEAD = 256  # bytes of memory for one stored header field, in addition to its text


class HeadLimitError(ValueError):
    """A head, or one field of it, that exceeds its limits."""


@dataclass(frozen=True, slots=True)
class HeadLimits:
    """The limits on one head. Trailers, and the chunk sizes between two parts of a body, count as one too."""

    max_size: int  # bytes
    max_field_size: int  # bytes; also the limit on any other line
    max_fields: int


class HeadMeter:
    """Counts the bytes and the fields of a head while it is parsed."""

    def __init__(self, limits: HeadLimits) -> None:
        self._limits = limits
        self._is_field_ended = False
        self.restart()

    def restart(self) -> None:
        """Count from 0 again: a message has begun, or a part of its body has been received."""
        self._size = self._unfinished = self._field_count = 0
        self._is_field_ended = True

    def end_field(self) -> None:
        """Count one header field that the parser has reported. Raises `HeadLimitError`."""
        self._is_field_ended = True
        self._field_count += 1
        if self._field_count > self._limits.max_fields:
            raise HeadLimitError(f"more than {self._limits.max_fields} header fields")

    def add_parsed(self, size: int) -> None:
        """Count the bytes of one call of the parser, without those of a body. Raises `HeadLimitError`."""
        self._size += size
        self._unfinished = size if self._is_field_ended else self._unfinished + size
        self._is_field_ended = False
        if self._size > self._limits.max_size or self._unfinished > self._limits.max_field_size:
            raise HeadLimitError(f"a head of {self._size} bytes, {self._unfinished} of them unfinished")

    @property
    def unfinished_size(self) -> int:
        """The maximum number of bytes that the parser holds of a field whose end has not been received."""
        return self._unfinished

    @property
    def stored_size(self) -> int:
        """The memory in bytes of a head whose fields are all stored."""
        return self._size + self._field_count * FIELD_OVERHEAD
