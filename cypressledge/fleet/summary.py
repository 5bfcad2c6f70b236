"""One fleet's figures out of all brokers' counters. No I/O."""

from dataclasses import dataclass, field

from cypressledge.fleet.messages import BrokerMetrics, FleetSummary

FIGURES = ("success", "overload", "error", "dispatches")
ENGINES_MOST = 128  # engines that a summary names: those that most brokers avoid


def figures(
    token: int, counts: dict[str, int], classes: tuple[str, ...], avoided: list[str], ready: int, open_: int
) -> BrokerMetrics:
    """A broker's own, from its counters."""
    by_class = {cls: [counts.get(f"replies.{cls}.{name}", 0) for name in FIGURES] for cls in classes}
    return BrokerMetrics(token, by_class, sorted(avoided)[:ENGINES_MOST], ready, open_)


@dataclass(slots=True)
class Merge:
    """One round: the figures as they come in, under one token."""

    token: int
    run: int
    holder: str
    got: dict[str, BrokerMetrics] = field(default_factory=dict)

    def add(self, broker: str, told: BrokerMetrics) -> bool:
        """Take a broker's figures; whether they are of this round's token."""
        if told.token != self.token:
            return False
        self.got[broker] = told
        return True

    def summary(self, peers: list[str]) -> FleetSummary:
        """All of them as one."""
        classes: dict[str, list[int]] = {}
        engines: dict[str, int] = {}
        for told in self.got.values():
            for cls, values in told.counts_by_class.items():
                if len(values) == len(FIGURES):
                    sums = classes.setdefault(cls, [0] * len(FIGURES))
                    classes[cls] = [a + b for a, b in zip(sums, values, strict=True)]
            for engine in told.avoided_engines:
                engines[engine] = engines.get(engine, 0) + 1
        most = sorted(engines.items(), key=lambda e: (-e[1], e[0]))[:ENGINES_MOST]
        missing = sorted(set(peers) - set(self.got))
        return FleetSummary(self.token, self.run, self.holder, len(self.got), missing, classes, dict(most))


@dataclass(slots=True)
class Fence:
    """What any place that is acted on keeps: the highest token yet. A lower one is turned down, and so is the
    same one from another process."""

    token: int = 0
    run: int = 0

    def admits(self, token: int, run: int) -> bool:
        """Whether an act under this token may take place; it counts from here on."""
        if token < self.token or (token == self.token and run != self.run):
            return False
        self.token, self.run = token, run
        return True
