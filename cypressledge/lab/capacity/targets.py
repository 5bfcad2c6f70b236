"""The target's size and limits, constants of the program that requirements depend on, and the roles."""

from cypressledge.config import RESERVED_SOCKETS

# The target, as the operators stated it
TARGET_BROKERS = 460
TARGET_ENGINES = 490
TARGET_ZONES = 4
TARGET_CLIENTS = 2_610  # client connections of one broker
STATEMENTS_PER_S = 500.0  # at one broker
CONTROL_CPU_PCT = 3.2  # % of a core; limit for the control part of one broker
CONTROL_MEMORY_MB = 256.0  # limit for the control part of one broker
CONTROL_NETWORK_KB_S = 30.0  # limit for the control part of one broker
CONFIGURATION_CHANGES_A_DAY = 450
RESTARTS_A_DAY = 220

# Constants of the program
POLLS_PER_S = 2.5  # polls of the list of engines, from the interval in net/dns_discovery.py
DIRECTORY_ANSWER_BYTES = 8_000
OBSERVATIONS_PER_S = 2.0  # zone observations of each broker: fleet/zones/failover.py, deploy/fleet.yaml
OBSERVATIONS_PER_S_FAILING = 5.0  # observations per second during a failure
PLANS_PER_S = 1.0
SUMMARY_INTERVAL_S = 2.0
PLANNER_RUN_CPU_MS = 20.0  # processor time: task_share 2% of a core for longest_s, 1 s; then it is stopped
PLANNER_RUNS_PER_S = 10.0  # the planner's target rate: a tenth of a second between its runs
ENGINES_PER_OBSERVATION = 64  # maximum number of engines in one broker's observations
USUAL_SOCKETS = 1_024  # the sites' usual limit on file descriptors
REQUIRED_SOCKETS = TARGET_CLIENTS * 5 // 3 + RESERVED_SOCKETS + 1  # clients get three fifths

# Assumptions
LINK_KB_S = 125_000.0  # rate of a machine's link of 1 Gbit/s
BROKERS_PER_RACK = 20
REMAINING_SHARE = (TARGET_ZONES - 1) / TARGET_ZONES  # share of brokers and engines after the loss of a zone

# Roles, as shown on the page
REQUEST_PATH = "broker, request path"
CONTROL_PART = "broker, control part"
VOTER = "voter"
PLANNER = "planner"
LEADER = "primary of the configuration"
CONTROL_MACHINES = "other control machines"
DIRECTORY = "directory"
ENGINE = "engine"
FAILURES = "after a failure"
ROLES = (REQUEST_PATH, CONTROL_PART, VOTER, PLANNER, LEADER, CONTROL_MACHINES, DIRECTORY, ENGINE)

# Features that requirements depend on, as shown on the page
MISSING_ENGINE_SHARE = "missing: a broker's own share of the engines"
MISSING_HISTORY = "was missing: the fleet's state as numbered changes; now the control plane"
MISSING_PLANNER_MACHINE = "missing: the planner away from brokers, or sights summed up on the way"
