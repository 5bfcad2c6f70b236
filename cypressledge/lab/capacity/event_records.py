"""Reading of record files while processes write them, and the clock that all records share."""

import json
import time
from collections.abc import Iterable
from pathlib import Path

TAIL_BYTES = 65_536  # number of bytes read from the end of a file


def boottime_us() -> int:
    """Return the time of CLOCK_BOOTTIME in µs, the clock of all records."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def read_tail(path: Path) -> list[dict]:
    """Return the last records of a file that is being written; incomplete lines are left out."""
    with open(path, "rb") as file:
        file.seek(0, 2)
        start = max(0, file.tell() - TAIL_BYTES)
        file.seek(start)
        lines = file.read().split(b"\n")[1 if start else 0 : -1]
    return [json.loads(line) for line in lines if line.startswith(b"{") and line.endswith(b"}")]


def current_leader(records: Iterable[dict]) -> str:
    """Return the leader of the highest epoch; empty if there is none or it has stepped down.

    Records of older epochs are ignored, because a former leader may record late that it has stepped down.
    """
    leader_records = [r for r in records if r["event"] in ("primary", "stepped_down")]
    newest_epoch = max((r["epoch"] for r in leader_records if r["event"] == "primary"), default=-1)
    newest_records = [r for r in leader_records if r["epoch"] == newest_epoch]
    return (
        ""
        if not newest_records or any(r["event"] == "stepped_down" for r in newest_records)
        else newest_records[0]["who"]
    )
