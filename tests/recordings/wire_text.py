"""The text in which recorded messages are kept: titles, escaped bytes, names in place of volatile values."""

import re

VOLATILE = (
    (rb"127\.0\.0\.1:\d+", b"127.0.0.1:<port>"),
    (rb"\bw=\d+", b"w=<ms>"),
    (rb"max_execution_time=\d+\.\d{3}\b", b"max_execution_time=<s.mmm>"),
)


def normalised(raw: bytes) -> bytes:
    """The bytes with names in place of what differs from run to run."""
    for pattern, name in VOLATILE:
        raw = re.sub(pattern, name, raw)
    return raw


def recorded_text(messages: dict[str, bytes]) -> str:
    """The text of the file: a title and the escaped bytes of each message, a line of the wire a line."""
    parts = []
    for title, raw in messages.items():
        lines = repr(normalised(raw))[2:-1].replace("\\n", "\\n\n").split("\n")
        parts.append("\n".join([f"== {title}", *("  " + line for line in lines if line)]))
    return "\n".join(parts) + "\n"
