"""Settings of the fleet from its file (`deploy/fleet.yaml`): peers, voters, leases, tasks and zone failover.

The file is checked against msgspec's schema first, then against the rules below. An error is one line that
names the mistake.
"""

from collections.abc import Callable, Mapping
from typing import Annotated, Literal, TypeVar

import msgspec
import yaml

from cypressledge.config import ConfigError, parse_address
from cypressledge.fleet.leases.electorate import VoterSetError, check_voter_sets

T = TypeVar("T")
MAX_PEERS = 1_000  # 460 brokers, those that replace them during a deployment, and control machines
MAX_SLOTS = 32  # slots of one lease
MAX_LEASES = 256  # leases, counting each slot, since each slot has messages of its own
VOTER_SET_SIZES = range(3, 8)  # voters; 4 and 6 only during the change from one odd number to the next

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$")]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=600)]


class StrictStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all parts of a settings file: an unknown key is an error."""


class Peer(StrictStruct, frozen=True):
    """One broker of the fleet. `address`: HOST:PORT of its fleet socket (UDP); `zone`: empty if none."""

    name: Name
    address: str
    zone: str = ""


class VoterSet(StrictStruct, frozen=True):
    """One version of the voter set: its number and the names of the voters."""

    version: Annotated[int, msgspec.Meta(ge=1)]
    names: list[Name]


class LeaseSpec(StrictStruct, frozen=True):
    """A lease. `slots` (key `places`): number of brokers that may hold it at the same time. `on_demand` (key
    `wanted`): a broker requests it only when an operator's call asks for it. `term_s`: seconds; None for the
    fleet's default."""

    name: Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)] = msgspec.field(default=1, name="places")
    on_demand: bool = msgspec.field(default=False, name="wanted")
    term_s: Seconds | None = None


class TaskSpec(StrictStruct, frozen=True):
    """A task that the holder of a lease runs repeatedly; one run is called an act.

    `interval_s` (key `every_s`): seconds between acts. `time_limit_s` (key `longest_s`): seconds; limit of an
    act, which is not started if the lease expires sooner. `priority`: 0 is the highest. For tasks of kind
    "call": `service_address` (key `at`), `calls_per_act` (key `steps`), and `call_interval_s` (key `step_s`),
    the seconds between calls.
    """

    kind: Literal["summary", "call", "zones"]
    lease: Name
    interval_s: Seconds = msgspec.field(default=2.0, name="every_s")
    time_limit_s: Seconds = msgspec.field(default=1.0, name="longest_s")
    priority: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    service_address: str = msgspec.field(default="", name="at")
    calls_per_act: Annotated[int, msgspec.Meta(ge=1, le=1000)] = msgspec.field(default=1, name="steps")
    call_interval_s: Annotated[float, msgspec.Meta(ge=0, le=60)] = msgspec.field(default=0.0, name="step_s")


class ZonePaceSettings(StrictStruct, frozen=True):
    """The pace of zone failover: times in seconds, ratios as fractions of 1. `FailoverPace` documents each.
    The engines' cold capacity and warm-up time come from the site's settings."""

    confirmation_time_s: Seconds = msgspec.field(default=0.3, name="confirm_s")
    min_time_out_s: Seconds = msgspec.field(default=5.0, name="hold_s")
    max_time_out_s: Seconds = msgspec.field(default=300.0, name="hold_most_s")
    safety_margin: Annotated[float, msgspec.Meta(gt=0, le=1)] = msgspec.field(default=0.8, name="margin")
    max_utilization: Annotated[float, msgspec.Meta(gt=0, le=1)] = msgspec.field(default=0.9, name="bear")


class Region(StrictStruct, frozen=True):
    """A group of zones that are evacuated and returned to together."""

    name: Name
    zones: Annotated[list[Name], msgspec.Meta(min_length=1)]


class ZoneCommandRequest(StrictStruct, frozen=True):
    """The body of an operator's call that commands a zone: the action, its duration and the reason. The keys
    are those of the operators' pages."""

    zone: str
    action: Literal["leave", "practice", "hold", "return"] = msgspec.field(name="what")
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=86_400)] = msgspec.field(default=600.0, name="span_s")
    reason: Annotated[str, msgspec.Meta(min_length=1, max_length=120)] = msgspec.field(
        default="no reason given", name="why"
    )

    @property
    def duration(self) -> int:
        """How long the command is in force, µs."""
        return round(self.duration_s * 1e6)


class SimulationSettings(StrictStruct, frozen=True):
    """Settings for simulations only: rate and offset of the lease clock, a step of the wall clock, and the
    file of the lease recorder (`record`)."""

    clock_rate: Annotated[float, msgspec.Meta(ge=0.5, le=2)] = 1.0
    clock_offset_s: float = 0.0
    wall_step_s: float = 0.0
    record: str = ""


