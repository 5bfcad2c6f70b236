"""Reads `deploy/fleet.yaml`: who the peers are, which of them vote, which leases and tasks there are.

Checked by msgspec's schema first and then by the rules below; an error is one line that names the mistake.
"""

from collections.abc import Callable, Mapping
from typing import Annotated, Literal, TypeVar

import msgspec
import yaml

from cypressledge.config import ConfigError, parse_address
from cypressledge.fleet.leases.electorate import VoterSetError, check_voter_sets

T = TypeVar("T")
MAX_PEERS = 1_000  # 460 brokers, those that replace them in a deployment, control machines
MAX_SLOTS = 32  # of one lease
MAX_LEASES = 256  # with all their slots: each has messages of its own
VOTER_SET_SIZES = range(3, 8)  # voters; 4 and 6 only on the way from one odd number to the next

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$")]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=600)]


class StrictStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A part of the file: an unknown key is an error."""


class Peer(StrictStruct, frozen=True):
    """One broker. `address`: HOST:PORT of its fleet socket (UDP)."""

    name: Name
    address: str
    zone: str = ""


class VoterSet(StrictStruct, frozen=True):
    """One version of the voter set."""

    version: Annotated[int, msgspec.Meta(ge=1)]
    names: list[Name]


class LeaseSpec(StrictStruct, frozen=True):
    """A lease. `slots`: how many may hold it at once (key `places`). `on_demand`: only those asked to do so
    request it (key `wanted`)."""

    name: Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)] = msgspec.field(default=1, name="places")
    on_demand: bool = msgspec.field(default=False, name="wanted")
    term_s: Seconds | None = None


class TaskSpec(StrictStruct, frozen=True):
    """A task under a lease, in acts.

    `interval_s`: between acts (key `every_s`). `time_limit_s`: of an act, which is not begun with less of the
    lease left (key `longest_s`). For calls of a service: `service_address` (key `at`), `calls_per_act` (key
    `steps`), and `call_interval_s` between them (key `step_s`).
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
    """How zones are left and returned to: seconds, and parts of one; what each means stands at
    `FailoverPace`. What engines bear is the site's."""

    confirmation_time_s: Seconds = msgspec.field(default=0.3, name="confirm_s")
    min_time_out_s: Seconds = msgspec.field(default=5.0, name="hold_s")
    max_time_out_s: Seconds = msgspec.field(default=300.0, name="hold_most_s")
    safety_margin: Annotated[float, msgspec.Meta(gt=0, le=1)] = msgspec.field(default=0.8, name="margin")
    max_utilization: Annotated[float, msgspec.Meta(gt=0, le=1)] = msgspec.field(default=0.9, name="bear")


class Region(StrictStruct, frozen=True):
    """Zones that are left and returned to together."""

    name: Name
    zones: Annotated[list[Name], msgspec.Meta(min_length=1)]


class ZoneCommandRequest(StrictStruct, frozen=True):
    """The body of an operator's call: what a zone is to do, and for how long. Keys as in the operators'
    pages."""

    zone: str
    action: Literal["leave", "practice", "hold", "return"] = msgspec.field(name="what")
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=86_400)] = msgspec.field(default=600.0, name="span_s")
    reason: Annotated[str, msgspec.Meta(min_length=1, max_length=120)] = msgspec.field(
        default="no reason given", name="why"
    )

    @property
    def duration(self) -> int:
        """How long it holds, µs."""
        return round(self.duration_s * 1e6)


class SimulationSettings(StrictStruct, frozen=True):
    """For the laboratory alone: clocks of another rate and offset, and a file of what was held when."""

    clock_rate: Annotated[float, msgspec.Meta(ge=0.5, le=2)] = 1.0
    clock_offset_s: float = 0.0
    wall_step_s: float = 0.0
    record: str = ""


class FleetSettings(StrictStruct, frozen=True):
    """The file. `term_s`: of a lease that names none; `longest_term_s`: the longest of any; `drift_ppm`: how
    far any clock's rate may be from true, parts in a million; `grace_s`: in which the voter set of the
    version before still counts; `ping_s`: between pings of peers; `task_share`: of one core that tasks may
    take; `listen`: where the own address can't be bound."""

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
        """The longest term of any lease, µs: what a voter that starts does not vote for."""
        return round((self.longest_term_s or self.term_s) * 1e6)

    @property
    def voter_sets(self) -> Mapping[int, tuple[str, ...]]:
        """VoterSet by the version of their set."""
        return {v.version: tuple(v.names) for v in self.voters}

    def term_of(self, spec: LeaseSpec) -> int:
        """A lease's term, µs."""
        return round((spec.term_s or self.term_s) * 1e6)


