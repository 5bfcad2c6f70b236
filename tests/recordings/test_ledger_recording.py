"""Pins what the broker's core does: the sequence of calls, answers and events of scripted requests.

The core's own loop runs in process, on a scripted clock, between a fake decision module, a fake transport
and fake replies. Rows are `[ms, who, ...]` under names of this file's own, so the recording does not depend
on how the program's classes are called.

`python -m tests.recordings.test_ledger_recording` writes it anew.
"""

import dataclasses
import enum
import json
import sys
from pathlib import Path
from types import SimpleNamespace

import gevent
import pytest
from gevent import socket

from cypressledge import clock
from cypressledge.broker.core import BrokerCore
from cypressledge.broker.maintenance import Maintenance
from cypressledge.broker.metrics import Counters
from cypressledge.broker.requests import Endpoint, EngineFault, ListedEngine, Query
from cypressledge.decisions import contract as c
from cypressledge.lab.site import SETTINGS
from cypressledge.net.maintenance_file import MaintenanceFile
from cypressledge.net.management import ManagementServer, metrics
from cypressledge.settings import parse_settings

RECORDING = Path(__file__).with_suffix(".json")
MS = 1_000  # µs
START = 1_000_000_000  # µs of the scripted monotonic clock at the start, without the offset of ours
ENGINE_1, ENGINE_2 = 7, 8
EVENTS = {
    c.EngineListReceived: "engine-list",
    c.RequestReceived: "request-received",
    c.AttemptEnded: "attempt-ended",
    c.AttemptProgress: "progress",
    c.ClientDisconnected: "client-disconnected",
    c.ShutdownStarted: "shutdown",
    c.TimerFired: "timer-fired",
    c.HealthCheckEnded: "health-check",
}
ROWS = b"1\tbread\t12.5\n"
FAULT = EngineFault("engine: out of memory", 241, 500)
FINAL_FAULT = EngineFault("no such column", 47, 404, final=True)


def plain(value):
    """A value as JSON holds it, without the names of its type."""
    if isinstance(value, enum.IntEnum):
        return int(value)
    if isinstance(value, bytes):
        return value.decode()
    if dataclasses.is_dataclass(value):
        return [plain(getattr(value, f.name)) for f in dataclasses.fields(value)]
    if isinstance(value, tuple | list):
        return [plain(item) for item in value]
    return value


class ReleaseCounters(Counters):
    """Counts broken invariants, as a release build does."""

    def invariant(self, holds, name):
        if not holds:
            self.add(f"broken.{name}")
        return holds


class FakeDecisions:
    """Records its events and answers with what the script has put down for the next call."""

    def __init__(self, script):
        self.script, self.actions, self.engines = script, [], {}

    def handle(self, now, events):
        for event in events:
            self.script.row("decisions", EVENTS[type(event)], *self._fields(event), at=now)
        actions, self.actions = self.actions, []
        return actions

    def _fields(self, event):
        """The fields of an event; times of the clock count from the start."""
        for field in dataclasses.fields(event):
            value = plain(getattr(event, field.name))
            yield (
                value - self.script.beginning
                if type(event) is c.RequestReceived and field.name == "deadline"
                else value
            )

    def configure(self, settings):
        self.script.row("decisions", "configure", settings.max_attempts)


class FakeReply:
    """A client's reply."""

    supports_streaming = True

    def __init__(self, script, name):
        self.script, self.name = script, name

    def complete(self, rows):
        self.script.row(self.name, "served", plain(rows))

    def send_rows(self, rows):
        self.script.row(self.name, "part", plain(rows))

    def wait_until_drained(self):
        return True

    def reject(self, after):
        self.script.row(self.name, "refused", after)

    def fail(self, fault):
        self.script.row(self.name, "failed", *plain(fault))


class FakeTransport:
    """The wire to the engines."""

    def __init__(self, script, refuses=False):
        self.script, self.refuses = script, refuses

    def _row(self, word, attempt):
        request = attempt.request
        self.script.row(
            "transport",
            word,
            request.number,
            attempt.number,
            attempt.endpoint.name,
            attempt.sent_at - self.script.beginning,
            attempt.deadline - self.script.beginning,
            attempt.decided_at - self.script.beginning,
            request.priority,
            request.grant_mb,
        )

    def send(self, attempt):
        self._row("send", attempt)
        if self.refuses:
            raise OSError("no route")

    def cancel(self, attempt):
        self._row("cancel", attempt)

    def update_resources(self, attempt):
        self._row("resources", attempt)


