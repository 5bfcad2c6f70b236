"""Reads `deploy/control.yaml`: the control processes, which of them vote, and the leases' terms.

Checked by msgspec's schema and then by the rules below; whatever is wrong is one plain line. Control
processes, brokers and operators read the same file.
"""

from typing import Annotated

import msgspec

from cypressledge.config import ConfigError, parse_address
from cypressledge.fleet.settings import Name, Seconds, StrictStruct, read_yaml_settings, require_unique

MAX_SERVERS = 8
VOTER_COUNTS = (3, 5, 7)


class ServerSpec(StrictStruct, frozen=True):
    """One control process. `address`: HOST:PORT (TCP) for brokers and the other control processes; `fleet`:
    HOST:PORT (UDP) of its leases; `management`: HOST:PORT (HTTP) for operators. `votes`: it is one of those
    whose majority a change needs; the others only hold the history and hand it on."""

    name: Name
    address: str
    fleet: str
    management: str
    zone: str = ""
    region: str = ""
    votes: bool = True


class TestRunOptions(StrictStruct, frozen=True):
    """For the laboratory alone: a clock of another rate and offset, and a file of what was done when."""

    clock_rate: Annotated[float, msgspec.Meta(ge=0.5, le=2)] = 1.0
    clock_offset_s: float = 0.0
    record: str = ""


class ControlSettings(StrictStruct, frozen=True):
    """The file. `version`: of the voter set, one higher whenever `votes` changes. `drift_ppm`: how far
    any clock's rate may be from true, parts in a million. `max_brokers` (key `brokers_most`):
    connections of brokers that one control process takes. `forget_s`: a broker that was connected nowhere
    for so long leaves the state (0: never)."""

    servers: list[ServerSpec]
    version: Annotated[int, msgspec.Meta(ge=1)] = 1
    term_s: Seconds = 3.0
    ping_s: Seconds = 0.5
    drift_ppm: Annotated[int, msgspec.Meta(ge=0, le=200_000)] = 10_000
    grace_s: Annotated[float, msgspec.Meta(ge=0, le=600)] = 10.0
    max_brokers: Annotated[int, msgspec.Meta(ge=1, le=20_000)] = msgspec.field(
        default=2_000, name="brokers_most"
    )
    forget_s: Annotated[float, msgspec.Meta(ge=0, le=1e7)] = 3_600.0
    lab: TestRunOptions = TestRunOptions()

    @property
    def term(self) -> int:
        """The term of the lease `primary`, µs."""
        return round(self.term_s * 1e6)

    @property
    def voters(self) -> tuple[str, ...]:
        """Names of those that vote."""
        return tuple(s.name for s in self.servers if s.votes)

    def server(self, name: str) -> ServerSpec:
        """One of the servers. Raises `ConfigError` where it isn't named."""
        for spec in self.servers:
            if spec.name == name:
                return spec
        raise ConfigError(f"no control process {name} among {' '.join(s.name for s in self.servers)}")


def read_control_settings(path: str) -> ControlSettings:
    """The file's settings. Raises `ConfigError` with one line that names the mistake."""
    return read_yaml_settings(path, ControlSettings, validate_settings)


def validate_settings(settings: ControlSettings) -> None:
    """The rules that a schema can't state. Raises `ConfigError`."""
    if not 1 <= len(settings.servers) <= MAX_SERVERS:
        raise ConfigError(f"{len(settings.servers)} control processes; 3 to {MAX_SERVERS} can be")
    require_unique([s.name for s in settings.servers], "control process")
    for spec in settings.servers:
        for text in (spec.address, spec.fleet, spec.management):
            parse_address(text)
    require_unique(
        [s.address for s in settings.servers] + [s.management for s in settings.servers], "address"
    )
    require_unique([s.fleet for s in settings.servers], "fleet address")
    if len(settings.voters) not in VOTER_COUNTS:
        raise ConfigError(f"{len(settings.voters)} control processes vote; 3, 5 or 7 can")
