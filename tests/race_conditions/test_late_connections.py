"""Connections to engines that are established late or never.

Each test forces an order of events on real connections: with a fake that controls when bytes arrive, or with
a hook that stops the program at a certain point (tests/fakes/program_with_breakpoints.py).
"""

import socket

from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import answer_on_release
from tests.fakes.support import close_connection, wait_until
from tests.race_conditions.scenarios import CONNECT, METRICS_OFTEN


class LateConnections(BrokerTestCase):
    """A late or failed connection is no evidence against an engine that responds on other connections."""

    def test_attempts_that_wait_for_a_late_connection_use_one_that_responds(self):
        """Regression: one late connection ejected its engine for a second, and caused a slow start."""
        engine = self.engine(answer_on_release)
        engine.released = False
        broker = self.broker(engine, env=METRICS_OFTEN, hooks={"connect": CONNECT + "#2"})
        client = self.client(broker)
        for _ in range(9):  # the ninth needs a second connection
            client.ask()
        broker.wait_for_hook("connect")
        wait_until(lambda: engine.wants, "the first query")
        engine.wants[0][0].sendall(f"{engine.wants[0][1]} status note=done,reading=0.1 0\r\n\r\n".encode())
        broker.wait_for_counter("engine_connects_overdue")
        engine.released = True
        for _ in range(9):
            assert "result" in client.get()
        assert len(engine.wants) == 9
        assert "ejected" not in broker.log_text()
        assert "attempt.connect_failed" not in broker.log_text()

    def test_a_connection_that_comes_up_late_is_used_for_the_next_attempts(self):
        """Regression: the connection was closed at its time-out; the next one was as likely to be late."""
        engine = self.engine()
        broker = self.broker(engine, env=METRICS_OFTEN, hooks={"connect": CONNECT + "#1"})
        client = self.client(broker)
        client.ask("report")
        broker.wait_for_hook("connect")
        broker.wait_for_counter("engine_connects_overdue")
        broker.release_hook("connect")
        broker.wait_for_counter("engine_connects_late")
        assert "result" in client.get()
        close_connection(engine.wants[0][0])
        broker.wait_for_counter("engine_close.closed_by_engine")
        client.ask()
        assert "result" in client.get()
        assert [len(engine.wants), len(engine.open)] == [2, 2]

    def test_one_late_connection_does_not_eject_its_engine(self):
        """Regression: the engine was ejected until it responded, and was then under slow start for the full
        window."""
        first, second = self.engine(name="s-1"), self.engine(name="s-2")
        broker = self.broker(first, second, env=METRICS_OFTEN, hooks={"connect": CONNECT + "#1"})
        client = self.client(broker)
        client.ask()
        broker.wait_for_hook("connect")
        assert "result" in client.get()  # from the other engine
        assert len(first.wants) + len(second.wants) == 1
        broker.release_hook("connect")
        broker.wait_for_counter("engine_connects_late")
        assert "ejected" not in broker.log_text()

    def test_an_unreachable_engine_is_ejected(self):
        """A listener with a full accept queue stands for an unreachable machine."""
        unreachable, healthy = self.engine(name="s-1"), self.engine(name="s-2")
        unreachable.close()
        full = socket.create_server(("127.0.0.1", unreachable.port), backlog=0)
        self.addCleanup(full.close)
        queue_fillers = [socket.socket() for _ in range(4)]
        for queue_filler in queue_fillers:
            self.addCleanup(queue_filler.close)
            queue_filler.setblocking(False)
            queue_filler.connect_ex(("127.0.0.1", unreachable.port))
        broker = self.broker(unreachable, healthy)
        client = self.client(broker)

        def ejected():
            client.ask()
            assert "result" in client.get()
            return "ejected" in broker.log_text()

        wait_until(ejected, "the engine ejected")
