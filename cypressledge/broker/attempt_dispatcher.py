"""Starts, updates and cancels attempts at engines by the actions of the decision module."""

from collections.abc import Callable
from typing import Any

from cypressledge.broker.engine_registry import EngineRegistry
from cypressledge.broker.event_loop import EventLoop
from cypressledge.broker.metrics import Counters
from cypressledge.broker.request_log import RequestLog
from cypressledge.broker.requests import Attempt, EngineTransport, Request
from cypressledge.clock import monotonic_us
from cypressledge.decisions import contract as c


class AttemptDispatcher:
    """Passes attempts to the transport for their engine's wire protocol. Runs only on the event loop."""

    def __init__(
        self,
        settings: c.Settings,
        requests: dict[int, Request],
        loop: EventLoop,
        engines: EngineRegistry,
        counters: Counters,
        log: RequestLog,
        report_ended: Callable[[Attempt, c.Outcome], None],
    ) -> None:
        self.settings = settings
        self.transports: dict[str, EngineTransport] = {}  # by the name of the wire protocol
        self._requests = requests  # the ledger's open requests, by number
        self._loop = loop
        self._engines = engines
        self._counters = counters
        self._log = log
        self._report_ended = report_ended
        loop.register_actions(
            {
                c.StartAttempt: self._start_attempt,
                c.SetAttemptResources: self._set_resources,
                c.CancelAttempt: self._cancel_attempt,
            }
        )

    def cancel(self, attempt: Attempt, outcome: c.Outcome) -> None:
        """Cancel an open attempt at its engine; the module receives the outcome in its next batch."""
        if attempt.is_open:
            self.transports[attempt.endpoint.wire].cancel(attempt)
            self._report_ended(attempt, outcome)

    def _start_attempt(self, action: c.StartAttempt) -> None:
        request = self._requests.get(action.request)
        ready = self._engines.ready_endpoints.get(action.engine)
        endpoint = ready or self._engines.endpoints.get(action.engine)
        if request is None or endpoint is None:
            self._counters.invariant(False, "unknown_request_or_engine")
            self._loop.pending_events.append(
                c.AttemptEnded(action.request, 0, action.engine, c.Outcome.NOT_SENT, True, 0)
            )
            return
        now = monotonic_us()
        query = request.query
        deadline = min(query.deadline, now + action.timeout) if action.timeout else query.deadline
        attempt = Attempt(request, len(request.attempts), endpoint, now, deadline, self._loop.decided_at)
        request.attempts.append(attempt)
        request.open_attempts += 1
        if ready is None or not self._may_send(attempt, now):
            self._counters.add("attempts.not_sent")
            self._report_ended(attempt, c.Outcome.NOT_SENT)
            return
        self._counters.add("attempts.first" if attempt.number == 0 else "attempts.retry")
        if attempt.number:
            self._counters.add(f"retry_after.{self._log.retry_started(attempt)}")
        self._loop.timers.schedule(deadline, self._check_timeout, (request.number, attempt.number))
        self.transports[endpoint.wire].send(attempt)

    def _may_send(self, attempt: Attempt, now: int) -> bool:
        """Return whether an attempt at a ready engine is still needed and within the limits."""
        return (
            attempt.is_awaited
            and attempt.request.streaming_attempt is None
            and attempt.number < self.settings.max_attempts
            and attempt.deadline > now
        )

    def _set_resources(self, action: c.SetAttemptResources) -> None:
        if (request := self._requests.get(action.request)) is None:
            return
        request.grant_mb, request.priority = action.grant_mb, action.priority
        for attempt in request.attempts:
            if attempt.is_open:
                self.transports[attempt.endpoint.wire].update_resources(attempt)

    def _cancel_attempt(self, action: c.CancelAttempt) -> None:
        request = self._requests.get(action.request)
        if request is None or action.attempt >= len(request.attempts):
            return
        attempt = request.attempts[action.attempt]
        if not request.is_concluded and (request.streaming_attempt is attempt or attempt.is_last_allowed):
            return  # no other attempt could complete the answer
        self._counters.add(f"cancelled.{action.reason}")
        if attempt.is_open and action.reason is not c.Reason.REQUEST_FINISHED:
            self._log.attempt_cancelled(attempt, action.reason)
        self.cancel(attempt, c.Outcome.CANCELLED)

    def is_timer_needed(self, callback: Callable[..., object], argument: Any) -> bool:
        """Return whether a timer is not one of an attempt whose request has been removed."""
        return callback != self._check_timeout or argument[0] in self._requests

    def _check_timeout(self, attempt_key: tuple[int, int]) -> None:
        number, attempt_number = attempt_key
        if (request := self._requests.get(number)) is not None:
            attempt = request.attempts[attempt_number]
            if request.streaming_attempt is not attempt:
                self.cancel(attempt, c.Outcome.TIMEOUT)
