"""What the roles need that serve all brokers: planner, leader, control machines, directory; and an engine."""

from collections.abc import Callable

from cypressledge.lab.capacity.requirements import Measurements, Requirement
from cypressledge.lab.capacity.targets import (
    CONFIGURATION_CHANGES_A_DAY,
    CONTROL_CPU_PCT,
    CONTROL_MACHINES,
    CONTROL_NETWORK_KB_S,
    DIRECTORY,
    DIRECTORY_ANSWER_BYTES,
    ENGINE,
    ENGINES_PER_OBSERVATION,
    LEADER,
    LINK_KB_S,
    MISSING_ENGINE_SHARE,
    MISSING_HISTORY,
    MISSING_PLANNER_MACHINE,
    OBSERVATIONS_PER_S,
    OBSERVATIONS_PER_S_FAILING,
    PLANNER,
    PLANNER_RUN_CPU_MS,
    PLANNER_RUNS_PER_S,
    PLANS_PER_S,
    POLLS_PER_S,
    STATEMENTS_PER_S,
    SUMMARY_INTERVAL_S,
    TARGET_ZONES,
)


def _observations_kb_s(rate: float) -> Callable[[Measurements], float]:
    def compute(measured: Measurements) -> float:
        size = measured.at("sight_bytes", ENGINES_PER_OBSERVATION)
        return size * rate * (measured.brokers - 1) / 1000

    return compute


def _planner_cpu_pct(rate: float, run_curve: str) -> Callable[[Measurements], float]:
    def compute(measured: Measurements) -> float:
        received = measured.fact("sight_us") * rate * measured.brokers / 1e6
        runs = measured.at(run_curve, measured.brokers) * PLANNER_RUNS_PER_S / 1e3
        return (received + runs) * 100

    return compute


def _summaries_kb_s(measured: Measurements) -> float:
    size = measured.fact("figures_bytes") + measured.at("summary_bytes", measured.brokers)
    return size * measured.brokers / SUMMARY_INTERVAL_S / 1000


def _connections_per_engine(measured: Measurements) -> float:
    return measured.brokers * measured.at("engines_used", measured.engines) / measured.engines


def _lists_kb_s(measured: Measurements) -> float:
    return measured.at("directory_bytes", measured.engines) * POLLS_PER_S * measured.brokers / 1000


