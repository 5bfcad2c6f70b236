"""Signals and process starts that coincide with other events.

Each test forces an order of events on real connections: with a fake that controls when bytes arrive, or with
a hook that stops the program at a certain point (tests/fakes/program_with_breakpoints.py).
"""

import json
import os
import signal
import socket
import time
from types import SimpleNamespace

from cypressledge.lab.site import free_port
from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import ROW, FakeLineEngine, answer_on_release, never_answer, page_rows
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import WAIT, wait_until
from tests.race_conditions.scenarios import METRICS_OFTEN, cpu_ticks, site


class GracefulShutdown(BrokerTestCase):
    """Accepted requests are answered; later ones are rejected, or their connections are closed without a
    reset."""

    def stop(self, broker):
        """Send SIGTERM, and wait until the broker drains, which closes the connection of an idle client."""
        idle = self.client(broker)
        idle.send("status")
        idle.get()
        broker.process.send_signal(signal.SIGTERM)
        assert idle.get() is None
        return idle

    def test_idle_clients_are_closed_while_others_wait_for_their_answers(self):
        engine = self.engine(answer_on_release)
        engine.released = False
        broker = self.broker(engine)
        client = self.client(broker)
        client.ask()
        wait_until(lambda: engine.wants, "the query")
        self.stop(broker)
        client.ask()
        assert client.get()["error"]["code"] == -32066
        engine.released = True
        assert result_rows(client.get()) == b"1\tbread\t12.5\n"
        assert client.get() is None
        assert broker.process.wait(10) == 0

    def test_all_requests_read_before_our_side_is_shut_are_answered(self):
        """Regression: of two requests in one read the second was dropped, because the first answer shut down
        the broker's side of the connection."""
        engine = self.engine(answer_on_release)
        engine.released = False
        broker = self.broker(engine)
        client, waiting = self.client(broker), self.client(broker)
        waiting.ask()
        wait_until(lambda: engine.wants, "the query")
        text = b"".join(
            b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            for body in (b'{"jsonrpc":"2.0","id":%d,"method":"status"}' % number for number in (1, 2))
        )
        client.sock.sendall(text[:9])
        self.stop(broker)
        client.sock.sendall(text[9:])
        assert [client.get()["result"] for _ in range(2)] == [{"healthy": False}] * 2
        assert client.get() is None
        engine.released = True
        assert "result" in waiting.get()
        assert broker.process.wait(10) == 0

    def test_a_stop_between_the_decision_and_the_write(self):
        """A request accepted before SIGTERM is still sent to an engine and answered."""
        engine = self.engine()
        broker = self.broker(
            engine, hooks={"write": "cypressledge.net.line_protocol.connection:EngineConnection._may_send!"}
        )
        client = self.client(broker)
        client.ask()
        broker.wait_for_hook("write")
        broker.process.send_signal(signal.SIGTERM)
        broker.release_hook("write")
        assert result_rows(client.get()) == ROW
        assert client.get() is None
        assert broker.process.wait(WAIT) == 0

    def test_a_stop_while_a_page_of_a_result_is_fetched(self):
        """A result whose pages are being fetched is read completely."""

        class Paged(FakeLineEngine):
            released = False

            def serve(self, conn, file):
                def read_line():
                    line = file.readline()
                    if line.startswith(b"turn"):
                        self.page_requested = True
                        wait_until(lambda: self.released, "the release")
                    return line

                super().serve(conn, SimpleNamespace(readline=read_line, read=file.read))

        engine = self.engine(lambda engine, say, name, *_: say(name, "200", "count=2", ROW), kind=Paged)
        broker = self.broker(engine)
        client = self.client(broker)
        client.ask()
        wait_until(lambda: getattr(engine, "page_requested", False), "the request of the next page")
        self.stop(broker)
        engine.released = True
        assert result_rows(client.get()) == ROW + page_rows(1)
        assert broker.process.wait(WAIT) == 0

    def test_requests_at_engines_that_hang_are_answered_before_sigkill(self):
        """Regression: requests with long deadlines at engines that hang were still open at SIGKILL."""
        hanging, good = self.engine(never_answer, name="s-1"), self.engine(name="s-2")
        broker = self.broker(hanging, good, change=site({"report": "single_shot"}))
        client = self.client(broker)
        numbers = [client.ask("report", wait=25_000) for _ in range(6)]
        wait_until(lambda: hanging.wants, "a report that hangs")
        broker.process.send_signal(signal.SIGTERM)
        began = time.monotonic()
        answers = [client.get() for _ in numbers]
        assert client.get() is None
        assert time.monotonic() - began < 3.7
        client.close()
        assert broker.process.wait(WAIT) == 0
        assert sorted(answer["id"] for answer in answers) == numbers
        failed = [
            answer["id"] for answer in answers if "error" in answer and answer["error"]["code"] != -32066
        ]
        assert len(failed) == len(hanging.wants)  # may have been executed, so they fail and are not rejected

    def test_connections_in_the_accept_queue_are_answered(self):
        """Regression: closing the listener reset the connections in its accept queue, to which clients had
        written requests."""
        engine = self.engine()
        broker = self.broker(engine, hooks={"stop": "cypressledge.net.listener:Listener.stop!"})
        broker.process.send_signal(signal.SIGTERM)
        broker.wait_for_hook("stop")
        client = self.client(broker)
        client.ask()
        broker.release_hook("stop")
        assert client.get()["error"]["code"] == -32066
        assert client.get() is None
        assert broker.process.wait(10) == 0
        assert engine.wants == []

    def test_a_signal_that_comes_before_the_broker_is_ready(self):
        """Regression: SIGHUP and SIGTERM ended the process by their default action before the handlers were
        installed."""
        engine = self.engine()
        for number in (signal.SIGHUP, signal.SIGTERM):
            with self.subTest(number):
                broker = self.broker(
                    hooks={
                        "limit": "cypressledge.broker_process.reconfiguration:Reconfiguration.apply_limits!"
                    }
                )
                broker.wait_for_hook("limit")  # the file has been read, and no handler is installed yet
                broker.dns.engines[engine.name] = (engine.port, 0)
                broker.path.write_text(json.dumps(broker.config | {"dns": f"127.0.0.1:{free_port()}"}))
                broker.process.send_signal(number)
                broker.release_hook("limit")
                if number == signal.SIGTERM:
                    assert broker.process.wait(WAIT) == 0
                else:
                    broker.wait_for_log("the new configuration is in force")
                    assert "now polling" in broker.log_text()
                    assert broker.process.poll() is None
                broker.close()

    def test_a_stop_that_comes_during_a_reload_and_a_second_one(self):
        """Signals are handled one after another, each on its own greenlet."""
        engine = self.engine(answer_on_release)
        engine.released = False
        broker = self.broker(
            engine,
            hooks={"check": "cypressledge.broker_process.reconfiguration:Reconfiguration._check_applicable!"},
        )
        client = self.client(broker)
        client.ask()
        wait_until(lambda: engine.wants, "the query")
        broker.process.send_signal(signal.SIGHUP)
        broker.wait_for_hook("check")
        broker.process.send_signal(signal.SIGTERM)
        broker.process.send_signal(signal.SIGTERM)
        broker.release_hook("check")
        broker.wait_for_log("stopping")
        assert "the new configuration is in force" in broker.log_text()
        broker.process.send_signal(signal.SIGTERM)
        engine.released = True
        assert result_rows(client.get()) == ROW
        assert broker.process.wait(WAIT) == 0

    def test_a_client_that_connects_during_a_handover_is_answered(self):
        """Regression: the old process closed a connection that it had just accepted, before its first request
        arrived."""
        engine = self.engine()
        listening = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listening.close)
        os.set_inheritable(listening.fileno(), True)
        broker = self.broker(
            engine,
            env=METRICS_OFTEN | {"ROUTER_SOCKET_FD": str(listening.fileno())},
            inherited_fds=(listening.fileno(),),
            port=listening.getsockname()[1],
        )
        client = self.client(broker)
        broker.wait_for_counter("clients.connections")
        broker.process.send_signal(signal.SIGTERM)
        broker.wait_for_log("stopping")
        client.ask()
        assert result_rows(client.get()) == ROW
        assert client.get() is None
        assert broker.process.wait(WAIT) == 0


