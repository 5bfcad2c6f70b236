"""Reads what a run left behind and says whether two ever acted, or believed they might, at once. No I/O.

Shares nothing with the lease's code: it knows only times, tokens and who acted.
"""

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass(slots=True)
class Verdict:
    """Of one run. Times in µs."""

    acts: int = 0
    overlaps: list[str] = field(default_factory=list)  # accepted writes of two holders that interleave
    stale: int = 0  # accepted writes under a token lower than one accepted before
    refused: int = 0
    shrunk: list[str] = field(default_factory=list)  # a later holder under a token that is not higher
    beliefs: list[str] = field(default_factory=list)  # two processes that hold one lease at once
    grants: int = 0
    longest_gap: int = 0

    @property
    def broken(self) -> bool:
        """Whether anything happened that must not."""
        return bool(self.overlaps or self.stale or self.beliefs or self.shrunk)


def check(writes: list, beliefs: list[dict], until: int) -> Verdict:
    """Judge a run. `writes`: the resource's record; `beliefs`: the brokers' own, a dict for each change with
    lease, broker, run, token, `at` and `until`; all moments on one clock."""
    verdict = Verdict()
    for lease, own in _by_lease(writes, lambda w: w.lease).items():
        _acts(verdict, lease, own)
    for lease, told in _by_lease(beliefs, lambda b: b["lease"]).items():
        _held(verdict, lease, told, until)
    return verdict


def _by_lease(items: list, key) -> dict[str, list]:
    found = defaultdict(list)
    for item in items:
        found[key(item)].append(item)
    return found


def _acts(verdict: Verdict, lease: str, writes: list) -> None:
    spans: dict[tuple[int, int], list[int]] = {}
    top = 0
    for w in sorted(writes, key=lambda w: w.at):
        if not w.accepted:
            verdict.refused += 1
            continue
        verdict.acts += w.step == 0
        verdict.stale += w.token < top
        top = max(top, w.token)
        span = spans.setdefault((w.token, w.run), [w.at, w.at])
        span[1] = w.at
    latest = None
    for (token, run), (first, last) in sorted(spans.items(), key=lambda s: s[1]):
        if latest is not None and first < latest[0]:
            verdict.overlaps.append(
                f"{lease}: token {token} of run {run:x} acted at {first} before token {latest[1]} ended at "
                f"{latest[0]}"
            )
        if latest is None or last > latest[0]:
            latest = (last, token)


def _held(verdict: Verdict, lease: str, told: list[dict], until: int) -> None:
    spans: dict[tuple[int, int], list] = {}
    ended: dict[int, int] = {}  # by run: since when it has said that it holds nothing
    for b in sorted(told, key=lambda b: b["at"]):
        if not b["until"]:
            ended[b["run"]] = b["at"]
            for key, span in spans.items():
                if key[1] == b["run"]:
                    span[1] = min(span[1], b["at"])
            continue
        span = spans.setdefault((b["token"], b["run"]), [b["at"], b["until"], b["broker"]])
        span[1] = max(span[1], b["until"])
    ordered = sorted(
        (first, min(last, until), token, run, who) for (token, run), (first, last, who) in spans.items()
    )
    verdict.grants += len(ordered)
    latest = top = 0
    for first, last, token, _run, who in ordered:
        if latest and first < latest:
            verdict.beliefs.append(f"{lease}: {who} held token {token} from {first}, another until {latest}")
        if token <= top:
            verdict.shrunk.append(f"{lease}: {who} got token {token} after {top}")
        if latest:
            verdict.longest_gap = max(verdict.longest_gap, first - latest)
        latest, top = max(latest, last), max(top, token)
