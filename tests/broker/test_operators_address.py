"""The management address (status, maintenance, metrics), and the inherited socket during an upgrade."""

import os
import signal
import socket
import tempfile
import time

from cypressledge.lab.site import free_port
from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import ROW, answer_at_once, answer_on_release
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import WAIT, http_call, wait_until


def status(port):
    """Return the HTTP status of the broker's status call, or None without an answer."""
    try:
        return http_call(port, "GET /status HTTP/1.1\r\nHost: b")[0]
    except OSError:
        return None


class OperatorsAddress(BrokerTestCase):
    """The management address is served independently of the broker's other work."""

    def broker_with_address(self, *engines, extra_env=None, **more):
        """Start a broker with a management address, and return the broker and the port."""
        port = free_port()
        shared = self.enterContext(tempfile.TemporaryDirectory())
        env = {"ROUTER_MANAGEMENT": f"127.0.0.1:{port}", "TMPDIR": shared}
        broker = self.broker(*engines, env=env | (extra_env or {}), **more)
        wait_until(lambda: status(port) == 200, "the management address")
        return broker, port

    def test_status_is_200_while_accepting_clients_and_503_while_stopping(self):
        engine = self.engine(answer_on_release)
        engine.released = False
        broker, port = self.broker_with_address(engine)
        client = self.client(broker)
        client.ask("report", wait=15000)
        wait_until(lambda: engine.wants, "the attempt")
        broker.process.send_signal(signal.SIGTERM)
        wait_until(lambda: status(port) == 503, "503 while stopping")
        engine.released = True
        assert result_rows(client.get()) == ROW
        assert broker.process.wait(WAIT) == 0

    def test_invalid_calls_are_answered_with_an_error_and_closed(self):
        broker, port = self.broker_with_address(self.engine())
        assert http_call(port, "GET /nowhere HTTP/1.1\r\nHost: b")[0] == 404
        assert http_call(port, "DELETE /status HTTP/1.1\r\nHost: b")[0] == 405
        assert http_call(port, "GET /status HTTP/1.1\r\nHost: b", b"x" * 4096)[0] == 413
        assert http_call(port, "BREW \x01 coffee\r\nHost: b")[0] == 400
        assert broker.process.poll() is None

    def test_silent_callers_delay_no_other(self):
        _, port = self.broker_with_address(self.engine())
        silent = [socket.create_connection(("127.0.0.1", port)) for _ in range(24)]
        self.addCleanup(lambda: [sock.close() for sock in silent])
        for sock in silent[:12]:
            sock.sendall(b"GET /sta")  # an incomplete call
        began = time.monotonic()
        assert status(port) == 200
        assert time.monotonic() - began < 1.0


class Upgrade(BrokerTestCase):
    """The platform keeps the clients' listening socket open; each process inherits it."""

    def test_a_new_process_takes_over_the_socket_and_no_client_is_rejected(self):
        engine = self.engine()
        listening = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.addCleanup(listening.close)
        port, fd = listening.getsockname()[1], listening.fileno()
        os.set_inheritable(fd, True)

        def start():
            operators_port = free_port()
            env = {"ROUTER_SOCKET_FD": str(fd), "ROUTER_MANAGEMENT": f"127.0.0.1:{operators_port}"}
            broker = self.broker(engine, env=env, inherited_fds=(fd,), port=port)
            wait_until(lambda: status(operators_port) == 200, "status 200")
            return broker

        old = start()
        client = self.client(old)
        client.ask()
        assert result_rows(client.get()) == ROW
        new = start()
        old.process.send_signal(signal.SIGTERM)
        assert client.file.read(1) == b""  # the idle connection is closed
        for number in range(1, 21):  # each on a new connection, while the old process stops
            client = self.client(new)
            client.ask(id=f"{number:016x}")
            assert result_rows(client.get()) == ROW
        assert old.process.wait(WAIT) == 0
        assert new.process.poll() is None


def call(port, path, body):
    """Make one maintenance call, and return its HTTP status."""
    return http_call(port, f"POST {path} HTTP/1.1\r\nHost: b", body.encode())[0]


