"""Reads `deploy/control.yaml`: the control processes, which of them vote, and the leases' terms.

The file is validated by msgspec's schema and then by the rules below; each error is reported in one line.
Control processes, brokers and operators read the same file.
"""

from typing import Annotated

import msgspec

from cypressledge.config import ConfigError, parse_address
from cypressledge.fleet.settings import Name, Seconds, StrictStruct, read_yaml_settings, require_unique

MAX_SERVERS = 8
VOTER_COUNTS = (3, 5, 7)


class ServerSpec(StrictStruct, frozen=True):
    """One control process.

    `address`: HOST:PORT (TCP) for brokers and the other control processes; `fleet`: HOST:PORT (UDP) of its
    leases; `management`: HOST:PORT (HTTP) for operators. `votes`: it is a voter; a change needs a majority of
    the voters. The other control processes only replicate the history and publish it to brokers.
    """

    name: Name
    address: str
    fleet: str
    management: str
    zone: str = ""
    region: str = ""
    votes: bool = True


class TestRunOptions(StrictStruct, frozen=True):
    """Options for test runs only: another rate and offset of the clock, and a file that records events."""

    clock_rate: Annotated[float, msgspec.Meta(ge=0.5, le=2)] = 1.0
    clock_offset_s: float = 0.0
    record: str = ""


class ControlSettings(StrictStruct, frozen=True):
    """The contents of the settings file.

    `version`: of the set of voters; must be increased by one whenever `votes` changes. `drift_ppm`: largest
    error of any clock's rate, parts per million. `max_brokers` (key `brokers_most`): largest number of broker
    connections that one control process accepts. `forget_s`: seconds without a connection to any control
    process after which a broker is removed from the state (0: never).
    """

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
        """The names of the control processes that vote."""
        return tuple(s.name for s in self.servers if s.votes)

    def server(self, name: str) -> ServerSpec:
        """Return the server with a name. Raises `ConfigError` if there is none."""
        for spec in self.servers:
            if spec.name == name:
                return spec
        raise ConfigError(f"no control process {name!r} among {' '.join(s.name for s in self.servers)}")


def read_control_settings(path: str) -> ControlSettings:
    """Return the settings in a file. Raises `ConfigError` with one line that states the mistake."""
    return read_yaml_settings(path, ControlSettings, validate_settings)


def validate_settings(settings: ControlSettings) -> None:
    """Check the rules that a schema can't express. Raises `ConfigError`."""
    if not 1 <= len(settings.servers) <= MAX_SERVERS:
        raise ConfigError(f"{len(settings.servers)} control processes, expected 3 to {MAX_SERVERS}")
    require_unique([s.name for s in settings.servers], "control process")
    for spec in settings.servers:
        for text in (spec.address, spec.fleet, spec.management):
            parse_address(text)
    require_unique(
        [s.address for s in settings.servers] + [s.management for s in settings.servers], "address"
    )
    require_unique([s.fleet for s in settings.servers], "fleet address")
    if len(settings.voters) not in VOTER_COUNTS:
        raise ConfigError(f"{len(settings.voters)} control processes vote, expected 3, 5 or 7")
