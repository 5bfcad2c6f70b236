"""Scans statements for their tokens, and for their table group.

The table group is the number in the name of the schema that a statement reads or writes."""

import re
from collections.abc import Iterator

_NAME = r'(?:[A-Za-z_][A-Za-z0-9_$]*|"(?:[^"]|"")*"|`[^`]*`)'
_STRING = {False: r"'(?:[^']|'')*'", True: r"'(?:[^'\\]|\\.|'')*'"}
_TOKENS = {
    escapes: re.compile(rf"--[^\n]*|/\*.*?(?:\*/|\Z)|{string}|{_NAME}(?:\s*\.\s*{_NAME})*|[^\s]", re.S)
    for escapes, string in _STRING.items()
}
_COMMENTS = ("--", "/*")
_BEFORE_TABLE = frozenset(("from", "join", "into", "update", "table", "using", "truncate"))
_END_OF_TABLES = frozenset(
    ("where", "on", "group", "order", "having", "limit", "set", "select", "values", "union", "window")
)
_NUMBERED = re.compile(r".*?_(\d+)\Z", re.S)
MAX_SCANNED = 65_536  # characters; the rest of a long statement is data, whose scan would stall the broker
_GROUP_COUNT = 2**24  # groups; larger numbers are reduced modulo this, as the module takes small numbers


def code_tokens(statement: str, escapes: bool) -> Iterator[str]:
    """Yield names, possibly qualified or quoted, and single characters, without comments and strings.

    `escapes`: backslashes escape characters in strings, as in ClickHouse's dialect. A quote without its
    closing one is yielded as a character."""
    for found in _TOKENS[escapes].finditer(statement, 0, MAX_SCANNED):
        token = found[0]
        if not token.startswith(_COMMENTS) and not (token[0] == "'" and len(token) > 1):
            yield token


def table_group(statement: str, escapes: bool = False) -> int:
    """Return the group of the first numbered schema in a table position, or else in any position; 0 if none.

    Strings and comments are skipped. Table positions take precedence because aliases (`o_2.amount`) look like
    numbered schemas. `escapes`: see `code_tokens`.
    """
    other, in_tables = 0, False
    for token in code_tokens(statement, escapes):
        word = token.lower()
        if word in _BEFORE_TABLE:
            in_tables = True
        elif word in _END_OF_TABLES or word == "(":
            in_tables = False
        elif "." in token and (group := _group(token)):
            if in_tables:
                return group
            other = other or group
    return other


def _group(name: str) -> int:
    parts = [p.strip().strip('"`') for p in name.split(".")]
    numbered = _NUMBERED.match(parts[-2]) if len(parts) > 1 else None
    return int(numbered[1]) % _GROUP_COUNT if numbered else 0
