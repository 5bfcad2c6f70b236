"""The real broker as a process: start, signals, configuration and limits."""

import contextlib
import re
import signal
import subprocess
import sys
from pathlib import Path

from tests.stands import (
    ROOT,
    ROW,
    SETTINGS,
    Broker,
    Case,
    content,
    held,
    silent,
    until,
    whole,
)


def whole_but_loads(engine, say, name, fields, statement):
    if fields["c"] != "order-load":
        whole(engine, say, name, fields, statement)


class Process(Case):
    def test_sigterm_goes_on_serving_then_answers_all_and_exits(self):
        engine = self.engine(held)
        engine.released = False
        broker = self.broker(engine)
        client = self.client(broker)
        client.ask()
        until(lambda: engine.wants, "the attempt")
        broker.process.terminate()
        until(lambda: "stopping" in broker.words(), "the log line")
        late = self.client(broker)  # new connections are still taken
        late.send("status")
        assert not late.get()["result"]["healthy"]
        late.ask()
        engine.released = True
        assert (content(client.get()), content(late.get())) == (ROW, ROW)
        assert broker.process.wait(15) == 0
        assert "counters (exit):" in broker.words()
        assert "served.lookup=2" in broker.words()

    def test_counters_on_request(self):
        broker = self.broker(self.engine())
        client = self.client(broker)
        client.ask()
        client.get()
        broker.process.send_signal(signal.SIGUSR1)
        until(lambda: "counters (asked):" in broker.words(), "the counters")
        assert re.search("accepted.lookup=1 .*attempts.first=1 .*served.lookup=1", broker.words())
        assert "broken." not in broker.words()

    def test_debug_build_serves_too(self):
        client = self.client(self.broker(self.engine(), optimise=False))
        client.ask()
        assert content(client.get()) == ROW

    def test_bad_configuration_is_one_plain_line(self):
        for change, word in (
            ({"listen": "nowhere"}, "HOST:PORT"),
            ({"settings": {}}, "Limits"),
            ({"seed": "xyz"}, "xyz"),
            ({"known": {"batch": [{}]}}, "topology"),
            ({"limits": {}}, "sockets"),
            ({"settings": SETTINGS | {"Step": 0}}, "timer_resolution"),
        ):
            with self.subTest(word):
                broker = Broker(change=change)
                self.addCleanup(broker.close)
                assert broker.process.wait(15) == 2
                lines = broker.words().splitlines()
                assert len(lines) == 1, lines
                assert word in lines[0]

    def test_no_configuration_is_one_plain_line(self):
        run = subprocess.run([sys.executable, "-m", "cypressledge"], cwd=ROOT, env={}, capture_output=True)
        assert (run.returncode, run.stderr) == (2, b"cypressledge: ROUTER_CONFIG is not set\n")

    def test_a_refused_connection_proves_nothing_ran(self):
        dead = self.engine()
        dead.close()
        broker = self.broker(dead)
        client = self.client(broker)
        client.ask("order-load", once="cd" * 16, wait=1200)
        assert client.get()["error"]["code"] == -32066

    def test_a_client_that_does_not_read_stalls_no_other(self):
        big = b"x\ty\tz\n" * 900

        def flood(engine, say, name, fields, statement):
            say(name, "200", "count=1", big)

        broker = self.broker(self.engine(flood))
        deaf, other = self.client(broker), self.client(broker)
        for _ in range(30):
            deaf.ask()
        other.ask()
        assert content(other.get()) == big


class Limits(Case):
    def test_many_incomplete_frames_stay_within_memory(self):
        """Each within its own cap, they would together hold three times what the process may."""
        broker = self.broker(self.engine())
        part = b"Content-Length: 500000\r\n\r\n" + bytes(400_000)
        for _ in range(120):
            with contextlib.suppress(OSError):  # cut off: no room
                self.client(broker).raw(b"", part)
        client = self.client(broker)
        client.ask()
        assert content(client.get()) == ROW
        status = Path(f"/proc/{broker.process.pid}/status").read_text()
        assert int(status.split("VmHWM:")[1].split()[0]) < 192 * 1024

    def test_more_than_32_open_requests_on_a_connection_are_rejected(self):
        client = self.client(self.broker(self.engine(silent)))
        for _ in range(33):
            client.ask()
        answer = client.get()
        assert (answer["id"], answer["error"]["code"]) == (33, -32066)

    def test_clients_beyond_the_descriptors_are_rejected(self):
        """Those with a request open keep their places; those that are idle are let go for others."""
        broker = self.broker(
            self.engine(whole_but_loads), change={"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 50}}
        )
        until(lambda: self._asks(broker), "a place")
        held = [
            client
            for client in (self._asks(broker, "order-load", once="ab" * 16) for _ in range(30))
            if client
        ]
        assert 15 <= len(held) <= 20, len(held)
        held[0].close()
        until(lambda: self._asks(broker), "a free place")
        for _ in range(5):
            until(lambda: self._asks(broker), "the place of one that is idle")

    def _asks(self, broker, method="lookup", **more):
        """A client with a request open, or answered in the case of a lookup; None if it was turned away."""
        client = self.client(broker)
        try:
            client.ask(method, wait=2900, **more)
            client.send("status")
            answer = client.get()
            return client if answer and (method != "lookup" or answer["id"] == 1 or client.get()) else None
        except OSError:
            return None
