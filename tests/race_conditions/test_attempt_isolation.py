"""A response is assigned only to the attempt that it was sent for, even with other data on its connection.

Each test forces an order of events on real connections: with a fake that controls when bytes arrive, or with
a hook that stops the program at a certain point (tests/fakes/program_with_breakpoints.py).
"""

from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import answer_at_once
from tests.fakes.support import close_connection
from tests.race_conditions.scenarios import NOT_IDEMPOTENT, site


class AttemptIsolation(BrokerTestCase):
    """The response to one attempt is never taken for the response to another."""

    def test_a_duplicate_response_is_not_taken_for_the_retry_s(self):
        """Regression: a retry used the connection on which its first attempt had been answered. A duplicate
        of the 503 arrived milliseconds later and ended the running retry, so that a request that is not
        idempotent was sent again."""

        def play(engine, say, name, fields, statement):
            if len(engine.wants) == 1:
                return say(name, "503")
            engine.wants[0][0].sendall(f"{name} 503 - 0\r\n\r\n".encode())
            return answer_at_once(engine, say, name, fields, statement)

        engine = self.engine(play)
        client = self.client(self.broker(engine, change=site(NOT_IDEMPOTENT)))
        client.ask()
        assert "result" in client.get()
        assert len(engine.wants) == 2
        assert engine.wants[0][0] is not engine.wants[1][0]

    def test_the_engine_closes_an_idle_connection_as_an_attempt_is_written(self):
        """Regression: the request was written after the engine's FIN. After the reset it was unknown whether
        the request had been executed."""
        engine = self.engine()
        before_write = "cypressledge.net.line_protocol.connection:EngineConnection._may_send#2!"
        broker = self.broker(engine, change=site(NOT_IDEMPOTENT), hooks={"write": before_write})
        client = self.client(broker)
        client.ask()
        assert "result" in client.get()
        client.ask()
        broker.wait_for_hook("write")
        close_connection(engine.wants[0][0])
        broker.release_hook("write")
        assert "result" in client.get()
        assert len(engine.wants) == 2

    def test_a_restarted_engine_gets_nothing_on_its_former_connections(self):
        """Regression: connections to an unreachable machine stay open, and the new process of the engine
        never reads from them."""
        engine = self.engine()
        broker = self.broker(engine)
        client = self.client(broker)
        client.ask()
        assert "result" in client.get()
        former_connection = engine.wants[0][0]

        def answer_on_new_connections(engine, say, name, fields, statement):
            if engine.wants[-1][0] is not former_connection:
                answer_at_once(engine, say, name, fields, statement)

        engine.play = answer_on_new_connections
        broker.dns.engines_started_ms = 1_700_000_000_000
        broker.publish_list(2)
        client.ask()
        assert "result" in client.get()
        assert len(engine.wants) == 2
