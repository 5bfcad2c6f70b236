"""Scripted requests for the recording of the broker's core, each a short course of events."""

import dataclasses

from cypressledge import clock
from cypressledge.broker.maintenance import Maintenance
from cypressledge.broker.requests import Endpoint, EngineFault
from cypressledge.decisions import contract as c
from tests.recordings.ledger_script import ENGINE_1, ENGINE_2, MS, FakeObserver, FakeTransport

ROWS = b"1\tbread\t12.5\n"
FAULT = EngineFault("engine: out of memory", 241, 500)
FINAL_FAULT = EngineFault("no such column", 47, 404, final=True)


def served(script):
    request, attempt = script.sent((ENGINE_1, 0))
    script.turn(ms=7)
    script.end(attempt, c.Outcome.OK, ROWS)
    script.turn()
    script.end(attempt, c.Outcome.OK, ROWS)  # a second word on the same attempt
    script.turn(
        c.StartAttempt(request.number, ENGINE_2),
        c.RejectRequest(request.number),
        c.FailRequest(request.number),
    )


def refused(script):
    request = script.submit()
    script.turn(c.RejectRequest(request.number, c.Reason.NO_CAPACITY))


def failed(script):
    request, attempt = script.sent((ENGINE_1, 0))
    script.end(attempt, c.Outcome.ERROR, fault=FAULT)
    script.turn(c.FailRequest(request.number, c.Reason.ATTEMPTS_USED), ms=12)
    other, attempt = script.sent((ENGINE_2, 0))
    script.turn(c.FailRequest(other.number, c.Reason.RUNAWAY))
    script.end(attempt, c.Outcome.OK, ROWS)
    script.turn()


def failed_by_its_statement(script):
    _, attempt = script.sent((ENGINE_1, 0))
    script.end(attempt, c.Outcome.ERROR, fault=FINAL_FAULT)
    script.turn()


def retried(script):
    request, first = script.sent((ENGINE_1, 0))
    script.end(first, c.Outcome.RESET)
    script.turn(c.StartAttempt(request.number, ENGINE_2, 500 * MS), ms=3)
    script.end(request.attempts[1], c.Outcome.OK, ROWS)
    script.turn()


def hedged(script):
    _, first, second = script.sent((ENGINE_1, 0), (ENGINE_2, 0))
    script.end(second, c.Outcome.OK, ROWS)
    script.turn(c.CancelAttempt(1, 0, c.Reason.REQUEST_FINISHED))
    script.end(first, c.Outcome.CANCELLED)
    script.turn()


def attempts_beyond_the_most(script):
    request, *_ = script.sent(*[(ENGINE_1, 0)] * (script.settings.max_attempts + 1))
    script.turn(c.RejectRequest(request.number))


def client_left_before_send(script):
    request = script.submit()
    script.core.ledger.client_disconnected(request)
    script.turn()
    request = script.submit("00000000000000bb")
    script.turn()
    script.core.ledger.client_disconnected(request)
    script.turn(c.StartAttempt(request.number, ENGINE_1))


def client_left_after_send(script):
    request, first, second = script.sent((ENGINE_1, 0), (ENGINE_2, 0))
    script.core.ledger.client_disconnected(request)
    script.turn(c.CancelAttempt(request.number, 0, c.Reason.REQUEST_FINISHED), ms=4)
    script.turn()
    script.end(second, c.Outcome.OK, ROWS)
    script.turn()


def client_left_a_streamed_answer(script):
    request, first = script.sent((ENGINE_1, 0))
    script.core.ledger.rows_received(first, ROWS)
    script.turn()
    script.core.ledger.client_disconnected(request)
    script.turn()
    script.core.ledger.rows_received(first, ROWS)
    script.turn()


def streamed_then_served(script):
    _, first, second = script.sent((ENGINE_1, 0), (ENGINE_2, 0))
    script.core.ledger.rows_received(first, ROWS)
    script.turn()
    script.core.ledger.rows_received(second, ROWS)
    script.core.ledger.rows_received(first, ROWS)
    script.end(second, c.Outcome.OK, ROWS)
    script.end(first, c.Outcome.OK)
    script.turn()


