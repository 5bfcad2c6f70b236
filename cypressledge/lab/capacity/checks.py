"""Checks a capacity run against the records of its processes. No I/O except reading JSON lines.

Shares no code with the control plane: the checks know only times (µs of CLOCK_BOOTTIME), names, versions and
digests. A broker's run lasts from its `start` until the harness killed it. While the harness kept the broker
from the control plane (`Span`), no change is due at it; changes made meanwhile are due from the span's end.
"""

import json
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

IN_FORCE_LIMIT_S = 12.0  # s; from the acknowledgement of a change until a broker applies it, without faults
LEADER_LIMIT_S = 8.0  # s; time without a leader
CPU_LIMIT_PCT, NETWORK_LIMIT_KB_S, MEMORY_LIMIT_MB = 3.2, 30.0, 256.0  # limits of one broker


@dataclass(frozen=True, slots=True)
class Span:
    """A span of time, µs, with its kind and the broker that it concerns (empty: no particular one)."""

    begin: int
    end: int
    kind: str
    who: str = ""


@dataclass(frozen=True, slots=True)
class AcknowledgedChange:
    """A change whose acknowledgement the harness received. `at`: when the answer arrived, µs."""

    at: int
    version: int
    request: str
    digest: str = ""


@dataclass(frozen=True, slots=True)
class LeaderLoss:
    """The loss of a leader that the harness killed, stopped or cut off at `at`, µs.

    If `who` is empty, all control processes were killed, the last of them at `all_stopped_at`: an event that
    one of them recorded in between does not show the next leader.
    """

    at: int
    who: str
    kind: str
    all_stopped_at: int = 0


@dataclass(slots=True)
class HarnessObservations:
    """The faults that the harness injected and the answers that it received.

    `down`: spans in which a broker can't be reached; `faults`: spans with a fault; `ends`: times at which
    brokers were killed, µs, by broker and run; `over`: the end of the capacity run, µs.
    """

    acked: list[AcknowledgedChange]
    down: list[Span]
    faults: list[Span]
    losses: list[LeaderLoss]
    ends: dict[tuple[str, int], int]
    over: int
    wrongs: list[str] = field(default_factory=list)  # descriptions of incorrect answers to the harness
    removed: frozenset[str] = frozenset()  # brokers that need not run at the end
    expected: frozenset[str] = frozenset()  # brokers that must run at the end, also one that recorded nothing


@dataclass(frozen=True, slots=True)
class AppliedVersion:
    """A version that a broker applied at `at`, µs."""

    at: int
    epoch: int
    version: int
    digest: str


@dataclass(slots=True)
class BrokerRun:
    """One run of one broker: its begin and end, µs, and the versions that it applied, in order of time."""

    broker: str
    run: int
    begin: int
    end: int
    ended: bool = False
    applied: list[AppliedVersion] = field(default_factory=list)


class LeaderlessTime(NamedTuple):
    """The time without a leader after the loss of one, s, and the kind of fault that caused it."""

    seconds: float
    kind: str


@dataclass(slots=True)
class Verdict:
    """The result of all checks. Times in s. `by_fault`: those of changes during faults, by kind of fault."""

    changes: int = 0
    undisturbed: list[float] = field(default_factory=list)  # times of changes that overlapped no fault
    all_times: list[float] = field(default_factory=list)
    by_fault: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    leaderless: list[LeaderlessTime] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    reverted: list[str] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)
    broker_runs: int = 0

    @property
    def broken(self) -> bool:
        """Whether a change was lost, a broker went back to an older state, or a record was wrong."""
        return bool(self.lost or self.reverted or self.wrong)


def read_records(paths: Iterable[Path]) -> list[dict]:
    """Return the records of all complete lines; a killed process may leave an incomplete last line.

    Raises `ValueError` for any other line that is not JSON.
    """
    found = []
    for path in paths:
        lines = path.read_text(encoding="utf-8").split("\n")
        for number, line in enumerate(lines):
            try:
                if line:
                    found.append(json.loads(line))
            except ValueError:
                # A restarted process appends to the same file: its first record may follow an incomplete one.
                if number + 1 < len(lines) and "}" in line and "{" in line[1:]:
                    found.append(json.loads(line[line.rindex("{") :]))
                elif number + 1 < len(lines):
                    raise ValueError(f"{path}:{number + 1}: not a JSON record: {line[:120]}") from None
    return found