class FakeObserver:
    """Whoever watches attempts."""

    def __init__(self, script):
        self.script = script

    def attempt_progressed(self, attempt):
        self.script.row("observer", "heard", attempt.request.number, attempt.number)

    def attempt_ended(self, attempt, outcome, latency):
        self.script.row("observer", "ended", attempt.request.number, attempt.number, int(outcome), latency)


class Script:
    """One core on a scripted clock, and the rows of what it did."""

    def __init__(self, monkeypatch):
        self.rows, self.elapsed = [], 0
        monkeypatch.setattr(
            clock,
            "time",
            SimpleNamespace(monotonic_ns=lambda: (START + self.elapsed) * 1_000, time_ns=lambda: 0),
        )
        self.beginning = clock.monotonic_us()
        self.settings = dataclasses.replace(parse_settings(SETTINGS), timer_resolution=1)
        self.counters = ReleaseCounters()
        self.core = BrokerCore(self.settings, 1, self.counters)
        self.core.ledger.max_retry_after = 250 * MS
        self.decisions = self.core.loop.manager = FakeDecisions(self)
        self.core.add_transport("lines", FakeTransport(self))
        self.replies = {}
        self.list_engines(c.EngineState.READY, c.EngineState.READY)
        self.loop = gevent.spawn(self.core.loop.run)
        self.turn()

    def row(self, *fields, at=None):
        at = self.elapsed if at is None else at - self.beginning
        self.rows.append([at / MS, *fields])

    # What the script does

    def turn(self, *actions, ms=1):
        """Let time pass and the loop take what has come; the module answers its next events so."""
        self.decisions.actions += actions
        self.elapsed += ms * MS
        self.core.loop.wake()
        quiet = 0
        while quiet < 3:
            gevent.sleep(0.001)
            quiet = quiet + 1 if self.core.loop.is_idle() else 0

    def list_engines(self, *states, kind=c.EngineListKind.FULL, born=0):
        listed = []
        for number, state in zip((ENGINE_1, ENGINE_2), states, strict=False):
            entry = c.EngineListEntry(number, state, 0, number % 2, 0, 0)
            endpoint = Endpoint(number, f"s-{number}", ("127.0.0.1", number), "lines", born)
            listed.append(ListedEngine(entry, endpoint))
        self.core.engines.update_list("lines", kind, listed)

    def submit(self, name="00000000000000aa", wait_ms=3_000, **more):
        query = Query(name, 0, "lookup", "sahel", b"SELECT 1", clock.monotonic_us() + wait_ms * MS, **more)
        request = self.core.ledger.submit(query, FakeReply(self, f"client {name[-2:]}"))
        self.row("submitted", name[-2:], None if request is None else request.number)
        return request

    def sent(self, *sends):
        """A request whose attempts are out, one for each engine named."""
        request = self.submit()
        self.turn(*(c.StartAttempt(request.number, engine, timeout) for engine, timeout in sends))
        return request, *request.attempts

    def end(self, attempt, outcome, rows=b"", fault=None):
        self.core.ledger.attempt_ended(attempt, outcome, rows, fault)

    def close(self):
        self.loop.kill()
        self.row("open", len(self.core.ledger.requests), self.core.ledger.statement_bytes)
        self.row(
            "replies",
            {
                name: count
                for name, count in sorted(self.counters.counts.items())
                if name.startswith("replies.")
            },
        )


# Scenarios


def served(s):
    request, attempt = s.sent((ENGINE_1, 0))
    s.turn(ms=7)
    s.end(attempt, c.Outcome.OK, ROWS)
    s.turn()
    s.end(attempt, c.Outcome.OK, ROWS)  # a second word on the same attempt
    s.turn(
        c.StartAttempt(request.number, ENGINE_2),
        c.RejectRequest(request.number),
        c.FailRequest(request.number),
    )


def refused(s):
    request = s.submit()
    s.turn(c.RejectRequest(request.number, c.Reason.NO_CAPACITY))


def failed(s):
    request, attempt = s.sent((ENGINE_1, 0))
    s.end(attempt, c.Outcome.ERROR, fault=FAULT)
    s.turn(c.FailRequest(request.number, c.Reason.ATTEMPTS_USED), ms=12)
    other, attempt = s.sent((ENGINE_2, 0))
    s.turn(c.FailRequest(other.number, c.Reason.RUNAWAY))
    s.end(attempt, c.Outcome.OK, ROWS)
    s.turn()


