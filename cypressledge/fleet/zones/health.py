"""Assessment of each zone from all brokers' observations. No I/O.

A zone is lost only if most of its tried engines fail and no broker gets answers from them. The failures of an
isolated broker, of a cut network path and of a rolling release are distinguished from a loss.
"""

from collections import Counter, defaultdict
from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum

from cypressledge.fleet.messages import EngineObservation, EngineObservations

MAX_AGE = 3_000_000  # µs; older observations are ignored, newer ones weigh less with their age
MIN_ATTEMPTS = 4  # attempts in a zone that a verdict on it requires
MIN_ENGINES_TRIED = 0.5  # fraction of a zone's engines that must be tried for a verdict on it
LOST_FRACTION = 0.8  # fraction of the tried engines that must be down for a lost zone, or slow for a slow one
DEGRADED_FRACTION = 0.3  # fraction of the tried engines that must be down or slow for a degraded zone
MAX_RECENT_ANSWER_AGE_MS = 400  # ms since an answer up to which it counts as recent
# µs; age up to which a report's answers count as recent; reports arrive at least every 500 ms
MAX_RECENT_REPORT_AGE = 700_000
REPORTS_PER_STEP = 8  # brokers' reports processed in one step
MIN_DOWN_FAILURES = 2  # consecutive failures, summed over all brokers, of an engine that is down
MAX_ISOLATED_ANSWER_RATIO = 0.2  # answers per failure up to which a broker may be isolated
SLOW_LATE_FRACTION = 0.5  # fraction of late answers above which an engine is slow


class Verdict(Enum):
    """The state of a zone as assessed from observations; the values are shown to operators."""

    HEALTHY = "fine"
    LOST = "lost"
    SLOW = "slow"
    DEGRADED = "failing in part"
    PATH_CUT = "a path is cut"
    RELEASE = "a release"
    INSUFFICIENT_DATA = "too few reports"


@dataclass(frozen=True, slots=True)
class ZoneFinding:
    """A zone's verdict. `bad_fraction`: of its tried engines, those down; `reason`: one line for the log."""

    verdict: Verdict
    bad_fraction: float
    reason: str


@dataclass(frozen=True, slots=True)
class BrokerObservations:
    """One broker's observations, the broker's own zone, and the age of the observations (µs)."""

    broker: str
    zone: str
    age: int
    observed: EngineObservations


@dataclass(frozen=True, slots=True)
class FleetHealth:
    """The findings on all zones, and the isolated brokers, which are not counted, each with the reason."""

    zones: dict[str, ZoneFinding]
    isolated: dict[str, str]


@dataclass(slots=True)
class EngineTotals:
    """Sums of all brokers' observations of one engine; answers weigh less with the age of their report."""

    answers: float = 0.0
    late: float = 0.0
    failures: int = 0
    recently_answered: bool = False

    @property
    def is_down(self) -> bool:
        """Whether attempts fail and no broker has had a recent answer."""
        return self.failures >= MIN_DOWN_FAILURES and not self.recently_answered

    @property
    def is_slow(self) -> bool:
        """Whether it answers, but most of its answers are late."""
        return not self.is_down and self.late > SLOW_LATE_FRACTION * self.answers > 0


@dataclass(slots=True)
class PathTotals:
    """Recent answers and consecutive failures at the engines of a zone, summed over one zone's brokers."""

    recently_answered: int = 0
    failures: int = 0


@dataclass(slots=True)
class ZoneTotals:
    """Sums of all brokers' observations of one zone. `paths`: by the brokers' own zone."""

    zone: str
    engines: dict[int, EngineTotals] = field(default_factory=lambda: defaultdict(EngineTotals))
    paths: dict[str, PathTotals] = field(default_factory=lambda: defaultdict(PathTotals))
    failing_brokers: set[str] = field(default_factory=set)  # brokers with failures in this zone
    attempts: int = 0


def assess(
    reports: list[BrokerObservations], engine_zones: dict[int, str], changing: frozenset[int] = frozenset()
) -> FleetHealth:
    """Return the assessment of all zones, in one call.

    `engine_zones`: each engine's zone; `changing`: engines that the lists show as draining or just started,
    whose failures are attributed to a release.
    """
    steps = assess_in_steps(reports, engine_zones, changing)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def assess_in_steps(
    reports: list[BrokerObservations], engine_zones: dict[int, str], changing: frozenset[int] = frozenset()
) -> Generator[None, None, FleetHealth]:
    """Run `assess` as a generator of short steps.

    With hundreds of brokers it takes milliseconds, and requests wait while a step runs.
    """
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
    """Find the brokers whose attempts fail at engines that answer other brokers, each with the reason.

    The failures must be in more than one zone, unless there is only one. The broker itself is then their
    common cause. Yields between short steps.
    """
    suspects = _suspected_of_isolation(reports, engine_zones)
    yield None
    if not suspects:
        return {}
    answered: dict[int, set[str]] = defaultdict(set)  # by engine, the brokers that got answers from it
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
    """Return the brokers for which nearly all attempts fail, with their observations."""
    suspects = {}
    for report in reports:
        tried = [engine for engine in report.observed.engines if engine.engine in engine_zones]
        failures = sum(map(_failures, tried))
        if failures >= MIN_ATTEMPTS and sum(map(_answers, tried)) <= MAX_ISOLATED_ANSWER_RATIO * failures:
            suspects[report.broker] = tried
    return suspects


def has_recent_answer(report: BrokerObservations, engine: EngineObservation) -> bool:
    """Return whether a broker has had a recent answer from an engine, and no failure since."""
    answered_lately = 0 <= engine.last_answer_age_ms < MAX_RECENT_ANSWER_AGE_MS
    return engine.consecutive_failures == 0 and answered_lately and report.age < MAX_RECENT_REPORT_AGE


def _answers(engine: EngineObservation) -> int:
    return engine.succeeded + engine.late


def _failures(engine: EngineObservation) -> int:
    return engine.connect_failed + engine.failed + engine.timed_out


def _shows_faults(report: BrokerObservations) -> bool:
    """Return whether a broker observed any failure or late answer."""
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
    """Return the finding on a zone with `listed` engines, observed by a number of `brokers`."""
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
    """Return the zones whose brokers see only failures while brokers of other zones get answers."""
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
