"""The bounds of one small world, and the classes under test in it. No I/O."""

from dataclasses import dataclass, field

from cypressledge.fleet.leases.acquisition import LeaseAcquisition
from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.leases.voter import Voter

LEASE = "l"
# µs by which a clock of each speed advances per tick of real time: a drift of one part in five.
TICK_US = {"slow": 4, "true": 5, "fast": 6}
DRIFT_PPM = 200_000
RESTART_TOKEN_STEP = 100  # increase of a voter's lowest token, taken from the wall clock, per restart

VoterSets = dict[int, tuple[str, ...]]  # version -> names of the voters


@dataclass(frozen=True)
class Bounds:
    """A bounded world: its processes, and how often each kind of event may happen.

    `clocks`: speed of each process's clock: slow, true (the default), fast or stopped. `voter_sets`: all
    versions of the voter set. Per process: `versions` is the version that it starts with (default: the
    oldest), `reloads` the number of newer versions that it may adopt, `known_versions` the versions that its
    file still names. `version_observations`: how often a process may receive the oldest version that a
    reloading voter accepts; `observed_voters`: per process, the voters whose version it knows at the start.
    """

    name: str
    voter_sets: VoterSets
    requesters: tuple[str, ...] = ("p", "q")
    term: int = 6
    clocks: dict[str, str] = field(default_factory=dict)
    rounds: int | dict[str, int] = 2  # per requester
    releases: int = 0  # in total, over all requesters
    releasers: tuple[str, ...] = ()  # requesters that may release; empty: all
    voter_restarts: int = 0
    requester_restarts: int = 0
    versions: dict[str, int] = field(default_factory=dict)
    reloads: dict[str, int] = field(default_factory=dict)
    known_versions: dict[str, tuple[int, ...]] = field(default_factory=dict)
    version_observations: int = 0  # in total, over all processes
    observed_voters: dict[str, tuple[str, ...]] = field(default_factory=dict)
    known_tokens: tuple[int, ...] = ()  # highest token that each requester knows at the start

    @property
    def oldest_version(self) -> int:
        """The oldest version of the voter set, with which processes start by default."""
        return min(self.voter_sets)


@dataclass(frozen=True)
class Implementation:
    """The lease classes that run in a world; a mutation replaces one of them."""

    voter: type[Voter] = Voter
    acquisition: type[LeaseAcquisition] = LeaseAcquisition
    electorate: type[Electorate] = Electorate
    keeps_instance_id: bool = False  # a restarted requester keeps its instance id
    restart_token_step: int = RESTART_TOKEN_STEP
