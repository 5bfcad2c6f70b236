"""Settings, hooks and measurements shared by the tests of race conditions."""

import copy
import re
from pathlib import Path

from cypressledge.lab.site import SETTINGS

METRICS_OFTEN = {"ROUTER_FIGURES_S": "0.05"}  # environment; makes the broker log its counters every 50 ms
CONNECT = "cypressledge.net.line_protocol.connection:connect"  # hook before a connection to an engine
KEYED_CLASS = "order-load"  # class whose requests contain an idempotency key
NOT_IDEMPOTENT = {"lookup": "single_shot"}  # argument of `site`


def site(idempotency=(), rules=(), keyed_class=(), **limit_settings):
    """Return a change of the broker's configuration: the idempotency of classes by name, rules, limits, and
    settings of the class with an idempotency key."""
    settings = copy.deepcopy(SETTINGS)
    for name, value in dict(idempotency).items():
        class_named(settings, name)["Idempotency"] = value
    settings["Rules"] |= dict(rules)
    class_named(settings, KEYED_CLASS).update(keyed_class)
    settings["Limits"] |= limit_settings
    return {"settings": settings}


def class_named(settings, name):
    """Return the settings of the class with this name."""
    return next(entry for entry in settings["Classes"] if entry["Name"] == name)


def limits(memory_mb=192, sockets=1024):
    """Return a change of the broker's configuration: limits of memory and descriptors."""
    return {"limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}}


def peak_memory(pid):
    """Return the largest resident memory of a process so far, in bytes."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmHWM:\s*(\d+) kB", status)[1]) << 10


def cpu_ticks(pid):
    """Return the processor time that a process has used so far, in clock ticks."""
    return sum(map(int, Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[11:13]))
