"""A compressed day for a capacity run, drawn from a seed: what is changed and what breaks when. No I/O.

Faults come one after the other with quiet between them; changes go on all the time. The last part of the day
is quiet, so that whatever is missing at its end is lost and not late.
"""

import random
from dataclasses import dataclass
from enum import StrEnum


class FaultKind(StrEnum):
    """What breaks, by the keys of results files; in the order of a day's first faults."""

    LEADER_KILLED = "a primary killed"
    BROKERS_KILLED = "brokers killed"
    REGIONS_CUT = "regions cut"
    LEADER_STOPPED = "a primary stopped"
    ZONE_KILLED = "a zone gone"
    BROKERS_REPLACED = "brokers replaced"
    CONTROLS_RESTARTED = "all control processes restarted"


class ChangeKind(StrEnum):
    """What an operator changes, or tries to, by the names that a run prints."""

    SETTINGS = "settings"
    ENGINE_DRAINED = "engine drains"
    ENGINE_REMOVED = "engine goes"
    ENGINE_ADDED = "engine comes"
    REPEATED_REQUEST = "repeat"
    CONFLICT = "clash"
    INVALID = "bad"


FAULTS = tuple(FaultKind)
CHANGE_WEIGHTS = (
    (ChangeKind.SETTINGS, 10),
    (ChangeKind.ENGINE_DRAINED, 3),
    (ChangeKind.ENGINE_REMOVED, 2),
    (ChangeKind.ENGINE_ADDED, 3),
    (ChangeKind.REPEATED_REQUEST, 3),
    (ChangeKind.CONFLICT, 2),
    (ChangeKind.INVALID, 2),
)
FAULT_SPANS = {  # the shortest and the longest, in terms of the control processes' leases
    FaultKind.LEADER_KILLED: (0.8, 2.0),
    FaultKind.BROKERS_KILLED: (0.2, 1.2),
    FaultKind.REGIONS_CUT: (1.4, 2.4),
    FaultKind.LEADER_STOPPED: (1.3, 2.0),
    FaultKind.ZONE_KILLED: (1.2, 2.2),
    FaultKind.BROKERS_REPLACED: (0.2, 0.8),
    FaultKind.CONTROLS_RESTARTED: (0.1, 0.3),
}
ZONES = ("za", "zb", "zc")
REGION = {"za": "east", "zb": "east", "zc": "west"}
QUIET_LEAD_S = 3.0  # quiet before the first fault
QUIET_REST_S = 3.0  # and after one, at the least: part of it is the mending's
QUIET_TAIL_S = 8.0


@dataclass(frozen=True, slots=True)
class Event:
    """A change or fault at `at` seconds of the day, for `span` seconds. `pick`: 0 to 1, decides which."""

    at: float
    kind: FaultKind | ChangeKind
    span: float = 0.0
    pick: float = 0.0


@dataclass(frozen=True, slots=True)
class Day:
    """The faults and changes that a run plays."""

    seconds: float
    faults: list[Event]
    changes: list[Event]


def draw_fault_span(kind: FaultKind, term_s: float, rng: random.Random) -> float:
    """Return the seconds that a fault lasts. A stop outlasts the lease's term; the others may or may not."""
    shortest, longest = FAULT_SPANS[kind]
    return rng.uniform(shortest, longest) * term_s


def draw_day(seed: int, seconds: float, term_s: float, every_s: float) -> Day:
    """Draw a day of so many seconds, with a change every `every_s` seconds on average.

    Each kind of fault comes once before one comes again; the first of a short day take a leader away, kill
    brokers and cut regions. `term_s`: of the control processes' leases.
    """
    rng = random.Random(seed)
    faults: list[Event] = []
    at, rounds = QUIET_LEAD_S, 0
    while True:
        deck = list(FAULTS)
        if rounds:  # the first round is in order, so that the shortest day has what it has to have
            rng.shuffle(deck)
        rounds += 1
        for kind in deck:
            span = draw_fault_span(kind, term_s, rng)
            if at + span + QUIET_TAIL_S > seconds:
                return Day(seconds, faults, draw_changes(rng, seconds, every_s))
            faults.append(Event(at, kind, span, rng.random()))
            at += span + QUIET_REST_S + rng.uniform(0.5, 1.0) * term_s


def draw_day_without_faults(seed: int, seconds: float, every_s: float) -> Day:
    """Draw a day of changes alone: what the control plane costs where nothing breaks."""
    return Day(seconds, [], draw_changes(random.Random(seed), seconds, every_s))


def draw_changes(rng: random.Random, seconds: float, every_s: float) -> list[Event]:
    """Draw changes at random moments; the last come in the quiet tail, with time left to be in force."""
    found, at = [], 0.0
    kinds, weights = zip(*CHANGE_WEIGHTS, strict=True)
    while (at := at + rng.expovariate(1 / every_s)) < seconds - QUIET_TAIL_S / 2:
        found.append(Event(at, rng.choices(kinds, weights)[0], 0.0, rng.random()))
    return found