FLEET_REQUIREMENTS = (
    Requirement(
        role=PLANNER,
        kind="messages",
        what="sights received, all well",
        unit="1/s",
        compute=lambda measured: measured.brokers * OBSERVATIONS_PER_S,
        limit=None,
        limit_source="none set",
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=PLANNER,
        kind="network",
        what="sights received, all well",
        unit="KB/s",
        compute=_observations_kb_s(OBSERVATIONS_PER_S),
        limit=CONTROL_NETWORK_KB_S,
        limit_source="the target (the planner is a broker)",
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=PLANNER,
        kind="network",
        what="sights received, something fails everywhere",
        unit="KB/s",
        compute=_observations_kb_s(OBSERVATIONS_PER_S_FAILING),
        limit=CONTROL_NETWORK_KB_S,
        limit_source="the target (the planner is a broker)",
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=PLANNER,
        kind="network",
        what="plans sent, each second",
        unit="KB/s",
        compute=lambda measured: measured.fact("plan_bytes") * PLANS_PER_S * (measured.brokers - 1) / 1000,
        limit=CONTROL_NETWORK_KB_S,
        limit_source="the target (the planner is a broker)",
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=PLANNER,
        kind="network",
        what="summary's holder: figures in, summaries out",
        unit="KB/s",
        compute=_summaries_kb_s,
        limit=CONTROL_NETWORK_KB_S,
        limit_source="the target (the holder is a broker)",
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=PLANNER,
        kind="processor",
        what="ten acts/s and sights, all well",
        unit="% of a core",
        compute=_planner_cpu_pct(OBSERVATIONS_PER_S, "planner_well_ms"),
        limit=CONTROL_CPU_PCT,
        limit_source="the target (the planner is a broker)",
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=PLANNER,
        kind="processor",
        what="ten acts/s and sights, a zone lost",
        unit="% of a core",
        compute=_planner_cpu_pct(OBSERVATIONS_PER_S_FAILING, "planner_lost_ms"),
        limit=CONTROL_CPU_PCT,
        limit_source="the target (the planner is a broker)",
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=PLANNER,
        kind="time",
        what="processor time of one act, a zone lost",
        unit="ms",
        compute=lambda measured: measured.at("planner_lost_ms", measured.brokers),
        limit=PLANNER_RUN_CPU_MS,
        limit_source="2% of a core for 1 s, then it is cut off",
        carried_by=MISSING_PLANNER_MACHINE,
        is_direct=True,
    ),
    Requirement(
        role=PLANNER,
        kind="time",
        what="longest step of an act, requests stand still",
        unit="ms",
        compute=lambda measured: measured.at("planner_longest_ms", measured.brokers),
        limit=5.0,
        limit_source="the module's tick",
        carried_by=MISSING_PLANNER_MACHINE,
        is_direct=True,
    ),
    Requirement(
        role=PLANNER,
        kind="state",
        what="one summary, a quarter of the brokers missing",
        unit="bytes",
        compute=lambda measured: measured.at("summary_bytes", measured.brokers),
        limit=8_192.0,
        limit_source="a datagram's bound",
        carried_by="stands",
        is_direct=True,
    ),
    Requirement(
        role=PLANNER,
        kind="state",
        what="engines a summary has to name, a zone lost",
        unit="engines",
        compute=lambda measured: measured.engines / TARGET_ZONES,
        limit=128.0,
        limit_source="ENGINES_MOST",
        carried_by="stands",
    ),
    Requirement(
        role=LEADER,
        kind="messages",
        what="changes of the configuration",
        unit="a day",
        compute=lambda measured: CONFIGURATION_CHANGES_A_DAY,
        limit=None,
        limit_source="in force within 12 s",
        carried_by="was missing: a primary; now the control plane",
    ),
    Requirement(
        role=LEADER,
        kind="network",
        what="a change a second as whole lists to every broker",
        unit="KB/s",
        compute=lambda measured: measured.at("directory_bytes", measured.engines) * measured.brokers / 1000,
        limit=LINK_KB_S,
        limit_source="a link of 1 Gbit/s, assumed",
        carried_by=MISSING_HISTORY,
    ),
    Requirement(
        role=CONTROL_MACHINES,
        kind="state",
        what="machines set aside; in use by the program",
        unit="machines",
        compute=lambda measured: 0.0,
        limit=8.0,
        limit_source="the target",
        carried_by="was missing: control processes; now the control plane",
    ),
    Requirement(
        role=CONTROL_MACHINES,
        kind="network",
        what="the planner's sights there, something fails everywhere",
        unit="KB/s",
        compute=_observations_kb_s(OBSERVATIONS_PER_S_FAILING),
        limit=LINK_KB_S,
        limit_source="a link of 1 Gbit/s, assumed",
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=CONTROL_MACHINES,
        kind="processor",
        what="the planner's acts and sights there, a zone lost",
        unit="% of a core",
        compute=_planner_cpu_pct(OBSERVATIONS_PER_S_FAILING, "planner_lost_ms"),
        limit=100.0,
        limit_source="one core, one thread",
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=DIRECTORY,
        kind="state",
        what="the list in one answer",
        unit="bytes",
        compute=lambda measured: measured.at("directory_bytes", measured.engines),
        limit=float(DIRECTORY_ANSWER_BYTES),
        limit_source="the platform's page",
        carried_by=MISSING_HISTORY,
        is_direct=True,
    ),
    Requirement(
        role=DIRECTORY,
        kind="state",
        what="engines in one DNS message",
        unit="engines",
        compute=lambda measured: measured.engines,
        limit="directory_fits_65535",
        limit_source="65,535 bytes",
        carried_by=MISSING_HISTORY,
        is_direct=True,
    ),
    Requirement(
        role=DIRECTORY,
        kind="messages",
        what="polls of all brokers",
        unit="1/s",
        compute=lambda measured: measured.brokers * POLLS_PER_S,
        limit=None,
        limit_source="none set",
        carried_by=MISSING_HISTORY,
    ),
    Requirement(
        role=DIRECTORY,
        kind="network",
        what="whole lists sent to all brokers",
        unit="KB/s",
        compute=lambda measured: measured.at("directory_bytes", measured.engines)
        * POLLS_PER_S
        * measured.brokers
        / 1000,
        limit=LINK_KB_S,
        limit_source="a link of 1 Gbit/s, assumed",
        carried_by=MISSING_HISTORY,
    ),
    Requirement(
        role=ENGINE,
        kind="messages",
        what="statements of all brokers",
        unit="1/s",
        compute=lambda measured: measured.brokers * STATEMENTS_PER_S / measured.engines,
        limit=None,
        limit_source="none set",
        carried_by="stands",
    ),
    Requirement(
        role=ENGINE,
        kind="sockets",
        what="connections of all brokers",
        unit="connections",
        compute=_connections_per_engine,
        limit=None,
        limit_source="none set by a site",
        carried_by=MISSING_ENGINE_SHARE,
    ),
)
