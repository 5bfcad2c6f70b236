"""The request ledger without a decision module, also under actions that the module currently never takes."""

import unittest
import weakref

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.metrics import Counters
from cypressledge.broker.requests import DEADLINE_FAULT, Endpoint, ListedEngine, Query
from cypressledge.clock import monotonic_us
from cypressledge.config import Limits
from cypressledge.decisions import contract as c
from cypressledge.lab.site import SETTINGS
from cypressledge.net.jsonrpc.pending_call import PendingCall
from cypressledge.net.line_protocol.transport import MAX_CONNECTIONS_TRIED, LineProtocolTransport
from cypressledge.settings import parse_settings

AFTER_ALL_DEADLINES_US = 60_000_000  # µs; longer than the deadline of any request in these tests


class Recorder:
    """A fake reply handler or transport that records its calls."""

    supports_streaming = True

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *args: self.calls.append((name, *args))


class ScriptedDecisions:
    """A fake decision module that records its events and returns the actions set by a test."""

    def __init__(self):
        self.events, self.actions = [], []

    def handle(self, now, events):
        self.events += events
        actions, self.actions = self.actions, []
        return actions


class Ledger(unittest.TestCase):
    def setUp(self):
        self.core = BrokerCore(parse_settings(SETTINGS), 1, Counters())
        self.ledger, self.decisions = self.core.ledger, ScriptedDecisions()
        self.core.loop.manager = self.decisions
        self.transport, self.reply = Recorder(), Recorder()
        self.core.add_transport("lines", self.transport)
        self.list_engine(7)
        query = Query("00000000000000aa", 0, "lookup", "sahel", b"SELECT 1", monotonic_us() + 3_000_000)
        self.request = self.ledger.submit(query, self.reply)
        self.settle()
        self.decisions.events.clear()

    def list_engine(self, number):
        entry = c.EngineListEntry(number, c.EngineState.READY, 0, 0, 0, 0)
        endpoint = Endpoint(number, f"s-{number}", ("127.0.0.1", 1), "lines")
        listed = [ListedEngine(entry, endpoint)]
        self.core.engines.update_list("lines", c.EngineListKind.FULL, listed)

    def settle(self):
        """Run the loop until its inbox is empty and no event is pending."""
        self.core.loop.run_once(monotonic_us())
        while not self.core.loop.is_idle() or self.core.loop.pending_events:
            self.core.loop.run_once(monotonic_us())

    def decide(self, *actions):
        """Execute these actions as if the decision module had returned them."""
        self.decisions.actions += actions
        self.core.loop.pending_events.append(c.TimerFired(0))
        self.settle()

    def send(self):
        self.decide(c.StartAttempt(self.request.number, 7))
        return self.request.attempts[-1]

    def test_rows_of_two_attempts_never_mix(self):
        """Once rows of an attempt have been sent, the result of another attempt must not be added."""
        first, second = self.send(), self.send()
        self.ledger.rows_received(first, b"a\n")
        self.ledger.attempt_ended(second, c.Outcome.OK, b"b\n")
        self.settle()
        self.ledger.attempt_ended(first, c.Outcome.OK)
        self.settle()
        assert self.reply.calls == [("send_rows", b"a\n"), ("complete", b"")]
        assert not self.ledger.requests

    def test_a_fourth_attempt_or_one_after_the_answer_is_not_sent(self):
        for _ in range(4):
            self.send()
        assert [call[0] for call in self.transport.calls] == ["send"] * 3
        self.ledger.attempt_ended(self.request.attempts[0], c.Outcome.OK, b"a\n")
        self.settle()
        self.decide(c.StartAttempt(self.request.number, 7))
        assert [call[0] for call in self.transport.calls] == ["send"] * 3
        self.decide(c.RejectRequest(self.request.number))
        self.decide(c.FailRequest(self.request.number))
        assert self.reply.calls == [("complete", b"a\n")]

    def test_a_request_that_the_decisions_forget_is_answered_and_counted(self):
        ((check_deadline, number),) = self.core.loop.timers.pop_due(monotonic_us() + AFTER_ALL_DEADLINES_US)
        with self.assertRaisesRegex(AssertionError, "overdue"):
            check_deadline(number)
        counters = self.core.counters
        counters.invariant = lambda holds, name: holds or counters.add("broken." + name) or holds
        check_deadline(number)
        assert [call[0] for call in self.reply.calls] == ["fail"]
        assert counters.counts["broken.overdue"] == 1

    def test_the_statement_of_an_answered_request_is_released(self):
        """Timers hold a request until its deadline; the statements of 25 s would exceed the memory limit."""
        self.ledger.attempt_ended(self.send(), c.Outcome.OK, b"a\n")
        self.settle()
        assert (self.request.query.statement, self.ledger.statement_bytes) == (b"", 0)

    def test_timers_hold_no_reference_to_answered_requests(self):
        """Regression: timers exist until the deadline; in a long run, objects they held used most memory."""
        attempt = self.send()
        attempt.transport_state = Recorder()
        references = [weakref.ref(referent) for referent in (self.reply, attempt.transport_state)]
        self.ledger.attempt_ended(attempt, c.Outcome.OK, b"a\n")
        del attempt, self.reply
        self.transport.calls.clear()
        self.settle()
        assert [reference() for reference in references] == [None, None]
        timers = list(self.core.loop.timers.pop_due(monotonic_us() + AFTER_ALL_DEADLINES_US))
        assert len(timers) == 2
        for callback, argument in timers:
            callback(argument)  # must have no effect on an answered request

    def test_endpoints_of_removed_engines_are_forgotten(self):
        for number in range(50):
            self.list_engine(number)
        self.settle()
        assert list(self.core.engines.endpoints) == [49]

    def test_an_attempt_that_was_never_sent_is_reassigned_to_another_connection(self):
        """A reset of a new connection is no evidence about the engine, and does not count as an attempt."""
        transport = LineProtocolTransport(self.core, Limits(64, 64, 32, 0.25, 30.0, 0, 0))
        self.core.add_transport("lines", transport)
        transport.max_connections = 8
        attempt = self.send()
        for _ in range(MAX_CONNECTIONS_TRIED):
            assert attempt.is_open
            assert len(self.request.attempts) == 1
            attempt.transport_state.connection.close("reset on connect")
            self.settle()
        assert not attempt.is_open
        assert self.decisions.events[-1].outcome == c.Outcome.NOT_SENT

    def test_a_withdrawn_call_gets_no_answer(self):
        """The decision module may end a request in the same loop iteration in which a client withdraws it."""
        client = Recorder()
        client.open_calls, client.core = {}, self.core
        call = client.open_calls[1] = PendingCall(client, 1)
        call.cancel()
        for answer in (
            lambda: call.reject(0),
            lambda: call.complete(b""),
            lambda: call.fail(DEADLINE_FAULT),
        ):
            answer()
        assert client.calls == []


if __name__ == "__main__":
    unittest.main()