def failed_by_its_statement(s):
    _, attempt = s.sent((ENGINE_1, 0))
    s.end(attempt, c.Outcome.ERROR, fault=FINAL_FAULT)
    s.turn()


def retried(s):
    request, first = s.sent((ENGINE_1, 0))
    s.end(first, c.Outcome.RESET)
    s.turn(c.StartAttempt(request.number, ENGINE_2, 500 * MS), ms=3)
    s.end(request.attempts[1], c.Outcome.OK, ROWS)
    s.turn()


def hedged(s):
    _, first, second = s.sent((ENGINE_1, 0), (ENGINE_2, 0))
    s.end(second, c.Outcome.OK, ROWS)
    s.turn(c.CancelAttempt(1, 0, c.Reason.REQUEST_FINISHED))
    s.end(first, c.Outcome.CANCELLED)
    s.turn()


def attempts_beyond_the_most(s):
    request, *_ = s.sent(*[(ENGINE_1, 0)] * (s.settings.max_attempts + 1))
    s.turn(c.RejectRequest(request.number))


def client_left_before_send(s):
    request = s.submit()
    s.core.ledger.client_disconnected(request)
    s.turn()
    request = s.submit("00000000000000bb")
    s.turn()
    s.core.ledger.client_disconnected(request)
    s.turn(c.StartAttempt(request.number, ENGINE_1))


def client_left_after_send(s):
    request, first, second = s.sent((ENGINE_1, 0), (ENGINE_2, 0))
    s.core.ledger.client_disconnected(request)
    s.turn(c.CancelAttempt(request.number, 0, c.Reason.REQUEST_FINISHED), ms=4)
    s.turn()
    s.end(second, c.Outcome.OK, ROWS)
    s.turn()


def client_left_a_streamed_answer(s):
    request, first = s.sent((ENGINE_1, 0))
    s.core.ledger.rows_received(first, ROWS)
    s.turn()
    s.core.ledger.client_disconnected(request)
    s.turn()
    s.core.ledger.rows_received(first, ROWS)
    s.turn()


def streamed_then_served(s):
    _, first, second = s.sent((ENGINE_1, 0), (ENGINE_2, 0))
    s.core.ledger.rows_received(first, ROWS)
    s.turn()
    s.core.ledger.rows_received(second, ROWS)
    s.core.ledger.rows_received(first, ROWS)
    s.end(second, c.Outcome.OK, ROWS)
    s.end(first, c.Outcome.OK)
    s.turn()


def streamed_then_failed(s):
    _, first = s.sent((ENGINE_1, 0))
    s.core.ledger.rows_received(first, ROWS)
    s.turn()
    s.end(first, c.Outcome.RESET)
    s.turn()


def streamed_then_refused(s):
    request, first = s.sent((ENGINE_1, 0))
    s.core.ledger.rows_received(first, ROWS)
    s.turn()
    s.turn(c.CancelAttempt(request.number, 0, c.Reason.RUNAWAY))
    s.core.ledger.attempt_progressed(first, c.ProgressKind.PROGRESS, 0.25)
    s.turn(c.RejectRequest(request.number, c.Reason.OBJECTIVE_MISSED))


def attempt_times_out(s):
    request, attempt = s.sent((ENGINE_1, 40 * MS))
    s.turn(ms=30)
    s.turn(ms=20)
    s.end(attempt, c.Outcome.OK, ROWS)
    s.turn(c.RejectRequest(request.number))


def streamed_attempt_does_not_time_out(s):
    _, attempt = s.sent((ENGINE_1, 40 * MS))
    s.core.ledger.rows_received(attempt, ROWS)
    s.turn(ms=50)
    s.end(attempt, c.Outcome.OK)
    s.turn()


def deadline_without_a_decision(s):
    s.submit(wait_ms=100)
    s.turn(ms=105)
    s.turn(ms=10)
    s.turn(ms=1_000)


def deadline_of_a_streamed_answer(s):
    request = s.submit(wait_ms=100)
    s.turn(c.StartAttempt(request.number, ENGINE_1))
    s.core.ledger.rows_received(request.attempts[0], ROWS)
    s.turn(ms=120)
    s.turn()


