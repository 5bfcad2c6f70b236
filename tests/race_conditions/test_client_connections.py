"""Client connections that are closed, or have a framing error, at the time at which a request arrives.

Each test forces an order of events on real connections: with a fake that controls when bytes arrive, or with
a hook that stops the program at a certain point (tests/fakes/program_with_breakpoints.py).
"""

import time

from cypressledge.net.jsonrpc.connection import MESSAGE_TIMEOUT
from cypressledge.net.receive_buffer import READ_SIZE
from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import ROW, answer_on_release
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import wait_until
from tests.race_conditions.scenarios import METRICS_OFTEN, limits


class IdleConnections(BrokerTestCase):
    """Idle connections are closed to make room for others, but never with an unread request."""

    def test_a_client_whose_request_is_read_but_not_parsed_is_not_evicted(self):
        """Regression: a read that fills its buffer yields to other greenlets. The listener then considered
        the client idle, and closed the connection although the start of a request had been read."""
        engine = self.engine()
        broker = self.broker(
            engine,
            env=METRICS_OFTEN,
            change=limits(sockets=64),
            hooks={"pause": "cypressledge.net.socket_io:let_others_run"},
        )
        client = self.client(broker)
        client.send("status")
        client.get()
        statement = b"SELECT '" + b"x" * 2 * READ_SIZE + b"' FROM sales_17.orders"
        message, _ = client.capture(lambda: client.ask(statement=statement))
        client.sock.sendall(message[:READ_SIZE])  # as much as one read asks for
        broker.wait_for_hook("pause")
        others = []

        def evicted():  # happens once there are more clients than the limit
            others.append(self.client(broker))
            others[-1].send("status")
            return broker.count("clients.evicted")

        wait_until(evicted, "an eviction")
        client.sock.sendall(message[READ_SIZE:])
        broker.release_hook("pause")
        assert "result" in client.get()

    def test_a_request_that_arrives_as_its_idle_client_is_closed_is_answered(self):
        """Regression: the request was read and then dropped without an answer."""
        engine = self.engine()
        broker = self.broker(
            engine, hooks={"idle": "cypressledge.net.jsonrpc.connection:JsonRpcConnection.drain!"}
        )
        client = self.client(broker)
        client.sock.settimeout(20)
        client.ask()
        client.get()
        broker.wait_for_hook("idle")  # reached after ten seconds
        client.ask()
        broker.release_hook("idle")
        assert result_rows(client.get()) == ROW
        assert client.get() is None


class LostFraming(BrokerTestCase):
    """After a framing error nothing more is read, but accepted requests are answered."""

    def test_a_message_written_slowly_while_a_call_is_open_is_answered(self):
        """Regression: a message that took over two seconds was dropped, also where it was completed while the
        connection was still open for the answer to another call."""
        engine = self.engine(answer_on_release)
        engine.released = False
        client = self.client(self.broker(engine))
        running = client.ask("report", wait=20_000)
        wait_until(lambda: engine.wants, "the query")
        message, slow = client.capture(lambda: client.ask("report", wait=20_000))
        client.sock.sendall(message[:100])
        time.sleep(2 * MESSAGE_TIMEOUT + 0.5)
        client.sock.sendall(message[100:])
        engine.released = True
        assert {client.get()["id"] for _ in range(2)} == {running, slow}

    def test_an_incomplete_message_ends_the_connection_after_the_answers_to_open_calls(self):
        client = self.client(self.broker(self.engine()))
        call = client.ask()
        client.raw(b"", b"Content-Length: 90\r\n\r\n{")
        answers = [client.get(), client.get()]
        assert [answer["id"] for answer in answers] == [call, None]
        assert client.get() is None

    def test_requests_accepted_before_a_framing_error_are_answered(self):
        engine = self.engine(answer_on_release)
        engine.released = False
        client = self.client(self.broker(engine))
        client.ask()
        wait_until(lambda: engine.wants, "the query")
        client.raw(b"", b"no head at all\r\n\r\n")
        assert client.get()["id"] is None
        engine.released = True
        assert result_rows(client.get()) == b"1\tbread\t12.5\n"
        assert client.get() is None
