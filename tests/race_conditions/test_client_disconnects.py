"""Clients that disconnect or withdraw a request while the broker processes it.

Each test forces an order of events on real connections: with a fake that controls when bytes arrive, or with
a hook that stops the program at a certain point (tests/fakes/program_with_breakpoints.py).
"""

import socket

from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import answer_at_once, answer_with, never_answer
from tests.fakes.support import reset_connection, wait_until
from tests.race_conditions.scenarios import CONNECT, METRICS_OFTEN, site


class ClientDisconnects(BrokerTestCase):
    """No attempt starts for a client that has disconnected or withdrawn its request."""

    def test_no_attempt_starts_for_a_client_that_disconnected_while_the_connection_came_up(self):
        """Regression: attempts that are not idempotent are never cancelled, so one that waited for its
        connection was sent although the client had disconnected."""
        ways = {
            "close": lambda client: client.close(),
            "half-close": lambda client: client.sock.shutdown(socket.SHUT_WR),
            "reset": lambda client: (client.file.close(), reset_connection(client.sock)),
            "withdraw": lambda client: client.send("withdraw", {"id": client.number}),
        }
        for way, disconnect in ways.items():
            for idempotency in ("single_shot", "free"):
                with self.subTest(way=way, idempotency=idempotency):
                    engine = self.engine()
                    broker = self.broker(
                        engine,
                        change=site({"lookup": idempotency}, ConnectTimeout=5_000_000),
                        env=METRICS_OFTEN,
                        hooks={"connect": CONNECT},
                    )
                    client, other = self.client(broker), self.client(broker)
                    client.ask(statement=b"SELECT gone")
                    broker.wait_for_hook("connect")
                    disconnect(client)
                    broker.wait_for_counter("client_disconnects")
                    broker.release_hook("connect")
                    other.ask(statement=b"SELECT stays")
                    assert "result" in other.get()
                    assert [want[3] for want in engine.wants] == [b"SELECT stays"]
                    broker.close()

    def test_a_burst_of_disconnects_frees_all_its_capacity(self):
        """Each disconnect withdraws all requests of the connection, and none of them is started later."""
        engine = self.engine(never_answer)
        broker = self.broker(engine, env=METRICS_OFTEN)
        clients = [self.client(broker) for _ in range(12)]
        for client in clients:
            for _ in range(25):
                client.ask("report", wait=20_000)
        wait_until(lambda: broker.count("open_requests") == 300, "300 open requests")
        for client in clients:
            client.close()
        wait_until(
            lambda: broker.count("open_requests") == broker.count("clients.connections") == 0, "none open"
        )
        engine.play = answer_at_once
        sent = broker.count("replies.report.dispatches")
        last = self.client(broker)
        last.ask(statement=b"SELECT last")
        assert "result" in last.get()
        assert broker.count("client_disconnects") == 300
        broker.wait_for_counter("replies.lookup.dispatches")
        wait_until(lambda: len(engine.wants) >= sent + 1, "all sent attempts")  # some may still be read
        assert len(engine.wants) == sent + 1
        assert broker.count("replies.report.dispatches") == sent

    def test_disconnect_between_the_first_failure_and_the_retry(self):
        """The decision module handles the disconnect before it looks for capacity for the retry."""
        engine = self.engine(answer_with("503"))  # rejected: the retry waits for 250 ms
        broker = self.broker(engine, env=METRICS_OFTEN)
        client, other = self.client(broker), self.client(broker)
        client.ask(statement=b"SELECT gone")
        broker.wait_for_counter("attempt.rejected")
        client.close()
        broker.wait_for_counter("client_disconnects")
        engine.play = answer_at_once
        other.ask(statement=b"SELECT stays")
        assert "result" in other.get()
        assert [want[3] for want in engine.wants] == [b"SELECT gone", b"SELECT stays"]
