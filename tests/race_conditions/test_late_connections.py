"""Connections to engines that come up late, or never.

Each test makes its order of events happen every time, on real connections: by a fake that decides when the
next byte comes, or by a hook at the point in question (tests/fakes/program_with_breakpoints.py).
"""

import socket

from tests.race_conditions.scenarios import CONNECT, METRICS_OFTEN
from tests.stands import (
    Case,
    hang_up,
    held,
    until,
)


class LateConnections(Case):
    """While an engine responds elsewhere, a connection that is late or fails is no evidence against it."""

    def test_attempts_that_wait_for_a_late_connection_use_one_that_responds(self):
        """Regression: one late connection ejected its engine for a second, and put it under slow start."""
        engine = self.engine(held)
        engine.released = False
        broker = self.broker(engine, env=METRICS_OFTEN, hooks={"dial": CONNECT + "#2"})
        client = self.client(broker)
        for _ in range(9):  # the ninth needs a second connection
            client.ask()
        broker.reached("dial")
        until(lambda: engine.wants, "the first query")
        engine.wants[0][0].sendall(f"{engine.wants[0][1]} status note=done,reading=0.1 0\r\n\r\n".encode())
        broker.counted("engine_connects_overdue")
        engine.released = True
        for _ in range(9):
            assert "result" in client.get()
        assert len(engine.wants) == 9
        assert "ejected" not in broker.words()
        assert "attempt.connect_failed" not in broker.words()

    def test_a_connection_that_comes_up_late_is_used_for_the_next_attempts(self):
        """Regression: it was closed at its time-out, and the next one was as likely to be late."""
        engine = self.engine()
        broker = self.broker(engine, env=METRICS_OFTEN, hooks={"dial": CONNECT + "#1"})
        client = self.client(broker)
        client.ask("report")
        broker.reached("dial")
        broker.counted("engine_connects_overdue")
        broker.go("dial")
        broker.counted("engine_connects_late")
        assert "result" in client.get()
        hang_up(engine.wants[0][0])
        broker.counted("engine_close.closed_by_engine")
        client.ask()
        assert "result" in client.get()
        assert [len(engine.wants), len(engine.open)] == [2, 2]

    def test_one_late_connection_does_not_eject_its_engine(self):
        """Regression: the engine was ejected until it responded, and under slow start for the whole
        window."""
        one, two = self.engine(name="s-1"), self.engine(name="s-2")
        broker = self.broker(one, two, env=METRICS_OFTEN, hooks={"dial": CONNECT + "#1"})
        client = self.client(broker)
        client.ask()
        broker.reached("dial")
        assert "result" in client.get()  # elsewhere
        assert len(one.wants) + len(two.wants) == 1
        broker.go("dial")
        broker.counted("engine_connects_late")
        assert "ejected" not in broker.words()

    def test_an_unreachable_engine_is_ejected(self):
        """A listener whose accept queue is full stands for a machine that has vanished."""
        gone, good = self.engine(name="s-1"), self.engine(name="s-2")
        gone.close()
        full = socket.create_server(("127.0.0.1", gone.port), backlog=0)
        self.addCleanup(full.close)
        plugs = [socket.socket() for _ in range(4)]
        for plug in plugs:
            self.addCleanup(plug.close)
            plug.setblocking(False)
            plug.connect_ex(("127.0.0.1", gone.port))
        broker = self.broker(gone, good)
        client = self.client(broker)

        def ejected():
            client.ask()
            assert "result" in client.get()
            return "ejected" in broker.words()

        until(ejected, "the engine ejected")
