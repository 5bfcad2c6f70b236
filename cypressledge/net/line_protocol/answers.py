"""Handling of an engine's messages: progress, pages of results and errors of the attempts."""

from typing import TYPE_CHECKING

from cypressledge.decisions.contract import Outcome, ProgressKind
from cypressledge.net.line_protocol.messages import (
    MAX_PAGES,
    MAX_RESULT_SIZE,
    PROGRESS_KINDS,
    STATUS_WORDS,
    Fields,
    MalformedMessageError,
    has_complete_rows,
    parse_count,
    parse_fields,
    parse_progress_value,
)
from cypressledge.net.line_protocol.pending_attempt import (
    ANSWERED_ID_QUARANTINE,
    CANCELLED_ID_QUARANTINE,
    PendingAttempt,
)

if TYPE_CHECKING:
    from cypressledge.net.line_protocol.connection import EngineConnection


def handle_message(
    connection: "EngineConnection", query_id: bytes, word: bytes, field_text: bytes, body: bytes
) -> None:
    """Process one message of an engine. Raises `MalformedMessageError`."""
    fields, pending = parse_fields(field_text), connection.pending.get(query_id)
    if word not in STATUS_WORDS:
        raise MalformedMessageError(word[:80])
    if pending is None or not pending.sent:
        connection.core.counters.add("late_answers")
    elif word == b"status":
        _handle_progress(connection, pending, fields)
    elif word == b"200":
        _handle_first_page(connection, pending, fields, body)
    elif word == b"chunk":
        _handle_page(connection, pending, parse_count(fields, b"pos", 1, len(pending.pages) - 1), body)
    elif pending.pages or pending.has_run or word == b"500":
        # After progress or pages the attempt must not be reported as never executed. All pages are requested
        # together, so more of them still arrive; their id must not be reused on this connection meanwhile.
        quarantine = CANCELLED_ID_QUARANTINE if pending.pages else ANSWERED_ID_QUARANTINE
        connection.end(pending, Outcome.ERROR, quarantine=quarantine)
    else:
        connection.end(pending, Outcome.REJECTED if word == b"503" else Outcome.NOT_SENT)


def _handle_progress(connection: "EngineConnection", pending: PendingAttempt, fields: Fields) -> None:
    kind = PROGRESS_KINDS.get(fields.get(b"note", b""))
    if kind is None:
        return
    value = parse_progress_value(fields)
    pending.has_run |= kind is not ProgressKind.WAITING and value > 0
    connection.core.ledger.attempt_progressed(pending.attempt, kind, value)


def _handle_first_page(
    connection: "EngineConnection", pending: PendingAttempt, fields: Fields, body: bytes
) -> None:
    page_count = parse_count(fields, b"count", 1, MAX_PAGES)
    if pending.pages:  # a duplicate of an answer that was handled
        connection.core.counters.add("duplicate_answers")
        return
    pending.pages, pending.missing_pages = [None] * page_count, page_count
    _handle_page(connection, pending, 0, body)
    if page_count > 1:  # all pages are requested together
        requests = (b"turn %s %d" % (pending.query_id, n) for n in range(1, page_count))
        connection.write_command(b"\r\n".join(requests))


def _handle_page(connection: "EngineConnection", pending: PendingAttempt, number: int, body: bytes) -> None:
    if pending.pages[number] is not None:
        connection.core.counters.add("duplicate_answers")
        return
    if not has_complete_rows(body) or not body and len(pending.pages) > 1:
        raise MalformedMessageError(b"rows")
    pending.pages[number] = body
    pending.missing_pages -= 1
    pending.result_size += len(body)
    if pending.result_size > MAX_RESULT_SIZE:
        raise MalformedMessageError(b"result too long")
    if not pending.missing_pages:
        if len(pending.pages) > 1:
            connection.write_command(b"shut " + pending.query_id)
        connection.end(pending, Outcome.OK, b"".join(filter(None, pending.pages)))