def send_to_an_engine_that_vanished(s):
    request = s.submit()
    s.turn()
    s.list_engines(c.EngineState.READY)
    s.turn(c.StartAttempt(request.number, ENGINE_2), c.StartAttempt(99, ENGINE_1))
    s.list_engines(c.EngineState.DRAINING)
    s.turn(c.StartAttempt(request.number, ENGINE_1))
    s.turn(c.RejectRequest(request.number))


def send_that_raises(s):
    s.core.add_transport("lines", FakeTransport(s, refuses=True))
    request, attempt = s.sent((ENGINE_1, 0))
    s.turn(ms=2_999)
    s.turn(ms=12)
    assert s.counters.counts["broken.exception"] == 1


def cancelled(s):
    request, first, second = s.sent((ENGINE_1, 0), (ENGINE_2, 0))
    s.core.ledger.attempt_progressed(second, c.ProgressKind.SPILLING, 3.0)
    s.turn(c.CancelAttempt(request.number, 1, c.Reason.ENGINE_SILENT), c.CancelAttempt(request.number, 5))
    s.turn(c.CancelAttempt(request.number, 1))
    s.end(first, c.Outcome.OK, ROWS)
    s.turn()


def priority_and_grant_changed(s):
    request = s.submit()
    s.turn(c.SetAttemptResources(request.number, 64.0, 2), c.StartAttempt(request.number, ENGINE_1))
    s.core.ledger.attempt_progressed(request.attempts[0], c.ProgressKind.WAITING, 2.0)
    s.turn(c.SetAttemptResources(request.number, 128.0, 3), c.SetAttemptResources(99, 1.0, 1))
    s.end(request.attempts[0], c.Outcome.OK, ROWS)
    s.turn()
    s.turn(c.SetAttemptResources(request.number, 1.0, 1))


def observed(s):
    s.core.ledger.observer = FakeObserver(s)
    _, first, second = s.sent((ENGINE_1, 0), (ENGINE_2, 0))
    s.core.ledger.attempt_progressed(first, c.ProgressKind.PROGRESS, 0.5)
    s.turn(ms=5)
    s.end(first, c.Outcome.OK, ROWS)
    s.core.ledger.attempt_progressed(first, c.ProgressKind.PROGRESS, 0.7)
    s.turn()


def timers(s):
    s.submit()
    s.turn(
        c.StartTimer(20 * MS, 3),
        c.StartTimer(10 * MS, 4),
        c.StartTimer(10 * MS, 5),
        c.Subscribe(),
        c.Log("engine 7 odd"),
    )
    s.turn(ms=9)
    s.turn(ms=2)
    s.turn(ms=20)


def shutdown_with_open_requests(s):
    request, attempt = s.sent((ENGINE_1, 0))
    s.core.ledger.start_shutdown(clock.monotonic_us() + 50 * MS)
    s.row("healthy", s.core.ledger.is_serving(), s.core.ledger.is_stopping)
    late = s.submit("00000000000000bb")
    s.turn(ms=20)
    s.core.ledger.is_accepting = False
    s.submit("00000000000000cc")
    s.turn(ms=31)
    assert late is not None
    s.end(attempt, c.Outcome.RESET)
    s.turn(
        c.RejectRequest(late.number, c.Reason.SHUTTING_DOWN),
        c.FailRequest(request.number, c.Reason.SHUTTING_DOWN),
    )


def reconfigured(s):
    first = s.submit()
    s.core.reconfigure(dataclasses.replace(s.settings, max_attempts=1))
    second = s.submit("00000000000000bb")
    s.turn()
    s.list_engines(c.EngineState.READY, c.EngineState.READY)
    s.turn(*(c.StartAttempt(r.number, e) for r in (first, second) for e in (ENGINE_1, ENGINE_2)))
    s.turn(c.RejectRequest(first.number), c.RejectRequest(second.number))


def engines_listed(s):
    s.core.engines.set_maintenance(Maintenance({"s-7"}, {"s-8": clock.monotonic_us()}))
    s.turn()
    s.row(
        "names", s.core.engines.is_listed("s-7"), s.core.engines.is_listed("s-9"), s.core.ledger.is_serving()
    )
    s.core.engines.is_closed = lambda entry: entry.zone == 0
    s.core.engines.refresh()
    s.turn()
    s.row(
        "names", s.core.engines.is_listed("s-7"), s.core.engines.is_listed("s-9"), s.core.ledger.is_serving()
    )
    s.core.engines.is_closed = None
    s.core.engines.set_maintenance(Maintenance())
    s.list_engines(c.EngineState.READY, c.EngineState.REMOVED, kind=c.EngineListKind.CACHED, born=5)
    s.turn()
    old, new = (Endpoint(ENGINE_1, "s-7", ("127.0.0.1", 7), "lines", born) for born in (0, 5))
    s.row("current", s.core.engines.is_current(old), s.core.engines.is_current(new))


