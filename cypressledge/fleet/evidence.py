"""What one broker's own links saw of each engine, in windows of time. No I/O, told the time (µs).

No probes, and no look into answers: only how attempts ended, how late, and which have been quiet for long.
"""

from collections import deque
from dataclasses import dataclass, field

from cypressledge.decisions.contract import Outcome
from cypressledge.fleet.messages import EngineObservation

WINDOW = 250_000  # µs
WINDOWS = 8  # that a sight covers: 2 s
ENGINES_MOST = 64  # that a sight names: those tried most
LATE = 4.0  # times the expected run time
QUIET = 3.0  # times the expected run time that an attempt may be silent for, and
QUIET_LEAST = 300_000  # µs at the least

REFUSED = frozenset((Outcome.CONNECT_FAILED,))
BROKEN = frozenset((Outcome.RESET, Outcome.ERROR))
SILENT = frozenset((Outcome.TIMEOUT,))


@dataclass(slots=True)
class Tally:
    """How attempts at one engine went in one window."""

    ok: int = 0
    late: int = 0
    refused: int = 0
    broken: int = 0
    silent: int = 0
    work: int = 0

    def add(self, other: "Tally") -> None:
        """Add another window's."""
        self.ok += other.ok
        self.late += other.late
        self.refused += other.refused
        self.broken += other.broken
        self.silent += other.silent
        self.work += other.work

    @property
    def tries(self) -> int:
        """All of them."""
        return self.ok + self.late + self.refused + self.broken + self.silent


@dataclass(slots=True)
class Row:
    """How things last went at one engine: failures since its last answer, and when that was."""

    fails: int = 0
    answered: int | None = None


@dataclass(slots=True)
class Evidence:
    """One broker's tallies, by window and engine."""

    windows: deque = field(default_factory=lambda: deque(maxlen=WINDOWS))
    counted: set = field(default_factory=set)  # attempts that are out and were found quiet: counted once
    rows: dict[int, Row] = field(default_factory=dict)

    def _tally(self, now: int, engine: int) -> Tally:
        number = now // WINDOW
        if not self.windows or self.windows[-1][0] != number:
            self.windows.append((number, {}))
        return self.windows[-1][1].setdefault(engine, Tally())

    def ended(
        self,
        now: int,
        engine: int,
        attempt: object,
        outcome: Outcome,
        latency: int,
        expected: int,
        work: int = 0,
        quiet: bool = False,
    ) -> None:
        """An attempt has ended. What was full or never left says nothing of the engine; nor does what was
        called off, unless it had been `quiet` for longer than it should have taken."""
        if attempt in self.counted:
            self.counted.discard(attempt)
            if outcome is not Outcome.OK:
                return
        if outcome is Outcome.OK:
            tally = self._tally(now, engine)
            tally.work += work
            self._row(engine).fails, self._row(engine).answered = 0, now
            if latency > LATE * expected + QUIET_LEAST:
                tally.late += 1
            else:
                tally.ok += 1
        elif outcome in REFUSED:
            self._failed(now, engine).refused += 1
        elif outcome in BROKEN:
            self._failed(now, engine).broken += 1
        elif outcome in SILENT or (outcome is Outcome.CANCELLED and quiet and latency > QUIET * expected):
            self._failed(now, engine).silent += 1

    def _row(self, engine: int) -> Row:
        return self.rows.setdefault(engine, Row())

    def _failed(self, now: int, engine: int) -> Tally:
        self._row(engine).fails += 1
        return self._tally(now, engine)

    def out(self, now: int, open_: list[tuple[object, int, int, int]]) -> None:
        """Look at the attempts that are out: (attempt, engine, µs without a word, expected µs)."""
        alive = {attempt for attempt, *_ in open_}
        self.counted &= alive
        for attempt, engine, quiet, expected in open_:
            if attempt not in self.counted and quiet > max(QUIET * expected, QUIET_LEAST):
                self.counted.add(attempt)
                self._failed(now, engine).silent += 1

    def sight(self, now: int) -> list[EngineObservation]:
        """What the last windows say, bounded."""
        oldest = now // WINDOW - WINDOWS
        sums: dict[int, Tally] = {}
        for number, engines in self.windows:
            if number > oldest:
                for engine, tally in engines.items():
                    sums.setdefault(engine, Tally()).add(tally)
        most = sorted(sums.items(), key=lambda e: (-e[1].tries, e[0]))[:ENGINES_MOST]
        self.rows = {e: row for e, row in self.rows.items() if e in sums}
        return [
            EngineObservation(e, t.ok, t.late, t.refused, t.broken, t.silent, t.work, *self._last(now, e))
            for e, t in most
        ]

    def _last(self, now: int, engine: int) -> tuple[int, int]:
        row = self._row(engine)
        return row.fails, -1 if row.answered is None else (now - row.answered) // 1000
