"""Tells from all brokers' observations what is wrong with each zone, if anything is. No I/O.

A zone is lost only where most engines tried there fail and nobody gets answers from them: a broker that is
broken itself, a cut path and a rolling release are told apart from it.
"""

from collections import Counter, defaultdict
from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum

from cypressledge.fleet.messages import EngineObservation, EngineObservations

MAX_AGE = 3_000_000  # µs after which a broker's observations have no weight
MIN_ATTEMPTS = 4  # attempts in a zone below which there is no verdict on it
MIN_ENGINES_TRIED = 0.5  # part of a zone's engines that have to be tried for a verdict on it
LOST_FRACTION = 0.8  # part of the engines tried, from which on a zone is lost, or slow
DEGRADED_FRACTION = 0.3  # part of the engines tried, from which on a zone is failing in part
MAX_RECENT_ANSWER_AGE_MS = 400  # ms since an answer, up to which a broker vouches for an engine
MAX_RECENT_REPORT_AGE = 700_000  # µs that this holds: observations come each half second at least
REPORTS_PER_STEP = 8  # brokers' observations looked at in one step
MIN_DOWN_FAILURES = 2  # failures in a row, over all brokers, nobody vouching, that make an engine down
MAX_ISOLATED_ANSWER_RATIO = 0.2  # answers for each failure, up to which a broker may be isolated itself
SLOW_LATE_FRACTION = 0.5  # part of an engine's answers that is late, above which it is slow


class Verdict(Enum):
    """What is wrong with a zone; the values are shown to operators."""

    HEALTHY = "fine"
    LOST = "lost"
    SLOW = "slow"
    DEGRADED = "failing in part"
    PATH_CUT = "a path is cut"
    RELEASE = "a release"
    INSUFFICIENT_DATA = "too few reports"


@dataclass(frozen=True, slots=True)
class ZoneFinding:
    """A zone's verdict. `bad_fraction`: of the engines tried; `reason`: one line for the log."""

    verdict: Verdict
    bad_fraction: float
    reason: str


@dataclass(frozen=True, slots=True)
class BrokerObservations:
    """One broker's observations, the zone that it stands in, and their age (µs)."""

    broker: str
    zone: str
    age: int
    observed: EngineObservations


@dataclass(frozen=True, slots=True)
class FleetHealth:
    """The findings on all zones; and why brokers that are isolated themselves were not counted."""

    zones: dict[str, ZoneFinding]
    isolated: dict[str, str]


@dataclass(slots=True)
class EngineTotals:
    """What all brokers together observed of one engine; older observations weigh less."""

    answers: float = 0.0
    late: float = 0.0
    failures: int = 0
    recently_answered: bool = False

    @property
    def is_down(self) -> bool:
        """It fails for whoever tries, and nobody has had an answer since."""
        return self.failures >= MIN_DOWN_FAILURES and not self.recently_answered

    @property
    def is_slow(self) -> bool:
        """It answers, but mostly late."""
        return not self.is_down and self.late > SLOW_LATE_FRACTION * self.answers > 0


@dataclass(slots=True)
class PathTotals:
    """What brokers of one zone observed of another: answers just had, and failures."""

    recently_answered: int = 0
    failures: int = 0


@dataclass(slots=True)
class ZoneTotals:
    """What all brokers together observed of one zone. `paths`: by the brokers' own zone."""

    zone: str
    engines: dict[int, EngineTotals] = field(default_factory=lambda: defaultdict(EngineTotals))
    paths: dict[str, PathTotals] = field(default_factory=lambda: defaultdict(PathTotals))
    failing_brokers: set[str] = field(default_factory=set)  # to whom something failed
    attempts: int = 0


def assess(
    reports: list[BrokerObservations], engine_zones: dict[int, str], changing: frozenset[int] = frozenset()
) -> FleetHealth:
    """Assess all zones at once. `engine_zones`: each engine's zone; `changing`: engines that the lists show
    as draining or just started, whose failures are a release's."""
    steps = assess_in_steps(reports, engine_zones, changing)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def assess_in_steps(
    reports: list[BrokerObservations], engine_zones: dict[int, str], changing: frozenset[int] = frozenset()
) -> Generator[None, None, FleetHealth]:
    """The same in short steps: of hundreds of brokers it takes milliseconds, and requests wait for a step."""
    fresh = [report for report in reports if report.age < MAX_AGE]
    zones = sorted(set(engine_zones.values()))
    yield None
    if fresh and not any(map(_shows_faults, fresh)):
        return FleetHealth({zone: ZoneFinding(Verdict.HEALTHY, 0.0, "nothing fails") for zone in zones}, {})
    yield None
    isolated = yield from isolated_brokers(fresh, engine_zones)
    totals = {zone: ZoneTotals(zone) for zone in zones}
    for start in range(0, len(fresh), REPORTS_PER_STEP):
        for report in fresh[start : start + REPORTS_PER_STEP]:
            if report.broker not in isolated:
                _add_report(report, engine_zones, totals)
        yield None
    listed = Counter(engine_zones.values())
    counted = len(fresh) - len(isolated)
    findings = {zone: _finding(totals[zone], listed[zone], counted, changing) for zone in zones}
    return FleetHealth(findings, isolated)


