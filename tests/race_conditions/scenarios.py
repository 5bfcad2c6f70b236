"""Settings, hooks and measurements that the tests of race conditions share."""

import copy
from pathlib import Path

from cypressledge.lab.site import SETTINGS

METRICS_OFTEN = {"ROUTER_FIGURES_S": "0.05"}  # environment: the counters are logged every 50 ms
CONNECT = "cypressledge.net.line_protocol.connection:connect"  # the hook before a connection to an engine
KEYED_CLASS = "order-load"  # the class whose requests carry an idempotency key
NOT_IDEMPOTENT = {"lookup": "single_shot"}  # for `site`


def site(idempotency=(), rules=(), keyed_class=(), **limit_settings):
    """A change of the broker's configuration: classes of another idempotency, other rules and limits, and
    other settings of the class with an idempotency key."""
    settings = copy.deepcopy(SETTINGS)
    for name, value in dict(idempotency).items():
        class_named(settings, name)["Idempotency"] = value
    settings["Rules"] |= dict(rules)
    class_named(settings, KEYED_CLASS).update(keyed_class)
    settings["Limits"] |= limit_settings
    return {"settings": settings}


def class_named(settings, name):
    """The settings of a class."""
    return next(entry for entry in settings["Classes"] if entry["Name"] == name)


def limits(memory_mb=192, sockets=1024):
    """A change of the broker's configuration: other limits of memory and descriptors."""
    return {"limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}}


def cpu_ticks(pid):
    """Processor time of a process so far, in clock ticks."""
    return sum(map(int, Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[11:13]))
