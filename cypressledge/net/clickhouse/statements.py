"""Regular expressions that recognise parts of a statement. None of them backtracks without bound."""

import re

# Possessive quantifiers, so that crafted statements cannot cause backtracking: with ordinary ones, 20
# consecutive comments took 0.3 s, and 40 would take days.
FORMAT_CLAUSE = re.compile(r"\bFORMAT\s++(\w++)\s*+(?:;\s*+)?\Z", re.I | re.A)
WRITE_STATEMENT = re.compile(
    r"(?:\s|--[^\n]*\n|(?>/\*.*?\*/))*+(?:insert|create|alter|drop|truncate|delete|update)\b", re.I | re.S
)
SUPPORTED_FORMATS = frozenset(("TabSeparated", "TSV"))


def quote(text: str) -> str:
    """Return the text escaped for use inside a string literal."""
    return text.replace("\\", "\\\\").replace("'", "\\'")
