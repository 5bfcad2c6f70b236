"""What tests of `control change` share."""

ENGINE = {"address": "127.0.0.1:9", "kind": "node-8c", "zone": "room1"}


def version_of(output: str) -> int:
    """The version that a change became, by the command's output."""
    return int(output.split("taken as version ")[1].split()[0])