def streamed_then_failed(script):
    _, first = script.sent((ENGINE_1, 0))
    script.core.ledger.rows_received(first, ROWS)
    script.turn()
    script.end(first, c.Outcome.RESET)
    script.turn()


def streamed_then_refused(script):
    request, first = script.sent((ENGINE_1, 0))
    script.core.ledger.rows_received(first, ROWS)
    script.turn()
    script.turn(c.CancelAttempt(request.number, 0, c.Reason.RUNAWAY))
    script.core.ledger.attempt_progressed(first, c.ProgressKind.PROGRESS, 0.25)
    script.turn(c.RejectRequest(request.number, c.Reason.OBJECTIVE_MISSED))


def attempt_times_out(script):
    request, attempt = script.sent((ENGINE_1, 40 * MS))
    script.turn(ms=30)
    script.turn(ms=20)
    script.end(attempt, c.Outcome.OK, ROWS)
    script.turn(c.RejectRequest(request.number))


def streamed_attempt_does_not_time_out(script):
    _, attempt = script.sent((ENGINE_1, 40 * MS))
    script.core.ledger.rows_received(attempt, ROWS)
    script.turn(ms=50)
    script.end(attempt, c.Outcome.OK)
    script.turn()


def deadline_without_a_decision(script):
    script.submit(wait_ms=100)
    script.turn(ms=105)
    script.turn(ms=10)
    script.turn(ms=1_000)


def deadline_of_a_streamed_answer(script):
    request = script.submit(wait_ms=100)
    script.turn(c.StartAttempt(request.number, ENGINE_1))
    script.core.ledger.rows_received(request.attempts[0], ROWS)
    script.turn(ms=120)
    script.turn()


def send_to_an_engine_that_vanished(script):
    request = script.submit()
    script.turn()
    script.list_engines(c.EngineState.READY)
    script.turn(c.StartAttempt(request.number, ENGINE_2), c.StartAttempt(99, ENGINE_1))
    script.list_engines(c.EngineState.DRAINING)
    script.turn(c.StartAttempt(request.number, ENGINE_1))
    script.turn(c.RejectRequest(request.number))


def send_that_raises(script):
    script.core.add_transport("lines", FakeTransport(script, refuses=True))
    request, attempt = script.sent((ENGINE_1, 0))
    script.turn(ms=2_999)
    script.turn(ms=12)
    assert script.counters.counts["broken.exception"] == 1


def cancelled(script):
    request, first, second = script.sent((ENGINE_1, 0), (ENGINE_2, 0))
    script.core.ledger.attempt_progressed(second, c.ProgressKind.SPILLING, 3.0)
    script.turn(
        c.CancelAttempt(request.number, 1, c.Reason.ENGINE_SILENT), c.CancelAttempt(request.number, 5)
    )
    script.turn(c.CancelAttempt(request.number, 1))
    script.end(first, c.Outcome.OK, ROWS)
    script.turn()


def priority_and_grant_changed(script):
    request = script.submit()
    script.turn(c.SetAttemptResources(request.number, 64.0, 2), c.StartAttempt(request.number, ENGINE_1))
    script.core.ledger.attempt_progressed(request.attempts[0], c.ProgressKind.WAITING, 2.0)
    script.turn(c.SetAttemptResources(request.number, 128.0, 3), c.SetAttemptResources(99, 1.0, 1))
    script.end(request.attempts[0], c.Outcome.OK, ROWS)
    script.turn()
    script.turn(c.SetAttemptResources(request.number, 1.0, 1))


def observed(script):
    script.core.ledger.observer = FakeObserver(script)
    _, first, second = script.sent((ENGINE_1, 0), (ENGINE_2, 0))
    script.core.ledger.attempt_progressed(first, c.ProgressKind.PROGRESS, 0.5)
    script.turn(ms=5)
    script.end(first, c.Outcome.OK, ROWS)
    script.core.ledger.attempt_progressed(first, c.ProgressKind.PROGRESS, 0.7)
    script.turn()


