"""All decisions of a workload manager; its settings, events and actions are in decisions/contract.py.

Queries wait in per-class queues; each free engine place is given by a random draw whose class odds a
PI loop tunes to hold mean wait ratios between classes (docs/design.md names each departure).
"""

import random
from collections import deque
from heapq import heappop, heappush
from itertools import chain
from math import ceil

from cypressledge.decisions.contract import (
    NEVER_EXECUTED,
    WAITS_FOR_LOAD,
    Action,
    AttemptEnded,
    AttemptProgress,
    CancelAttempt,
    ClientDisconnected,
    DeduplicationScope,
    EngineListKind,
    EngineListReceived,
    EngineState,
    Event,
    FailRequest,
    HealthCheckEnded,
    Idempotency,
    Log,
    Outcome,
    ProgressKind,
    Reason,
    RejectRequest,
    RequestReceived,
    SetAttemptResources,
    Settings,
    ShutdownStarted,
    StartAttempt,
    StartTimer,
    Subscribe,
    TimerFired,
)
from cypressledge.retries import RetryBudget, drops_repeats_of, repeat_bar, window_end

MS = 1000  # microseconds
PERIOD = 2_000 * MS  # sampling period of the PI loop and of the bounds (design page)
GAIN_NOW, GAIN_LAST = 0.42, 0.1  # PI gains (Pan et al., Eq. 11)
ODDS_LIMIT = 16.0  # x stays within 1/16..16, so that no class starves and the integral can't run away
ERROR_LIMIT = 2.0  # largest |e|: one odd period moves x by less than one
MIN_SAMPLES = 3  # waits a class needs in a period before the loop trusts its mean
PLACES_PER_CORE = 2.0  # threads of the starting bound (design page)
GROWTH = 3.0  # the bound grows to this multiple of its start at most (design page)
SHRINK = 0.8  # factor on the bound in a period whose answers are slow
PRESSURE = 1.5  # slowdown over the work's own time from which the bound binds
WIDE_ROOM = 2.0  # widest queries that own work may pass the sum of bounds by: a small gateway's swings
JUMP = 1.25  # multiple of the starting bound past which the bound binds, pressure or not
EASY = 1.4  # slowdown under which the bound may grow: short work meets its aims long after the rest slows
SLOW = 2.0  # slowdown from which the bound shrinks
FULL_MEMORY = 2_000 * MS  # a full refusal counts as pressure this long
FULL_TRY = 250 * MS  # interval of single tries past the places an engine had when it was last full
SWEEP = 100 * MS  # interval of the looks at running and waiting work; short against the shortest aims
REPORT_WEIGHT = 2.0  # of the others' reported load against own threads a core: own work is only a sample
REPORT_AGE = 2_000 * MS  # age at which a load report counts half: about as long as the dearer work runs
FADE = 0.7  # weight that old answers keep from period to period in an engine's slowdown
EWMA = 0.1  # weight of one new answer in running means
NEED_QUANTILE = 0.9  # share of needs that the corrected grant covers: a spill costs more than idle memory
NEED_STEP = 0.04  # step of that quantile's estimate, in shares of it
COLD_FEW = 8  # queries of a class that a cold budget must hold for a share of it to be a chance
COLD_SAFETY = 0.6  # part of a cold engine's budget that is used: its speed and work's spread are not known
NEAR_LEAST = 3  # engines a manager keeps to at the least; one more for every two answers a second
STRANGE = 1.0  # routing cost of any other engine, in threads a core
ASKED_FADE = 0.95  # weight that a group's count of requests keeps from period to period
HOME_ROOM = 1.5  # engines of a group, against its share of the traffic: room for its swings
COLD_READ = 0.25  # routing cost of engines that are not the group's own, in threads a core
SEEN_HELD = 2_000 * MS  # a note of waiting for a load counts against its engine and group this long
RESERVED = 0.5  # routing cost, to a class free to go anywhere, of engines that a bound class must use
LOAD_ROOM = 1.6  # engines for a group's loads, against how many of them run at once
BEHIND = 2.0  # routing cost, to what waits for loads, of engines that the group's loads go to
LITTLE = 0.2  # part of the worth that late answers earn, under which late work is not moved
LEFT_FREE = 0.2  # part of the engines that a group's loads are kept from
APART = 1.0  # routing cost, to a load, of engines that its group's loads do not go to
LINE = 0.75  # part of a load's aim that the loads ahead of it at its engine may take
ROWS = 3  # groups of a class that may be found without a free engine in one go: looking costs time
SHORT = 0.5  # part of the usual run time up to which work is short
SPARE = 0.3  # part of the starting bound kept beyond it for short work
HELD = 2.0  # routing cost of an engine where a load holds the group, in threads a core
SILENCE = 14.0  # expected answers that did not come, from which an engine is held off; work varies widely
SILENCE_EACH = 4.0  # most that one attempt adds to it: work's own spread must not tell
SILENCE_LEAST = 400 * MS  # shortest silence that tells, and age from which attempts there are moved
WITNESSES = 3  # answers of other engines that tell one engine's silence from silence everywhere
LOST_NOTES = 1.8  # intervals of notes without a word of what runs, from which its answer is lost
LOSSES = 0.02  # part of answers lost from which short work is moved as soon as it is overdue
OVERDUE, OVERDUE_LEAST = 3.0, 40 * MS  # silence that tells so: times its expected time, and this
TRIAL = 1_000 * MS  # interval of single tries at an engine that is held off
ERRORS = 0.25  # part of an engine's answers that are errors, from which it is held off
RESETS = 2  # resets with no answer between, and nothing left out, that tell a process has ended
RUNAWAY = 3.0  # an attempt is given up when its rest is over this multiple of a fresh start
DUE_MARGIN = 30 * MS  # final answers go out this long before the client gives up


