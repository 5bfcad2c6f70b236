"""What failures of a machine, an engine, a rack, a zone or a region ask of the others."""

from cypressledge.lab.capacity.requirements import Measurements, Requirement
from cypressledge.lab.capacity.targets import (
    BROKERS_PER_RACK,
    CONTROL_CPU_PCT,
    CONTROL_NETWORK_KB_S,
    FAILURES,
    LINK_KB_S,
    MISSING_ENGINE_SHARE,
    MISSING_HISTORY,
    POLLS_PER_S,
    REMAINING_PART,
    STATEMENTS_PER_S,
    TARGET_CLIENTS,
)


def _clients_after_rack_loss(measured: Measurements) -> float:
    return TARGET_CLIENTS * BROKERS_PER_RACK / max(measured.brokers - BROKERS_PER_RACK, BROKERS_PER_RACK)


def _connect_cpu_after_zone_loss(measured: Measurements) -> float:
    return TARGET_CLIENTS * (1 / REMAINING_PART - 1) * measured.at("connect_ms", 400) / 1000


def _module_cpu_pct_after_zone_loss(measured: Measurements) -> float:
    module_ms = measured.at("module_ms", measured.engines * REMAINING_PART)
    return module_ms * STATEMENTS_PER_S / REMAINING_PART / 10


def _lists_for_rack_kb_s(measured: Measurements) -> float:
    return BROKERS_PER_RACK * measured.at("directory_bytes", measured.engines) * POLLS_PER_S / 1000


FAILURE_REQUIREMENTS = (
    Requirement(
        role=FAILURES,
        kind="sockets",
        what="machine lost: clients that come anew to each other broker",
        unit="connections",
        compute=lambda measured: TARGET_CLIENTS / max(measured.brokers - 1, 1),
        limit=None,
        limit_source="none set",
        carried_by="stands",
    ),
    Requirement(
        role=FAILURES,
        kind="processor",
        what="engine lost or back: its list read, all brokers together",
        unit="s of a core",
        compute=lambda measured: measured.at("directory_read_ms", measured.engines) * measured.brokers / 1000,
        limit=None,
        limit_source="none set",
        carried_by=MISSING_HISTORY,
    ),
    Requirement(
        role=FAILURES,
        kind="sockets",
        what="rack lost, 20 brokers: clients that come anew to each other broker",
        unit="connections",
        compute=lambda measured: TARGET_CLIENTS
        * BROKERS_PER_RACK
        / max(measured.brokers - BROKERS_PER_RACK, BROKERS_PER_RACK),
        limit=None,
        limit_source="none set",
        carried_by="stands: the site's `sockets`",
    ),
    Requirement(
        role=FAILURES,
        kind="time",
        what="zone lost: all others hold its brokers for gone",
        unit="s",
        compute=lambda measured: measured.at("members_noticed_s", measured.brokers),
        limit=None,
        limit_source="none set",
        carried_by="stands",
        is_direct=True,
    ),
    Requirement(
        role=FAILURES,
        kind="time",
        what="zone lost: all 50 leases held again",
        unit="s",
        compute=lambda measured: measured.at("members_loss_held_s", measured.brokers),
        limit=8.0,
        limit_source="a change of primary",
        carried_by="stands",
        is_direct=True,
    ),
    Requirement(
        role=FAILURES,
        kind="processor",
        what="zone lost: members and leases, most, in the 15 s after",
        unit="% of a core",
        compute=lambda measured: measured.at("members_loss_cpu_most", measured.brokers),
        limit=CONTROL_CPU_PCT,
        limit_source="the target",
        carried_by="stands, over its limit: each change sorts the lines of all leases anew (read)",
        is_direct=True,
    ),
    Requirement(
        role=FAILURES,
        kind="network",
        what="zone lost: members and leases, most, in the 15 s after",
        unit="KB/s",
        compute=lambda measured: measured.at("members_loss_kb_most", measured.brokers),
        limit=CONTROL_NETWORK_KB_S,
        limit_source="the target",
        carried_by="stands",
        is_direct=True,
    ),
    Requirement(
        role=FAILURES,
        kind="sockets",
        what="zone lost: clients that come anew to each other broker",
        unit="connections",
        compute=lambda measured: TARGET_CLIENTS * (1 / REMAINING_PART - 1),
        limit=None,
        limit_source="none set",
        carried_by="stands: the site's `sockets`",
    ),
    Requirement(
        role=FAILURES,
        kind="processor",
        what="zone lost: those clients' connections taken up, each with a statement",
        unit="s of a core",
        compute=lambda measured: TARGET_CLIENTS
        * (1 / REMAINING_PART - 1)
        * measured.at("connect_ms", 400)
        / 1000,
        limit=None,
        limit_source="none set",
        carried_by="stands",
    ),
    Requirement(
        role=FAILURES,
        kind="processor",
        what="zone lost: the module at 667 statements/s, three fourths of the engines",
        unit="% of a core",
        compute=lambda measured: measured.at("module_ms", measured.engines * REMAINING_PART)
        * STATEMENTS_PER_S
        / REMAINING_PART
        / 10,
        limit=100.0,
        limit_source="one core, one thread",
        carried_by=MISSING_ENGINE_SHARE,
    ),
    Requirement(
        role=FAILURES,
        kind="state",
        what="region cut from region: brokers that each side holds for gone",
        unit="brokers",
        compute=lambda measured: measured.brokers / 2,
        limit=None,
        limit_source="none set",
        carried_by="stands",
    ),
    Requirement(
        role=FAILURES,
        kind="network",
        what="rack or switch back, 20 brokers: whole lists they read, 2.5/s",
        unit="KB/s",
        compute=lambda measured: BROKERS_PER_RACK
        * measured.at("directory_bytes", measured.engines)
        * POLLS_PER_S
        / 1000,
        limit=LINK_KB_S,
        limit_source="a link of 1 Gbit/s, assumed",
        carried_by=MISSING_HISTORY,
    ),
)
