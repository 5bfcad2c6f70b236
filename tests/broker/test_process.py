"""The real broker process: start, signals, configuration and limits."""

import contextlib
import re
import signal
import subprocess
import sys
from pathlib import Path

from cypressledge.lab.site import SETTINGS
from tests.fakes.broker_process import BrokerProcess, BrokerTestCase
from tests.fakes.fake_engines import ROW, answer_at_once, answer_on_release, never_answer
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import ROOT, wait_until


def answer_all_but_loads(engine, say, name, fields, statement):
    """Answer every query immediately, except loads, which are never answered."""
    if fields["c"] != "order-load":
        answer_at_once(engine, say, name, fields, statement)


class Process(BrokerTestCase):
    def test_sigterm_serves_on_until_all_is_answered_and_exits(self):
        engine = self.engine(answer_on_release)
        engine.released = False
        broker = self.broker(engine)
        client = self.client(broker)
        client.ask()
        wait_until(lambda: engine.wants, "the attempt")
        broker.process.terminate()
        wait_until(lambda: "stopping" in broker.log_text(), "the log line")
        late = self.client(broker)  # new connections are still accepted
        late.send("status")
        assert not late.get()["result"]["healthy"]
        late.ask()
        engine.released = True
        assert (result_rows(client.get()), result_rows(late.get())) == (ROW, ROW)
        assert broker.process.wait(15) == 0
        assert "counters (exit):" in broker.log_text()
        assert "served.lookup=2" in broker.log_text()

    def test_counters_on_request(self):
        broker = self.broker(self.engine())
        client = self.client(broker)
        client.ask()
        client.get()
        broker.process.send_signal(signal.SIGUSR1)
        wait_until(lambda: "counters (asked):" in broker.log_text(), "the counters")
        assert re.search("accepted.lookup=1 .*attempts.first=1 .*served.lookup=1", broker.log_text())
        assert "broken." not in broker.log_text()

    def test_debug_build_serves_too(self):
        client = self.client(self.broker(self.engine(), optimise=False))
        client.ask()
        assert result_rows(client.get()) == ROW

    def test_an_invalid_configuration_is_reported_in_one_log_line(self):
        for change, reason in (
            ({"listen": "nowhere"}, "HOST:PORT"),
            ({"settings": {}}, "Limits"),
            ({"seed": "xyz"}, "xyz"),
            ({"known": {"batch": [{}]}}, "topology"),
            ({"limits": {}}, "sockets"),
            ({"settings": SETTINGS | {"Step": 0}}, "timer_resolution"),
        ):
            with self.subTest(reason):
                broker = BrokerProcess(change=change)
                self.addCleanup(broker.close)
                assert broker.process.wait(15) == 2
                lines = broker.log_text().splitlines()
                assert len(lines) == 1, lines
                assert reason in lines[0]

    def test_a_missing_configuration_is_reported_in_one_log_line(self):
        run = subprocess.run([sys.executable, "-m", "cypressledge"], cwd=ROOT, env={}, capture_output=True)
        assert (run.returncode, run.stderr) == (2, b"cypressledge: ROUTER_CONFIG is not set\n")

    def test_a_refused_connection_proves_that_nothing_was_executed(self):
        stopped_engine = self.engine()
        stopped_engine.close()
        broker = self.broker(stopped_engine)
        client = self.client(broker)
        client.ask("order-load", once="cd" * 16, wait=1200)
        assert client.get()["error"]["code"] == -32066

    def test_a_client_that_does_not_read_stalls_no_other(self):
        large_page = b"x\ty\tz\n" * 900

        def answer_large_page(engine, say, name, fields, statement):
            say(name, "200", "count=1", large_page)

        broker = self.broker(self.engine(answer_large_page))
        unreading, other = self.client(broker), self.client(broker)
        for _ in range(30):
            unreading.ask()
        other.ask()
        assert result_rows(other.get()) == large_page


class Limits(BrokerTestCase):
    def test_many_incomplete_frames_stay_within_memory(self):
        """Each frame is within its own limit; together they would use three times the memory limit."""
        broker = self.broker(self.engine())
        part = b"Content-Length: 500000\r\n\r\n" + bytes(400_000)
        for _ in range(120):
            with contextlib.suppress(OSError):  # closed by the broker for lack of memory
                self.client(broker).raw(b"", part)
        client = self.client(broker)
        client.ask()
        assert result_rows(client.get()) == ROW
        status = Path(f"/proc/{broker.process.pid}/status").read_text()
        assert int(status.split("VmHWM:")[1].split()[0]) < 192 * 1024

    def test_more_than_32_open_requests_on_a_connection_are_rejected(self):
        client = self.client(self.broker(self.engine(never_answer)))
        for _ in range(33):
            client.ask()
        answer = client.get()
        assert (answer["id"], answer["error"]["code"]) == (33, -32066)

    def test_clients_beyond_the_descriptors_are_rejected(self):
        """Clients with an open request stay connected; idle clients are closed to make room for others."""
        broker = self.broker(
            self.engine(answer_all_but_loads),
            change={"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 50}},
        )
        wait_until(lambda: self.client_with_request(broker), "a free connection")
        connected = [
            client
            for client in (self.client_with_request(broker, "order-load", once="ab" * 16) for _ in range(30))
            if client
        ]
        assert 15 <= len(connected) <= 20, len(connected)
        connected[0].close()
        wait_until(lambda: self.client_with_request(broker), "the closed client's connection")
        for _ in range(5):
            wait_until(lambda: self.client_with_request(broker), "the connection of an idle client")

    def client_with_request(self, broker, method="lookup", **more):
        """Return a new client with an open request (a lookup is answered), or None if it was rejected."""
        client = self.client(broker)
        try:
            client.ask(method, wait=2900, **more)
            client.send("status")
            answer = client.get()
            return client if answer and (method != "lookup" or answer["id"] == 1 or client.get()) else None
        except OSError:
            return None
