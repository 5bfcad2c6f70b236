"""What all brokers' sights say of each zone: lost, slow, failing in part, cut off, or fine. No I/O."""

from collections import Counter, defaultdict
from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum

from cypressledge.fleet.messages import EngineObservation, EngineObservations

FADE = 3_000_000  # µs after which a sight weighs nothing
ENOUGH = 4  # tries in a zone below which nothing is said of it
ENGINES = 0.5  # part of a zone's engines that have to be tried for anything to be said of it
MOST = 0.8  # part of the engines tried that makes a zone lost, or slow
SOME = 0.3  # and failing in part
FRESH_MS = 400  # ms since an answer, up to which a broker vouches for an engine
VOUCH = 700_000  # µs that its word for it holds: sights come each half second at least
CHUNK = 8  # sights looked at in one step
FAILS = 2  # in a row, over all brokers, with nobody vouching, that make an engine down


class Verdict(Enum):
    """What is the matter with a zone."""

    FINE = "fine"
    LOST = "lost"
    SLOW = "slow"
    PART = "failing in part"
    CUT = "a path is cut"
    RELEASE = "a release"
    FEW = "too few reports"


@dataclass(frozen=True, slots=True)
class Finding:
    """A zone's verdict. `bad`: part of the engines tried; `why`: one line for the log."""

    verdict: Verdict
    bad: float
    why: str


@dataclass(frozen=True, slots=True)
class Told:
    """One broker's sight: which zone it stands in, and how old it is (µs)."""

    broker: str
    zone: str
    age: int
    sight: EngineObservations


@dataclass(frozen=True, slots=True)
class Judgement:
    """All zones' findings; and brokers that see badly themselves, who were not listened to."""

    zones: dict[str, Finding]
    blind: dict[str, str]


def _good(seen: EngineObservation) -> int:
    return seen.succeeded + seen.late


def _bad(seen: EngineObservation) -> int:
    return seen.connect_failed + seen.failed + seen.timed_out


def _vouches(told: "Told", seen: EngineObservation) -> bool:
    """Whether a broker has just had an answer of an engine, and no failure since."""
    return seen.consecutive_failures == 0 and 0 <= seen.last_answer_age_ms < FRESH_MS and told.age < VOUCH


def judge(told: list[Told], engines: dict[int, str], changing: frozenset[int] = frozenset()) -> Judgement:
    """Judge all zones. `engines`: each engine's zone; `changing`: engines that the lists show as draining or
    just started, whose failures are a release's."""
    steps = judging(told, engines, changing)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def judging(
    told: list[Told], engines: dict[int, str], changing: frozenset[int] = frozenset()
) -> Generator[None, None, Judgement]:
    """The same in short steps: with hundreds of brokers it takes milliseconds; requests wait for a step."""
    fresh = [t for t in told if t.age < FADE]
    zones = sorted(set(engines.values()))
    yield None
    if fresh and not any(map(_troubled, fresh)):
        return Judgement({z: Finding(Verdict.FINE, 0.0, "nothing fails") for z in zones}, {})
    yield None
    blind = yield from _blind(fresh, engines)
    found = {z: Seen(z) for z in zones}
    for at in range(0, len(fresh), CHUNK):
        for t in fresh[at : at + CHUNK]:
            if t.broker not in blind:
                _count(t, engines, found)
        yield None
    listed = Counter(engines.values())
    heard = len(fresh) - len(blind)
    return Judgement({z: _finding(found[z], listed[z], heard, changing) for z in zones}, blind)


def _troubled(told: Told) -> bool:
    """Whether anything in a sight has failed or was late."""
    return any(e.consecutive_failures or e.late or _bad(e) for e in told.sight.engines)


