"""JSON-RPC clients that send nothing, too much, or values that engines cannot read."""

import time

import pytest

from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import ROW, answer_at_once, never_answer
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import WAIT, wait_until


class InvalidClients(BrokerTestCase):
    """Invalid clients get a rejection, an error or a close within 3 s; a regular one is served throughout."""

    def setUp(self):
        self.served_engine = self.engine()
        self.broker_process = self.broker(self.served_engine)
        self.regular_client = self.client(self.broker_process)
        self.regular_client.ask()  # once answered, a client may stay idle
        self.regular_client.get()
        self.served_engine.wants.clear()

    def tearDown(self):
        self.regular_client.ask()
        assert result_rows(self.regular_client.get()) == ROW

    def answers_until_closed(self, client):
        """Return the answers that a client receives before its connection is closed."""
        client.sock.settimeout(WAIT)
        began, answers = time.monotonic(), []
        while (answer := client.get()) is not None:
            answers.append(answer)
        assert time.monotonic() - began < 3.5
        return answers

    def test_clients_without_a_complete_request_are_closed(self):
        silent, incomplete, trickling, withdrawing = (self.client(self.broker_process) for _ in range(4))
        incomplete.raw(b"", b"Content-Length: 90\r\n\r\n{")
        trickling.raw(b"", b"Content")
        withdrawing.ask(wait=2900)
        withdrawing.raw(b'{"jsonrpc":"2.0","method":"withdraw","params":{"id":1}}')
        assert self.answers_until_closed(silent) == []
        assert [answer["error"]["code"] for answer in self.answers_until_closed(incomplete)] == [-32600]
        assert [answer["error"]["code"] for answer in self.answers_until_closed(trickling)] == [-32600]
        self.answers_until_closed(withdrawing)

    def test_a_client_that_has_been_answered_may_stay_idle(self):
        self.regular_client.sock.settimeout(4.0)
        with pytest.raises(TimeoutError):
            self.regular_client.sock.recv(1)

    def test_a_huge_body_is_read_to_its_end_so_that_the_error_arrives(self):
        client = self.client(self.broker_process)
        client.raw(bytes(1 << 20) * 60, b"Content-Length: 62914560\r\n\r\n")
        assert [answer["error"]["code"] for answer in self.answers_until_closed(client)] == [-32600]

    def test_invalid_parameters_never_reach_an_engine(self):
        client = self.client(self.broker_process)
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
                    client = self.client(self.broker_process)
                client.ask(method, **change)
                assert client.get()["error"]["code"] == -32602
        assert not self.served_engine.wants

    def test_the_id_of_an_open_request_is_an_error_on_any_connection(self):
        self.served_engine.play = never_answer
        first, second = self.client(self.broker_process), self.client(self.broker_process)
        first.ask(id="00000000000000aa")
        wait_until(lambda: self.served_engine.wants, "the attempt")
        second.ask(id="00000000000000aa", statement=b"SELECT 2 FROM sales_1.t")
        assert second.get()["error"]["code"] == -32602
        self.served_engine.play = answer_at_once

    def test_what_was_written_before_too_many_errors_is_answered(self):
        """Regression: over 16 errors, the rest of what the client had written was dropped unanswered."""
        client = self.client(self.broker_process)
        errors, _ = client.capture(lambda: [client.send("nothing") for _ in range(20)])
        call, _ = client.capture(client.ask)
        client.sock.sendall(errors + call)
        answers = self.answers_until_closed(client)
        assert [answer["id"] for answer in answers] == list(range(1, 22))
        assert result_rows(answers[-1]) == ROW

    def test_repeated_errors_end_the_connection(self):
        client = self.client(self.broker_process)
        for _ in range(40):
            client.send("nothing")
        assert len(self.answers_until_closed(client)) < 40
