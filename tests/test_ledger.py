"""The core's ledger alone, for what the module of today does not do but the ledger must stand."""

import unittest
import weakref

import pytest

from cypressledge.broker.core import Core
from cypressledge.broker.metrics import Counters
from cypressledge.broker.requests import DEADLINE_FAULT, Endpoint, Query
from cypressledge.clock import monotonic_us
from cypressledge.config import Limits
from cypressledge.decisions import contract as c
from cypressledge.net.jsonrpc.pending_call import PendingCall
from cypressledge.net.line_protocol.transport import MAX_CONNECTIONS_TRIED, LineProtocolTransport
from cypressledge.settings import parse_settings
from tests.stands import SETTINGS


class Told:
    """A reply, a link and what they were told."""

    supports_streaming = True

    def __init__(self):
        self.words = []

    def __getattr__(self, name):
        return lambda *args: self.words.append((name, *args))


class Ledger(unittest.TestCase):
    def setUp(self):
        self.core = Core(parse_settings(SETTINGS), 1, Counters())
        self.link, self.reply = Told(), Told()
        self.core.transports["lines"] = self.link
        entry = c.EngineListEntry(7, c.EngineState.READY, 0, 0, 0, 0)
        self.core.update_list(
            "lines", c.EngineListKind.CACHED, [(entry, Endpoint(7, "s-1", ("127.0.0.1", 1), "lines"))]
        )
        query = Query("00000000000000aa", 0, "lookup", "sahel", b"SELECT 1", monotonic_us() + 3_000_000)
        self.request = self.core.submit(query, self.reply)
        self.settle()
        self.core.events.clear()

    def settle(self):
        """What the owner does with its inbox, without the module."""
        while self.core.inbox:
            what, args = self.core.inbox.popleft()
            what(*args)

    def send(self):
        self.core._send(c.StartAttempt(self.request.number, 7))
        return self.request.attempts[-1]

    def test_rows_of_two_attempts_never_mix(self):
        """After the first byte the answer is one attempt's: another's result must not be added to it."""
        first, second = self.send(), self.send()
        self.core.rows_received(first, b"a\n")
        self.core.attempt_ended(second, c.Outcome.OK, b"b\n")
        self.settle()
        self.core.attempt_ended(first, c.Outcome.OK)
        self.settle()
        assert self.reply.words == [("send_rows", b"a\n"), ("complete", b"")]
        assert not self.core.requests

    def test_fourth_attempt_and_one_behind_the_answer_are_moot(self):
        for _ in range(4):
            self.send()
        assert [w[0] for w in self.link.words] == ["send"] * 3
        self.core.attempt_ended(self.request.attempts[0], c.Outcome.OK, b"a\n")
        self.settle()
        self.core._send(c.StartAttempt(self.request.number, 7))
        assert [w[0] for w in self.link.words] == ["send"] * 3
        self.core._refuse(c.RejectRequest(self.request.number))
        self.core._fail(c.FailRequest(self.request.number))
        assert self.reply.words == [("complete", b"a\n")]

    def test_what_the_module_forgets_is_answered_and_counted(self):
        with pytest.raises(AssertionError, match="overdue"):
            self.core._overdue(self.request)
        counters = self.core.counters
        counters.invariant = lambda holds, name: holds or counters.add("broken." + name) or holds
        self.core._overdue(self.request)
        assert [w[0] for w in self.reply.words] == ["fail"]
        assert counters.counts["broken.overdue"] == 1

    def test_bytes_of_an_answered_statement_are_let_go(self):
        """Alarms know a request until its deadline; 25 s of statements would not fit the memory limit."""
        self.core.attempt_ended(self.send(), c.Outcome.OK, b"a\n")
        self.settle()
        assert (self.request.query.statement, self.core.statement_bytes) == (b"", 0)

    def test_nothing_keeps_what_has_been_answered(self):
        """Alarms live until the deadline: on a long day what they kept was the most of the memory."""
        attempt = self.send()
        attempt.transport_state = Told()
        kept = [weakref.ref(x) for x in (self.reply, attempt.transport_state)]
        self.core.attempt_ended(attempt, c.Outcome.OK, b"a\n")
        del attempt, self.reply
        self.link.words.clear()
        self.settle()
        assert [ref() for ref in kept] == [None, None]
        for _, _, what, arg in self.core.timers:
            what(arg)  # and the alarms themselves stand it

    def test_engines_that_are_gone_are_forgotten(self):
        for n in range(50):
            entry = c.EngineListEntry(n, c.EngineState.READY, 0, 0, 0, 0)
            place = Endpoint(n, f"s-{n}", ("127.0.0.1", 1), "lines")
            self.core.update_list("lines", c.EngineListKind.FULL, [(entry, place)])
        self.settle()
        assert list(self.core.endpoints) == [49]

    def test_attempt_that_never_left_its_connection_goes_to_another(self):
        """A connection reset when new proves nothing about the engine, and uses up no attempt."""
        link = self.core.transports["lines"] = LineProtocolTransport(
            self.core, Limits(64, 64, 32, 0.25, 30.0, 0, 0)
        )
        link.max_connections = 8
        attempt = self.send()
        for _ in range(MAX_CONNECTIONS_TRIED):
            assert attempt.is_open
            assert len(self.request.attempts) == 1
            attempt.transport_state.connection.close("reset on connect")
            self.settle()
        assert not attempt.is_open
        assert self.core.events[-1].outcome == c.Outcome.NOT_SENT

    def test_withdrawn_call_is_owed_no_refusal(self):
        """The module may give up on a request in the tick in which its client withdraws it."""
        client = Told()
        client.open_calls, client.core = {}, self.core
        call = client.open_calls[1] = PendingCall(client, 1)
        call.cancel()
        for answer in (
            lambda: call.reject(0),
            lambda: call.complete(b""),
            lambda: call.fail(DEADLINE_FAULT),
        ):
            answer()
        assert client.words == []


if __name__ == "__main__":
    unittest.main()