def read_fleet_settings(path: str) -> FleetSettings:
    """The file's settings. Raises `ConfigError` with one line that names the mistake."""
    return read_yaml_settings(path, FleetSettings, check_fleet_settings)


def read_yaml_settings(path: str, schema: type[T], check: Callable[[T], None]) -> T:
    """A YAML file's settings by their schema, checked whole. Raises `ConfigError` with one line."""
    try:
        with open(path, encoding="utf-8") as file:
            raw = yaml.safe_load(file)
    except OSError as err:
        raise ConfigError(f"{path}: {err.strerror}") from None
    except UnicodeDecodeError:
        raise ConfigError(f"{path} is not UTF-8 text") from None
    except (yaml.YAMLError, RecursionError) as err:
        raise ConfigError(f"{path} is not YAML: {' '.join(str(err).split())}") from None
    try:
        settings = msgspec.convert(raw, schema, strict=True)
        check(settings)
    except (msgspec.ValidationError, ConfigError, VoterSetError) as err:
        raise ConfigError(f"{path}: {err}") from None
    return settings


def check_fleet_settings(settings: FleetSettings) -> None:
    """The rules that a schema can't state. Raises `ConfigError` or `VoterSetError`."""
    names = [p.name for p in settings.peers]
    require_unique(names, "peer")
    require_unique([p.address for p in settings.peers], "address")
    require_unique([spec.name for spec in settings.leases], "lease")
    require_unique([r.name for r in settings.regions], "region")
    require_unique([zone for r in settings.regions for zone in r.zones], "a region's zone")
    require_unique([(t.kind, t.lease) for t in settings.tasks], "task")
    if not 1 <= len(names) <= MAX_PEERS:
        raise ConfigError(
            f"{len(names)} peers; 1 to {MAX_PEERS} can be: 460 brokers, as many that replace "
            "them, and control machines"
        )
    for peer in settings.peers:
        parse_address(peer.address)
    if settings.listen:
        parse_address(settings.listen)
    _check_voters(settings, set(names))
    _check_leases(settings)


def require_unique(values: list, label: str) -> None:
    """Raises `ConfigError` where a value is there twice."""
    seen = set()
    for value in values:
        if value in seen:
            raise ConfigError(f"{label} {value} is named twice")
        seen.add(value)


def _check_voters(settings: FleetSettings, names: set[str]) -> None:
    if not settings.voters:
        raise ConfigError("no voters")
    require_unique([v.version for v in settings.voters], "voters version")
    newest = max(settings.voters, key=lambda v: v.version)
    for voters in settings.voters:
        require_unique(voters.names, f"in voters version {voters.version}, broker")
        if len(voters.names) not in VOTER_SET_SIZES:
            count = len(voters.names)
            raise ConfigError(f"voters version {voters.version} has {count} voters; 3 to 7 can be")
    for name in newest.names:
        if name not in names:
            raise ConfigError(f"voter {name} is not among the peers")
    check_voter_sets(settings.voter_sets)


def _check_leases(settings: FleetSettings) -> None:
    known = {spec.name for spec in settings.leases}
    if sum(spec.slots for spec in settings.leases) > MAX_LEASES:
        raise ConfigError(f"more than {MAX_LEASES} leases and places")
    for spec in settings.leases:
        if settings.term_of(spec) > settings.longest_term:
            raise ConfigError(f"lease {spec.name}: its term is over longest_term_s")
    for task in settings.tasks:
        if task.lease not in known:
            raise ConfigError(f"task {task.kind}: no lease {task.lease}")
        term = next(settings.term_of(s) for s in settings.leases if s.name == task.lease)
        if task.time_limit_s * 1e6 * 2 > term:
            raise ConfigError(f"task {task.kind}: longest_s is over half the term of lease {task.lease}")
        if task.kind == "call":
            parse_address(task.service_address)
