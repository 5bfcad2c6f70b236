"""The broker's core. It knows no wire: fronts bring queries and are told answers, links carry attempts.

One greenlet (`Core.run`) owns the decision module. Socket code reaches it only through `inbox`: take,
left, ended, noted, rows and listed put a message there and return at once. The ledger here sees to it that
each request gets exactly one final answer and no more attempts than the site allows.
"""

import hashlib
import itertools
import re
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush

from gevent import sleep
from gevent.event import Event

from cypressledge.broker.event_log import EventKind, EventLog
from cypressledge.broker.maintenance import Maintenance
from cypressledge.broker.metrics import Counters, log
from cypressledge.broker.requests import (
    DEADLINE_FAULT,
    Attempt,
    AttemptObserver,
    Endpoint,
    EngineFault,
    EngineTransport,
    Query,
    ReplyHandler,
    Request,
)
from cypressledge.clock import monotonic_us
from cypressledge.control import WorkloadManager
from cypressledge.decisions import contract as c

CLIENT_KEY = re.compile(
    r"[!-+\--~]{1,128}\Z", re.A
)  # a client's key: no commas or blanks, it may stand in a list
ENGINE = re.compile(r"\bengine ([0-9a-f]+)\b")
ANSWERS = {"served": "complete", "refused": "reject", "failed": "fail"}  # what the reply handler is called
OUTCOMES = {"served": "success", "refused": "overload", "failed": "error"}  # the figures' names
MS = 1_000  # µs
DEADLINE_GRACE_US = 10_000  # µs after the client's time at which the ledger answers what the module did not


def stable_hash(text: str, size: int = 6) -> int:
    """A number for a name that is the same at every broker and every start (never `hash()`)."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=size).digest(), "big")


def _state_name(told: tuple[c.EngineState, int] | None) -> str:
    """How a log names an engine's state; None: no list names it."""
    return "unlisted" if told is None else told[0].name.lower()


