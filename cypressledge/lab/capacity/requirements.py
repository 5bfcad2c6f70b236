"""A requirement of one role at the target's size, its limit, and the figures that it follows from.

A figure of a measured curve is *measured* where a point stands at that size, *interpolated* between two
points, *extrapolated* by the fit beyond them; what is multiplied or added up is *reckoned*.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from cypressledge.lab.capacity.targets import TARGET_BROKERS, TARGET_ENGINES
from cypressledge.lab.results import Basis, Fact, Results, ResultsError, Slope

BASES_BY_CONFIDENCE = ("measured", "interpolated", "extrapolated")  # the firmest first


class Measurements:
    """Results by name for one size of fleet; records which were used, and on what basis.

    `part`: the fleet's size as a part of the target's.
    """

    def __init__(self, results: Results, part: float = 1.0) -> None:
        self.brokers = TARGET_BROKERS * part
        self.engines = TARGET_ENGINES * part
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
class Requirement:
    """One figure that a role needs: one line of the page.

    `limit`: a string names the fact that it is. `is_direct`: the figure is a curve's own, with nothing
    multiplied or added.
    """

    role: str
    kind: str  # state, messages, processor, memory, sockets, network, time
    what: str
    unit: str
    compute: Callable[[Measurements], float]
    limit: float | str | None
    limit_source: str
    carried_by: str
    is_direct: bool = False


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
        base = max(self.sources.values(), key=BASES_BY_CONFIDENCE.index)
        return base if self.requirement.is_direct else f"reckoned from {base}"
