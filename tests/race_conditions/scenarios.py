"""Settings and hooks that the tests of race conditions share."""

import copy
from pathlib import Path

from cypressledge.lab.site import SETTINGS

METRICS_OFTEN = {"ROUTER_FIGURES_S": "0.05"}  # the counters on a log line every 50 ms
CONNECT = "cypressledge.net.line_protocol.connection:connect"  # the hook before a connection to an engine


def site(idempotency=(), **limits):
    """The plain site with classes of another idempotency, and other limits."""
    settings = copy.deepcopy(SETTINGS)
    for name, value in dict(idempotency).items():
        next(k for k in settings["Classes"] if k["Name"] == name)["Idempotency"] = value
    settings["Limits"] |= limits
    return {"settings": settings}


NOT_IDEMPOTENT = {"lookup": "single_shot"}


def cpu_ticks(pid):
    """Processor time of a process so far, in clock ticks."""
    return sum(map(int, Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[11:13]))
