"""A requirement of one role at the target's size, its limit, and the figures that it follows from.

A figure of a measured curve is *measured* where a point stands at that size, *interpolated* between two
points, *extrapolated* by the fit beyond them; what is multiplied or added up is *reckoned*.
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
BASES_BY_CONFIDENCE = ("measured", "interpolated", "extrapolated")  # the firmest first


class Measurements:
    """Results by name for one size of fleet; records which were used, and on what basis.

    `size_ratio`: the fleet's size as a part of the target's.
    """

    def __init__(self, results: Results, size_ratio: float = 1.0) -> None:
        self.brokers = TARGET_BROKERS * size_ratio
        self.engines = TARGET_ENGINES * size_ratio
        self.slopes: dict[str, Slope] = {slope.name: slope for slope in results.slopes}
        self.facts: dict[str, Fact] = {fact.name: fact for fact in results.facts}
        self.used: dict[str, Basis] = {}

    def at(self, name: str, x: float) -> float:
        """Return a curve's y at x. Raises `ResultsError` where there is no such curve."""
        if name not in self.slopes:
            raise ResultsError(f"the results have no slope {name}")
        y, basis = self.slopes[name].at(x)
        self.used[name] = max(basis, self.used.get(name, basis), key=BASES_BY_CONFIDENCE.index)
        return y

    def fact(self, name: str) -> float:
        """Return a fact's value. Raises `ResultsError` where there is none."""
        if name not in self.facts:
            raise ResultsError(f"the results have no fact {name}")
        self.used[name] = "measured"
        return self.facts[name].value


@dataclass(frozen=True, slots=True)
class Figure:
    """How a requirement's figure follows from the measurements.

    `is_direct`: it is a curve's own, or a count of the fleet, with nothing multiplied or added.
    """

    compute: Callable[[Measurements], float]
    is_direct: bool = False


def curve_at_engines(curve: str) -> Figure:
    """Return a curve's own figure at the fleet's number of engines."""
    return Figure(lambda measured: measured.at(curve, measured.engines), is_direct=True)


def curve_at_brokers(curve: str) -> Figure:
    """Return a curve's own figure at the fleet's number of brokers."""
    return Figure(lambda measured: measured.at(curve, measured.brokers), is_direct=True)


@dataclass(frozen=True, slots=True)
class Limit:
    """What a figure is held against, in the figure's unit.

    `value`: None where there is no limit; `source`: where it comes from, as the page says it; `fact`: the
    measured fact that it is, in place of a value.
    """

    value: float | None
    source: str
    fact: str = ""

    def resolve(self, measured: Measurements) -> float | None:
        """Return the limit's value. Raises `ResultsError` where its fact is missing."""
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
    """One figure that a role needs: one line of the page. `carried_by`: what meets it, as the page has it."""

    role: str
    kind: RequirementKind
    what: str
    unit: str
    figure: Figure
    limit: Limit = NO_LIMIT
    carried_by: str = "stands"


@dataclass(slots=True)
class RequirementResult:
    """A requirement with its figures."""

    requirement: Requirement
    value: float
    limit: float | None
    sources: dict[str, Basis] = field(default_factory=dict)
    passed_from: float | None = None  # brokers of a smaller fleet, in proportion, that meets the limit first

    @property
    def ratio(self) -> float | None:
        """The need as a part of the limit; None where there is no limit."""
        return None if self.limit is None else self.value / self.limit

    @property
    def ratio_or_0(self) -> float:
        """The need as a part of the limit; 0 where there is no limit."""
        return 0.0 if self.ratio is None else self.ratio

    @property
    def is_over_limit(self) -> bool:
        """Whether there is a limit and the need is over it."""
        return self.ratio_or_0 > 1

    @property
    def basis(self) -> str:
        """What its least certain source is based on; "given" where no measurement is in it."""
        if not self.sources:
            return "given"
        weakest_basis = max(self.sources.values(), key=BASES_BY_CONFIDENCE.index)
        return weakest_basis if self.requirement.figure.is_direct else f"reckoned from {weakest_basis}"