class FleetSettings(StrictStruct, frozen=True):
    """All settings of the file.

    `term_s`: seconds; term of leases without one of their own. `longest_term_s`: seconds; upper bound of all
    terms. `drift_ppm`: bound on the error of any clock's rate, parts per million. `grace_s`: seconds in which
    the previous version of the voter set is still accepted. `ping_s`: seconds between pings of peers.
    `task_share`: share of one core that tasks may use. `listen`: address to bind, if the broker's own address
    can't be bound.
    """

    peers: list[Peer]
    voters: list[VoterSet]
    leases: list[LeaseSpec] = []
    tasks: list[TaskSpec] = []
    term_s: Seconds = 3.0
    longest_term_s: Seconds | None = None
    drift_ppm: Annotated[int, msgspec.Meta(ge=0, le=200_000)] = 10_000
    grace_s: Annotated[float, msgspec.Meta(ge=0, le=600)] = 10.0
    ping_s: Seconds = 0.5
    task_share: Annotated[float, msgspec.Meta(gt=0, le=0.2)] = 0.02
    listen: str = ""
    zone_pace: ZonePaceSettings = ZonePaceSettings()
    regions: list[Region] = []
    lab: SimulationSettings = SimulationSettings()

    @property
    def longest_term(self) -> int:
        """The longest term of any lease, µs. A voter does not vote for this long after its start."""
        return round((self.longest_term_s or self.term_s) * 1e6)

    @property
    def voter_sets(self) -> Mapping[int, tuple[str, ...]]:
        """The voters' names, by version of the voter set."""
        return {v.version: tuple(v.names) for v in self.voters}

    def term_of(self, spec: LeaseSpec) -> int:
        """Return a lease's term, µs."""
        return round((spec.term_s or self.term_s) * 1e6)


def read_fleet_settings(path: str) -> FleetSettings:
    """Return the settings of the fleet's file. Raises `ConfigError` with one line that names the mistake."""
    return read_yaml_settings(path, FleetSettings, check_fleet_settings)


def read_yaml_settings(path: str, schema: type[T], check: Callable[[T], None]) -> T:
    """Return a YAML file's settings, converted by `schema` and then passed to `check`. Raises `ConfigError`
    with one line that names the mistake."""
    try:
        with open(path, encoding="utf-8") as file:
            raw = yaml.safe_load(file)
    except OSError as err:
        raise ConfigError(f"{path}: {err.strerror}") from None
    except UnicodeDecodeError:
        raise ConfigError(f"{path} is not UTF-8 text") from None
    except (yaml.YAMLError, RecursionError, ValueError) as err:  # ValueError: a date that does not exist
        raise ConfigError(f"{path} is not YAML: {' '.join(str(err).split())}") from None
    try:
        settings = msgspec.convert(raw, schema, strict=True)
        check(settings)
    except (msgspec.ValidationError, ConfigError, VoterSetError) as err:
        raise ConfigError(f"{path}: {err}") from None
    return settings


def check_fleet_settings(settings: FleetSettings) -> None:
    """Check the rules that the schema can't express. Raises `ConfigError` or `VoterSetError`."""
    names = [p.name for p in settings.peers]
    require_unique(names, "peer")
    require_unique([p.address for p in settings.peers], "address")
    require_unique([spec.name for spec in settings.leases], "lease")
    require_unique([r.name for r in settings.regions], "region")
    require_unique([zone for r in settings.regions for zone in r.zones], "a region's zone")
    require_unique([(t.kind, t.lease) for t in settings.tasks], "task")
    if not 1 <= len(names) <= MAX_PEERS:
        raise ConfigError(
            f"{len(names)} peers; expected 1 to {MAX_PEERS}: 460 brokers, as many that replace them "
            "during a deployment, and control machines"
        )
    for peer in settings.peers:
        parse_address(peer.address)
    if settings.listen:
        parse_address(settings.listen)
    _check_voters(settings, set(names))
    _check_leases(settings)


def require_unique(values: list, label: str) -> None:
    """Raise `ConfigError` if a value occurs twice. `label`: what the error calls such a value."""
    seen = set()
    for value in values:
        if value in seen:
            raise ConfigError(f"{label} {value} is named twice")
        seen.add(value)


def _check_voters(settings: FleetSettings, names: set[str]) -> None:
    if not settings.voters:
        raise ConfigError("no voters; expected at least one version of the voter set")
    require_unique([v.version for v in settings.voters], "voters version")
    newest = max(settings.voters, key=lambda v: v.version)
    for voters in settings.voters:
        require_unique(voters.names, f"in voters version {voters.version}, broker")
        if len(voters.names) not in VOTER_SET_SIZES:
            count = len(voters.names)
            raise ConfigError(f"voters version {voters.version} has {count} voters; expected 3 to 7")
    for name in newest.names:
        if name not in names:
            raise ConfigError(f"voter {name} is not among the peers")
    check_voter_sets(settings.voter_sets)


def _check_leases(settings: FleetSettings) -> None:
    known = {spec.name for spec in settings.leases}
    if sum(spec.slots for spec in settings.leases) > MAX_LEASES:
        raise ConfigError(f"more than {MAX_LEASES} leases, counting each of their places")
    for spec in settings.leases:
        if settings.term_of(spec) > settings.longest_term:
            raise ConfigError(f"lease {spec.name}: its term is over longest_term_s")
    for task in settings.tasks:
        if task.lease not in known:
            raise ConfigError(f"task {task.kind}: there is no lease {task.lease}")
        term = next(settings.term_of(s) for s in settings.leases if s.name == task.lease)
        if task.time_limit_s * 1e6 * 2 > term:
            raise ConfigError(f"task {task.kind}: longest_s is over half the term of lease {task.lease}")
        if task.kind == "call":
            parse_address(task.service_address)
