"""Checks a run's records for two processes that acted under, or believed to hold, one lease at once. No I/O.

Independent of the lease's code: it uses only times, tokens and the names of the processes that acted.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from operator import attrgetter, itemgetter
from typing import TypeVar

import msgspec

from cypressledge.lab.lease_faults.protected_resource import Write

Item = TypeVar("Item")


class BeliefRecord(msgspec.Struct, frozen=True):
    """A process's record of a lease that it believes to hold.

    `at`: when it was recorded, µs; `until`: the believed end of the lease, µs, or 0 if the process no longer
    holds it; `run`: the process's instance id; `token`: 0 if it holds nothing.
    """

    lease: str
    broker: str
    run: int
    at: int
    until: int
    token: int = 0


@dataclass(slots=True)
class Verdict:
    """The result of checking one run. Times in µs."""

    acts: int = 0
    overlaps: list[str] = field(default_factory=list)  # accepted writes of two holders that overlap in time
    stale: int = 0  # accepted writes with a token below an earlier accepted one
    rejected: int = 0
    shrunk: list[str] = field(default_factory=list)  # later holders whose token is not higher
    beliefs: list[str] = field(default_factory=list)  # two believed holders of one lease at once
    grants: int = 0
    longest_gap: int = 0

    @property
    def broken(self) -> bool:
        """Whether the run violated an invariant."""
        return bool(self.overlaps or self.stale or self.beliefs or self.shrunk)


@dataclass(slots=True)
class _Holding:
    """The period in which one process held a lease under one token."""

    token: int
    broker: str
    first: int
    last: int


def check(writes: list[Write], beliefs: list[BeliefRecord], until: int) -> Verdict:
    """Check a run.

    `writes`: the calls that the resource recorded; `beliefs`: the brokers' own records, one for each change;
    `until`: the end of the run, µs. All times are on one clock.
    """
    verdict = Verdict()
    for lease, own in _grouped(writes, attrgetter("lease")).items():
        _check_acts(verdict, lease, own)
    for lease, records in _grouped(beliefs, attrgetter("lease")).items():
        _check_holdings(verdict, lease, _holdings(records, until))
    return verdict


def _grouped(items: Iterable[Item], key: Callable[[Item], str]) -> dict[str, list[Item]]:
    groups: dict[str, list[Item]] = defaultdict(list)
    for item in items:
        groups[key(item)].append(item)
    return groups


def _check_acts(verdict: Verdict, lease: str, writes: list[Write]) -> None:
    spans: dict[tuple[int, int], list[int]] = {}  # by token and run: first and last accepted write, µs
    highest_token = 0
    for write in sorted(writes, key=attrgetter("at")):
        if not write.accepted:
            verdict.rejected += 1
            continue
        verdict.acts += write.step == 0
        verdict.stale += write.token < highest_token
        highest_token = max(highest_token, write.token)
        span = spans.setdefault((write.token, write.run), [write.at, write.at])
        span[1] = write.at
    latest = None
    for (token, run), (first, last) in sorted(spans.items(), key=itemgetter(1)):
        if latest is not None and first < latest[0]:
            verdict.overlaps.append(
                f"{lease}: token {token} of run {run:x} acted at {first} before token {latest[1]} ended at "
                f"{latest[0]}"
            )
        if latest is None or last > latest[0]:
            latest = (last, token)


def _holdings(records: list[BeliefRecord], until: int) -> list[_Holding]:
    """Return the periods in which the lease was held, by start; each ends at the run's end at the latest."""
    by_holder: dict[tuple[int, int], _Holding] = {}  # by token and run
    for record in sorted(records, key=attrgetter("at")):
        if not record.until:
            for (_, holder_run), holding in by_holder.items():
                if holder_run == record.run:
                    holding.last = min(holding.last, record.at)
            continue
        first = _Holding(record.token, record.broker, record.at, record.until)
        holding = by_holder.setdefault((record.token, record.run), first)
        holding.last = max(holding.last, record.until)
    ordered = sorted(
        (holding.first, min(holding.last, until), token, run, holding.broker)
        for (token, run), holding in by_holder.items()
    )
    return [_Holding(token, broker, first, last) for first, last, token, _run, broker in ordered]


def _check_holdings(verdict: Verdict, lease: str, holdings: list[_Holding]) -> None:
    verdict.grants += len(holdings)
    latest = highest_token = 0
    for holding in holdings:
        who, token, first = holding.broker, holding.token, holding.first
        if latest and first < latest:
            verdict.beliefs.append(f"{lease}: {who} held token {token} from {first}, another until {latest}")
        if token <= highest_token:
            verdict.shrunk.append(f"{lease}: {who} got token {token} after {highest_token}")
        if latest:
            verdict.longest_gap = max(verdict.longest_gap, first - latest)
        latest = max(latest, holding.last)
        highest_token = max(highest_token, token)
