"""The ledger of open requests: exactly one final answer each, and no more attempts than the site allows.

Frontends submit queries and transports report on attempts, from any greenlet; both only leave a message for
the event loop. The methods behind these messages, and those that carry out the decision module's actions, run
on the loop alone.
"""

import itertools
from collections.abc import Callable

from cypressledge.broker.attempt_dispatcher import AttemptDispatcher
from cypressledge.broker.engine_registry import EngineRegistry
from cypressledge.broker.event_log import EventKind, EventLog
from cypressledge.broker.event_loop import EventLoop
from cypressledge.broker.metrics import Counters
from cypressledge.broker.request_log import RequestLog
from cypressledge.broker.requests import (
    DEADLINE_FAULT,
    Attempt,
    AttemptObserver,
    EngineFault,
    Query,
    ReplyHandler,
    Request,
)
from cypressledge.broker.stable_hash import stable_hash
from cypressledge.clock import monotonic_us
from cypressledge.decisions import contract as c

DEADLINE_GRACE_US = 10_000  # after a client's deadline the ledger answers what the module did not
ORDERING_KEY_BYTES = 8  # of the hash that stands for a client's key at the module
DEFAULT_MAX_OPEN_REQUESTS = 1_000  # until the configuration's limits are known
DEFAULT_MAX_STATEMENT_BYTES = 4 << 20


