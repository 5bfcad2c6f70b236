"""An answer belongs to the attempt that it was given to, whatever else comes on its connection.

Each test makes its order of events happen every time, on real connections: by a fake that decides when the
next byte comes, or by a hook at the point in question (tests/fakes/program_with_breakpoints.py).
"""

from tests.race_conditions.scenarios import NOT_IDEMPOTENT, site
from tests.stands import (
    Case,
    hang_up,
    silent,
    whole,
)


class AttemptIsolation(Case):
    """The response of one attempt is never taken for another's."""

    def test_a_duplicate_response_is_not_taken_for_the_retry_s(self):
        """Regression: a retry used the connection on which its request had been answered. A duplicate of the
        503, milliseconds late, ended the running retry, and a class that is not idempotent was sent again."""

        def play(engine, say, name, fields, statement):
            if len(engine.wants) == 1:
                return say(name, "503")
            engine.wants[0][0].sendall(f"{name} 503 - 0\r\n\r\n".encode())
            return whole(engine, say, name, fields, statement)

        engine = self.engine(play)
        client = self.client(self.broker(engine, change=site(NOT_IDEMPOTENT)))
        client.ask()
        assert "result" in client.get()
        assert len(engine.wants) == 2
        assert engine.wants[0][0] is not engine.wants[1][0]

    def test_the_engine_closes_an_idle_connection_as_an_attempt_is_written(self):
        """Regression: the request was written after the engine's FIN. The reset left it unknown whether it
        ran."""
        engine = self.engine()
        leaves = "cypressledge.net.line_protocol.connection:EngineConnection._may_send#2!"
        broker = self.broker(engine, change=site(NOT_IDEMPOTENT), hooks={"leaves": leaves})
        client = self.client(broker)
        client.ask()
        assert "result" in client.get()
        client.ask()
        broker.reached("leaves")
        hang_up(engine.wants[0][0])
        broker.go("leaves")
        assert "result" in client.get()
        assert len(engine.wants) == 2

    def test_a_restarted_engine_gets_nothing_on_its_former_connections(self):
        """Regression: connections to a machine that vanished stay open, and its new process never reads
        them."""
        engine = self.engine()
        broker = self.broker(engine)
        client = self.client(broker)
        client.ask()
        assert "result" in client.get()
        engine.play = silent  # on the old connection; the new process answers
        old = engine.wants[0][0]
        engine.play = lambda e, say, *a: None if e.wants[-1][0] is old else whole(e, say, *a)
        broker.dns.born = 1_700_000_000_000
        broker.relist(2)
        client.ask()
        assert "result" in client.get()
        assert len(engine.wants) == 2
