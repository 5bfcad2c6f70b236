"""JSON-RPC clients that send nothing, too much, or what no engine can use."""

import time

import pytest

from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import ROW, answer_at_once, never_answer
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import WAIT, wait_until


class InvalidClients(BrokerTestCase):
    """Each is owed a refusal, an error or a close within 3 s, and the usual clients notice nothing."""

    def setUp(self):
        self.engine_ = self.engine()
        self.served = self.broker(self.engine_)
        self.usual = self.client(self.served)
        self.usual.ask()  # whoever has been answered may stay
        self.usual.get()
        self.engine_.wants.clear()

    def tearDown(self):
        self.usual.ask()
        assert result_rows(self.usual.get()) == ROW

    def said(self, client):
        """What the client is told, until the close; None if neither came in time."""
        client.sock.settimeout(WAIT)
        began, words = time.monotonic(), []
        while (word := client.get()) is not None:
            words.append(word)
        assert time.monotonic() - began < 3.5
        return words

    def test_those_that_say_nothing_or_half_are_let_go(self):
        quiet, half, trickling, back = (self.client(self.served) for _ in range(4))
        half.raw(b"", b"Content-Length: 90\r\n\r\n{")
        trickling.raw(b"", b"Content")
        back.ask(wait=2900)  # and takes back all that it asked
        back.raw(b'{"jsonrpc":"2.0","method":"withdraw","params":{"id":1}}')
        assert self.said(quiet) == []
        assert [w["error"]["code"] for w in self.said(half)] == [-32600]
        assert [w["error"]["code"] for w in self.said(trickling)] == [-32600]
        self.said(back)

    def test_client_that_has_been_answered_may_stay_idle(self):
        self.usual.sock.settimeout(4.0)
        with pytest.raises(TimeoutError):
            self.usual.sock.recv(1)

    def test_huge_body_is_heard_out_so_that_the_error_can_be_read(self):
        client = self.client(self.served)
        client.raw(bytes(1 << 20) * 60, b"Content-Length: 62914560\r\n\r\n")
        assert [w["error"]["code"] for w in self.said(client)] == [-32600]

    def test_what_an_engine_cannot_use_never_reaches_one(self):
        client = self.client(self.served)
        for method, change in (
            ("lookup", {"once": "ab" * 16}),
            ("order-load", {"once": "a=b"}),
            ("order-load", {"once": 7}),
            ("lookup", {"wait": 0}),
            ("lookup", {"wait": 1e7}),
            ("lookup", {"wait": True}),
            ("lookup", {"wait": 10**400}),
            ("lookup", {"cost": -1}),
            ("lookup", {"cost": float("nan")}),
            ("lookup", {"mem": 1e30}),
            ("lookup", {"retry": "x"}),
            ("lookup", {"content": ""}),
            ("lookup", {"content": "AAA="}),
            ("lookup", {"content": "/w=="}),
            ("lookup", {"id": "AB" * 8}),
        ):
            with self.subTest(change):
                if client.number % 10 == 9:
                    client = self.client(self.served)
                client.ask(method, **change)
                assert client.get()["error"]["code"] == -32602
        assert not self.engine_.wants

    def test_id_of_an_open_request_is_an_error_on_any_connection(self):
        self.engine_.play = never_answer
        first, second = self.client(self.served), self.client(self.served)
        first.ask(id="00000000000000aa")
        wait_until(lambda: self.engine_.wants, "the attempt")
        second.ask(id="00000000000000aa", statement=b"SELECT 2 FROM sales_1.t")
        assert second.get()["error"]["code"] == -32602
        self.engine_.play = answer_at_once

    def test_endless_errors_end_the_connection(self):
        client = self.client(self.served)
        for _ in range(40):
            client.send("nothing")
        assert len(self.said(client)) < 40
