"""Tells reads from writes by a statement's text, and recognises its format. No scan takes unbounded time."""

import re
from collections.abc import Iterator
from enum import Enum, auto

from cypressledge.sql import MAX_SCANNED, code_tokens

# Possessive quantifiers, so that crafted statements cannot cause backtracking: with ordinary ones, 20
# consecutive comments took 0.3 s, and 40 would take days.
FORMAT_CLAUSE = re.compile(r"\bFORMAT\s++(\w++)\s*+(?:;\s*+)?\Z", re.I | re.A)
SUPPORTED_FORMATS = frozenset(("TabSeparated", "TSV"))

READ_VERBS = frozenset(("select", "show", "describe", "desc", "exists", "explain"))
WRITING_CLAUSE = re.compile(r"\b(?:into|analyze)\b", re.I)  # of a statement that begins like a read
# Tokens at which this scan and an engine may differ: strings without an end, heredocs, other comments.
AMBIGUOUS_TOKENS = frozenset(("'", '"', "`", "$", "#"))
GROUP = "()"  # stands for an expression in parentheses


class StatementKind(Enum):
    """What a statement does, as far as its text tells for sure."""

    READ = auto()
    INSERT = auto()  # engines drop a repeat that carries the same token
    OTHER = auto()  # it may write, and engines do not recognise a repeat


class _AmbiguousTextError(Exception):
    """A statement that engines may read otherwise than this module."""


def statement_kind(text: str) -> StatementKind:
    """Return the kind of a statement; `OTHER` unless its text shows that it is a read or an INSERT."""
    verb = next((token.lower() for token in code_tokens(text, escapes=True) if token != "("), "")
    if verb == "insert":
        return StatementKind.INSERT
    if verb != "with" and verb not in READ_VERBS:
        return StatementKind.OTHER
    try:
        kind = _kind_after_with(text) if verb == "with" else StatementKind.READ
        if kind is StatementKind.READ and _may_write(text):
            return StatementKind.OTHER
    except _AmbiguousTextError:
        return StatementKind.OTHER
    return kind


def _may_write(text: str) -> bool:
    """Return whether a statement that begins like a read may write: by a clause, or in a second statement."""
    if ";" not in text.rstrip().removesuffix(";") and not WRITING_CLAUSE.search(text):
        return False
    if len(text) > MAX_SCANNED:
        return True
    tokens = list(_checked_tokens(text))
    has_clause = any(WRITING_CLAUSE.fullmatch(token) for token in tokens)
    return has_clause or ";" in tokens[:-1]


def _kind_after_with(text: str) -> StatementKind:
    """Return the kind of a statement by the verb behind its list of common table expressions."""
    tokens = _outer_tokens(text)
    next(tokens)  # WITH
    while "as" in tokens:  # consumes an item up to its AS: `name AS (…)` or `expression AS name`
        token = next(tokens, "")
        while token in ("not", "materialized"):
            token = next(tokens, "")
        following = next(tokens, "")
        if following == "select":
            return StatementKind.READ
        if following == "insert":
            return StatementKind.INSERT
        if following != ",":
            break
    return StatementKind.OTHER


def _outer_tokens(text: str) -> Iterator[str]:
    """Yield the tokens of a statement in lower case, with `GROUP` for each expression in parentheses."""
    depth = 0
    for token in _checked_tokens(text):
        if token == "(":
            depth += 1
        elif token == ")":
            depth -= 1
            if depth == 0:
                yield GROUP
        elif depth == 0:
            yield token.lower()


def _checked_tokens(text: str) -> Iterator[str]:
    """Yield the tokens of a statement without strings. Raises `_AmbiguousTextError`."""
    for token in code_tokens(text, escapes=True):
        if token in AMBIGUOUS_TOKENS or (token[0] in '"`' and "\\" in token):
            raise _AmbiguousTextError
        yield token


def quote(text: str) -> str:
    """Return the text escaped for use inside a string literal."""
    return text.replace("\\", "\\\\").replace("'", "\\'")