class RequestLedger:
    """Open requests, their attempts, and the answers that they are owed."""

    def __init__(
        self,
        settings: c.Settings,
        loop: EventLoop,
        engines: EngineRegistry,
        counters: Counters,
        event_log: EventLog,
    ) -> None:
        self.requests: dict[int, Request] = {}  # by number, until answered and without an open attempt
        self.statement_bytes = 0  # of the statements of all unanswered requests
        # Limits of the configuration. A query beyond them is rejected unseen: memory would be in danger.
        self.max_retry_after = 0  # µs, the Retry-After of rejections
        self.max_open_requests = DEFAULT_MAX_OPEN_REQUESTS
        self.max_statement_bytes = DEFAULT_MAX_STATEMENT_BYTES
        self.is_accepting = True
        self.is_stopping = False
        self.shutdown_deadline = 0  # µs of the monotonic clock by which all is answered, while stopping
        # Set where brokers act together: who observes attempts, and which queries are admitted.
        self.observer: AttemptObserver | None = None
        self.admission_filter: Callable[[Query], bool] | None = None
        self._loop = loop
        self._engines = engines
        self._counters = counters
        self._log = RequestLog(event_log)
        self._query_ids: set[str] = set()
        self._numbers = itertools.count(1)
        self.attempts = AttemptDispatcher(
            settings, self.requests, loop, engines, counters, self._log, self.attempt_ended
        )
        loop.register_actions(
            {
                c.RejectRequest: self._reject_request,
                c.FailRequest: self._fail_request,
            }
        )
        counters.gauge("open_requests", lambda: len(self.requests))

    # Called by frontends

    def submit(self, query: Query, reply: ReplyHandler) -> Request | None:
        """Take a query; None, and a rejection at once, if there is no capacity or the broker is stopping."""
        if (
            not self.is_accepting
            or len(self.requests) >= self.max_open_requests
            or self.statement_bytes > self.max_statement_bytes
        ):
            self.reject_at_admission(query, reply, "no_capacity")
            return None
        if self.admission_filter is not None and not self.admission_filter(query):
            self.reject_at_admission(query, reply, "over_quota")
            return None
        if self.is_stopping:  # work that would not end in time is rejected, so that the client asks elsewhere
            query.deadline = min(query.deadline, self.shutdown_deadline)
        request = Request(next(self._numbers), query, reply)
        self.requests[request.number] = request
        self._query_ids.add(query.id)
        self.statement_bytes += len(query.statement)
        self._counters.add(f"accepted.{query.class_name}")
        self._loop.post(self._handle_submitted, request)
        return request

    def reject_at_admission(self, query: Query, reply: ReplyHandler, reason: str) -> None:
        """Reject a query that the module never hears of, at a frontend's limits or the ledger's."""
        self._counters.add(f"rejected.{reason}")
        self._counters.reply(query.class_name, "overload")
        self._log.rejected_at_admission(query, reason)
        reply.reject(self.max_retry_after)

    def is_open(self, query_id: str) -> bool:
        """Whether a request of this id is open, or an attempt of it.

        Engines know queries by their ids: a second one of the same id would get the first one's answer."""
        return query_id in self._query_ids

    def client_disconnected(self, request: Request) -> None:
        """The client stopped waiting: no answer is owed any more."""
        request.client_disconnected = True
        self._loop.post(self._handle_client_disconnected, request)

    def is_serving(self) -> bool:
        """Whether the broker can serve and goes on doing so: it knows of a ready engine."""
        return not self.is_stopping and bool(self._engines.ready_endpoints)

    # Called by transports

    def attempt_ended(
        self, attempt: Attempt, outcome: c.Outcome, rows: bytes = b"", fault: EngineFault | None = None
    ) -> None:
        """Report how an attempt ended."""
        self._loop.post(self._handle_attempt_ended, attempt, outcome, rows, fault)

    def attempt_progressed(self, attempt: Attempt, kind: c.ProgressKind, value: float) -> None:
        """Report progress of an attempt that has been sent."""
        self._loop.post(self._handle_progress, attempt, kind, value)

    def rows_received(self, attempt: Attempt, rows: bytes) -> None:
        """Hand on the next rows of a streamed answer."""
        attempt.unread_bytes += len(rows)
        self._loop.post(self._handle_rows, attempt, rows)

    # Called by the process

    def start_shutdown(self, deadline: int) -> None:
        """The process ends. All that is open is answered by then (µs of the monotonic clock)."""
        self.is_stopping, self.shutdown_deadline = True, deadline
        self._loop.post(self._loop.timers.schedule, deadline, self._handle_shutdown_deadline, None)

    # Messages, on the event loop

    def _handle_submitted(self, request: Request) -> None:
        if request.is_concluded or request.client_disconnected:
            return  # withdrawn at once: not worth the module's time
        query = request.query
        self._loop.timers.schedule(query.deadline + DEADLINE_GRACE_US, self._check_deadline, request.number)
        key = stable_hash(query.key, ORDERING_KEY_BYTES) if query.key else 0
        self._loop.pending_events.append(
            c.RequestReceived(
                request.number,
                query.class_index,
                query.deadline,
                key,
                query.cost,
                query.memory_mb,
                query.table_group,
                query.is_client_retry,
            )
        )

    def _handle_client_disconnected(self, request: Request) -> None:
        if request.is_concluded:
            return
        self._counters.add("client_disconnects")
        if request.streaming_attempt is not None:
            self.attempts.cancel(request.streaming_attempt, c.Outcome.CANCELLED)
        self._conclude(request)
        self._loop.pending_events.append(c.ClientDisconnected(request.number))

    def _handle_progress(self, attempt: Attempt, kind: c.ProgressKind, value: float) -> None:
        if attempt.is_open:
            if self.observer is not None:
                self.observer.attempt_progressed(attempt)
            self._loop.pending_events.append(
                c.AttemptProgress(attempt.request.number, attempt.number, attempt.endpoint.id, kind, value)
            )

    def _handle_rows(self, attempt: Attempt, rows: bytes) -> None:
        request = attempt.request
        attempt.unread_bytes -= len(rows)
        if not attempt.is_open or request.is_concluded:
            return
        if request.streaming_attempt is None:  # from here on the answer belongs to this attempt alone
            request.streaming_attempt = attempt
            for other in request.attempts:
                if other is not attempt:
                    self.attempts.cancel(other, c.Outcome.CANCELLED)
        if request.streaming_attempt is attempt:
            request.reply.send_rows(rows)

    def _handle_attempt_ended(
        self, attempt: Attempt, outcome: c.Outcome, rows: bytes, fault: EngineFault | None
    ) -> None:
        if not attempt.is_open:
            return
        request = attempt.request
        attempt.is_open, attempt.transport_state = False, None  # its pages go with the transport's state
        request.open_attempts -= 1
        attempt.outcome = outcome
        self._counters.add(f"attempt.{outcome.name.lower()}")
        if outcome is not c.Outcome.OK:
            self._log.attempt_ended(attempt, outcome)
        request.last_fault = fault or request.last_fault
        self._answer_from_attempt(attempt, outcome, rows, fault)
        latency = monotonic_us() - attempt.sent_at
        if self.observer is not None:
            self.observer.attempt_ended(attempt, outcome, latency)
        self._loop.pending_events.append(
            c.AttemptEnded(
                request.number, attempt.number, attempt.endpoint.id, outcome, request.is_concluded, latency
            )
        )
        self._forget(request)

    def _handle_shutdown_deadline(self, _: None) -> None:
        """Guards against requests that the end of the process, by a signal nobody can heed, finds open."""
        self._loop.pending_events.append(c.ShutdownStarted())

    # Timers, on the event loop

    def _check_deadline(self, number: int) -> None:
        """Guards against a request that the module forgot: it is owed an answer all the same."""
        request = self.requests.get(number)
        if request is None or request.is_concluded:
            return
        self._counters.invariant(request.streaming_attempt is not None, "overdue")
        self._answer_failed(request, c.Reason.DEADLINE, DEADLINE_FAULT)
        self._loop.pending_events.append(c.ClientDisconnected(request.number))

    # Actions of the module

    def _reject_request(self, action: c.RejectRequest) -> None:
        request = self.requests.get(action.request)
        if request is None or request.is_concluded:
            return
        if request.streaming_attempt is None:
            self._answer_rejected(request, action.reason)
        else:  # rows went out: a rejection, which tells that nothing ran, would be wrong
            self._answer_failed(request, action.reason, DEADLINE_FAULT)

    def _fail_request(self, action: c.FailRequest) -> None:
        request = self.requests.get(action.request)
        if request is not None and not request.is_concluded:
            self._answer_failed(request, action.reason, request.last_fault or DEADLINE_FAULT)

    # Answers

    def _answer_from_attempt(
        self, attempt: Attempt, outcome: c.Outcome, rows: bytes, fault: EngineFault | None
    ) -> None:
        """The final answer, if an attempt's end decides it.

        Guards against two attempts in one answer: once rows went out, only their own attempt counts."""
        request = attempt.request
        if request.is_concluded or request.streaming_attempt not in (None, attempt):
            return
        if outcome is c.Outcome.OK:
            self._complete(request, rows)
        elif request.streaming_attempt is attempt or (fault and fault.final):
            self._fail(request, fault or EngineFault(f"engine: {outcome.name.lower()}"))

    def _answer_rejected(self, request: Request, reason: c.Reason) -> None:
        """Reject a request that the module has given up, and of which nothing ran."""
        self._counters.add(f"{EventKind.REJECTED}.{reason}")
        self._log.rejected_or_failed(EventKind.REJECTED, request, reason)
        if self._claim_answer(request, "rejected", "overload"):
            request.reply.reject(self.max_retry_after)
            self._conclude(request)

    def _answer_failed(self, request: Request, reason: c.Reason, fault: EngineFault) -> None:
        """Fail a request that the module, or its deadline, has given up."""
        self._counters.add(f"{EventKind.FAILED}.{reason}")
        self._log.rejected_or_failed(EventKind.FAILED, request, reason)
        self._fail(request, fault)

    def _complete(self, request: Request, rows: bytes) -> None:
        if self._claim_answer(request, "served", "success"):
            request.reply.complete(rows)
            self._conclude(request)

    def _fail(self, request: Request, fault: EngineFault) -> None:
        if self._claim_answer(request, "failed", "error"):
            request.reply.fail(fault)
            self._conclude(request)

    def _claim_answer(self, request: Request, counter: str, metric: str) -> bool:
        """Count the one final answer of a request, and answer whether it is the first.

        `metric`: the answer's name at the operators' address."""
        if not self._counters.invariant(not request.is_concluded, "second_answer"):
            return False
        class_name = request.query.class_name
        self._counters.add(f"{counter}.{class_name}")
        self._counters.reply(class_name, metric)
        return True

    # The end of attempts and requests

    def _conclude(self, request: Request) -> None:
        """No answer is owed any more."""
        request.is_concluded = True
        self.statement_bytes -= len(request.query.statement)
        self._forget(request)

    def _forget(self, request: Request) -> None:
        """Drop a concluded request whose attempts have all ended.

        Guards against keeping its bytes, and its client's connection, for whoever still knows the request."""
        if request.is_concluded and not request.open_attempts:
            self.requests.pop(request.number, None)
            self._query_ids.discard(request.query.id)
            request.query.statement = b""
            request.reply = None  # type: ignore[assignment]  # nothing answers a request that is forgotten
            request.attempts = []
