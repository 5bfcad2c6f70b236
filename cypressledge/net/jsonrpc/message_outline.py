"""Outline of a message that is too large to be stored: its JSON text without the long strings."""

import re

MAX_STRING_SIZE = 256  # bytes; ids, names and keys are shorter, statements are longer
MAX_OUTLINE_SIZE = 4096  # bytes
STRING_CONTENT = re.compile(rb'(?:[^"\\]++|\\.)*+', re.DOTALL)  # up to the closing quote, or a part's end
BACKSLASH = b"\\"


class MessageOutline:
    """A JSON text whose long strings are replaced by empty ones, built from consecutive parts of the text.

    It tells which call a message makes, so that the call can be rejected under its own id."""

    def __init__(self) -> None:
        self._kept = bytearray()
        self._string: bytearray | None = None  # beginning of the string that is being read, None outside
        self._ends_in_escape = False  # the last part ended behind a backslash

    def add(self, part: bytes) -> None:
        """Add the next part of the text. Nothing is kept beyond the maximum size."""
        position = 0
        while position < len(part) and len(self._kept) <= MAX_OUTLINE_SIZE:
            if self._string is None:
                position = self._add_outside_strings(part, position)
            else:
                position = self._add_to_string(self._string, part, position)

    def text(self) -> bytes:
        """Return the outline; it is no valid JSON if the text is none, or exceeds the maximum size."""
        return bytes(self._kept)

    def _add_outside_strings(self, part: bytes, position: int) -> int:
        """Keep the bytes up to the next string; return the position behind them."""
        end = part.find(b'"', position) + 1
        if end:
            self._string = bytearray()
        else:
            end = len(part)
        self._kept += part[position : min(end, position + MAX_OUTLINE_SIZE + 1)]
        return end

    def _add_to_string(self, string: bytearray, part: bytes, position: int) -> int:
        """Skip the content of a string, and keep it if it is short; return the position behind it."""
        begin, position = position, position + self._ends_in_escape
        content = STRING_CONTENT.match(part, position)
        end = content.end() if content is not None else position
        self._ends_in_escape = part[end : end + 1] == BACKSLASH
        end += self._ends_in_escape
        if len(string) <= MAX_STRING_SIZE:
            string += part[begin : min(end, begin + MAX_STRING_SIZE + 1)]
        if end == len(part):
            return end
        if len(string) <= MAX_STRING_SIZE:
            self._kept += string
        self._kept += b'"'
        self._string = None
        return end + 1
