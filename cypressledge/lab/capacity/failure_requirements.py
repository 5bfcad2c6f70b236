"""Requirements on the remaining parts when a machine, an engine, a rack, a zone or a region fails."""

from cypressledge.lab.capacity.requirements import (
    LINK,
    ONE_CORE,
    TARGET_CPU,
    TARGET_NETWORK,
    Figure,
    Limit,
    Measurements,
    Requirement,
    curve_at_brokers,
)
from cypressledge.lab.capacity.targets import (
    BROKERS_PER_RACK,
    FAILURES,
    MISSING_ENGINE_SHARE,
    MISSING_HISTORY,
    POLLS_PER_S,
    REMAINING_SHARE,
    STATEMENTS_PER_S,
    TARGET_CLIENTS,
)


def _clients_after_rack_loss(measured: Measurements) -> float:
    return TARGET_CLIENTS * BROKERS_PER_RACK / max(measured.brokers - BROKERS_PER_RACK, BROKERS_PER_RACK)


def _connect_cpu_after_zone_loss(measured: Measurements) -> float:
    return TARGET_CLIENTS * (1 / REMAINING_SHARE - 1) * measured.at("connect_ms", 400) / 1000


def _module_cpu_pct_after_zone_loss(measured: Measurements) -> float:
    module_ms = measured.at("module_ms", measured.engines * REMAINING_SHARE)
    return module_ms * STATEMENTS_PER_S / REMAINING_SHARE / 10


def _lists_for_rack_kb_s(measured: Measurements) -> float:
    return BROKERS_PER_RACK * measured.at("directory_bytes", measured.engines) * POLLS_PER_S / 1000


FAILURE_REQUIREMENTS = (
    Requirement(
        role=FAILURES,
        kind="sockets",
        what="machine lost: clients that come anew to each other broker",
        unit="connections",
        figure=Figure(lambda measured: TARGET_CLIENTS / max(measured.brokers - 1, 1)),
    ),
    Requirement(
        role=FAILURES,
        kind="processor",
        what="engine lost or back: its list read, all brokers together",
        unit="s of a core",
        figure=Figure(
            lambda measured: measured.at("directory_read_ms", measured.engines) * measured.brokers / 1000
        ),
        carried_by=MISSING_HISTORY,
    ),
    Requirement(
        role=FAILURES,
        kind="sockets",
        what="rack lost, 20 brokers: clients that come anew to each other broker",
        unit="connections",
        figure=Figure(_clients_after_rack_loss),
        carried_by="stands: the site's `sockets`",
    ),
    Requirement(
        role=FAILURES,
        kind="time",
        what="zone lost: all others hold its brokers for gone",
        unit="s",
        figure=curve_at_brokers("members_noticed_s"),
    ),
    Requirement(
        role=FAILURES,
        kind="time",
        what="zone lost: all 50 leases held again",
        unit="s",
        figure=curve_at_brokers("members_loss_held_s"),
        limit=Limit(8.0, "a change of primary"),
    ),
    Requirement(
        role=FAILURES,
        kind="processor",
        what="zone lost: members and leases, most, in the 15 s after",
        unit="% of a core",
        figure=curve_at_brokers("members_loss_cpu_most"),
        limit=TARGET_CPU,
        carried_by="stands, over its limit: each change sorts the lines of all leases anew (read)",
    ),
    Requirement(
        role=FAILURES,
        kind="network",
        what="zone lost: members and leases, most, in the 15 s after",
        unit="KB/s",
        figure=curve_at_brokers("members_loss_kb_most"),
        limit=TARGET_NETWORK,
    ),
    Requirement(
        role=FAILURES,
        kind="sockets",
        what="zone lost: clients that come anew to each other broker",
        unit="connections",
        figure=Figure(lambda measured: TARGET_CLIENTS * (1 / REMAINING_SHARE - 1)),
        carried_by="stands: the site's `sockets`",
    ),
    Requirement(
        role=FAILURES,
        kind="processor",
        what="zone lost: those clients' connections taken up, each with a statement",
        unit="s of a core",
        figure=Figure(_connect_cpu_after_zone_loss),
    ),
    Requirement(
        role=FAILURES,
        kind="processor",
        what="zone lost: the module at 667 statements/s, three fourths of the engines",
        unit="% of a core",
        figure=Figure(_module_cpu_pct_after_zone_loss),
        limit=ONE_CORE,
        carried_by=MISSING_ENGINE_SHARE,
    ),
    Requirement(
        role=FAILURES,
        kind="state",
        what="region cut from region: brokers that each side holds for gone",
        unit="brokers",
        figure=Figure(lambda measured: measured.brokers / 2),
    ),
    Requirement(
        role=FAILURES,
        kind="network",
        what="rack or switch back, 20 brokers: whole lists they read, 2.5/s",
        unit="KB/s",
        figure=Figure(_lists_for_rack_kb_s),
        limit=LINK,
        carried_by=MISSING_HISTORY,
    ),
)
