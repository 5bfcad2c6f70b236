"""The ledger of open requests, which gives each request exactly one final answer.

Frontends submit queries and transports report on attempts from any greenlet; both only post a callback to the
event loop. These callbacks, and the methods that execute the actions of the decision module, run only on the
loop. The number of attempts of a request never exceeds the limit of the site.
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
    MAX_SEND_DELAY,
    Attempt,
    AttemptObserver,
    EngineFault,
    Query,
    ReplyHandler,
    Request,
)
from cypressledge.broker.stable_hash import stable_hash
from cypressledge.broker.used_query_ids import UsedQueryIds
from cypressledge.clock import monotonic_us
from cypressledge.decisions import contract as c

DEADLINE_GRACE_US = 10_000  # µs after a client's deadline at which the ledger answers instead of the module
ORDERING_KEY_BYTES = 8  # bytes; size of the hash that replaces a client's key in the module
MAX_TIMERS_PER_REQUEST = 4  # for each open request; beyond, those of ended requests are removed
DEFAULT_MAX_OPEN_REQUESTS = 1_000  # requests; limit until the configuration's limits are applied
DEFAULT_MAX_STATEMENT_BYTES = 4 << 20  # bytes; limit until the configuration's limits are applied


class RequestLedger:
    """The open requests with their attempts, and the limits on them."""

    def __init__(
        self,
        settings: c.Settings,
        loop: EventLoop,
        engines: EngineRegistry,
        counters: Counters,
        event_log: EventLog,
    ) -> None:
        self.requests: dict[int, Request] = {}  # by number; removed once concluded without open attempts
        self.statement_bytes = 0  # bytes; statements of all unanswered requests
        # Limits of the configuration. A query beyond them is rejected before the module sees it, because it
        # could exhaust the memory.
        self.max_retry_after = 0  # µs; the Retry-After of rejections
        self.max_open_requests = DEFAULT_MAX_OPEN_REQUESTS
        self.max_statement_bytes = DEFAULT_MAX_STATEMENT_BYTES
        self.is_accepting = True
        self.is_stopping = False
        self.shutdown_deadline = 0  # µs of the monotonic clock; while stopping, requests are answered by then
        # Set only in a broker fleet: the observer of attempts, and a function that admits or rejects a query.
        self.observer: AttemptObserver | None = None
        self.admission_filter: Callable[[Query], bool] | None = None
        self._loop = loop
        self._engines = engines
        self._counters = counters
        self._log = RequestLog(event_log)
        self.query_ids = UsedQueryIds()
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
        """Accept a query and return its request, or reject the query immediately and return None.

        A query is rejected if the broker has no capacity or accepts no more requests, or by the admission
        filter."""
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
        if self.is_stopping:  # work that cannot end in time is rejected, so the client can ask another broker
            query.deadline = min(query.deadline, self.shutdown_deadline)
        request = Request(next(self._numbers), query, reply)
        self.requests[request.number] = request
        self.query_ids.open(query.id, query.deadline)
        self.statement_bytes += len(query.statement)
        self._counters.add(f"accepted.{query.class_name}")
        self._loop.post(self._handle_submitted, request)
        return request

    def reject_at_admission(self, query: Query, reply: ReplyHandler, reason: str) -> None:
        """Reject a query that exceeds the limits of a frontend or of the ledger; the module never sees it."""
        self._counters.add(f"rejected.{reason}")
        self._counters.reply(query.class_name, "overload")
        self._log.rejected_at_admission(query, reason)
        reply.reject(self.max_retry_after)

    def is_open(self, query_id: str) -> bool:
        """Return whether a request with this query id, or one of its attempts, is open or may still run.

        Engines identify queries by their ids: a second query with the same id would get the answer to the
        first, or be executed beside it after the client of the first has left."""
        return self.query_ids.is_used(query_id, monotonic_us())

    def client_disconnected(self, request: Request) -> None:
        """Report that the client has disconnected or withdrawn the request, which then needs no answer."""
        request.client_disconnected = True
        self._loop.post(self._handle_client_disconnected, request)

    def is_serving(self) -> bool:
        """Return whether the broker is not stopping and has at least one ready engine."""
        return not self.is_stopping and bool(self._engines.ready_endpoints)

    # Called by transports

    def attempt_ended(
        self, attempt: Attempt, outcome: c.Outcome, rows: bytes = b"", fault: EngineFault | None = None
    ) -> None:
        """Report the end of an attempt: its outcome, and its last rows or the engine's error."""
        self._loop.post(self._handle_attempt_ended, attempt, outcome, rows, fault)

    def attempt_progressed(self, attempt: Attempt, kind: c.ProgressKind, value: float) -> None:
        """Report that an engine has notified the progress of an attempt."""
        self._loop.post(self._handle_progress, attempt, kind, value)

    def rows_received(self, attempt: Attempt, rows: bytes) -> None:
        """Pass on the next rows of a streamed answer."""
        attempt.unread_bytes += len(rows)
        self._loop.post(self._handle_rows, attempt, rows)

    # Called by the process

    def start_shutdown(self, deadline: int) -> None:
        """Start the shutdown; all open requests are answered by `deadline`, in µs of the monotonic clock."""
        self.is_stopping, self.shutdown_deadline = True, deadline
        self._loop.post(self._loop.timers.schedule, deadline, self._handle_shutdown_deadline, None)

    # Callbacks of posted reports, on the event loop

    def _handle_submitted(self, request: Request) -> None:
        if request.is_concluded or request.client_disconnected:
            return  # already withdrawn: the module need not see it
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
        if any(attempt.may_have_been_executed for attempt in request.attempts):
            self.query_ids.abandon(request.query.id, monotonic_us())
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
        if request.streaming_attempt is None:  # from here on, only this attempt can complete the answer
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
        attempt.is_open, attempt.transport_state = False, None  # the transport's state holds result pages
        request.open_attempts -= 1
        attempt.outcome = outcome
        self._counters.add(f"attempt.{outcome.name.lower()}")
        if outcome is not c.Outcome.OK:
            self._log.attempt_ended(attempt, outcome)
        if attempt.may_have_been_executed:  # the fault of a request that fails must not say "not executed"
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
        """Have the module end all open requests, so that none is unanswered when SIGKILL ends the process."""
        self._loop.pending_events.append(c.ShutdownStarted())

    # Timers, on the event loop

    def _check_deadline(self, number: int) -> None:
        """Fail a request that the module has not ended by its deadline.

        Unless its rows are being streamed, the module has lost track of it, which violates an invariant."""
        request = self.requests.get(number)
        if request is None or request.is_concluded:
            return
        self._counters.invariant(request.streaming_attempt is not None, "overdue")
        self._answer_failed(request, c.Reason.DEADLINE, DEADLINE_FAULT)
        self._loop.pending_events.append(c.ClientDisconnected(request.number))

    # Actions of the decision module, on the event loop

    def _reject_request(self, action: c.RejectRequest) -> None:
        request = self.requests.get(action.request)
        if request is None or request.is_concluded:
            return
        if request.may_be_rejected and not self._would_be_late(request):
            self._answer_rejected(request, action.reason)
        else:
            self._answer_failed(request, action.reason, request.last_fault or DEADLINE_FAULT)

    def _would_be_late(self, request: Request) -> bool:
        """Return whether engines may have forgotten the key of a request when its client repeats it.

        They drop a duplicate of what they may have executed only within a window."""
        class_settings = self.attempts.settings.classes[request.query.class_index]
        possible_executions = [a.sent_at for a in request.attempts if a.may_have_been_executed]
        if class_settings.idempotency is not c.Idempotency.WITH_KEY or not possible_executions:
            return False
        window_end = min(possible_executions) + class_settings.deduplication_window
        return monotonic_us() + self.max_retry_after + MAX_SEND_DELAY >= window_end

    def _fail_request(self, action: c.FailRequest) -> None:
        request = self.requests.get(action.request)
        if request is not None and not request.is_concluded:
            self._answer_failed(request, action.reason, request.last_fault or DEADLINE_FAULT)

    # Final answers, on the event loop

    def _answer_from_attempt(
        self, attempt: Attempt, outcome: c.Outcome, rows: bytes, fault: EngineFault | None
    ) -> None:
        """Send the final answer if the end of this attempt determines it.

        Once rows have been sent, only the attempt that they came from can end the answer. Otherwise an answer
        could contain rows of two attempts."""
        request = attempt.request
        if request.is_concluded or request.streaming_attempt not in (None, attempt):
            return
        if outcome is c.Outcome.OK:
            self._complete(request, rows)
        elif request.streaming_attempt is attempt or (fault and fault.final) or attempt.is_last_allowed:
            self._fail(request, fault or EngineFault(f"engine: {outcome.name.lower()}"))

    def _answer_rejected(self, request: Request, reason: c.Reason) -> None:
        """Reject a request that the module has given up and that the client may safely retry."""
        self._counters.add(f"{EventKind.REJECTED}.{reason}")
        self._log.rejected_or_failed(EventKind.REJECTED, request, reason)
        if self._claim_answer(request, "rejected", "overload"):
            request.reply.reject(self.max_retry_after)
            self._conclude(request)

    def _answer_failed(self, request: Request, reason: c.Reason, fault: EngineFault) -> None:
        """Fail a request that the module has given up or whose deadline has passed."""
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
        """Count the final answer of a request, and return whether it is the first one.

        `metric`: the kind of answer in the metrics of the management address."""
        if not self._counters.invariant(not request.is_concluded, "second_answer"):
            return False
        class_name = request.query.class_name
        self._counters.add(f"{counter}.{class_name}")
        self._counters.reply(class_name, metric)
        return True

    # The end of requests

    def _conclude(self, request: Request) -> None:
        """Mark a request as concluded: it has been answered or needs no answer."""
        request.is_concluded = True
        self.statement_bytes -= len(request.query.statement)
        self._forget(request)

    def _forget(self, request: Request) -> None:
        """Remove a concluded request whose attempts have all ended.

        Its statement, its attempts and the client's connection are released, because timers and other objects
        may refer to the request for longer."""
        if request.is_concluded and not request.open_attempts:
            self.requests.pop(request.number, None)
            self.query_ids.close(request.query.id)
            request.query.statement = b""
            request.reply = None  # type: ignore[assignment]  # never used after the request has been removed
            request.attempts = []
            self._loop.timers.compact(self._is_timer_needed, MAX_TIMERS_PER_REQUEST * len(self.requests))

    def _is_timer_needed(self, callback: Callable[..., object], argument: object) -> bool:
        """Return whether a timer is not one of a request that has been removed."""
        if callback == self._check_deadline:
            return argument in self.requests
        return self.attempts.is_timer_needed(callback, argument)