def _blind(told: list[Told], engines: dict[int, str]) -> Generator[None, None, dict[str, str]]:
    """Brokers to whom all fails that others get answers from, in more than one zone or in the only one: what
    they have in common is themselves."""
    suspects = {}
    for t in told:
        tried = [e for e in t.sight.engines if e.engine in engines]
        bad = sum(map(_bad, tried))
        if bad >= ENOUGH and sum(map(_good, tried)) <= 0.2 * bad:
            suspects[t.broker] = tried
    yield None
    if not suspects:
        return {}
    good: dict[int, set[str]] = defaultdict(set)
    for at in range(0, len(told), CHUNK):
        for t in told[at : at + CHUNK]:
            for e in t.sight.engines:
                if _good(e):
                    good[e.engine].add(t.broker)
        yield None
    found = {}
    all_zones = set(engines.values())
    for broker, tried in suspects.items():
        refuted = [e for e in tried if _bad(e) and good[e.engine] - {broker}]
        zones = {engines[e.engine] for e in refuted}
        if len(refuted) >= max(2, len(tried) / 2) and (len(zones) > 1 or len(all_zones) == 1):
            found[broker] = f"all fails from {broker} at {len(refuted)} engines that answer others"
    return found


@dataclass(slots=True)
class Sums:
    """What all brokers together say of one engine."""

    good: float = 0.0
    late: float = 0.0
    fails: int = 0
    vouched: bool = False

    @property
    def down(self) -> bool:
        """It fails for whoever tries, and nobody has had an answer since."""
        return self.fails >= FAILS and not self.vouched

    @property
    def slow(self) -> bool:
        """It answers, but mostly late."""
        return not self.down and self.late > 0.5 * self.good > 0


@dataclass(slots=True)
class Seen:
    """What all brokers together say of one zone."""

    zone: str
    engines: dict[int, Sums] = field(default_factory=lambda: defaultdict(Sums))
    by_place: dict[str, list[int]] = field(default_factory=lambda: defaultdict(lambda: [0, 0]))
    brokers: set[str] = field(default_factory=set)  # to whom something failed
    tries: int = 0


def _count(t: Told, engines: dict[int, str], found: dict[str, Seen]) -> None:
    """Add one broker's sight. `by_place`, by the brokers' own zone: how often vouched, and failures."""
    weight = 1 - t.age / FADE
    for e in t.sight.engines:
        zone = engines.get(e.engine)
        if zone is None:
            continue
        seen, good = found[zone], _good(e)
        total, place, vouched = seen.engines[e.engine], seen.by_place[t.zone], _vouches(t, e)
        seen.tries += good + _bad(e)
        total.good += weight * good
        total.late += weight * e.late
        total.fails += e.consecutive_failures
        total.vouched |= vouched
        place[0] += vouched
        place[1] += e.consecutive_failures
        if e.consecutive_failures:
            seen.brokers.add(t.broker)


def _finding(seen: Seen, listed: int, brokers: int, changing: frozenset[int]) -> Finding:
    tried = len(seen.engines)
    if seen.tries < ENOUGH or tried < ENGINES * listed:
        return Finding(
            Verdict.FEW,
            0.0,
            f"{seen.tries} tries at {tried} of {listed} engines in {seen.zone} " f"by {brokers} brokers",
        )
    down = {e for e, s in seen.engines.items() if s.down}
    slow = {e for e, s in seen.engines.items() if s.slow}
    bad = len(down) / tried
    words = (
        f"{len(down)} of {tried} engines tried in {seen.zone} fail, {len(slow)} are slow; "
        f"{len(seen.brokers)} brokers see it"
    )
    if down and down <= changing:
        return Finding(Verdict.RELEASE, bad, f"{words}; all of these are draining or just started")
    cut = _cut(seen.by_place)
    if cut and bad < MOST:
        return Finding(Verdict.CUT, bad, f"{seen.zone} fails for brokers in {cut} alone")
    if bad >= MOST:
        return Finding(Verdict.LOST, bad, words)
    if (len(down) + len(slow)) / tried >= MOST:
        return Finding(Verdict.SLOW, bad, words)
    if (len(down) + len(slow)) / tried >= SOME:
        return Finding(Verdict.PART, bad, words)
    return Finding(Verdict.FINE, bad, words)


def _cut(by_place: dict[str, list[int]]) -> str:
    """The zones whose brokers see only failures where those of other zones get answers."""
    dark = [z for z, (vouch, fails) in by_place.items() if fails >= FAILS and not vouch]
    light = [z for z, (vouch, fails) in by_place.items() if vouch and fails <= vouch]
    return " ".join(sorted(dark)) if dark and light else ""
