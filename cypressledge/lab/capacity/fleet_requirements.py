"""Requirements of the planner, leader, control machines, directory and engines."""

from functools import partial

from cypressledge.lab.capacity.requirements import (
    LINK,
    MODULE_TICK,
    ONE_CORE,
    PLANNER_CPU,
    PLANNER_NETWORK,
    Figure,
    Limit,
    Measurements,
    Requirement,
    curve_at_brokers,
    curve_at_engines,
)
from cypressledge.lab.capacity.targets import (
    CONFIGURATION_CHANGES_A_DAY,
    CONTROL_MACHINES,
    CONTROL_NETWORK_KB_S,
    DIRECTORY,
    DIRECTORY_ANSWER_BYTES,
    ENGINE,
    ENGINES_PER_OBSERVATION,
    LEADER,
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


def _observations_kb_s(measured: Measurements, rate: float) -> float:
    """Return KB/s of the observations of all other brokers, if each sends `rate` of them per second."""
    size = measured.at("sight_bytes", ENGINES_PER_OBSERVATION)
    return size * rate * (measured.brokers - 1) / 1000


def _planner_cpu_pct(measured: Measurements, rate: float, run_curve: str) -> float:
    """Return % of a core for all brokers' observations, `rate` per second each, and the planner's runs."""
    received = measured.fact("sight_us") * rate * measured.brokers / 1e6
    runs = measured.at(run_curve, measured.brokers) * PLANNER_RUNS_PER_S / 1e3
    return (received + runs) * 100


OBSERVATIONS = Figure(partial(_observations_kb_s, rate=OBSERVATIONS_PER_S))
OBSERVATIONS_FAILING = Figure(partial(_observations_kb_s, rate=OBSERVATIONS_PER_S_FAILING))
PLANNER_CPU_NORMAL = Figure(partial(_planner_cpu_pct, rate=OBSERVATIONS_PER_S, run_curve="planner_well_ms"))
PLANNER_CPU_ZONE_LOST = Figure(
    partial(_planner_cpu_pct, rate=OBSERVATIONS_PER_S_FAILING, run_curve="planner_lost_ms")
)


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
        figure=Figure(lambda measured: measured.brokers * OBSERVATIONS_PER_S),
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=PLANNER,
        kind="network",
        what="sights received, all well",
        unit="KB/s",
        figure=OBSERVATIONS,
        limit=PLANNER_NETWORK,
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=PLANNER,
        kind="network",
        what="sights received, something fails everywhere",
        unit="KB/s",
        figure=OBSERVATIONS_FAILING,
        limit=PLANNER_NETWORK,
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=PLANNER,
        kind="network",
        what="plans sent, each second",
        unit="KB/s",
        figure=Figure(
            lambda measured: measured.fact("plan_bytes") * PLANS_PER_S * (measured.brokers - 1) / 1000
        ),
        limit=PLANNER_NETWORK,
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=PLANNER,
        kind="network",
        what="summary's holder: figures in, summaries out",
        unit="KB/s",
        figure=Figure(_summaries_kb_s),
        limit=Limit(CONTROL_NETWORK_KB_S, "the target (the holder is a broker)"),
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=PLANNER,
        kind="processor",
        what="ten acts/s and sights, all well",
        unit="% of a core",
        figure=PLANNER_CPU_NORMAL,
        limit=PLANNER_CPU,
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=PLANNER,
        kind="processor",
        what="ten acts/s and sights, a zone lost",
        unit="% of a core",
        figure=PLANNER_CPU_ZONE_LOST,
        limit=PLANNER_CPU,
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=PLANNER,
        kind="time",
        what="processor time of one act, a zone lost",
        unit="ms",
        figure=curve_at_brokers("planner_lost_ms"),
        limit=Limit(PLANNER_RUN_CPU_MS, "2% of a core for 1 s, then it is cut off"),
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=PLANNER,
        kind="time",
        what="longest step of an act, requests stand still",
        unit="ms",
        figure=curve_at_brokers("planner_longest_ms"),
        limit=MODULE_TICK,
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=PLANNER,
        kind="state",
        what="one summary, a quarter of the brokers missing",
        unit="bytes",
        figure=curve_at_brokers("summary_bytes"),
        limit=Limit(8_192.0, "a datagram's bound"),
    ),
    Requirement(
        role=PLANNER,
        kind="state",
        what="engines a summary has to name, a zone lost",
        unit="engines",
        figure=Figure(lambda measured: measured.engines / TARGET_ZONES),
        limit=Limit(128.0, "ENGINES_MOST"),
    ),
    Requirement(
        role=LEADER,
        kind="messages",
        what="changes of the configuration",
        unit="a day",
        figure=Figure(lambda measured: CONFIGURATION_CHANGES_A_DAY),
        limit=Limit(None, "in force within 12 s"),
        carried_by="was missing: a primary; now the control plane",
    ),
    Requirement(
        role=LEADER,
        kind="network",
        what="a change a second as whole lists to every broker",
        unit="KB/s",
        figure=Figure(
            lambda measured: measured.at("directory_bytes", measured.engines) * measured.brokers / 1000
        ),
        limit=LINK,
        carried_by=MISSING_HISTORY,
    ),
    Requirement(
        role=CONTROL_MACHINES,
        kind="state",
        what="machines set aside; in use by the program",
        unit="machines",
        figure=Figure(lambda measured: 0.0),
        limit=Limit(8.0, "the target"),
        carried_by="was missing: control processes; now the control plane",
    ),
    Requirement(
        role=CONTROL_MACHINES,
        kind="network",
        what="the planner's sights there, something fails everywhere",
        unit="KB/s",
        figure=OBSERVATIONS_FAILING,
        limit=LINK,
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=CONTROL_MACHINES,
        kind="processor",
        what="the planner's acts and sights there, a zone lost",
        unit="% of a core",
        figure=PLANNER_CPU_ZONE_LOST,
        limit=ONE_CORE,
        carried_by=MISSING_PLANNER_MACHINE,
    ),
    Requirement(
        role=DIRECTORY,
        kind="state",
        what="the list in one answer",
        unit="bytes",
        figure=curve_at_engines("directory_bytes"),
        limit=Limit(float(DIRECTORY_ANSWER_BYTES), "the platform's page"),
        carried_by=MISSING_HISTORY,
    ),
    Requirement(
        role=DIRECTORY,
        kind="state",
        what="engines in one DNS message",
        unit="engines",
        figure=Figure(lambda measured: measured.engines, is_direct=True),
        limit=Limit(None, "65,535 bytes", fact="directory_fits_65535"),
        carried_by=MISSING_HISTORY,
    ),
    Requirement(
        role=DIRECTORY,
        kind="messages",
        what="polls of all brokers",
        unit="1/s",
        figure=Figure(lambda measured: measured.brokers * POLLS_PER_S),
        carried_by=MISSING_HISTORY,
    ),
    Requirement(
        role=DIRECTORY,
        kind="network",
        what="whole lists sent to all brokers",
        unit="KB/s",
        figure=Figure(_lists_kb_s),
        limit=LINK,
        carried_by=MISSING_HISTORY,
    ),
    Requirement(
        role=ENGINE,
        kind="messages",
        what="statements of all brokers",
        unit="1/s",
        figure=Figure(lambda measured: measured.brokers * STATEMENTS_PER_S / measured.engines),
    ),
    Requirement(
        role=ENGINE,
        kind="sockets",
        what="connections of all brokers",
        unit="connections",
        figure=Figure(_connections_per_engine),
        limit=Limit(None, "none set by a site"),
        carried_by=MISSING_ENGINE_SHARE,
    ),
)