def check(brokers: list[dict], controls: list[dict], observed: HarnessObservations) -> Verdict:
    """Check a run by the records of its brokers and control processes and the harness's observations."""
    verdict = Verdict(changes=len({a.version for a in observed.acked}))
    verdict.wrong += observed.wrongs
    committed = _committed_digests(controls, verdict)
    _check_acknowledged(observed.acked, controls, committed, verdict)
    broker_runs = _broker_runs(brokers, observed)
    verdict.broker_runs = len(broker_runs)
    for broker_run in broker_runs:
        _check_order(broker_run, verdict)
        _check_digests(broker_run, committed, verdict)
        _check_in_force(broker_run, observed, verdict)
    _check_missing(broker_runs, observed, verdict)
    _check_leader_losses(controls, observed, verdict)
    return verdict


def _committed_digests(controls: list[dict], verdict: Verdict) -> dict[int, str]:
    """Return the committed digest of each version; report a version with two different digests as wrong."""
    committed: dict[int, str] = {}
    for record in controls:
        if record["event"] == "committed":
            version, digest = record["version"], record["digest"]
            if committed.setdefault(version, digest) != digest:
                verdict.wrong.append(
                    f"{record['who']} committed version {version} with digest {digest}, "
                    f"another control process with {committed[version]}"
                )
    return committed


def _check_acknowledged(
    acked: list[AcknowledgedChange], controls: list[dict], committed: dict[int, str], verdict: Verdict
) -> None:
    """Check that each acknowledged change is in the history once, at its version and under its request."""
    names: dict[int, str] = {}
    for record in controls:
        if record["event"] in ("committed", "acknowledged") and record.get("request"):
            names.setdefault(record["version"], record["request"])
    versions: dict[str, int] = {}
    for change in acked:
        if versions.setdefault(change.request, change.version) != change.version:
            verdict.wrong.append(
                f"request {change.request} became versions {versions[change.request]} and "
                f"{change.version}"
            )
        if change.version not in committed:
            verdict.lost.append(
                f"version {change.version} was acknowledged, but no control process committed it"
            )
        elif names.get(change.version, change.request) != change.request:
            verdict.lost.append(
                f"version {change.version} was acknowledged for request {change.request}, but belongs to "
                f"request {names[change.version]}"
            )
        elif change.digest and change.digest != committed[change.version]:
            verdict.wrong.append(
                f"version {change.version} was acknowledged with digest {change.digest}, committed is "
                f"{committed[change.version]}"
            )


def _broker_runs(records: list[dict], observed: HarnessObservations) -> list[BrokerRun]:
    broker_runs: dict[tuple[str, int], BrokerRun] = {}
    for record in sorted(records, key=lambda r: r["at"]):
        key = (record["broker"], record["run"])
        if key not in broker_runs:
            end = observed.ends.get(key)
            broker_runs[key] = BrokerRun(
                *key, record["at"], observed.over if end is None else end, end is not None
            )
        broker_run = broker_runs[key]
        if record["event"] == "in_force":
            applied = AppliedVersion(record["at"], record["epoch"], record["version"], record["digest"])
            broker_run.applied.append(applied)
    return list(broker_runs.values())


def _check_order(broker_run: BrokerRun, verdict: Verdict) -> None:
    last = (0, 0)
    for applied in broker_run.applied:
        position = (applied.epoch, applied.version)
        if applied.version < last[1] or applied.epoch < last[0]:
            verdict.reverted.append(
                f"{broker_run.broker} (run {broker_run.run:x}) went back from (epoch, version) "
                f"{last} to {position} at {applied.at} µs"
            )
        last = position


def _check_digests(broker_run: BrokerRun, committed: dict[int, str], verdict: Verdict) -> None:
    for applied in broker_run.applied:
        if applied.version and committed.get(applied.version, "") != applied.digest:
            verdict.wrong.append(
                f"{broker_run.broker} applied version {applied.version} with digest {applied.digest} "
                f"at {applied.at} µs, "
                f"committed is {committed.get(applied.version, 'no such version')}"
            )


def _check_in_force(broker_run: BrokerRun, observed: HarnessObservations, verdict: Verdict) -> None:
    """Check how long this run of a broker took to apply each change.

    Of the changes that are due from the same time (a start, a heal) only the newest counts, because a broker
    that applies it has the older ones as well.
    """
    down = sorted((s for s in observed.down if s.who == broker_run.broker), key=lambda s: s.begin)
    applied_times, applied_versions, highest = [], [], 0
    for applied in broker_run.applied:
        if applied.version > highest:
            applied_times.append(applied.at)
            applied_versions.append(applied.version)
            highest = applied.version
    due: dict[int, AcknowledgedChange] = {}
    for change in observed.acked:
        if change.at < broker_run.end:
            due_at = _due_time(max(change.at, broker_run.begin), down)
            if due_at not in due or due[due_at].version < change.version:
                due[due_at] = change
    for due_at, change in due.items():
        index = bisect_right(applied_versions, change.version - 1)
        applied_at = (
            applied_times[index]
            if index < len(applied_times) and applied_times[index] <= broker_run.end
            else None
        )
        _check_change(broker_run, change, due_at, applied_at, down, observed, verdict)