def refused_at_admission(s):
    s.core.ledger.max_open_requests = 2
    for n in range(3):
        s.submit(f"{n:016x}")
    s.core.ledger.max_open_requests, s.core.ledger.max_statement_bytes = 10, 15
    s.submit("00000000000000aa")
    s.core.ledger.max_statement_bytes = 1_000
    s.core.ledger.admission_filter = lambda query: query.tenant != "sahel"
    s.submit("00000000000000bb")
    s.row("knows", s.core.ledger.is_open(f"{0:016x}"), s.core.ledger.is_open("00000000000000bb"))
    s.turn(c.RejectRequest(1), c.RejectRequest(2))


def fields_of_a_request(s):
    s.submit(key="order-17", cost=120 * MS, memory_mb=64.0, table_group=17, is_client_retry=True)
    s.turn(c.RejectRequest(1))


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


def management(s):
    """The operators' address: every answer, byte for byte."""
    taking = [True]
    calls = ManagementServer(("127.0.0.1", 0), s.counters, lambda: taking[0])
    s.core.engines.maintenance = Maintenance()
    kept = MaintenanceFile(s.core, "recording", s.directory)
    classes = ("lookup", "report")
    calls.add("/status/metrics", "GET", lambda r: (200, metrics(s.core, classes)))
    calls.add("/maintenance/enter", "POST", lambda r: kept.handle_call(r, True))
    calls.add("/maintenance/exit", "POST", lambda r: kept.handle_call(r, False))
    listener = calls.server.listener
    accepting = gevent.spawn(listener.run)
    request, attempt = s.sent((ENGINE_1, 0))
    s.end(attempt, c.Outcome.OK, ROWS)
    s.turn()
    s.submit("00000000000000bb")
    s.turn()
    for line, body in (
        ("GET /status", ""),
        ("GET /status/metrics", ""),
        ("POST /maintenance/enter", "s-7"),
        ("GET /status/metrics", ""),
        ("POST /maintenance/exit", "s-7"),
        ("POST /maintenance/exit", "s-9"),
        ("POST /maintenance/enter", ""),
        ("GET /nowhere", ""),
        ("POST /status", ""),
    ):
        s.row("call", line, body, answer(listener.sock.getsockname(), line, body))
    taking[0] = False
    s.row("call", "GET /status", "", answer(listener.sock.getsockname(), "GET /status", ""))
    listener.stop()
    accepting.kill()


def answer(address, line, body):
    """All bytes that the operators' address answers a call with."""
    with socket.create_connection(address, timeout=5) as sock:
        sock.sendall(f"{line} HTTP/1.1\r\nHost: b\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        got = b""
        while part := sock.recv(65536):
            got += part
    return got.decode()


def play(scenario, monkeypatch, directory):
    """The rows of one scenario."""
    script = Script(monkeypatch)
    script.directory = str(directory)
    try:
        scenario(script)
    finally:
        script.close()
    return json.loads(json.dumps(script.rows))


@pytest.mark.parametrize("scenario", [*SCENARIOS, management], ids=lambda s: s.__name__)
def test_recorded(scenario, monkeypatch, tmp_path):
    assert play(scenario, monkeypatch, tmp_path) == json.loads(RECORDING.read_text())[scenario.__name__]


def write() -> None:
    """Record everything anew: only where the behaviour itself is meant to change."""
    import tempfile

    with pytest.MonkeyPatch.context() as patch, tempfile.TemporaryDirectory() as directory:
        recorded = {s.__name__: play(s, patch, directory) for s in (*SCENARIOS, management)}
    scenarios = (
        f"{json.dumps(name)}: [\n" + ",\n".join(f"  {json.dumps(row)}" for row in rows) + "\n]"
        for name, rows in recorded.items()
    )
    RECORDING.write_text("{\n" + ",\n".join(scenarios) + "\n}\n")


if __name__ == "__main__":
    sys.exit(write())
