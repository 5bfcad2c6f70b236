"""Requirements of a broker: on the request path, in its control part, and as a voter for leases."""

from cypressledge.config import DEFAULT_MEMORY_MB
from cypressledge.lab.capacity.requirements import (
    MODULE_TICK,
    ONE_CORE,
    TARGET_CPU,
    TARGET_NETWORK,
    VOTER_CPU,
    VOTER_NETWORK,
    Figure,
    Limit,
    Measurements,
    Requirement,
    curve_at_brokers,
    curve_at_engines,
)
from cypressledge.lab.capacity.targets import (
    CONTROL_PART,
    ENGINES_PER_OBSERVATION,
    MISSING_ENGINE_SHARE,
    MISSING_HISTORY,
    OBSERVATIONS_PER_S,
    PLANS_PER_S,
    POLLS_PER_S,
    REQUEST_PATH,
    REQUIRED_SOCKETS,
    RESTARTS_A_DAY,
    STATEMENTS_PER_S,
    SUMMARY_INTERVAL_S,
    TARGET_CLIENTS,
    USUAL_SOCKETS,
    VOTER,
)


def _module_cpu_pct(measured: Measurements) -> float:
    return measured.at("module_ms", measured.engines) * STATEMENTS_PER_S / 10


def _broker_cpu_pct(measured: Measurements) -> float:
    without_module = measured.at("statement_ms", 32) - measured.at("module_ms", 36)
    return (max(without_module, 0.0) + measured.at("module_ms", measured.engines)) * STATEMENTS_PER_S / 10


def _broker_mb(measured: Measurements) -> float:
    return measured.at("clients_mb", TARGET_CLIENTS) + measured.at("module_kb", measured.engines) / 1000


def _control_sent_kb_s(measured: Measurements) -> float:
    metrics = measured.fact("figures_bytes") / SUMMARY_INTERVAL_S
    observations = measured.at("sight_bytes", ENGINES_PER_OBSERVATION) * OBSERVATIONS_PER_S
    bytes_per_s = metrics + observations
    return measured.at("members_others_kb_most", measured.brokers) + bytes_per_s / 1000


def _control_received_kb_s(measured: Measurements) -> float:
    plans = measured.fact("plan_bytes") * PLANS_PER_S
    summaries = measured.at("summary_bytes", measured.brokers) / SUMMARY_INTERVAL_S
    bytes_per_s = plans + summaries
    return measured.at("members_others_kb_most", measured.brokers) + bytes_per_s / 1000


def _changes_cpu_pct(measured: Measurements) -> float:
    read = measured.at("directory_read_ms", measured.engines)
    applied = measured.at("module_list_ms", measured.engines)
    return (read + applied) * 2 * RESTARTS_A_DAY / 86_400 / 10


