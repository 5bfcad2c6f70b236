"""Requirements of roles at the target's size, their limits, and the measurements that they are computed from.

A figure of a measured curve is *measured* if the curve has a point at that size, *interpolated* between two
points and *extrapolated* by the fit beyond them; a figure with further arithmetic is *reckoned*.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Literal

from cypressledge.lab.capacity.targets import (
    CONTROL_CPU_PCT,
    CONTROL_MEMORY_MB,
    CONTROL_NETWORK_KB_S,
    LINK_KB_S,
    TARGET_BROKERS,
    TARGET_ENGINES,
)
from cypressledge.lab.results import Basis, Fact, Results, ResultsError, Slope

RequirementKind = Literal["state", "messages", "processor", "memory", "sockets", "network", "time"]
BASES_BY_CONFIDENCE = ("measured", "interpolated", "extrapolated")  # most reliable first


class Measurements:
    """Results by name for one size of fleet; records which ones were used, and their bases.

    `size_ratio`: the fleet's size as a fraction of the target's.
    """

    def __init__(self, results: Results, size_ratio: float = 1.0) -> None:
        self.brokers = TARGET_BROKERS * size_ratio
        self.engines = TARGET_ENGINES * size_ratio
        self.slopes: dict[str, Slope] = {slope.name: slope for slope in results.slopes}
        self.facts: dict[str, Fact] = {fact.name: fact for fact in results.facts}
        self.used: dict[str, Basis] = {}

    def at(self, name: str, x: float) -> float:
        """Return a curve's y at x. Raises `ResultsError` if there is no such curve."""
        if name not in self.slopes:
            raise ResultsError(f"the results have no slope {name}")
        y, basis = self.slopes[name].at(x)
        self.used[name] = max(basis, self.used.get(name, basis), key=BASES_BY_CONFIDENCE.index)
        return y

    def fact(self, name: str) -> float:
        """Return a fact's value. Raises `ResultsError` if there is no such fact."""
        if name not in self.facts:
            raise ResultsError(f"the results have no fact {name}")
        self.used[name] = "measured"
        return self.facts[name].value


@dataclass(frozen=True, slots=True)
class Figure:
    """The computation of a requirement's figure from the measurements.

    `is_direct`: the figure is a value of a curve or a count of the fleet, without further arithmetic.
    """

    compute: Callable[[Measurements], float]
    is_direct: bool = False


def curve_at_engines(curve: str) -> Figure:
    """Return the figure that is the curve's value at the fleet's number of engines."""
    return Figure(lambda measured: measured.at(curve, measured.engines), is_direct=True)


def curve_at_brokers(curve: str) -> Figure:
    """Return the figure that is the curve's value at the fleet's number of brokers."""
    return Figure(lambda measured: measured.at(curve, measured.brokers), is_direct=True)


@dataclass(frozen=True, slots=True)
class Limit:
    """The limit of a figure, in the figure's unit.

    `value`: None if there is no limit; `source`: where the limit comes from, as shown on the page; `fact`:
    name of the measured fact that is used as the limit in place of `value`.
    """

    value: float | None
    source: str
    fact: str = ""

    def resolve(self, measured: Measurements) -> float | None:
        """Return the limit's value, None for no limit. Raises `ResultsError` if its fact is missing."""
        return measured.fact(self.fact) if self.fact else self.value


NO_LIMIT = Limit(None, "none set")
ONE_CORE = Limit(100.0, "one core, one thread")
LINK = Limit(LINK_KB_S, "a link of 1 Gbit/s, assumed")
MODULE_TICK = Limit(5.0, "the module's tick")
TARGET_CPU = Limit(CONTROL_CPU_PCT, "the target")
TARGET_MEMORY = Limit(CONTROL_MEMORY_MB, "the target")
TARGET_NETWORK = Limit(CONTROL_NETWORK_KB_S, "the target")
VOTER_CPU = Limit(CONTROL_CPU_PCT, "the target (a voter is a broker)")
VOTER_NETWORK = Limit(CONTROL_NETWORK_KB_S, "the target (a voter is a broker)")
PLANNER_CPU = Limit(CONTROL_CPU_PCT, "the target (the planner is a broker)")
PLANNER_NETWORK = Limit(CONTROL_NETWORK_KB_S, "the target (the planner is a broker)")


@dataclass(frozen=True, slots=True)
class Requirement:
    """One figure that a role needs: one row of a table. `carried_by`: what meets it, as shown on the page."""

    role: str
    kind: RequirementKind
    what: str
    unit: str
    figure: Figure
    limit: Limit = NO_LIMIT
    carried_by: str = "stands"


@dataclass(slots=True)
class RequirementResult:
    """A requirement with its computed figure, its limit and their sources."""

    requirement: Requirement
    value: float
    limit: float | None
    sources: dict[str, Basis] = field(default_factory=dict)
    passed_from: float | None = None  # size in brokers of the smallest fleet over the limit

    @property
    def ratio(self) -> float | None:
        """The figure divided by the limit; None if there is no limit."""
        return None if self.limit is None else self.value / self.limit

    @property
    def ratio_or_0(self) -> float:
        """The figure divided by the limit; 0 if there is no limit."""
        return 0.0 if self.ratio is None else self.ratio

    @property
    def is_over_limit(self) -> bool:
        """Whether there is a limit and the figure exceeds it."""
        return self.ratio_or_0 > 1

    @property
    def basis(self) -> str:
        """The basis of the least reliable source; "given" if no measurement is used."""
        if not self.sources:
            return "given"
        weakest_basis = max(self.sources.values(), key=BASES_BY_CONFIDENCE.index)
        return weakest_basis if self.requirement.figure.is_direct else f"reckoned from {weakest_basis}"
