"""Parsing of engines' messages: a line `ID WORD FIELDS SIZE`, then SIZE bytes of body and a line end."""

from cypressledge.decisions.contract import ProgressKind
from cypressledge.net.receive_buffer import ReceiveBuffer

MAX_LINE_SIZE = 1024  # bytes
MAX_PAGE_SIZE = 6000  # bytes
MAX_RESULT_SIZE = 48_000  # bytes
MAX_PAGES = 64  # per result; pages hold complete rows, so they are seldom less than half full
COLUMN_COUNT = 3  # columns of each row
MAX_PROGRESS_VALUE = 1e9
STATUS_WORDS = frozenset((b"200", b"503", b"500", b"504", b"status", b"chunk"))
PROGRESS_KINDS = {
    b"done": ProgressKind.PROGRESS,
    b"spills": ProgressKind.SPILLING,
    b"waits": ProgressKind.WAITING,
}

Fields = dict[bytes, bytes]


class MalformedMessageError(Exception):
    """A message of an engine that does not follow the line protocol."""


def take_message(buffer: ReceiveBuffer) -> tuple[bytes, bytes, bytes, bytes] | None:
    """Remove one message from the buffer: id, status word, fields and body; None until it is complete.

    Raises `MalformedMessageError`, and `BufferLimitError` if a line does not end within its limit."""
    line = buffer.peek_until(b"\r\n", MAX_LINE_SIZE)
    if line is None:
        return None
    words = line.split(b" ")
    if len(words) != 4 or not words[3].isdigit() or int(words[3]) > MAX_PAGE_SIZE:
        raise MalformedMessageError(line[:80])
    size = int(words[3])
    message = buffer.take(len(line) + 2 + size + 2)
    if message is None:
        return None
    body = message[len(line) + 2 :]
    if body[size:] != b"\r\n":
        raise MalformedMessageError(line[:80])
    return words[0], words[1], words[2], body[:size]


def parse_fields(fields: bytes) -> Fields:
    """Return `name=value,…` as a dict; `-` stands for no fields. Raises `MalformedMessageError`."""
    if fields == b"-":
        return {}
    pairs = [field.split(b"=", 1) for field in fields.split(b",")]
    if any(len(pair) != 2 for pair in pairs):
        raise MalformedMessageError(fields[:80])
    return dict(pairs)


def parse_count(fields: Fields, name: bytes, minimum: int, maximum: int) -> int:
    """Return a field's integer, which must be within the bounds. Raises `MalformedMessageError`."""
    value = fields.get(name, b"")
    if not value.isdigit() or not minimum <= int(value) <= maximum:
        raise MalformedMessageError(name)
    return int(value)


def parse_progress_value(fields: Fields) -> float:
    """Return the value of a progress message. Raises `MalformedMessageError`.

    Invalid values are rejected, because the decisions calculate with them."""
    try:
        value = float(fields.get(b"reading", b""))
    except ValueError:
        raise MalformedMessageError(b"reading") from None
    if not 0 <= value <= MAX_PROGRESS_VALUE:  # NaN fails the comparison
        raise MalformedMessageError(b"reading")
    return value


def has_complete_rows(body: bytes) -> bool:
    """Return whether a page is text in complete rows; corrupt pages must not be passed on."""
    if not body:
        return True
    rows = body.split(b"\n")
    try:
        text = body.decode()
    except UnicodeDecodeError:
        return False
    return not rows.pop() and "\0" not in text and all(row.count(b"\t") == COLUMN_COUNT - 1 for row in rows)