def timers(script):
    script.submit()
    script.turn(
        c.StartTimer(20 * MS, 3),
        c.StartTimer(10 * MS, 4),
        c.StartTimer(10 * MS, 5),
        c.Subscribe(),
        c.Log("engine 7 odd"),
    )
    script.turn(ms=9)
    script.turn(ms=2)
    script.turn(ms=20)


def shutdown_with_open_requests(script):
    request, attempt = script.sent((ENGINE_1, 0))
    script.core.ledger.start_shutdown(clock.monotonic_us() + 50 * MS)
    script.row("healthy", script.core.ledger.is_serving(), script.core.ledger.is_stopping)
    late = script.submit("00000000000000bb")
    script.turn(ms=20)
    script.core.ledger.is_accepting = False
    script.submit("00000000000000cc")
    script.turn(ms=31)
    assert late is not None
    script.end(attempt, c.Outcome.RESET)
    script.turn(
        c.RejectRequest(late.number, c.Reason.SHUTTING_DOWN),
        c.FailRequest(request.number, c.Reason.SHUTTING_DOWN),
    )


def reconfigured(script):
    first = script.submit()
    script.core.reconfigure(dataclasses.replace(script.settings, max_attempts=1))
    second = script.submit("00000000000000bb")
    script.turn()
    script.list_engines(c.EngineState.READY, c.EngineState.READY)
    script.turn(*(c.StartAttempt(r.number, e) for r in (first, second) for e in (ENGINE_1, ENGINE_2)))
    script.turn(c.RejectRequest(first.number), c.RejectRequest(second.number))


def engines_listed(script):
    script.core.engines.set_maintenance(Maintenance({"s-7"}, {"s-8": clock.monotonic_us()}))
    script.turn()
    script.row(
        "names",
        script.core.engines.is_listed("s-7"),
        script.core.engines.is_listed("s-9"),
        script.core.ledger.is_serving(),
    )
    script.core.engines.is_closed = lambda entry: entry.zone == 0
    script.core.engines.refresh()
    script.turn()
    script.row(
        "names",
        script.core.engines.is_listed("s-7"),
        script.core.engines.is_listed("s-9"),
        script.core.ledger.is_serving(),
    )
    script.core.engines.is_closed = None
    script.core.engines.set_maintenance(Maintenance())
    script.list_engines(c.EngineState.READY, c.EngineState.REMOVED, kind=c.EngineListKind.CACHED, born=5)
    script.turn()
    old, new = (Endpoint(ENGINE_1, "s-7", ("127.0.0.1", 7), "lines", born) for born in (0, 5))
    script.row("current", script.core.engines.is_current(old), script.core.engines.is_current(new))


def refused_at_admission(script):
    script.core.ledger.max_open_requests = 2
    for number in range(3):
        script.submit(f"{number:016x}")
    script.core.ledger.max_open_requests, script.core.ledger.max_statement_bytes = 10, 15
    script.submit("00000000000000aa")
    script.core.ledger.max_statement_bytes = 1_000
    script.core.ledger.admission_filter = lambda query: query.tenant != "sahel"
    script.submit("00000000000000bb")
    script.row(
        "knows", script.core.ledger.is_open(f"{0:016x}"), script.core.ledger.is_open("00000000000000bb")
    )
    script.turn(c.RejectRequest(1), c.RejectRequest(2))


def fields_of_a_request(script):
    script.submit(key="order-17", cost=120 * MS, memory_mb=64.0, table_group=17, is_client_retry=True)
    script.turn(c.RejectRequest(1))


SCENARIOS = (
    served,
    refused,
    failed,
    failed_by_its_statement,
    retried,
    hedged,
    attempts_beyond_the_most,
    client_left_before_send,
    client_left_after_send,
    client_left_a_streamed_answer,
    streamed_then_served,
    streamed_then_failed,
    streamed_then_refused,
    attempt_times_out,
    streamed_attempt_does_not_time_out,
    deadline_without_a_decision,
    deadline_of_a_streamed_answer,
    send_to_an_engine_that_vanished,
    send_that_raises,
    cancelled,
    priority_and_grant_changed,
    observed,
    timers,
    shutdown_with_open_requests,
    reconfigured,
    engines_listed,
    refused_at_admission,
    fields_of_a_request,
)
