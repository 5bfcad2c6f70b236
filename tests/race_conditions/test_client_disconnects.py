"""A client that disconnects or withdraws while its request is on its way.

Each test makes its order of events happen every time, on real connections: by a fake that decides when the
next byte comes, or by a hook at the point in question (tests/fakes/program_with_breakpoints.py).
"""

import socket

from tests.race_conditions.scenarios import CONNECT, METRICS_OFTEN, site
from tests.stands import (
    Case,
    failing,
    reset,
    silent,
    until,
    whole,
)


class ClientDisconnects(Case):
    """No attempt starts for a client that has disconnected or withdrawn its request."""

    def test_no_attempt_starts_for_a_client_that_disconnected_while_the_connection_came_up(self):
        """Regression: attempts that are not idempotent are never cancelled, so one that waited for its
        connection was sent all the same."""
        ways = {
            "close": lambda client: client.close(),
            "half-close": lambda client: client.sock.shutdown(socket.SHUT_WR),
            "reset": lambda client: (client.file.close(), reset(client.sock)),
            "withdraw": lambda client: client.send("withdraw", {"id": client.number}),
        }
        for way, leave in ways.items():
            for effect in ("single_shot", "free"):
                with self.subTest(way=way, effect=effect):
                    engine = self.engine()
                    broker = self.broker(
                        engine,
                        change=site({"lookup": effect}, ConnectTimeout=5_000_000),
                        env=METRICS_OFTEN,
                        hooks={"dial": CONNECT},
                    )
                    client, other = self.client(broker), self.client(broker)
                    client.ask(statement=b"SELECT gone")
                    broker.reached("dial")
                    leave(client)
                    broker.counted("client_disconnects")
                    broker.go("dial")
                    other.ask(statement=b"SELECT stays")
                    assert "result" in other.get()
                    assert [w[3] for w in engine.wants] == [b"SELECT stays"]
                    broker.close()

    def test_a_burst_of_disconnects_frees_all_its_capacity(self):
        """Each disconnect withdraws all requests of its connection, and none of them starts later."""
        engine = self.engine(silent)
        broker = self.broker(engine, env=METRICS_OFTEN)
        clients = [self.client(broker) for _ in range(12)]
        for client in clients:
            for _ in range(25):
                client.ask("report", wait=20_000)
        until(lambda: broker.count("open_requests") == 300, "300 open requests")
        for client in clients:
            client.close()
        until(lambda: broker.count("open_requests") == broker.count("clients.connections") == 0, "none open")
        engine.play = whole
        sent = broker.count("replies.report.dispatches")
        last = self.client(broker)
        last.ask(statement=b"SELECT last")
        assert "result" in last.get()
        assert broker.count("client_disconnects") == 300
        broker.counted("replies.lookup.dispatches")
        until(lambda: len(engine.wants) >= sent + 1, "what was sent")  # some may still be read
        assert len(engine.wants) == sent + 1
        assert broker.count("replies.report.dispatches") == sent

    def test_disconnect_between_the_first_failure_and_the_retry(self):
        """The decisions process the disconnect before they look for capacity again."""
        engine = self.engine(failing("503"))  # rejected: the retry waits for 250 ms
        broker = self.broker(engine, env=METRICS_OFTEN)
        client, other = self.client(broker), self.client(broker)
        client.ask(statement=b"SELECT gone")
        broker.counted("attempt.rejected")
        client.close()
        broker.counted("client_disconnects")
        engine.play = whole
        other.ask(statement=b"SELECT stays")
        assert "result" in other.get()
        assert [w[3] for w in engine.wants] == [b"SELECT gone", b"SELECT stays"]