def _due_time(moment: int, down: list[Span]) -> int:
    """Return from when a change made at `moment` is due: not before the end of the spans that contain it."""
    for span in down:
        if span.begin <= moment < span.end:
            moment = span.end
    return moment


def _check_change(
    broker_run: BrokerRun,
    change: AcknowledgedChange,
    due_at: int,
    applied_at: int | None,
    down: list[Span],
    observed: HarnessObservations,
    verdict: Verdict,
) -> None:
    until = broker_run.end if applied_at is None else applied_at
    for span in down:  # cut off before the change was applied: it is due again from the heal
        if due_at < span.begin < until:
            due_at = max(due_at, span.end)
    if due_at > broker_run.end:
        return
    if applied_at is None and not broker_run.ended:
        verdict.lost.append(
            f"{broker_run.broker} (run {broker_run.run:x}) never applied version {change.version}, due "
            f"{(observed.over - due_at) / 1e6:.1f} s before the end"
        )
    if applied_at is None and broker_run.end - due_at < IN_FORCE_LIMIT_S * 1e6:
        return  # killed before the limit was over, or reported as lost above
    delay_s = max(0, until - due_at) / 1e6
    verdict.all_times.append(delay_s)
    kinds = {s.kind for s in observed.faults if s.begin <= until and due_at <= s.end}
    for kind in kinds:
        verdict.by_fault[kind].append(delay_s)
    if not kinds:
        verdict.undisturbed.append(delay_s)


def _check_missing(broker_runs: list[BrokerRun], observed: HarnessObservations, verdict: Verdict) -> None:
    present = {broker_run.broker for broker_run in broker_runs if not broker_run.ended}
    for name in sorted(observed.expected - observed.removed - present):
        verdict.lost.append(f"{name} must be running at the end, but has no recorded run that was not killed")


def _check_leader_losses(controls: list[dict], observed: HarnessObservations, verdict: Verdict) -> None:
    """Measure the time from each loss of a leader to the first event of another leader.

    Such an event is its `primary` record or an acknowledgement.
    """
    leader_records = sorted(
        (r["at"], r["who"]) for r in controls if r["event"] in ("primary", "acknowledged")
    )
    for loss in observed.losses:
        after = next(
            (at for at, who in leader_records if at > max(loss.at, loss.all_stopped_at) and who != loss.who),
            observed.over,
        )
        verdict.leaderless.append(LeaderlessTime((after - loss.at) / 1e6, loss.kind))


def insufficient_activity(
    verdict: Verdict,
    observed: HarnessObservations,
    brokers: int,
    seconds: float,
    without_faults: bool = False,
) -> list[str]:
    """Return the reasons why the run had too little activity to prove anything; empty if it had enough.

    `without_faults`: the run is not supposed to have faults.
    """
    found = []
    if verdict.changes < max(5, seconds / (12 if without_faults else 6)):
        found.append(f"only {verdict.changes} changes acknowledged")
    if len(verdict.undisturbed) < brokers:
        found.append(
            f"only {len(verdict.undisturbed)} times of changes at brokers were measured in quiet times"
        )
    if without_faults:
        return found + ["a fault was injected into a run without faults"] * bool(
            observed.faults or observed.losses
        )
    if not observed.losses:
        found.append("no primary was lost")
    if verdict.broker_runs <= brokers:
        found.append("no broker restarted")
    kinds = {span.kind for span in observed.faults}
    if len(kinds) < min(3, max(1, int(seconds / 8))):
        found.append(f"faults of only {len(kinds)} kinds")
    return found


def exceeded_limits(verdict: Verdict, cpu_pct: float, net_kb_s: float, rss_mb: float) -> list[str]:
    """Return a message for each exceeded limit: its name, the value and the limit."""
    most = max(verdict.undisturbed, default=0.0)
    primary = max((loss.seconds for loss in verdict.leaderless), default=0.0)
    rows = (
        ("in force, quiet, s", most, IN_FORCE_LIMIT_S),
        ("primary over, s", primary, LEADER_LIMIT_S),
        ("broker cpu, %", cpu_pct, CPU_LIMIT_PCT),
        ("broker net, KB/s", net_kb_s, NETWORK_LIMIT_KB_S),
        ("broker rss, MB", rss_mb, MEMORY_LIMIT_MB),
    )
    return [f"{name} {value:.2f} over {limit:g}" for name, value, limit in rows if value > limit]
