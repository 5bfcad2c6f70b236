"""Reads KNOWN-RED.txt, the list of tests that fail because of a known fault that is not fixed yet.

Each line has the form `TEST: cause (issue N)`, where TEST is the node id in pytest. These tests are run,
expected to fail, and printed. One that passes makes the run fail, so that its line is removed with the fix.
"""

from pathlib import Path

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_LINES = 3


def known_red() -> dict[str, str]:
    """Return the cause of each known failure by test name.

    Raises `ValueError` if the list has another form or too many lines."""
    lines = FILE.read_text().splitlines() if FILE.exists() else []
    entries = [line.split(": ", 1) for line in lines if line.strip()]
    if len(entries) > MAX_LINES or any(len(entry) != 2 for entry in entries):
        raise ValueError(f"{FILE.name}: at most {MAX_LINES} lines of the form TEST: cause (issue N)")
    return dict(entries)
