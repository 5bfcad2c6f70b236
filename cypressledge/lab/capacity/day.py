"""A compressed day for a capacity run, drawn from a seed: its changes and faults, with their times. No I/O.

Faults follow one another with quiet times between them; changes continue throughout. The last part of the day
has no faults, so that a change that is missing at its end is lost and not late.
"""

import random
from dataclasses import dataclass
from enum import StrEnum


class FaultKind(StrEnum):
    """Kinds of faults, with their keys in results files; in the order of a day's first faults."""

    LEADER_KILLED = "a primary killed"
    BROKERS_KILLED = "brokers killed"
    REGIONS_CUT = "regions cut"
    LEADER_STOPPED = "a primary stopped"
    ZONE_KILLED = "a zone gone"
    BROKERS_REPLACED = "brokers replaced"
    CONTROLS_RESTARTED = "all control processes restarted"


class ChangeKind(StrEnum):
    """Kinds of changes that an operator requests, with the names that a run prints."""

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
FAULT_SPANS = {  # shortest and longest duration, in lease terms of the control processes
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
QUIET_LEAD_S = 3.0  # s; before the first fault
QUIET_REST_S = 3.0  # s; minimum after a fault, including the recovery from it
QUIET_TAIL_S = 8.0  # s; at the end of the day


@dataclass(frozen=True, slots=True)
class Event:
    """A change or fault `at` seconds into the day, for `span` seconds. `pick`: 0 to 1, selects its target."""

    at: float
    kind: FaultKind | ChangeKind
    span: float = 0.0
    pick: float = 0.0


@dataclass(frozen=True, slots=True)
class Day:
    """The faults and changes of a capacity run, each in order of time."""

    seconds: float
    faults: list[Event]
    changes: list[Event]


def draw_fault_span(kind: FaultKind, term_s: float, rng: random.Random) -> float:
    """Return a random duration of a fault, s. A leader is stopped for longer than the lease term `term_s`."""
    shortest, longest = FAULT_SPANS[kind]
    return rng.uniform(shortest, longest) * term_s


def draw_day(seed: int, seconds: float, term_s: float, every_s: float) -> Day:
    """Draw a day of this many seconds, with a change every `every_s` seconds on average.

    Each kind of fault occurs once before any occurs again; a short day begins with a killed leader, killed
    brokers and cut regions. `term_s`: term of the control processes' leases.
    """
    rng = random.Random(seed)
    faults: list[Event] = []
    at, rounds = QUIET_LEAD_S, 0
    while True:
        deck = list(FAULTS)
        if rounds:  # the first round is in order, so that even the shortest day has the required faults
            rng.shuffle(deck)
        rounds += 1
        for kind in deck:
            span = draw_fault_span(kind, term_s, rng)
            if at + span + QUIET_TAIL_S > seconds:
                return Day(seconds, faults, draw_changes(rng, seconds, every_s))
            faults.append(Event(at, kind, span, rng.random()))
            at += span + QUIET_REST_S + rng.uniform(0.5, 1.0) * term_s


def draw_day_without_faults(seed: int, seconds: float, every_s: float) -> Day:
    """Draw a day with changes only, to measure the cost of the control plane without faults."""
    return Day(seconds, [], draw_changes(random.Random(seed), seconds, every_s))


def draw_changes(rng: random.Random, seconds: float, every_s: float) -> list[Event]:
    """Draw changes at random times; the last are in the quiet tail, early enough to be applied by its end."""
    found, at = [], 0.0
    kinds, weights = zip(*CHANGE_WEIGHTS, strict=True)
    while (at := at + rng.expovariate(1 / every_s)) < seconds - QUIET_TAIL_S / 2:
        found.append(Event(at, rng.choices(kinds, weights)[0], 0.0, rng.random()))
    return found