class Restarts(BrokerTestCase):
    """Many broker processes start at the same time."""

    def test_thirty_started_together_are_ready_in_time(self):
        """The directory is unreachable throughout. All brokers are ready within 30 s, and nine in ten use
        less than 2 s of processor time, which is 10 s at a fifth of a core. Processor time is measured
        because other tests may run on the machine."""
        engine = self.engine()
        count = min(30, 4 * os.cpu_count())
        began = time.monotonic()
        brokers = [self.broker(change=self.known_list(engine)) for _ in range(count)]
        for broker in brokers:
            broker.dns.is_silent = True
        start_times, processor_times = [], []
        while len(start_times) < count and time.monotonic() - began < 30:
            for broker in brokers:
                if not getattr(broker, "is_ready", False) and broker.healthy():
                    broker.is_ready = True
                    start_times.append(time.monotonic() - began)
                    processor_times.append(cpu_ticks(broker.process.pid) / os.sysconf("SC_CLK_TCK"))
            time.sleep(0.01)
        print(f"ready after {start_times[0]:.1f} to {start_times[-1]:.1f} s")
        print(f"processor time {max(processor_times):.2f} s at most")
        assert len(start_times) == count
        assert sorted(processor_times)[count * 9 // 10 - 1] < 2.0

    @staticmethod
    def known_list(engine):
        """Return a change of the configuration: an engine list with which the broker starts."""
        member = {
            "id": engine.name,
            "host_port": f"127.0.0.1:{engine.port}",
            "locality": "room1",
            "cell": 0,
            "flavor": "node-8c",
            "phase": "Ready",
            "size": 4,
            "up_since_ms": 0,
        }
        return {
            "known": {
                "offset": 1,
                "batch": [{"offset": 1, "topology": {"revision": 1, "complete": True, "members": [member]}}],
            }
        }
