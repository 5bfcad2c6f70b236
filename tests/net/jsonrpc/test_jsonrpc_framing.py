"""Framing and errors of JSON-RPC, over the sockets of a broker process."""

import json

from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import ROW, answer_on_release
from tests.fakes.json_rpc_client import result_rows


class Framing(BrokerTestCase):
    def setUp(self):
        self.broker_process = self.broker(self.engine())
        self.shared_client = self.client(self.broker_process)

    def error(self, body):
        self.shared_client.raw(body)
        return self.shared_client.get()

    def test_json_rpc_errors_keep_the_connection_open(self):
        good = {"id": "00000000000000aa", "wait": 1000, "tenant": "sahel", "content": ""}

        def call(number, method="lookup", **change):
            return json.dumps(
                {"jsonrpc": "2.0", "id": number, "method": method, "params": good | change}
            ).encode()

        for body, code, number in (
            (b"{nonsense", -32700, None),
            (b"[]", -32600, None),
            (b'{"jsonrpc":"2.0","id":1}', -32600, None),
            (call(0), -32600, None),
            (call(1, "nothing"), -32601, 1),
            (call(2, wait="x"), -32602, 2),
            (call(3, wait=float("inf")), -32602, 3),
            (call(4, id="zz"), -32602, 4),
            (call(5, tenant="nobody"), -32602, 5),
            (call(6, content="*"), -32602, 6),
            (call(7, "order-load"), -32602, 7),
            (call(8, once="a,b", method="order-load"), -32602, 8),
            (call(8), -32600, None),
            (b"[" * 100_000, -32700, None),
        ):
            with self.subTest(body[:60]):
                answer = self.error(body)
                assert (answer["error"]["code"], answer["id"]) == (code, number)
        self.shared_client.number = 20
        self.shared_client.ask()
        assert result_rows(self.shared_client.get()) == ROW

    def test_invalid_framing_closes_the_connection(self):
        for head in (
            b"Content-Length: x\r\n\r\n",
            b"Nothing: 1\r\n\r\n",
            b"Content-Length: 99999999\r\n\r\n",
            b"no colon\r\n\r\n",
            b"y" * 5000,
        ):
            with self.subTest(head[:30]):
                client = self.client(self.broker_process)
                client.raw(b"", head)
                assert client.get()["error"]["code"] == -32600
                assert client.get() is None

    def test_a_message_that_is_too_long_is_answered_and_costs_no_other_call(self):
        """Regression: a message over 512 KB was answered under the id null, and what followed it dropped."""
        engine = self.engine(answer_on_release)
        engine.released = False
        client = self.client(self.broker(engine))
        running = client.ask("report", wait=20_000)
        too_long = client.ask("report", statement=b"SELECT '" + b"x" * 600_000 + b"'")
        behind = client.send("status")
        answer = client.get()
        assert (answer["id"], answer["error"]["code"]) == (too_long, -32602)
        assert client.get()["id"] == behind
        engine.released = True
        answer = client.get()
        assert (answer["id"], result_rows(answer)) == (running, ROW)

    def test_a_message_whose_handling_fails_is_answered_and_costs_no_other_call(self):
        """Regression: an exception while one message was handled ended the connection over its open calls."""
        engine = self.engine(answer_on_release)
        engine.released = False
        client = self.client(self.broker(engine))
        running = client.ask("report", wait=20_000)
        failing = client.ask(statement=b"SELECT a FROM sales_" + b"1" * 5000 + b".orders")
        answer = client.get()
        assert (answer["id"], answer["error"]["code"]) == (failing, -32603)
        engine.released = True
        answer = client.get()
        assert (answer["id"], result_rows(answer)) == (running, ROW)