def isolated_brokers(
    reports: list[BrokerObservations], engine_zones: dict[int, str]
) -> Generator[None, None, dict[str, str]]:
    """Brokers to whom all fails that others get answers from, in more than one zone or in the only one, and
    why. What these failures have in common is the broker itself."""
    suspects = _suspected_of_isolation(reports, engine_zones)
    yield None
    if not suspects:
        return {}
    answered: dict[int, set[str]] = defaultdict(set)  # by engine: the brokers that it answers
    for start in range(0, len(reports), REPORTS_PER_STEP):
        for report in reports[start : start + REPORTS_PER_STEP]:
            for engine in report.observed.engines:
                if _answers(engine):
                    answered[engine.engine].add(report.broker)
        yield None
    found = {}
    zone_count = len(set(engine_zones.values()))
    for broker, tried in suspects.items():
        contradicted = [e for e in tried if _failures(e) and answered[e.engine] - {broker}]
        zones = {engine_zones[e.engine] for e in contradicted}
        if len(contradicted) >= max(2, len(tried) / 2) and (len(zones) > 1 or zone_count == 1):
            found[broker] = f"all fails from {broker} at {len(contradicted)} engines that answer others"
    return found


def _suspected_of_isolation(
    reports: list[BrokerObservations], engine_zones: dict[int, str]
) -> dict[str, list[EngineObservation]]:
    """Brokers to whom nearly all fails, with what they observed."""
    suspects = {}
    for report in reports:
        tried = [engine for engine in report.observed.engines if engine.engine in engine_zones]
        failures = sum(map(_failures, tried))
        if failures >= MIN_ATTEMPTS and sum(map(_answers, tried)) <= MAX_ISOLATED_ANSWER_RATIO * failures:
            suspects[report.broker] = tried
    return suspects


def has_recent_answer(report: BrokerObservations, engine: EngineObservation) -> bool:
    """Whether a broker has just had an answer of an engine, and no failure since."""
    answered_lately = 0 <= engine.last_answer_age_ms < MAX_RECENT_ANSWER_AGE_MS
    return engine.consecutive_failures == 0 and answered_lately and report.age < MAX_RECENT_REPORT_AGE


def _answers(engine: EngineObservation) -> int:
    return engine.succeeded + engine.late


def _failures(engine: EngineObservation) -> int:
    return engine.connect_failed + engine.failed + engine.timed_out


def _shows_faults(report: BrokerObservations) -> bool:
    """Whether anything that a broker observed has failed or was late."""
    return any(e.consecutive_failures or e.late or _failures(e) for e in report.observed.engines)


def _add_report(
    report: BrokerObservations, engine_zones: dict[int, str], totals: dict[str, ZoneTotals]
) -> None:
    weight = 1 - report.age / MAX_AGE
    for engine in report.observed.engines:
        zone = engine_zones.get(engine.engine)
        if zone is None:
            continue
        zone_totals, answers = totals[zone], _answers(engine)
        zone_totals.attempts += answers + _failures(engine)
        recently_answered = has_recent_answer(report, engine)
        engine_totals = zone_totals.engines[engine.engine]
        engine_totals.answers += weight * answers
        engine_totals.late += weight * engine.late
        engine_totals.failures += engine.consecutive_failures
        engine_totals.recently_answered |= recently_answered
        path = zone_totals.paths[report.zone]
        path.recently_answered += recently_answered
        path.failures += engine.consecutive_failures
        if engine.consecutive_failures:
            zone_totals.failing_brokers.add(report.broker)


def _finding(totals: ZoneTotals, listed: int, brokers: int, changing: frozenset[int]) -> ZoneFinding:
    """The verdict on one zone, that has `listed` engines and was observed by `brokers`."""
    tried = len(totals.engines)
    if totals.attempts < MIN_ATTEMPTS or tried < MIN_ENGINES_TRIED * listed:
        reason = (
            f"{totals.attempts} tries at {tried} of {listed} engines in {totals.zone} by {brokers} brokers"
        )
        return ZoneFinding(Verdict.INSUFFICIENT_DATA, 0.0, reason)
    down = {engine for engine, e in totals.engines.items() if e.is_down}
    slow = {engine for engine, e in totals.engines.items() if e.is_slow}
    bad = len(down) / tried
    reason = (
        f"{len(down)} of {tried} engines tried in {totals.zone} fail, {len(slow)} are slow; "
        f"{len(totals.failing_brokers)} brokers see it"
    )
    if down and down <= changing:
        return ZoneFinding(Verdict.RELEASE, bad, f"{reason}; all of these are draining or just started")
    cut = _cut_off_zones(totals.paths)
    if cut and bad < LOST_FRACTION:
        return ZoneFinding(Verdict.PATH_CUT, bad, f"{totals.zone} fails for brokers in {cut} alone")
    if bad >= LOST_FRACTION:
        return ZoneFinding(Verdict.LOST, bad, reason)
    if (len(down) + len(slow)) / tried >= LOST_FRACTION:
        return ZoneFinding(Verdict.SLOW, bad, reason)
    if (len(down) + len(slow)) / tried >= DEGRADED_FRACTION:
        return ZoneFinding(Verdict.DEGRADED, bad, reason)
    return ZoneFinding(Verdict.HEALTHY, bad, reason)


def _cut_off_zones(paths: dict[str, PathTotals]) -> str:
    """The zones whose brokers see only failures where those of other zones get answers."""
    failing = [
        zone
        for zone, path in paths.items()
        if path.failures >= MIN_DOWN_FAILURES and not path.recently_answered
    ]
    answering = [
        zone
        for zone, path in paths.items()
        if path.recently_answered and path.failures <= path.recently_answered
    ]
    return " ".join(sorted(failing)) if failing and answering else ""
