"""Settings, hooks and measurements that the tests of race conditions share."""

import copy
from pathlib import Path

from cypressledge.lab.site import SETTINGS

METRICS_OFTEN = {"ROUTER_FIGURES_S": "0.05"}  # environment: the counters are logged every 50 ms
CONNECT = "cypressledge.net.line_protocol.connection:connect"  # the hook before a connection to an engine


def site(idempotency=(), **limits):
    """A change of the broker's configuration: classes of another idempotency, and other limits."""
    settings = copy.deepcopy(SETTINGS)
    for name, value in dict(idempotency).items():
        next(entry for entry in settings["Classes"] if entry["Name"] == name)["Idempotency"] = value
    settings["Limits"] |= limits
    return {"settings": settings}


NOT_IDEMPOTENT = {"lookup": "single_shot"}


def cpu_ticks(pid):
    """Processor time of a process so far, in clock ticks."""
    return sum(map(int, Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[11:13]))