BROKER_REQUIREMENTS = (
    Requirement(
        role=REQUEST_PATH,
        kind="processor",
        what="decision module, 500 statements/s",
        unit="% of a core",
        figure=Figure(_module_cpu_pct),
        limit=ONE_CORE,
        carried_by=MISSING_ENGINE_SHARE,
    ),
    Requirement(
        role=REQUEST_PATH,
        kind="processor",
        what="whole broker, 500 statements/s",
        unit="% of a core",
        figure=Figure(_broker_cpu_pct),
        limit=ONE_CORE,
        carried_by=MISSING_ENGINE_SHARE,
    ),
    Requirement(
        role=REQUEST_PATH,
        kind="memory",
        what="process with 2,610 idle clients, and the module",
        unit="MB",
        figure=Figure(_broker_mb),
        limit=Limit(float(DEFAULT_MEMORY_MB), "`memory_mb`, usual value"),
    ),
    Requirement(
        role=REQUEST_PATH,
        kind="state",
        what="engines known to the module",
        unit="KB",
        figure=curve_at_engines("module_kb"),
        limit=Limit(DEFAULT_MEMORY_MB * 1000.0, "`memory_mb`, usual value"),
    ),
    Requirement(
        role=REQUEST_PATH,
        kind="sockets",
        what="descriptors, clients at three fifths",
        unit="descriptors",
        figure=Figure(lambda measured: REQUIRED_SOCKETS),
        limit=Limit(float(USUAL_SOCKETS), "`sockets`, usual value"),
        carried_by="stands: the site's `sockets`",
    ),
    Requirement(
        role=REQUEST_PATH,
        kind="sockets",
        what="engine connections, one an engine",
        unit="connections",
        figure=curve_at_engines("engines_used"),
        limit=Limit(USUAL_SOCKETS / 4, "a fourth of the usual `sockets`"),
        carried_by="stands: the site's `sockets`; " + MISSING_ENGINE_SHARE,
    ),
    Requirement(
        role=CONTROL_PART,
        kind="messages",
        what="datagrams sent by members and leases, most",
        unit="1/s",
        figure=curve_at_brokers("members_others_datagrams_most"),
        limit=Limit(400.0, "the exchange's bound for one address"),
    ),
    Requirement(
        role=CONTROL_PART,
        kind="processor",
        what="members and leases, mean",
        unit="% of a core",
        figure=curve_at_brokers("members_others_cpu_mean"),
        limit=TARGET_CPU,
    ),
    Requirement(
        role=CONTROL_PART,
        kind="processor",
        what="members and leases, most",
        unit="% of a core",
        figure=curve_at_brokers("members_others_cpu_most"),
        limit=TARGET_CPU,
    ),
    Requirement(
        role=CONTROL_PART,
        kind="processor",
        what="2.5 polls/s of an unchanged list",
        unit="% of a core",
        figure=Figure(lambda measured: measured.at("directory_poll_ms", measured.engines) * POLLS_PER_S / 10),
        limit=TARGET_CPU,
        carried_by=MISSING_HISTORY,
    ),
    Requirement(
        role=CONTROL_PART,
        kind="processor",
        what="changed lists read, 440 a day",
        unit="% of a core",
        figure=Figure(_changes_cpu_pct),
        limit=TARGET_CPU,
        carried_by=MISSING_HISTORY,
    ),
    Requirement(
        role=CONTROL_PART,
        kind="time",
        what="requests stand still while a changed list is read",
        unit="ms",
        figure=curve_at_engines("directory_read_ms"),
        limit=MODULE_TICK,
        carried_by=MISSING_HISTORY,
    ),
    Requirement(
        role=CONTROL_PART,
        kind="network",
        what="2.5 whole lists/s of engines received",
        unit="KB/s",
        figure=Figure(lambda measured: measured.at("directory_bytes", measured.engines) * POLLS_PER_S / 1000),
        limit=TARGET_NETWORK,
        carried_by=MISSING_HISTORY,
    ),
    Requirement(
        role=CONTROL_PART,
        kind="network",
        what="members, figures, sights: sent, most",
        unit="KB/s",
        figure=Figure(_control_sent_kb_s),
        limit=TARGET_NETWORK,
    ),
    Requirement(
        role=CONTROL_PART,
        kind="network",
        what="members, plan, summary: received, most",
        unit="KB/s",
        figure=Figure(_control_received_kb_s),
        limit=TARGET_NETWORK,
    ),
    Requirement(
        role=CONTROL_PART,
        kind="state",
        what="brokers named in fleet.yaml",
        unit="brokers",
        figure=Figure(lambda measured: measured.brokers, is_direct=True),
        limit=Limit(None, "PEERS_MOST", fact="fleet_yaml_peers"),
        carried_by=MISSING_HISTORY,
    ),
    Requirement(
        role=CONTROL_PART,
        kind="time",
        what="fleet.yaml read at a reload, requests stand still",
        unit="ms",
        figure=curve_at_brokers("fleet_yaml_ms"),
        limit=MODULE_TICK,
        carried_by=MISSING_HISTORY,
    ),
    Requirement(
        role=CONTROL_PART,
        kind="state",
        what="engines a sight names, of those used",
        unit="engines",
        figure=curve_at_engines("engines_used"),
        limit=Limit(float(ENGINES_PER_OBSERVATION), "a sight's bound"),
        carried_by=MISSING_ENGINE_SHARE,
    ),
    Requirement(
        role=VOTER,
        kind="processor",
        what="members and 50 leases, mean of five",
        unit="% of a core",
        figure=curve_at_brokers("members_voters_cpu_mean"),
        limit=VOTER_CPU,
    ),
    Requirement(
        role=VOTER,
        kind="processor",
        what="members and 50 leases, most of five",
        unit="% of a core",
        figure=curve_at_brokers("members_voters_cpu_most"),
        limit=VOTER_CPU,
    ),
    Requirement(
        role=VOTER,
        kind="messages",
        what="datagrams sent, most of five",
        unit="1/s",
        figure=curve_at_brokers("members_voters_datagrams_most"),
    ),
    Requirement(
        role=VOTER,
        kind="network",
        what="members and 50 leases: sent, most",
        unit="KB/s",
        figure=curve_at_brokers("members_voters_kb_most"),
        limit=VOTER_NETWORK,
    ),
)
