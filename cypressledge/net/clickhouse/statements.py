"""What the broker must recognise in a statement. No expression here backtracks without bound."""

import re

# Possessive, against statements made to backtrack: 20 comments in a row took 0.3 s, 40 would take days.
FORMAT_CLAUSE = re.compile(r"\bFORMAT\s++(\w++)\s*+(?:;\s*+)?\Z", re.I | re.A)
WRITE_STATEMENT = re.compile(
    r"(?:\s|--[^\n]*\n|(?>/\*.*?\*/))*+(?:insert|create|alter|drop|truncate|delete|update)\b", re.I | re.S
)
SUPPORTED_FORMATS = frozenset(("TabSeparated", "TSV"))


def quote(text: str) -> str:
    """The text as the inside of a string literal."""
    return text.replace("\\", "\\\\").replace("'", "\\'")
