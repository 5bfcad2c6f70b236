"""Results of one broker's attempts by engine, in short windows. No I/O; callers pass the time (µs).

Observation is passive: how attempts ended, how late, and which have been silent for long. It sends no health
checks and does not inspect answers.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from cypressledge.decisions.contract import Outcome
from cypressledge.fleet.messages import EngineObservation

WINDOW = 250_000  # µs; length of one window of counts
WINDOW_COUNT = 8  # number of windows that a snapshot covers: 2 s
MAX_ENGINES = 64  # engines in a snapshot, those with most attempts; it must fit into a datagram
LATE_MULTIPLE = 4.0  # multiple of the expected run time after which an answer counts as late
SILENCE_MULTIPLE = 3.0  # multiple of the expected run time that an attempt may be silent for
# µs that an attempt may be silent for in any case; also added to the time after which an answer is late
MIN_SILENCE = 300_000

CONNECT_FAILED_OUTCOMES = frozenset((Outcome.CONNECT_FAILED,))
FAILED_OUTCOMES = frozenset((Outcome.RESET, Outcome.ERROR))
TIMED_OUT_OUTCOMES = frozenset((Outcome.TIMEOUT,))


@dataclass(slots=True)
class AttemptCounts:
    """Numbers of attempts at one engine in one window, by result. `cpu_time`: engine processor time of
    the successful ones, µs."""

    succeeded: int = 0
    late: int = 0  # succeeded, but long after the expected run time
    connect_failed: int = 0
    failed: int = 0
    timed_out: int = 0
    cpu_time: int = 0

    def add(self, other: "AttemptCounts") -> None:
        """Add another window's counts to these."""
        self.succeeded += other.succeeded
        self.late += other.late
        self.connect_failed += other.connect_failed
        self.failed += other.failed
        self.timed_out += other.timed_out
        self.cpu_time += other.cpu_time

    @property
    def total(self) -> int:
        """The number of attempts in all results."""
        return self.succeeded + self.late + self.connect_failed + self.failed + self.timed_out


@dataclass(slots=True)
class RecentResults:
    """The latest results at one engine. `last_answer_at`: µs; None if no answer is known."""

    consecutive_failures: int = 0
    last_answer_at: int | None = None


class OpenAttempt(NamedTuple):
    """An attempt that has not ended. `silence`: µs since it was sent or its engine last reported progress of
    it; `expected`: expected run time, µs."""

    attempt: object
    engine: int
    silence: int
    expected: int


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt that has ended. `latency`: µs since it was sent; `expected`: expected run time, µs;
    `cpu_time`: engine processor time, µs, if it succeeded; `silent`: its engine reported no progress."""

    attempt: object
    engine: int
    outcome: Outcome
    latency: int
    expected: int
    cpu_time: int = 0
    silent: bool = False

    @property
    def was_given_up_silent(self) -> bool:
        """Whether it was cancelled without any progress, long after its expected run time."""
        overdue = self.latency > SILENCE_MULTIPLE * self.expected
        return self.outcome is Outcome.CANCELLED and self.silent and overdue


@dataclass(slots=True)
class AttemptObservations:
    """The results of one broker's attempts, by window and engine."""

    windows: deque[tuple[int, dict[int, AttemptCounts]]] = field(
        default_factory=lambda: deque(maxlen=WINDOW_COUNT)
    )
    counted_silent: set[object] = field(default_factory=set)  # open attempts already counted as silent
    recent: dict[int, RecentResults] = field(default_factory=dict)

    def record_end(self, now: int, ended: EndedAttempt) -> None:
        """Count an attempt that has ended.

        A rejected attempt and one that was never sent are not counted, because they give no information
        about the engine. The same holds for a cancelled one, unless it was silent long past its expected run
        time.
        """
        outcome = ended.outcome
        if ended.attempt in self.counted_silent:
            self.counted_silent.discard(ended.attempt)
            if outcome is not Outcome.OK:
                return
        if outcome is Outcome.OK:
            self._record_answer(now, ended)
        elif outcome in CONNECT_FAILED_OUTCOMES:
            self._record_failure(now, ended.engine).connect_failed += 1
        elif outcome in FAILED_OUTCOMES:
            self._record_failure(now, ended.engine).failed += 1
        elif outcome in TIMED_OUT_OUTCOMES or ended.was_given_up_silent:
            self._record_failure(now, ended.engine).timed_out += 1

    def record_open(self, now: int, open_attempts: list[OpenAttempt]) -> None:
        """Count each open attempt that has been silent for too long as timed out, once."""
        self.counted_silent &= {attempt for attempt, *_ in open_attempts}
        for attempt, engine, silence, expected in open_attempts:
            if attempt in self.counted_silent:
                continue
            if silence > max(SILENCE_MULTIPLE * expected, MIN_SILENCE):
                self.counted_silent.add(attempt)
                self._record_failure(now, engine).timed_out += 1

    def snapshot(self, now: int) -> list[EngineObservation]:
        """Return the sums over the last windows, for at most `MAX_ENGINES` engines."""
        oldest = now // WINDOW - WINDOW_COUNT
        sums: dict[int, AttemptCounts] = {}
        for number, engines in self.windows:
            if number > oldest:
                for engine, counts in engines.items():
                    sums.setdefault(engine, AttemptCounts()).add(counts)
        self.recent = {engine: recent for engine, recent in self.recent.items() if engine in sums}
        most_tried = sorted(sums.items(), key=lambda item: (-item[1].total, item[0]))[:MAX_ENGINES]
        return [self._observation(now, engine, counts) for engine, counts in most_tried]

    def _observation(self, now: int, engine: int, counts: AttemptCounts) -> EngineObservation:
        recent = self._recent(engine)
        answered = recent.last_answer_at
        return EngineObservation(
            engine,
            counts.succeeded,
            counts.late,
            counts.connect_failed,
            counts.failed,
            counts.timed_out,
            counts.cpu_time,
            recent.consecutive_failures,
            -1 if answered is None else (now - answered) // 1000,
        )

    def _record_answer(self, now: int, ended: EndedAttempt) -> None:
        counts, recent = self._counts(now, ended.engine), self._recent(ended.engine)
        counts.cpu_time += ended.cpu_time
        recent.consecutive_failures = 0
        recent.last_answer_at = now
        if ended.latency > LATE_MULTIPLE * ended.expected + MIN_SILENCE:
            counts.late += 1
        else:
            counts.succeeded += 1

    def _record_failure(self, now: int, engine: int) -> AttemptCounts:
        self._recent(engine).consecutive_failures += 1
        return self._counts(now, engine)

    def _recent(self, engine: int) -> RecentResults:
        return self.recent.setdefault(engine, RecentResults())

    def _counts(self, now: int, engine: int) -> AttemptCounts:
        number = now // WINDOW
        if not self.windows or self.windows[-1][0] != number:
            self.windows.append((number, {}))
        return self.windows[-1][1].setdefault(engine, AttemptCounts())