class MaintenanceCalls(OperatorsAddress):
    """Engines in maintenance are drained at once, even if listed as ready, and also after an upgrade."""

    def attempts_of(self, queries, broker, engines):
        """Send queries and wait for their answers; return the number of attempts at each engine."""
        client = self.client(broker)
        before = [len(engine.wants) for engine in engines]
        for number in range(1, queries + 1):
            client.ask(id=f"{number:016x}")
            assert result_rows(client.get()) == ROW
        return [len(engine.wants) - count for engine, count in zip(engines, before, strict=True)]

    def test_an_engine_out_of_service_gets_no_new_attempts_until_it_is_put_back(self):
        one, two = self.engine(name="s-1"), self.engine(name="s-2")
        broker, port = self.broker_with_address(one, two)
        assert self.attempts_of(30, broker, (one, two))[0] > 0
        assert call(port, "/maintenance/enter", "s-1") == 200
        assert call(port, "/maintenance/enter", "s-1") == 200
        assert self.attempts_of(30, broker, (one, two)) == [0, 30]
        broker.publish_list(5)  # the directory still lists s-1 as ready
        assert self.attempts_of(20, broker, (one, two)) == [0, 20]
        assert call(port, "/maintenance/exit", "s-1") == 200  # once, although it was taken out twice
        wait_until(lambda: self.attempts_of(10, broker, (one, two))[0] > 0, "work for s-1 again")

    def test_unknown_or_invalid_ids_are_answered_with_an_error(self):
        _, port = self.broker_with_address(self.engine())
        assert call(port, "/maintenance/enter", "s-9") == 404
        assert call(port, "/maintenance/exit", "nobody") == 404
        assert call(port, "/maintenance/enter", "") == 400
        assert call(port, "/maintenance/enter", "s 1\x00") == 400
        assert http_call(port, "GET /maintenance/enter HTTP/1.1\r\nHost: b")[0] == 405

    def test_maintenance_outlives_the_process(self):
        one, two = self.engine(name="s-1"), self.engine(name="s-2")
        shared = self.enterContext(tempfile.TemporaryDirectory())
        broker, port = self.broker_with_address(one, two, extra_env={"TMPDIR": shared})
        assert call(port, "/maintenance/enter", "s-2") == 200
        broker.process.send_signal(signal.SIGTERM)
        assert broker.process.wait(WAIT) == 0
        again, _ = self.broker_with_address(one, two, extra_env={"TMPDIR": shared})
        assert self.attempts_of(20, again, (one, two)) == [20, 0]


def metrics(port):
    """Return the broker's metrics by name."""
    http_status, body = http_call(port, "GET /status/metrics HTTP/1.1\r\nHost: b")
    assert http_status == 200
    return {
        name: int(value.split("|")[0])
        for name, value in (line.split(":") for line in body.decode().splitlines())
    }


class Metrics(OperatorsAddress):
    """Counters and gauges of requests, attempts and engines at the management address."""

    def test_counts_and_gauges(self):
        def answer_slow_on_release(engine, say, name, fields, statement):
            (answer_on_release if statement.startswith(b"SELECT slow") else answer_at_once)(
                engine, say, name, fields, statement
            )

        one, two = (self.engine(answer_slow_on_release, name=name) for name in ("s-1", "s-2"))
        one.released = two.released = False
        broker, port = self.broker_with_address(one, two)
        first = metrics(port)
        assert first["svc.replies.lookup.success"] == 0
        assert (first["svc.targets"], first["svc.targets_disabled"]) == (2, 0)
        client = self.client(broker)
        for number in range(1, 7):
            client.ask(id=f"{number:016x}")
            assert result_rows(client.get()) == ROW
        waiting = self.client(broker)
        waiting.ask("report", statement=b"SELECT slow FROM sales_17.orders", id=f"{99:016x}", wait=15000)
        wait_until(
            lambda: any(b"slow" in want[3] for engine in (one, two) for want in engine.wants),
            "the report's attempt",
        )
        assert metrics(port)["svc.concurrent"] == 1
        call(port, "/maintenance/enter", "s-1")
        now = metrics(port)
        assert now["svc.replies.lookup.success"] == 6
        assert now["svc.replies.lookup.dispatches"] == 6
        assert now["svc.replies.report.dispatches"] == 1
        assert now["svc.dispatches"] == 7
        assert (now["svc.targets"], now["svc.targets_disabled"]) == (2, 1)
        one.released = two.released = True
        assert result_rows(waiting.get()) == ROW
        wait_until(lambda: metrics(port)["svc.replies.report.success"] == 1, "the report counted")
        assert metrics(port)["svc.concurrent"] == 0

    def test_counters_are_logged_periodically_when_configured(self):
        engine = self.engine()
        broker = self.broker(engine, env={"ROUTER_FIGURES_S": "0.2"})
        client = self.client(broker)
        client.ask(id=f"{1:016x}")
        assert result_rows(client.get()) == ROW
        wait_until(
            lambda: "counters (every 0.2s): " in broker.log_text()
            and "replies.lookup.success=1" in broker.log_text().splitlines()[-1],
            "a counters line",
        )
