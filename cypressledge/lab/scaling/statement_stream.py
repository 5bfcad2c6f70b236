"""A stream of statements for one workload manager in virtual time, and the manager's processor time."""

import random
import time
from collections.abc import Iterator
from heapq import heappop, heappush

from cypressledge.decisions import contract as c
from cypressledge.decisions.manager import WorkloadManager
from cypressledge.lab.scaling.measuring import SECOND_US, ZONES, engine_entries
from cypressledge.lab.site import SETTINGS
from cypressledge.settings import parse_settings

STATEMENTS_PER_S = 500.0  # arrival rate at one broker of the target fleet
WORK_US = 10_000  # µs; time that a statement takes at its engine
CLIENT_WAIT_US = 3 * SECOND_US


def workload_manager(engines: int, peers: int, seed: int) -> WorkloadManager:
    """Return a workload manager with its engine list and its usual answer rate."""
    settings = parse_settings(SETTINGS | {"PeersTotal": peers, "Dcs": list(ZONES)})
    manager = WorkloadManager(settings, seed)
    manager.handle(SECOND_US, [c.EngineListReceived(c.EngineListKind.FULL, engine_entries(engines))])
    manager.pace.answer_rate = STATEMENTS_PER_S  # as after some periods; determines how many engines are used
    return manager


class StatementStream:
    """Statements with Poisson arrivals for one manager in virtual time; engines take `WORK_US` for each."""

    def __init__(self, manager: WorkloadManager, tables: int, seed: int) -> None:
        self.manager = manager
        self.tables = tables
        self.random = random.Random(seed)
        self.now = SECOND_US
        self.next_arrival = SECOND_US
        self.arrived = 0
        self.attempt_ends: list[tuple[int, int, int, int]] = []  # heap: when, request, attempt, engine
        self.attempts: dict[int, int] = {}  # by request: the number of its last attempt
        self.timers: list[tuple[int, int]] = []  # heap: when, token
        self.engines_used: set[int] = set()
        self.cpu_ns = 0  # processor time of the manager
        self.given_up = 0  # statements that the manager rejected or failed

    def run(self, seconds: float) -> int:
        """Advance virtual time tick by tick by `seconds`; return how many statements arrived."""
        before = self.arrived
        end = self.now + round(seconds * SECOND_US)
        while self.now < end:
            self.now += self.manager.settings.timer_resolution
            events: list[c.Event] = [*self._arrivals(), *self._ended_attempts(), *self._fired_timers()]
            if not events:
                continue
            began = time.thread_time_ns()
            actions = self.manager.handle(self.now, events)
            self.cpu_ns += time.thread_time_ns() - began
            for action in actions:
                self._execute(action)
        return self.arrived - before

    def _arrivals(self) -> Iterator[c.RequestReceived]:
        while self.next_arrival <= self.now:
            self.next_arrival += round(self.random.expovariate(STATEMENTS_PER_S) * SECOND_US)
            self.arrived += 1
            table = self.random.randrange(self.tables)
            yield c.RequestReceived(self.arrived, 0, self.now + CLIENT_WAIT_US, 0, WORK_US, 10.0, table)

    def _ended_attempts(self) -> Iterator[c.AttemptEnded]:
        while self.attempt_ends and self.attempt_ends[0][0] <= self.now:
            _, request, attempt, engine = heappop(self.attempt_ends)
            yield c.AttemptEnded(request, attempt, engine, c.Outcome.OK, True, WORK_US, WORK_US)

    def _fired_timers(self) -> Iterator[c.TimerFired]:
        while self.timers and self.timers[0][0] <= self.now:
            yield c.TimerFired(heappop(self.timers)[1])

    def _execute(self, action: c.Action) -> None:
        if isinstance(action, c.StartAttempt):
            attempt = self.attempts[action.request] = self.attempts.get(action.request, -1) + 1
            heappush(self.attempt_ends, (self.now + WORK_US, action.request, attempt, action.engine))
            self.engines_used.add(action.engine)
        elif isinstance(action, c.StartTimer):
            heappush(self.timers, (self.now + action.after, action.token))
        elif isinstance(action, c.RejectRequest | c.FailRequest):
            self.given_up += 1

    def reset_counts(self) -> None:
        """Reset the processor time, the statements given up and the engines used."""
        self.cpu_ns = 0
        self.engines_used.clear()
        self.given_up = 0
