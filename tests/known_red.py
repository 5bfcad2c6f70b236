"""KNOWN-RED.txt: tests that fail for a real fault which is known and not fixed yet.

One line each: `TEST: cause (issue N)`, TEST as pytest names it. They run, are expected to fail, and are
printed; one that passes fails the run, so that its line is removed with the fix.
"""

from pathlib import Path

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_LINES = 3


def known_red() -> dict[str, str]:
    """The cause of each known failure, by the test's name."""
    lines = FILE.read_text().splitlines() if FILE.exists() else []
    entries = [line.split(": ", 1) for line in lines if line.strip()]
    if len(entries) > MAX_LINES or any(len(entry) != 2 for entry in entries):
        raise ValueError(f"{FILE.name}: at most {MAX_LINES} lines of the form TEST: cause (issue N)")
    return dict(entries)
