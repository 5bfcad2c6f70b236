"""KNOWN-RED.txt: tests that fail for a real fault which is known and not mended yet.

One line each: `TEST: cause (issue N)`, TEST as pytest names it. They run, are expected to fail, and are
printed; one that passes fails the run, so that its line is taken out with the mend.
"""

from pathlib import Path

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


def known_red() -> dict[str, str]:
    """What is said of each test, by its name."""
    lines = FILE.read_text().splitlines() if FILE.exists() else []
    entries = [line.split(": ", 1) for line in lines if line.strip()]
    if len(entries) > MOST or any(len(entry) != 2 for entry in entries):
        raise ValueError(f"{FILE.name}: at most {MOST} lines of the form TEST: cause (issue N)")
    return dict(entries)