def _mix(group: int, engine: int) -> int:
    """A number that orders engines for a group, the same at every manager."""
    x = (group * 0x9E3779B97F4A7C15 ^ engine * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    x = (x ^ x >> 31) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
    return x ^ x >> 29


class Engine:
    """What this manager knows of one engine."""

    def __init__(self, entry, cores, memory, start):
        self.id, self.born, self.state = entry.engine, entry.started_at, entry.state
        self.kind, self.zone, self.cell = entry.kind, entry.zone, entry.cell
        self.cores, self.memory, self.start, self.bound = cores, memory, start, start
        self.out = {}
        self.threads, self.needs = 0, 0.0
        self.slow = self.late = 1.0
        self.lat_sum = self.run_sum = 0.0
        self.heard = self.full_until = self.trial_at = self.cold_until = self.load = self.load_at = 0
        self.held_off, self.full_room, self.full_try = False, 0, 0
        self.sent, self.sent_work = deque(), 0
        self.holds, self.seen_held = {}, {}
        self.queue_waited, self.met, self.missed, self.resets, self.errors = False, 0, 0, 0, 0.0


class Request:
    """A request that is owed an answer, or has an attempt without an outcome."""


class WorkloadManager:
    """The decisions of one gateway: `handle` takes what happened and returns what to do."""

    def __init__(self, settings: Settings, seed: int):
        self.retry_budget = RetryBudget(settings)
        self.configure(settings)
        self.rng = random.Random(seed)
        n = len(settings.classes)
        self.now, self.acts, self.seq, self.count = 0, [], 0, 0
        self.engines: dict[int, Engine] = {}
        self.order: list[Engine] = []
        self.requests: dict[int, Request] = {}
        self.queues: list[dict[int, list]] = [{} for _ in range(n)]  # a class's queue, by what may hold it up
        self.overdue: list[dict[int, list]] = [{} for _ in range(n)]
        self.dues, self.rests = [], []
        self.keys: dict[int, deque[Request]] = {}
        self.rest_until: dict[int, int] = {}
        self.x, self.last_error = [1.0] * (n - 1), [0.0] * (n - 1)
        self.odds = [1.0 / n] * n
        self.waits, self.samples, self.seen = [0.0] * n, [0] * n, [0] * n
        self.cost_ratio, self.need_ratio, self.mean_need = [1.0] * n, [1.25] * n, [1.0] * n
        self.usual, self.class_slow = [0.0] * n, [1.0] * n
        self.next_period = self.next_sweep = self.wake_at = self.threads = 0
        self.needs = self.lat_sum = self.run_sum = self.big_need = self.mean_run = 0.0
        self.slow, self.rate, self.loads, self.losses, self.hints = 1.0, 1.0, 0.0, 0.0, False
        self.asked: dict[int, float] = {}
        self.ranks: dict[int, list[Engine]] = {}
        self.load, self.spread, self.held_time, self.thread_time = 0.5, 0.5, 0.0, 0.0
        self.react = {
            EngineListReceived: self._list,
            RequestReceived: self._arrival,
            AttemptEnded: self._ended,
            AttemptProgress: self._note,
            ClientDisconnected: self._left,
            TimerFired: self._timer,
            HealthCheckEnded: lambda event: None,
            ShutdownStarted: lambda event: [
                self._give_up(r, Reason.SHUTTING_DOWN) for r in [*self.requests.values()] if not r.over
            ],
        }

    def configure(self, settings: Settings) -> None:
        """Take the settings, again where they change; the classes stay the same."""
        self.s, classes = settings, settings.classes
        self.retry_budget.settings = settings
        self.bound_kinds = frozenset().union(*(k.required_kinds or () for k in classes))
        self.bound_zones = frozenset().union(*(k.required_zones or () for k in classes))
        self.least, self.widest = min(k.threads for k in classes), max(k.threads for k in classes)

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take the events of one moment; return the actions in order."""
        self.now, self.acts = now, []
        if not self.next_period:
            self.next_period, self.next_sweep = now + PERIOD, now + SWEEP
            if self.s.list_on_request:
                self._do(Subscribe())
        for event in events:
            self.react[type(event)](event)
        if now >= self.next_sweep:
            self.next_sweep = now + SWEEP
            self._sweep()
        if now >= self.next_period:
            self.next_period = now + PERIOD
            self._control()
            self._bounds()
        self._dispatch()
        self._wake()
        return self.acts

    def _wake(self) -> None:
        """Ask for the next timer; with nothing out, waiting or resting there is none."""
        if not self.requests:
            return
        at = min([self.next_sweep, *(heap[0][0] for heap in (self.dues, self.rests) if heap)])
        if self.wake_at <= self.now or at < self.wake_at:
            self.wake_at = max(at, self.now + self.s.timer_resolution)
            self._do(StartTimer(self.wake_at - self.now))

    def _do(self, action: Action) -> None:
        self.acts.append(action)

    # The list of engines

    def _list(self, news: EngineListReceived) -> None:
        if news.kind is EngineListKind.FAILED:
            self._do(StartTimer(TRIAL, 1))
            return
        for entry in news.entries:
            e = self.engines.get(entry.engine)
            if e is None:
                cores = self.s.kind_cores[entry.kind]
                memory = self.s.kind_memory_mb[entry.kind] if self.s.kind_memory_mb else 0.0
                start = PLACES_PER_CORE * cores / self.s.broker_count
                e = self.engines[entry.engine] = Engine(entry, cores, memory, start)
            elif entry.started_at > e.born:
                e.slow, e.held_off = 1.0, False
            e.state, e.born, e.kind, e.zone = entry.state, entry.started_at, entry.kind, entry.zone
            e.cold_until = max(e.cold_until, entry.started_at and entry.started_at + self.s.slow_start_window)
        if news.kind is not EngineListKind.DELTA:
            listed = {entry.engine for entry in news.entries}
            for e in self.engines.values():
                if e.id not in listed:
                    e.state = EngineState.REMOVED
        self.ranks.clear()
        self.engines = {i: e for i, e in self.engines.items() if e.state is not EngineState.REMOVED or e.out}
        self.order = [
            self.engines[i] for i in sorted(self.engines) if self.engines[i].state is EngineState.READY
        ]

    # Requests

    def _arrival(self, a: RequestReceived) -> None:
        r = Request()
        r.id, r.cls, r.due, r.key, r.group, r.hint, r.memory = (
            a.request,
            a.class_index,
            a.deadline,
            a.key,
            a.table_group,
            a.cost,
            a.memory_mb,
        )
        r.spec = spec = self.s.classes[a.class_index]
        r.arrived = self.now
        r.cost = a.cost * self.cost_ratio[a.class_index] if a.cost else self.usual[a.class_index]
        if not self.usual[a.class_index]:
            self.usual[a.class_index] = r.cost
        r.run, self.hints = r.cost / spec.threads, self.hints or a.cost > 0
        r.row = a.table_group if spec.blocked_by_loads or spec.is_load else 0
        r.aim_at = self.now + min(
            spec.latency_objective + int(spec.latency_objective_stretch * r.run), spec.deadline
        )
        self.mean_run += 0.01 * (r.run - self.mean_run) if self.mean_run else r.run
        r.attempts, r.engine, r.sent_at, r.maybe_at = 0, None, 0, None
        r.waiting = r.over = r.cancelling = False
        r.maybe_on = r.avoid = r.terms = None
        self.requests[r.id] = r
        self.asked[r.group] = self.asked.get(r.group, 0.0) + 1.0
        self.retry_budget.take(self.now)
        heappush(self.dues, (r.due - DUE_MARGIN, r.id))
        if spec.ordered and r.key:
            line = self.keys.setdefault(r.key, deque())
            line.append(r)
            if line[0] is r:
                self._turn(r)
        else:
            self._enqueue(r)

    def _ranks(self, token: int) -> list[Engine]:
        """The listed engines in an order of the token's own, the same at every manager."""
        ranks = self.ranks.get(token)
        if ranks is None:
            ranks = self.ranks[token] = sorted(self.order, key=lambda e: _mix(token, e.id))
        return ranks

    def _home(self, group: int) -> list[Engine]:
        """Engines that all managers take as a group's own: as many as its part of the traffic fills."""
        part = self.asked.get(group, 0.0) / max(sum(self.asked.values()), 1.0)
        return self._ranks(group)[: 1 + ceil(HOME_ROOM * part * len(self.order))]

    def _apart(self, group: int) -> list[Engine]:
        """Engines that all managers take for the group's loads: as many as its part of them keeps busy.

        Guards against queries that stand still behind other managers' loads, of which nobody tells: they go
        elsewhere, as long as there is an engine left."""
        part = self.asked.get(group, 0.0) / max(sum(self.asked.values()), 1.0)
        most = ceil(LOAD_ROOM * self.s.broker_count * self.loads * part)
        return self._ranks(group)[max(len(self.order) - most, ceil(LEFT_FREE * len(self.order))) :]

    def _barred(self, r: Request) -> set[Engine]:
        """Engines that a load leaves to its group's queries; those that such a query would stand still at.

        Guards against queries of a group of which loads run everywhere, nearly all the time: they would stand
        still at every engine, and so would what is moved. With nobody else in full work nothing is barred."""
        free = set(self._ranks(r.group)[: ceil(LEFT_FREE * len(self.order))])
        if r.spec.is_load:
            barred, rest = free, [e for e in self.order if e not in free]
        else:
            barred, rest = (
                {
                    e
                    for e in self.order
                    if e not in free and (e.holds.get(r.group, 0) or e.seen_held.get(r.group, 0) > self.now)
                },
                free,
            )
        usable = any(not e.held_off and self.now >= max(e.cold_until, e.full_until) for e in rest)
        return barred if usable else set()

    def _line(self, e: Engine, r: Request) -> bool:
        """A load would soon run there: those of one group run one behind the other, at all managers together.

        Guards against loads that stand in line at an engine, in turn of coming and in others' way, until they
        are late: here they wait shortest first, and hold no place."""
        ahead = e.holds.get(r.group, 0) * self.s.broker_count * self.usual[r.cls] / r.spec.threads
        return ahead <= LINE * (r.aim_at - r.arrived)

    def _near(self, n: int) -> dict[Engine, float]:
        """This manager's own n engines, and how strange each other is: the later in its order, the more."""
        return {
            e: (i >= n) * (1.0 + (i - n) / n) for i, e in enumerate(self._ranks(-1 - self.s.broker_index))
        }

    def _turn(self, r: Request) -> None:
        """The request is first of its key: queue it, after the key's rest."""
        rest = self.rest_until.get(r.key, 0)
        if rest > self.now:
            heappush(self.rests, (rest, r.id))
        else:
            self.rest_until.pop(r.key, None)
            self._enqueue(r)

    def _enqueue(self, r: Request) -> None:
        r.waiting = True
        self._push(self.queues, r)

    def _push(self, queues: list[dict[int, list]], r: Request) -> None:
        self.seq += 1
        heappush(queues[r.cls].setdefault(r.row, []), (r.run, self.seq, r))

    def _left(self, event: ClientDisconnected) -> None:
        if (r := self.requests.get(event.request)) and not r.over:
            if not r.attempts:
                self.retry_budget.take_back(r.arrived)
            self._over(r)

    def _over(self, r: Request) -> None:
        """Nothing more is owed for the request; a running attempt keeps its place and its key."""
        if r.attempts == 0:
            self._waited(r)
        r.over, r.waiting = True, False
        if r.engine is None:
            self._forget(r)
        elif (
            self.s.supports_cancel
            and not r.cancelling
            and r.spec.idempotency is not Idempotency.NOT_IDEMPOTENT
        ):
            self._cancel(r, Reason.REQUEST_FINISHED)

    def _forget(self, r: Request) -> None:
        del self.requests[r.id]
        line = self.keys.get(r.key) if r.spec.ordered and r.key else None
        if line:
            first = line[0] is r
            line.remove(r)
            if not line:
                del self.keys[r.key]
            elif first:
                self._turn(line[0])

    def _give_up(self, r: Request, why: Reason) -> None:
        """End the request unserved: refused where that is harmless, failed elsewhere."""
        spec = r.spec
        harmless = (
            spec.idempotency is Idempotency.IDEMPOTENT
            or r.engine is None
            and (
                r.maybe_at is None
                or spec.idempotency is Idempotency.WITH_KEY
                and spec.deduplication_scope is DeduplicationScope.ALL
            )
        )
        self._do(RejectRequest(r.id, why) if harmless else FailRequest(r.id, why))
        self._over(r)

    def _waited(self, r: Request) -> None:
        self.waits[r.cls] += self.now - r.arrived
        self.samples[r.cls] += 1

    # Outcomes and notes

    def _ended(self, a: AttemptEnded) -> None:
        e = self.engines.get(a.engine)
        r = e and e.out.get(a.request)
        if r is None or r.attempts - 1 != a.attempt:
            return
        self._release(e, r)
        self._judge(e, r, a)
        r.engine, r.cancelling = None, False
        if a.outcome not in NEVER_EXECUTED and r.maybe_at is None:
            r.maybe_at, r.maybe_on = r.sent_at, e
        if r.spec.ordered and r.key and a.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            self.rest_until[r.key] = self.now + self.s.ordering_key_cooldown + self.s.timer_resolution
        if r.over:
            self._forget(r)
        elif a.final:
            self._over(r)
        elif (bar := self._retry_bar(r)) is None:
            r.avoid = e
            if (
                r.spec.idempotency is Idempotency.WITH_KEY and r.maybe_at is not None
            ):  # it waits within its window only
                heappush(self.dues, (window_end(r.spec, r.maybe_at), r.id))
            self._enqueue(r)
        else:
            self._give_up(r, bar)

    def _release(self, e: Engine, r: Request) -> None:
        del e.out[r.id]
        for pool in (e, self):
            pool.threads -= r.spec.threads
            pool.needs -= r.need
        if r.spec.is_load:
            e.holds[r.group] -= 1

    def _judge(self, e: Engine, r: Request, a: AttemptEnded) -> None:
        """Learn from one outcome: costs, needs, the engine's pace and health."""
        if a.outcome in (Outcome.OK, Outcome.ERROR):
            e.errors += EWMA * ((a.outcome is Outcome.ERROR) - e.errors)
        if a.outcome is Outcome.OK:
            e.heard, e.resets = self.now, 0
            e.full_room = max(e.full_room, e.threads + r.spec.threads)
            if r.spec.blocked_by_loads:
                e.seen_held.pop(r.group, None)  # it ran, so no load holds the group there now
            self.count, self.seen[r.cls] = self.count + 1, self.seen[r.cls] + 1
            self.losses -= EWMA / 10 * self.losses
            if e.held_off:
                e.held_off, e.errors = False, min(e.errors, ERRORS / 2)
                self._do(Log(f"engine {e.id:x} answers again"))
            work = a.work if self.s.reports_cost and a.work else r.cost or a.latency * r.spec.threads
            c = r.cls
            self.usual[c] += (EWMA if self.usual[c] else 1.0) * (work - self.usual[c])
            if r.hint and a.work:
                self.cost_ratio[c] += EWMA * (min(a.work / r.hint, 8.0) - self.cost_ratio[c])
            if r.memory and a.memory_mb:
                self.mean_need[c] += EWMA / 2 * (min(a.memory_mb / r.memory, 8.0) - self.mean_need[c])
                short = a.memory_mb > r.memory * self.need_ratio[c]
                self.need_ratio[c] *= 1 + NEED_STEP * (NEED_QUANTILE if short else NEED_QUANTILE - 1)
            run = max(work / r.spec.threads, 1.0)
            for pool in (e, self):
                pool.lat_sum += min(a.latency, 20.0 * run) - EWMA * pool.lat_sum
                pool.run_sum += run - EWMA * pool.run_sum
            self._pace_of(e)
            self._report(e, r, a)
            self.class_slow[c] += EWMA * (min(a.latency / run, 20.0) - self.class_slow[c])
            met = self.now - r.arrived <= r.spec.latency_objective + r.spec.latency_objective_stretch * run
            e.met, e.missed = e.met + met, e.missed + (not met)
        elif a.outcome is Outcome.ERROR:
            # Guards against an engine that answers errors at once, and so has the fewest queries and is given
            # the most. Errors everywhere are the queries' own; half the fleet is never held off.
            others = sum(o.errors for o in self.order if o is not e) / max(len(self.order) - 1, 1)
            if e.errors > ERRORS + 2.0 * others and not e.held_off and self._may_hold():
                e.held_off, e.trial_at = True, self.now + TRIAL
                self._do(Log(f"engine {e.id:x} answers errors where others do not: held off"))
        elif a.outcome is Outcome.REJECTED:
            e.full_until, e.full_try = self.now + FULL_MEMORY, self.now + FULL_TRY
            e.full_room = e.threads
            e.bound = max(min(e.bound, e.threads), e.start / 2)
        elif a.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            # A process that has ended resets all it had and refuses what is new: off until it answers, and
            # cold if it was seen to refuse. Single resets are the path's trouble, not the engine's.
            e.resets += 1
            if a.outcome is Outcome.CONNECT_FAILED:
                e.cold_until = self.now + self.s.slow_start_window
            elif e.out or e.resets < RESETS:
                return
            if not e.held_off:
                self._do(Log(f"engine {e.id:x} broke its connections: held off until it answers"))
            e.held_off, e.trial_at = True, self.now + TRIAL

    def _pace_of(self, e: Engine) -> None:
        """Slowdowns: an engine's answers beside one at the pace of all, and those beside an unslowed one."""
        one = max(self.mean_run, 1.0)
        self.slow = (self.lat_sum + one) / (self.run_sum + one)
        e.slow = max((e.lat_sum + one * self.slow) / (e.run_sum + one), 0.5)

    def _report(self, e: Engine, r: Request, a: AttemptEnded) -> None:
        """An answer's load report: cores busy, and threads a core beyond them."""
        self.held_time += a.latency - EWMA * self.held_time
        self.thread_time += a.latency * r.spec.threads - EWMA * self.thread_time
        if not a.load_report:
            return
        told = dict(zip(self.s.load_report_fields, a.load_report, strict=False))
        e.load, e.load_at = told.get("util", 0.0), self.now
        wide = self.thread_time / max(self.held_time, 1.0) / e.cores
        e.load += wide * told.get("queue", 0.0) + max(wide * told.get("inflight", 0.0) - 1.0, 0.0)
        self.spread += EWMA * (abs(e.load - self.load) - self.spread)
        self.load += EWMA * (e.load - self.load)

    def _retry_bar(self, r: Request) -> Reason | None:
        """What keeps the request from another attempt; None where nothing does."""
        if r.attempts >= self.s.max_attempts:
            return Reason.ATTEMPTS_USED
        if self.now + r.run > r.due - DUE_MARGIN:
            return Reason.NO_TIME
        return self._repeat_bar(r)

    def _repeat_bar(self, r: Request) -> Reason | None:
        """What keeps another attempt from leaving now: asked again when a place comes free, maybe late."""
        if not self.retry_budget.allows(self.now):
            return Reason.RETRY_BUDGET
        return repeat_bar(r.spec, r.maybe_at, self.now)

    def _may_retry(self, r: Request) -> bool:
        return self._retry_bar(r) is None

    def _note(self, note: AttemptProgress) -> None:
        r = self.requests.get(note.request)
        if r is None or r.over or r.engine is None or r.attempts - 1 != note.attempt or r.cancelling:
            return
        r.engine.heard = r.told_at = self.now
        r.stands = note.kind is ProgressKind.WAITING
        age = self.now - r.sent_at
        fresh = self._expected(r)
        if note.kind is ProgressKind.PROGRESS:
            rest = age * (1.0 - note.value) / max(note.value, 0.01)
            if rest > RUNAWAY * fresh and age > fresh:
                self._move(r, Reason.RUNAWAY)
        elif note.kind is ProgressKind.WAITING and note.value == WAITS_FOR_LOAD:
            r.engine.seen_held[r.group] = self.now + SEEN_HELD
            self._move(r, Reason.BEHIND_LOAD)

    def _move(self, r: Request, why: Reason) -> None:
        """Call an attempt off to try elsewhere, where the class may be repeated, and time and ration allow.

        Guards against spending the ration on work that is late already and worth little so."""
        if self.now + r.run > r.aim_at and r.spec.late_priority_weight < LITTLE:
            return
        if (
            self.s.supports_cancel
            and r.spec.idempotency is Idempotency.IDEMPOTENT
            and not r.cancelling
            and self._may_retry(r)
        ):
            self._cancel(r, why)

    def _cancel(self, r: Request, why: Reason) -> None:
        r.cancelling = True
        self._do(CancelAttempt(r.id, r.attempts - 1, why))

    def _expected(self, r: Request) -> float:
        """What an attempt of the request should take, as the fleet answers its class now."""
        return max(r.run, self.s.timer_resolution) * max(self.class_slow[r.cls], 1.0)

    # Time

    def _timer(self, event: TimerFired) -> None:
        if event.token == 1:
            self._do(Subscribe())
            return
        while self.dues and self.dues[0][0] <= self.now:
            r = self.requests.get(heappop(self.dues)[1])
            if r and not r.over and (r.waiting or self.now >= r.due - DUE_MARGIN):
                self._give_up(r, self._overdue_reason(r))
        while self.rests and self.rests[0][0] <= self.now:
            r = self.requests.get(heappop(self.rests)[1])
            if r and not r.over and not r.waiting and r.engine is None and self.keys[r.key][0] is r:
                self._turn(r)

    def _overdue_reason(self, r: Request) -> Reason:
        """Why a request that has waited, or run, for too long ends."""
        if not r.waiting:
            return Reason.DEADLINE
        return Reason.NO_CAPACITY if self.now >= r.due - DUE_MARGIN else Reason.DEDUPLICATION_WINDOW_OVER

    def _sweep(self) -> None:
        """Look at running work: engines under pressure or silent, and work near its aim."""
        self.loads += EWMA / 2 * (sum(sum(e.holds.values()) for e in self.order) - self.loads)
        for e in self.order:
            if not e.out:
                e.late = 1.0
                continue
            ages, runs, missing, behind = 0.0, 1.0, 0.0, {}
            for r in list(e.out.values()):
                if self._missed(e, r):
                    continue
                age = self.now - r.sent_at
                ages += max(age, r.run)
                runs += r.run
                quiet = min(age, self.now - e.heard)
                lack = min(quiet / self._expected(r), SILENCE_EACH)
                if (
                    r.spec.blocked_by_loads
                ):  # those of one group may all stand behind one load: they tell once
                    behind[r.group] = max(behind.get(r.group, 0.0), lack)
                else:
                    missing += lack
                self._lane(r)
            e.late = ages / runs
            missing += sum(behind.values())
            # Guards against an engine that takes work and answers nothing, whatever the reason. Expected
            # times follow the whole fleet's answers, so slowness everywhere ejects nobody; others must have
            # answered meanwhile, and half the fleet is never held off. Hurts an engine far slower than all.
            if missing > SILENCE and not e.held_off and self.now - e.heard > SILENCE_LEAST:
                others = sum(o.heard > self.now - SILENCE_LEAST for o in self.order)
                if others >= min(WITNESSES, len(self.order) - 1) > 0 and self._may_hold():
                    e.held_off, e.trial_at = True, self.now + TRIAL
                    self._do(Log(f"engine {e.id:x} is silent while others answer: held off"))
            if e.held_off:
                for r in list(e.out.values()):
                    if self.now - r.sent_at > SILENCE_LEAST and not r.over:
                        self._move(r, Reason.ENGINE_SILENT)

    def _missed(self, e: Engine, r: Request) -> bool:
        """Its answer is lost, and it is called off as far as class and ration allow.

        Guards against answers that never come, which hold places until the client leaves: an engine that
        speaks tells of all it runs at each interval. Where many are lost, short work goes earlier."""
        quiet = self.now - r.told_at
        if (
            not self.s.progress_interval
            or r.over
            or r.cancelling
            or self.now - e.heard > self.s.progress_interval
        ):
            return r.lost
        if quiet > LOST_NOTES * self.s.progress_interval:
            self.losses += EWMA / 10 * (1.0 - self.losses) * (not r.lost)
            r.lost = True
            if (
                r.spec.idempotency is Idempotency.IDEMPOTENT
                and self.now + r.run > r.aim_at
                and r.spec.late_priority_weight < LITTLE
            ):
                self._give_up(r, Reason.RESPONSE_LOST)
            elif (
                r.spec.idempotency is not Idempotency.NOT_IDEMPOTENT
                and self.s.supports_cancel
                and self._may_retry(r)
            ):
                self._cancel(r, Reason.RESPONSE_LOST)
        elif self.losses > LOSSES and not r.stands and quiet > OVERDUE * self._expected(r) + OVERDUE_LEAST:
            self._move(r, Reason.RESPONSE_LOST)
        return r.lost

    def _may_hold(self) -> bool:
        """One more engine held off is at most half the fleet."""
        return 2 * (sum(e.held_off for e in self.order) + 1) <= len(self.order)

    def _control(self) -> None:
        """The PI loop: odds of neighbour classes from the error of their mean waits' ratio."""
        for rows in self.queues + self.overdue:
            for _, _, r in chain.from_iterable(rows.values()):
                if r.waiting and r.attempts == 0:
                    self._waited(r)
        n = len(self.odds)
        mean = [max(self.waits[c] / max(self.samples[c], 1), self.s.timer_resolution) for c in range(n)]
        enough = [k >= MIN_SAMPLES for k in self.samples]
        for j in range(n - 1):
            if not (enough[j] and enough[j + 1]) or max(mean[j], mean[j + 1]) <= self.s.timer_resolution:
                continue  # too few waits to tell: hold the integral
            error = self._aim(j) / self._aim(j + 1) - mean[j] / mean[j + 1]
            error = max(-ERROR_LIMIT, min(ERROR_LIMIT, error))
            x = self.x[j] + GAIN_NOW * error - GAIN_LAST * self.last_error[j]
            self.x[j] = max(1 / ODDS_LIMIT, min(ODDS_LIMIT, x))
            self.last_error[j] = error
        weights = [1.0]
        for x in self.x:
            weights.append(weights[-1] * x)
        total = sum(weights)
        self.odds = [w / total for w in weights]
        for c in range(n):
            if enough[c]:
                self.waits[c], self.samples[c] = 0.0, 0

    def _aim(self, c: int) -> float:
        """A class's wait reference: its aim, by what its work costs against its worth."""
        spec, work = self.s.classes[c], self.usual[c]
        return (
            (spec.latency_objective + spec.latency_objective_stretch * work / spec.threads)
            * (work or 1.0)
            / spec.priority_weight
        )

    def _bounds(self) -> None:
        """Bounds grow one place a period while a queue waits and answers meet aims; shrink with latency."""
        self.asked = {g: n * ASKED_FADE for g, n in self.asked.items() if n > 0.1}
        self.rest_until = {key: rest for key, rest in self.rest_until.items() if rest > self.now}
        self.rate, self.count = (self.rate + self.count * MS * 1000 / PERIOD) / 2, 0
        self.lat_sum, self.run_sum = self.lat_sum * FADE, self.run_sum * FADE
        for e in self.engines.values():
            pace = max(e.slow, e.late)
            if pace > SLOW:
                e.bound = max(e.bound * SHRINK, e.start / 2)
            elif e.queue_waited and e.met > 4 * e.missed and pace < EASY:
                e.bound = min(e.bound + 1, GROWTH * e.start)
            elif not e.queue_waited:
                e.bound = max(e.bound - 1, min(e.bound, e.start))  # places no queue waits for are returned
            e.queue_waited, e.met, e.missed = False, 0, 0
            e.lat_sum, e.run_sum = e.lat_sum * FADE, e.run_sum * FADE
            self._pace_of(e)

    # The draw and the choice of engine

    def _dispatch(self) -> None:
        stuck: list[set[int]] = [set() for _ in self.queues]
        while True:
            heads = [None if len(rows) >= ROWS else self._head(c, rows) for c, rows in enumerate(stuck)]
            total = sum(self.odds[c] for c, r in enumerate(heads) if r)
            if not total:
                return
            draw = self.rng.random() * total
            for c, r in enumerate(heads):
                if r:
                    draw -= self.odds[c]
                    pick = r
                    if draw <= 0:
                        break
            e = self._choose(pick)
            if e is None:
                # Guards against a group without a free engine keeping the others of its class waiting.
                stuck[pick.cls].add(pick.row)
                continue
            if pick.attempts and (bar := self._repeat_bar(pick)) is not None:
                self._give_up(pick, bar)
            else:
                self._send(pick, e)

    def _head(self, c: int, stuck: set[int]) -> Request | None:
        """Shortest first of those that can meet their aim, then the late ones worth serving."""
        for queues, fits, drop in (
            (self.queues, self._timely, self._late),
            (self.overdue, self._worthwhile, self._drop_late),
        ):
            rows = queues[c]
            free = [row for row in rows if row not in stuck]
            for row in free:
                self._tidy(rows, row, fits, drop)
            if heads := [rows[row][0] for row in free if row in rows]:
                return min(heads)[2]
        return None

    @staticmethod
    def _tidy(rows: dict[int, list], row: int, fits, drop) -> None:
        """Take away what heads the row in vain."""
        queue = rows[row]
        while queue:
            r = queue[0][2]
            owed = r.waiting and r.engine is None
            if owed and fits(r):
                return
            heappop(queue)
            if owed:
                drop(r)
        del rows[row]

    def _timely(self, r: Request) -> bool:
        return self.now + r.run <= r.aim_at

    def _worthwhile(self, r: Request) -> bool:
        return self.now + r.run <= r.due and self.slow <= PRESSURE

    def _late(self, r: Request) -> None:
        if r.spec.late_priority_weight and self.now + r.run < r.due and self.slow < PRESSURE:
            self._push(self.overdue, r)
        else:
            self._drop_late(r)

    def _drop_late(self, r: Request) -> None:
        self._give_up(r, Reason.OBJECTIVE_MISSED)

    def _choose(self, r: Request) -> Engine | None:
        """The allowed engine with a free place and the fewest own threads a core; ties at random."""
        spare = SPARE if r.run <= SHORT * self.mean_run else 0.0
        if not self._room(r, spare):
            return None
        spec, best, ties = r.spec, None, []
        others = REPORT_WEIGHT * (1.0 - 1.0 / self.s.broker_count)
        near, draw = self._near(NEAR_LEAST + int(self.rate / 2)), self.rng.random
        homes = self.order if spec.is_load else self._home(r.group)
        apart = self._apart(r.group) if spec.is_load or spec.blocked_by_loads else ()
        barred = self._barred(r) if spec.is_load or spec.blocked_by_loads else ()
        free = spec.required_kinds is None and spec.required_zones is None
        for e in self.order:
            if (
                spec.required_kinds is not None
                and e.kind not in spec.required_kinds
                or spec.required_zones is not None
                and e.zone not in spec.required_zones
                or r.maybe_at is not None
                and not drops_repeats_of(spec, r.maybe_on, e)
                or e in barred
                or spec.is_load
                and not self._line(e, r)
                or e.held_off
                and (e.out or self.now < e.trial_at or spec.idempotency is Idempotency.NOT_IDEMPOTENT)
                or not self._cold_room(e, r.cls)
                or not self._place(e, r, spare)
            ):
                continue
            score = (e.threads + spec.threads) / e.cores * max(e.slow / self.slow, 1.0)
            known = 1.0 / (1.0 + (self.now - e.load_at) / REPORT_AGE)
            guess = (1.0 - known) * self.spread * (2.0 * draw() - 1.0) * (e.load_at > 0)  # a report's age
            score += others * (known * (e.load - self.load) + guess)
            score += (e not in homes) * COLD_READ + (self.now >= e.cold_until) * STRANGE * near[e]
            if spec.blocked_by_loads or spec.is_load:
                score += HELD * max(e.holds.get(r.group, 0), e.seen_held.get(r.group, 0) > self.now)
                score += (e not in apart) * APART if spec.is_load else (e in apart) * BEHIND
            if e is r.avoid or self.now < e.full_until:
                score += HELD
            if free and (e.kind in self.bound_kinds or e.zone in self.bound_zones):
                score += RESERVED
            if best is None or score < best - 1e-9:
                best, ties = score, [e]
            elif score < best + 1e-9:
                ties.append(e)
        return self.rng.choice(ties) if ties else None

    def _place(self, e: Engine, r: Request, spare: float = 0.0) -> bool:
        """The engine has a free place: the bound of threads and memory, binding only under pressure.

        Guards against any jump of traffic, of which latency tells late: past JUMP starting bounds it binds at
        once. Hurts where this gateway suddenly carries most traffic."""
        threads = e.threads + r.spec.threads
        bound = self._limit(e)
        # Guards against an engine of few sessions, whose refusals would use up the ration of attempts.
        full = self.now < e.full_until and threads > e.full_room and self.now < e.full_try
        if full or threads > max(bound, 2.0 * self.least) + spare * e.start and e.out:
            e.queue_waited = True
            return False
        room = max(e.memory * min(1.0, bound / e.start / self.s.broker_count), 2.0 * self._need(r))
        return not e.memory or not e.out or e.needs + self._need(r) <= room

    def _limit(self, e: Engine) -> float:
        pressed = max(e.slow, e.late) > PRESSURE or self.now < e.full_until
        return e.bound if pressed else max(e.bound, JUMP * e.start)

    def _room(self, r: Request, spare: float) -> bool:
        """All own work stays within the sum of the engines' bounds and of this manager's part of memory.

        A share of less than a query caps nothing on its own engine; the sum does, to the nearest query. What
        others send scatters: a deviation of it stays free. Two wide queries more are room for own chance."""
        total = memory = 0.0
        others = 1.0 - 1.0 / self.s.broker_count
        for e in self.order:
            limit = self._limit(e)
            total += limit * (1.0 - others * (self.widest / PLACES_PER_CORE / e.cores) ** 0.5)
            if e.memory:
                swing = others * min(self.big_need / e.memory, 0.25) ** 0.5
                memory += e.memory * min(1.0, limit / e.start / self.s.broker_count) * (1.0 - swing)
        fits = not memory or r.run <= self.mean_run or self.needs + self._need(r) <= memory
        places = self.threads + r.spec.threads / 2 <= total * (1.0 + spare) + WIDE_ROOM * self.widest
        for e in self.order:
            e.queue_waited |= not places
        return not self.threads or places and fits

    def _need(self, r: Request) -> float:
        """Memory to reserve: between the mean need and the grant, as rough estimates scatter."""
        return r.memory * (self.mean_need[r.cls] + self.need_ratio[r.cls]) / 2

    def _cold_room(self, e: Engine, c: int) -> bool:
        """A cold engine's budget takes one more query of the class, by this manager's share of each window.

        A share under one query is a chance of one, so that all together send the budget but for scatter. Work
        of which the whole budget holds few needs a whole share. Without estimates, what few answers
        tell of weighs what its aim allows. Refused attempts count."""
        if self.now >= e.cold_until and not e.held_off:
            return True
        window, spec = max(self.s.overload_window, 1), self.s.classes[c]
        work = max(
            self.usual[c],
            (self.seen[c] < COLD_FEW and not self.hints) * spec.latency_objective * spec.threads,
        )
        while e.sent and e.sent[0][0] < self.now - window - self.s.timer_resolution:
            e.sent_work -= e.sent.popleft()[1]
        room = self.s.overload_multiple * self.s.slow_start_capacity * e.cores * window * COLD_SAFETY
        if work * COLD_FEW < room:
            turn = (self.now + self.s.broker_index * window // self.s.broker_count) // window
            work *= _mix(self.s.broker_index + turn, e.id) / 2.0**64
        return e.sent_work + work <= room / self.s.broker_count

    def _send(self, r: Request, e: Engine) -> None:
        if r.attempts == 0:
            self._waited(r)
        else:
            self.retry_budget.spend(self.now)
        r.attempts += 1
        r.engine, r.sent_at, r.told_at, r.waiting = e, self.now, self.now, False
        r.stands = r.lost = False
        e.out[r.id] = r
        r.need = self._need(r)
        for pool in (e, self):
            pool.threads += r.spec.threads
            pool.needs += r.need
        self.big_need += EWMA * min(r.run / max(self.mean_run, 1.0), 5.0) / 2 * (r.need - self.big_need)
        e.sent.append((self.now, self.usual[r.cls]))
        e.sent_work += self.usual[r.cls]
        if len(e.sent) > 400:
            e.sent_work -= e.sent.popleft()[1]
        if r.spec.is_load:
            e.holds[r.group] = e.holds.get(r.group, 0) + 1
        if e.held_off:
            e.trial_at = self.now + TRIAL
        if self.now < e.full_until and e.threads > e.full_room:
            e.full_try = self.now + FULL_TRY
        self._lane(r)
        self._do(StartAttempt(r.id, e.id))

    def _lane(self, r: Request) -> None:
        """Terms: short work and loads first, work near its aim raised, late work last."""
        if not (self.s.supports_priorities or self.s.supports_memory_grants):
            return
        lane = 1
        if self.s.supports_priorities:
            lane = 3 if r.run <= self.mean_run else 1 + (self.now - r.arrived > 0.5 * (r.aim_at - r.arrived))
            if r.spec.is_load:
                lane = 3  # others stand still behind it, however late it is
            elif self.now > r.aim_at:
                lane = 0
        grant = r.memory * self.need_ratio[r.cls] if self.s.supports_memory_grants else 0.0
        if r.terms is None or r.terms[1] != lane or r.sent_at == self.now and r.terms[0] != grant:
            r.terms = (grant, lane)
            self._do(SetAttemptResources(r.id, grant, lane))
