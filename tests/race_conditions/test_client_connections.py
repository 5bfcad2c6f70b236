"""Client connections that are closed, or whose framing is lost, as a request arrives.

Each test makes its order of events happen every time, on real connections: by a fake that decides when the
next byte comes, or by a hook at the point in question (tests/fakes/program_with_breakpoints.py).
"""

from tests.race_conditions.scenarios import METRICS_OFTEN
from tests.stands import (
    ROW,
    Case,
    content,
    held,
    until,
)


class IdleConnections(Case):
    """Idle connections are closed to make room, but never with a request unread."""

    def test_a_client_whose_request_is_read_but_not_parsed_is_not_evicted(self):
        """Regression: a read that filled its buffer yields to other greenlets. The listener took the client
        for an idle one, and closed it with the beginning of its request unread."""
        engine = self.engine()
        broker = self.broker(
            engine,
            env=METRICS_OFTEN,
            change={"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 64}},
            hooks={"pause": "cypressledge.net.socket_io:sleep"},
        )
        client = self.client(broker)
        client.send("status")
        client.get()
        sent = []
        real, client.sock = client.sock, type("Kept", (), {"sendall": sent.append})()
        client.ask(statement=b"SELECT '" + b"x" * 8000 + b"' FROM sales_17.orders")
        client.sock = real
        client.sock.sendall(sent[0][:4096])  # fills the first buffer
        broker.reached("pause")
        crowd = []

        def crowded():  # more than there are places
            crowd.append(self.client(broker))
            crowd[-1].send("status")
            return broker.count("clients.evicted")

        until(crowded, "room made")
        client.sock.sendall(sent[0][4096:])
        broker.go("pause")
        assert "result" in client.get()

    def test_a_request_that_arrives_as_its_idle_client_is_closed_is_answered(self):
        """Regression: the request was read and dropped."""
        engine = self.engine()
        broker = self.broker(
            engine, hooks={"idle": "cypressledge.net.jsonrpc.connection:JsonRpcConnection.drain!"}
        )
        client = self.client(broker)
        client.sock.settimeout(20)
        client.ask()
        client.get()
        broker.reached("idle")  # after ten seconds
        client.ask()
        broker.go("idle")
        assert content(client.get()) == ROW
        assert client.get() is None


class LostFraming(Case):
    """After a framing error nothing more is read, but what was accepted is answered."""

    def test_requests_accepted_before_a_framing_error_are_answered(self):
        engine = self.engine(held)
        engine.released = False
        client = self.client(self.broker(engine))
        client.ask()
        until(lambda: engine.wants, "the query")
        client.raw(b"", b"no head at all\r\n\r\n")
        assert client.get()["id"] is None
        engine.released = True
        assert content(client.get()) == b"1\tbread\t12.5\n"
        assert client.get() is None
