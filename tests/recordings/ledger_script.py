"""The broker's core on a scripted clock, between a fake decision module, a fake transport and fake replies.

The core's own loop runs in process. Rows are `[ms, who, ...]` under names of this file's own, so a recording
does not depend on how the program's classes are called.
"""

import dataclasses
import enum
from types import SimpleNamespace

import gevent

from cypressledge import clock
from cypressledge.broker.core import BrokerCore
from cypressledge.broker.metrics import Counters
from cypressledge.broker.requests import Endpoint, ListedEngine, Query
from cypressledge.decisions import contract as c
from cypressledge.lab.site import SETTINGS
from cypressledge.settings import parse_settings

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
