"""Writes the events of requests and their attempts to the event log."""

from cypressledge.broker.event_log import EventKind, EventLog
from cypressledge.broker.requests import Attempt, Query, Request
from cypressledge.clock import monotonic_us
from cypressledge.decisions import contract as c

US_PER_MS = 1_000
STILL_OPEN = "out"  # logged instead of an outcome if the attempt before a retry has not ended


class RequestLog:
    """Writes events of requests, each with the request's id, to the event log."""

    __slots__ = ("_event_log",)

    def __init__(self, event_log: EventLog) -> None:
        self._event_log = event_log

    def rejected_at_admission(self, query: Query, reason: str) -> None:
        """Log that a query was rejected before it reached the decision module."""
        self._event_log.write(EventKind.REJECTED, request=query.id, class_=query.class_name, reason=reason)

    def rejected_or_failed(self, kind: EventKind, request: Request, reason: c.Reason) -> None:
        """Log that a request was rejected or failed, depending on `kind`, without an answer of an engine."""
        query = request.query
        self._event_log.write(
            kind,
            request=query.id,
            class_=query.class_name,
            reason=reason,
            attempts=len(request.attempts),
            left_ms=(query.deadline - monotonic_us()) // US_PER_MS,
        )

    def attempt_ended(self, attempt: Attempt, outcome: c.Outcome) -> None:
        """Log that an attempt ended without success."""
        self._event_log.write(
            EventKind.ATTEMPT_ENDED,
            request=attempt.query.id,
            attempt=attempt.number,
            engine=attempt.endpoint.name,
            outcome=outcome.name.lower(),
            after_ms=(monotonic_us() - attempt.sent_at) // US_PER_MS,
        )

    def attempt_cancelled(self, attempt: Attempt, reason: c.Reason) -> None:
        """Log that the module cancelled an open attempt."""
        self._event_log.write(
            EventKind.ATTEMPT_CANCELLED,
            request=attempt.query.id,
            attempt=attempt.number,
            engine=attempt.endpoint.name,
            reason=reason,
        )

    def retry_started(self, attempt: Attempt) -> str:
        """Log that a retry starts, and return the outcome of the attempt before it."""
        attempts = attempt.request.attempts
        first, previous = attempts[0], attempts[attempt.number - 1]
        outcome = previous.outcome.name.lower() if previous.outcome is not None else STILL_OPEN
        self._event_log.write(
            EventKind.RETRY,
            request=attempt.query.id,
            class_=attempt.query.class_name,
            attempt=attempt.number,
            engine=attempt.endpoint.name,
            after=outcome,
            since_first_ms=(attempt.sent_at - first.sent_at) // US_PER_MS,
        )
        return outcome