class Core:
    """The ledger, and the one greenlet that runs the module."""

    def __init__(self, settings: c.Settings, seed: int, counters: Counters) -> None:
        self.settings, self.counters = settings, counters
        self.event_log = EventLog(counters)
        self.manager = WorkloadManager(settings, seed)
        # What the configuration sets: the pause that refusals name, and how many requests and bytes of their
        # statements may be open. Beyond, the memory limit is in danger: refused unseen.
        self.max_retry_after, self.max_open_requests, self.max_statement_bytes = 0, 1_000, 4 << 20
        self.transports: dict[str, EngineTransport] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.engine_lists: dict[
            str, list[tuple[c.EngineListEntry, Endpoint]]
        ] = {}  # as their sources tell them
        self.last_kind = c.EngineListKind.CACHED
        self.maintenance = Maintenance()
        # What the fleet's part adds where it is on: who is told how attempts go, which engines it closes, and
        # which queries it lets in.
        self.observer: AttemptObserver | None = None
        self.is_closed: Callable[[c.EngineListEntry], bool] | None = None
        self.admission_filter: Callable[[Query], bool] | None = None
        self.states: dict[str, tuple[c.EngineState, int]] | None = (
            None  # by engine, with the birth of its process
        )
        self.ready_endpoints: dict[
            int, Endpoint
        ] = {}  # engines that take new work, as the lists name them at this moment
        self.requests: dict[int, Request] = {}
        self.names: set[str] = set()
        self.inbox: deque[tuple] = deque()
        self.woken = Event()
        self.numbers = itertools.count(1)
        self.statement_bytes = self.last = 0
        self.is_accepting, self.is_stopping, self.shutdown_deadline = True, False, 0
        self.timers: list[tuple[int, int, Callable, object]] = []
        self.alarm_numbers = itertools.count()
        self.events: list[c.Event] = []
        self.do = {
            c.StartAttempt: self._send,
            c.SetAttemptResources: self._terms,
            c.CancelAttempt: self._cancel,
            c.RejectRequest: self._refuse,
            c.FailRequest: self._fail,
            c.StartTimer: self._timer,
            c.Log: self._log,
            c.Subscribe: lambda a: None,  # the directory is polled in any case
        }
        counters.gauge("open_requests", lambda: len(self.requests))
        counters.gauge("ready_engines", lambda: len(self.ready_endpoints))

    # Called by socket code

    def submit(self, query: Query, reply: ReplyHandler) -> Request | None:
        """Take a query; None, and a refusal at once, if there is no room or the broker is stopping."""
        if (
            not self.is_accepting
            or len(self.requests) >= self.max_open_requests
            or self.statement_bytes > self.max_statement_bytes
        ):
            return self.reject_at_admission(query, reply, "no_room")
        if self.admission_filter is not None and not self.admission_filter(query):
            return self.reject_at_admission(query, reply, "over_share")
        if self.is_stopping:  # work that would not end in time is refused, so that the client asks elsewhere
            query.deadline = min(query.deadline, self.shutdown_deadline)
        request = Request(next(self.numbers), query, reply)
        self.requests[request.number] = request
        self.names.add(query.id)
        self.statement_bytes += len(query.statement)
        self.counters.add(f"taken.{query.class_name}")
        self._post(self._taken, request)
        return request

    def reject_at_admission(self, query: Query, reply: ReplyHandler, reason: str) -> None:
        """Turn a query away at the door, a front's or the core's: the module never hears of it."""
        self.counters.add(f"refused.{reason}")
        self.counters.reply(query.class_name, "overload")
        self.event_log.write(EventKind.REJECTED, request=query.id, class_=query.class_name, reason=reason)
        reply.reject(self.max_retry_after)

    def is_open(self, name: str) -> bool:
        """Whether a request of this id is open, or an attempt of it: engines know queries by their ids, so a
        second one of the same id would get the first one's answer."""
        return name in self.names

    def client_disconnected(self, request: Request) -> None:
        """The client stopped waiting: nothing is owed any more."""
        request.client_left = True
        self._post(self._left, request)

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: c.Outcome,
        rows: bytes = b"",
        fault: EngineFault | None = None,
    ) -> None:
        """A link's word on how an attempt ended."""
        self._post(self._ended, attempt, outcome, rows, fault)

    def attempt_progressed(self, attempt: Attempt, kind: c.ProgressKind, value: float) -> None:
        """A note on an attempt that is out."""
        self._post(self._noted, attempt, kind, value)

    def rows_received(self, attempt: Attempt, rows: bytes) -> None:
        """The next rows of a streamed answer."""
        attempt.unread_bytes += len(rows)
        self._post(self._rows, attempt, rows)

    def update_list(
        self, source: str, kind: c.EngineListKind, engines: list[tuple[c.EngineListEntry, Endpoint]]
    ) -> None:
        """A source's whole list. Drain and loss count at once, also for sends still on their way."""
        self.engine_lists[source] = engines
        self.last_kind = kind
        self._tell()

    def set_maintenance(self, maintenance: Maintenance) -> None:
        """Engines out by hand have changed: the module sees the lists anew, at once."""
        self.maintenance = maintenance
        self.refresh()

    def refresh(self) -> None:
        """What is closed has changed: the module sees the lists anew, at once."""
        if self.engine_lists:
            self._tell()

    def _entry(self, place: Endpoint, entry: c.EngineListEntry) -> c.EngineListEntry:
        """How the module is to see an engine that a list names."""
        entry = self.maintenance.effective_entry(place.name, entry)
        if self.is_closed is not None and entry.state is c.EngineState.READY and self.is_closed(entry):
            return replace(entry, state=c.EngineState.DRAINING)
        return entry

    def _tell(self) -> None:
        whole = [(self._entry(p, e), p) for held in self.engine_lists.values() for e, p in held]
        self._log_engine_states(whole)
        self.ready_endpoints = {e.engine: p for e, p in whole if e.state is c.EngineState.READY}
        self._post(self._listed, self.last_kind, whole)

    def _log_engine_states(self, whole: list[tuple[c.EngineListEntry, Endpoint]]) -> None:
        """Log which engines come, go, drain or are another process than before; not the first list."""
        states = {p.name: (e.state, p.started_at_ms) for e, p in whole}
        before, self.states = self.states, states
        if before is None or before == states:
            return
        for name in before.keys() | states.keys():
            was, now = before.get(name), states.get(name)
            if was != now:
                told = {} if was is None or now is None or was[1] == now[1] else {"process": "new"}
                self.event_log.write(
                    EventKind.ENGINE_STATE, engine=name, from_=_state_name(was), to=_state_name(now), **told
                )

    def is_listed(self, name: str) -> bool:
        """Whether a list names an engine of this name."""
        return any(p.name == name for held in self.engine_lists.values() for _, p in held)

    def reconfigure(self, settings: c.Settings) -> None:
        """The site's settings have changed; the classes are the same.

        Guards against a request taken under the ones being handled under the others: queries are read by the
        new ones from here on, and the module takes them in the same turn of the inbox."""
        self.settings = settings
        self._post(self._reconfigured, settings)

    def start_shutdown(self, ends_at: int) -> None:
        """The process ends. All that is open is answered by then (µs of the monotonic clock)."""
        self.is_stopping, self.shutdown_deadline = True, ends_at
        self._post(self._at, ends_at, self._ending, None)

    def _ending(self, _: None) -> None:
        """Guards against requests that the end of the process, by a signal nobody can heed, finds open."""
        self.events.append(c.ShutdownStarted())

    def is_current(self, place: Endpoint) -> bool:
        """Whether its engine takes new work, and is still the process that listened there."""
        return self.ready_endpoints.get(place.id) == place

    def is_serving(self) -> bool:
        """The broker can serve, and goes on doing so: it knows of a ready engine."""
        return not self.is_stopping and bool(self.ready_endpoints)

    def _post(self, what: Callable, *args) -> None:
        self.inbox.append((what, args))
        self.woken.set()

    # The owner of the module

    def run(self) -> None:
        """Hand the module what came in, a tick at a time, and carry out what it answers."""
        while True:
            self._wait()
            now = self.now()
            while self.inbox:
                what, args = self.inbox.popleft()
                self._guarded(what, *args)
            while self.timers and self.timers[0][0] <= now:
                _, _, what, arg = heappop(self.timers)
                self._guarded(what, arg)
            self._decide(now)

    def _decide(self, now: int) -> None:
        """Hand the module its events. `now` may have been read before the last decision was taken."""
        self.last = now = max(now, self.last)
        if self.events:
            events, self.events = self.events, []
            for action in self._guarded(self.manager.handle, now, events) or ():
                self._guarded(self.do[type(action)], action)

    def _guarded(self, what: Callable, *args) -> object:
        """Guards against one odd event stopping all service: the ledger answers what was lost by it."""
        try:
            return what(*args)
        except Exception:
            log(f"core failed in {what.__name__}:\n" + traceback.format_exc())
            self.counters.invariant(False, "exception")
            return None

    def now(self) -> int:
        """The module's time, µs of the monotonic clock."""
        return monotonic_us()

    def _wait(self) -> None:
        self.woken.clear()
        if not self.inbox:
            until = self.timers[0][0] - self.now() if self.timers else 1_000_000
            if until > 0:
                self.woken.wait(until / 1e6)
        pause = self.last + self.settings.timer_resolution - self.now()
        sleep(min(max(pause, 0), self.settings.timer_resolution) / 1e6)

    def _at(self, when: int, what: Callable, arg: object) -> None:
        heappush(self.timers, (when, next(self.alarm_numbers), what, arg))

    # What came in

    def _reconfigured(self, settings: c.Settings) -> None:
        self._decide(self.now())  # what has come before belongs to the settings before
        self.manager.configure(settings)

    def _taken(self, request: Request) -> None:
        if request.is_concluded or request.client_left:  # taken back at once: not worth the module's time
            return
        q = request.query
        self._at(q.deadline + DEADLINE_GRACE_US, self._due, request.number)
        key = stable_hash(q.key, 8) if q.key else 0
        self.events.append(
            c.RequestReceived(
                request.number,
                q.class_index,
                q.deadline,
                key,
                q.cost,
                q.memory_mb,
                q.table_group,
                q.is_client_retry,
            )
        )

    def _left(self, request: Request) -> None:
        if request.is_concluded:
            return
        self.counters.add("withdrawn")
        if request.streaming_attempt is not None:
            self._stop(request.streaming_attempt, c.Outcome.CANCELLED)
        self._conclude(request)
        self.events.append(c.ClientDisconnected(request.number))

    def _due(self, number: int) -> None:
        # Alarms know requests by number: they outlive most of them, and must not keep what has been answered.
        if (request := self.requests.get(number)) is not None:
            self._overdue(request)

    def _overdue(self, request: Request) -> None:
        # Guards against a request that the module forgot: it is owed an answer all the same.
        if request.is_concluded:
            return
        self.counters.invariant(request.streaming_attempt is not None, "overdue")
        self._end_unserved(request, c.Reason.DEADLINE, "failed", DEADLINE_FAULT)
        self.events.append(c.ClientDisconnected(request.number))

    def _listed(self, kind: c.EngineListKind, engines: list[tuple[c.EngineListEntry, Endpoint]]) -> None:
        self.endpoints = {p.id: p for _, p in engines}  # none of those that are gone: they would pile up
        self.counters.add("lists")
        self.events.append(c.EngineListReceived(kind, tuple(e for e, _ in engines)))

    def _noted(self, attempt: Attempt, kind, value) -> None:
        if attempt.is_open:
            if self.observer is not None:
                self.observer.attempt_progressed(attempt)
            self.events.append(
                c.AttemptProgress(attempt.request.number, attempt.number, attempt.endpoint.id, kind, value)
            )

    def _rows(self, attempt: Attempt, rows: bytes) -> None:
        request = attempt.request
        attempt.unread_bytes -= len(rows)
        if not attempt.is_open or request.is_concluded:
            return
        if request.streaming_attempt is None:  # from here on the answer belongs to this attempt alone
            request.streaming_attempt = attempt
            for other in request.attempts:
                if other is not attempt:
                    self._stop(other, c.Outcome.CANCELLED)
        if request.streaming_attempt is attempt:
            request.reply.send_rows(rows)

    def _ended(self, attempt: Attempt, outcome: c.Outcome, rows: bytes, fault: EngineFault | None) -> None:
        if not attempt.is_open:
            return
        request = attempt.request
        self._close(attempt)
        attempt.outcome = outcome
        self.counters.add(f"attempt.{outcome.name.lower()}")
        if outcome is not c.Outcome.OK:
            self.event_log.write(
                EventKind.ATTEMPT_ENDED,
                request=request.query.id,
                attempt=attempt.number,
                engine=attempt.endpoint.name,
                outcome=outcome.name.lower(),
                after_ms=(self.now() - attempt.sent_at) // MS,
            )
        request.last_fault = fault or request.last_fault
        # Guards against two attempts in one answer: once rows went out, only their own attempt counts.
        if not request.is_concluded and request.streaming_attempt in (None, attempt):
            if outcome is c.Outcome.OK:
                self._answer(request, "served", rows)
            elif request.streaming_attempt is attempt or fault and fault.final:
                self._answer(request, "failed", fault or EngineFault(f"engine: {outcome.name.lower()}"))
        latency = self.now() - attempt.sent_at
        if self.observer is not None:
            self.observer.attempt_ended(attempt, outcome, latency)
        self.events.append(
            c.AttemptEnded(
                request.number, attempt.number, attempt.endpoint.id, outcome, request.is_concluded, latency
            )
        )
        self._forget(request)

    def _expired(self, named: tuple[int, int]) -> None:
        number, hop = named
        if (request := self.requests.get(number)) is not None:
            attempt = request.attempts[hop]
            if request.streaming_attempt is not attempt:
                self._stop(attempt, c.Outcome.TIMEOUT)

    # What the module answers

    def _send(self, a: c.StartAttempt) -> None:
        request = self.requests.get(a.request)
        now = self.now()
        place = self.ready_endpoints.get(a.engine) or self.endpoints.get(a.engine)
        if not self.counters.invariant(request is not None and place is not None, "send_of_nothing"):
            self.events.append(c.AttemptEnded(a.request, 0, a.engine, c.Outcome.NOT_SENT, True, 0))
            return
        until = min(request.query.deadline, now + a.timeout) if a.timeout else request.query.deadline
        attempt = Attempt(request, len(request.attempts), place, now, until, self.last)
        request.attempts.append(attempt)
        request.open_attempts += 1
        many = attempt.number >= self.settings.max_attempts
        gone = request.streaming_attempt or not attempt.is_wanted
        if gone or many or until <= now or a.engine not in self.ready_endpoints:
            self.counters.add("moot_sends")
            self.attempt_ended(attempt, c.Outcome.NOT_SENT)
            return
        self.counters.add("attempts.first" if attempt.number == 0 else "attempts.further")
        if attempt.number:
            self._log_retry(attempt)
        self._at(until, self._expired, (request.number, attempt.number))
        self.transports[place.wire].send(attempt)

    def _log_retry(self, attempt: Attempt) -> None:
        request = attempt.request
        first, last = request.attempts[0], request.attempts[attempt.number - 1]
        outcome = last.outcome.name.lower() if last.outcome is not None else "out"
        self.counters.add(f"retry_after.{outcome}")
        self.event_log.write(
            EventKind.RETRY,
            request=request.query.id,
            class_=request.query.class_name,
            attempt=attempt.number,
            engine=attempt.endpoint.name,
            after=outcome,
            since_first_ms=(attempt.sent_at - first.sent_at) // MS,
        )

    def _terms(self, a: c.SetAttemptResources) -> None:
        if (request := self.requests.get(a.request)) is None:
            return
        request.grant_mb, request.priority = a.grant_mb, a.priority
        for attempt in request.attempts:
            if attempt.is_open:
                self.transports[attempt.endpoint.wire].update_resources(attempt)

    def _cancel(self, a: c.CancelAttempt) -> None:
        request = self.requests.get(a.request)
        if request is not None and a.attempt < len(request.attempts):
            attempt = request.attempts[a.attempt]
            if request.streaming_attempt is not attempt or request.is_concluded:
                self.counters.add(f"cancelled.{a.reason}")
                if attempt.is_open and a.reason is not c.Reason.REQUEST_FINISHED:
                    self.event_log.write(
                        EventKind.ATTEMPT_CANCELLED,
                        request=request.query.id,
                        attempt=attempt.number,
                        engine=attempt.endpoint.name,
                        reason=a.reason,
                    )
                self._stop(attempt, c.Outcome.CANCELLED)

    def _refuse(self, a: c.RejectRequest) -> None:
        if (request := self.requests.get(a.request)) is not None and not request.is_concluded:
            if request.streaming_attempt is None:
                self._end_unserved(request, a.reason, "refused", self.max_retry_after)
            else:  # rows went out: refusing would be a lie
                self._end_unserved(request, a.reason, "failed", DEADLINE_FAULT)

    def _fail(self, a: c.FailRequest) -> None:
        if (request := self.requests.get(a.request)) is not None and not request.is_concluded:
            self._end_unserved(request, a.reason, "failed", request.last_fault or DEADLINE_FAULT)

    def _end_unserved(self, request: Request, reason: c.Reason, how: str, *args) -> None:
        """The final answer, with no rows, of a request that the module or its time has given up."""
        query, kind = request.query, EventKind.REJECTED if how == "refused" else EventKind.FAILED
        self.counters.add(f"{kind}.{reason}")
        self.event_log.write(
            kind,
            request=query.id,
            class_=query.class_name,
            reason=reason,
            attempts=len(request.attempts),
            left_ms=(query.deadline - self.now()) // MS,
        )
        self._answer(request, how, *args)

    def _timer(self, a: c.StartTimer) -> None:
        self._at(self.last + a.after, self._fire, a.token)

    def _log(self, a: c.Log) -> None:
        """The module knows engines by number; whoever reads the log knows them by name."""
        log("module: " + ENGINE.sub(self._named, a.text))

    def _named(self, found: re.Match) -> str:
        place = self.endpoints.get(int(found[1], 16))
        return f"engine {place.name}" if place else found[0]

    def _fire(self, token: int) -> None:
        self.events.append(c.TimerFired(token))

    # The ledger

    def _answer(self, request: Request, how: str, *args) -> None:
        """The one final answer of a request."""
        if self.counters.invariant(not request.is_concluded, "second_answer"):
            self.counters.add(f"{how}.{request.query.class_name}")
            self.counters.reply(request.query.class_name, OUTCOMES[how])
            getattr(request.reply, ANSWERS[how])(*args)
            self._conclude(request)

    def _conclude(self, request: Request) -> None:
        request.is_concluded = True
        self.statement_bytes -= len(request.query.statement)
        self._forget(request)

    def _stop(self, attempt: Attempt, outcome: c.Outcome) -> None:
        """Call an attempt off at its engine; its outcome reaches the module with the next batch."""
        if attempt.is_open:
            self.transports[attempt.endpoint.wire].cancel(attempt)
            self.attempt_ended(attempt, outcome)

    def _close(self, attempt: Attempt) -> None:
        attempt.is_open, attempt.transport_state = False, None  # its pages go with the carrier
        attempt.request.open_attempts -= 1

    def _forget(self, request: Request) -> None:
        if request.is_concluded and not request.open_attempts:
            self.requests.pop(request.number, None)
            self.names.discard(request.query.id)
            # Whoever still knows the request must not keep its bytes, and its client's connection, as well.
            request.query.statement, request.reply, request.attempts = b"", None, []
