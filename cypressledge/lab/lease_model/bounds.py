"""The bounds of one small world, and the classes that run in it. No I/O."""

from dataclasses import dataclass, field

from cypressledge.fleet.leases.acquisition import LeaseAcquisition
from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.leases.voter import Voter

LEASE = "l"
TICK_US = {"slow": 4, "true": 5, "fast": 6}  # of a clock in a tick of real time: drift of one part in five
DRIFT_PPM = 200_000
RESTART_TOKEN_STEP = 100  # what a wall clock adds to the lowest token from one start to the next

VoterSets = dict[int, tuple[str, ...]]  # by version: the voters' names


@dataclass(frozen=True)
class Bounds:
    """One bounded world: its processes and what may happen, how often.

    `clocks`: by process, slow, true, fast or stopped. `voter_sets`: all versions of the set; `versions`: the
    one that each process starts with, the oldest where it is not named; `reloads`: how many newer ones it may
    still adopt; `known_versions`: those that its file still names.
    """

    name: str
    voter_sets: VoterSets
    requesters: tuple[str, ...] = ("p", "q")
    term: int = 6
    clocks: dict[str, str] = field(default_factory=dict)
    rounds: int | dict[str, int] = 2  # of each requester
    releases: int = 0  # of all requesters together
    releasers: tuple[str, ...] = ()  # who may release; all, if none is named
    voter_restarts: int = 0
    requester_restarts: int = 0
    versions: dict[str, int] = field(default_factory=dict)
    reloads: dict[str, int] = field(default_factory=dict)
    known_versions: dict[str, tuple[int, ...]] = field(default_factory=dict)
    version_observations: int = 0  # times that a process hears which versions a voter that reloads accepts
    observed_voters: dict[str, tuple[str, ...]] = field(default_factory=dict)  # whose version a process knows
    known_tokens: tuple[int, ...] = ()  # by requester: the highest token it has heard of

    @property
    def oldest_version(self) -> int:
        """The version that processes start with by default."""
        return min(self.voter_sets)


@dataclass(frozen=True)
class Implementation:
    """The classes that run in a world; a mutation takes the place of one."""

    voter: type[Voter] = Voter
    acquisition: type[LeaseAcquisition] = LeaseAcquisition
    electorate: type[Electorate] = Electorate
    keeps_instance_id: bool = False  # a requester that starts again is taken for its former self
    restart_token_step: int = RESTART_TOKEN_STEP
