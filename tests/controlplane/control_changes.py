"""Helpers shared by tests of the command `control change`."""

ENGINE = {"address": "127.0.0.1:9", "kind": "node-8c", "zone": "room1"}


def version_of(output: str) -> int:
    """Return the version that a change became, read from the command's output."""
    return int(output.split("taken as version ")[1].split()[0])
