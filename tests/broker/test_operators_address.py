"""The operators' parts: the second address, the inherited socket over an upgrade."""

import os
import signal
import socket
import tempfile
import time

from tests.stands import ROW, WAIT, Case, content, free_port, held, http, until, whole


def status(port):
    try:
        return http(port, "GET /status HTTP/1.1\r\nHost: b")[0]
    except OSError:
        return None


class OperatorsAddress(Case):
    """The second address answers operators whatever else the broker does."""

    def operated(self, *engines, env_more=None, **more):
        port = free_port()
        shared = self.enterContext(tempfile.TemporaryDirectory())
        env = {"ROUTER_MANAGEMENT": f"127.0.0.1:{port}", "TMPDIR": shared}
        broker = self.broker(*engines, env=env | (env_more or {}), **more)
        until(lambda: status(port) == 200, "the second address")
        return broker, port

    def test_status_is_200_while_accepting_clients_and_503_while_stopping(self):
        engine = self.engine(held)
        engine.released = False
        broker, port = self.operated(engine)
        client = self.client(broker)
        client.ask("report", wait=15000)
        until(lambda: engine.wants, "the attempt")
        broker.process.send_signal(signal.SIGTERM)
        until(lambda: status(port) == 503, "a no while stopping")
        engine.released = True
        assert content(client.get()) == ROW
        assert broker.process.wait(WAIT) == 0

    def test_invalid_calls_are_answered_with_an_error_and_closed(self):
        broker, port = self.operated(self.engine())
        assert http(port, "GET /nowhere HTTP/1.1\r\nHost: b")[0] == 404
        assert http(port, "DELETE /status HTTP/1.1\r\nHost: b")[0] == 405
        assert http(port, "GET /status HTTP/1.1\r\nHost: b", b"x" * 4096)[0] == 413
        assert http(port, "BREW \x01 coffee\r\nHost: b")[0] == 400
        assert broker.process.poll() is None

    def test_silent_callers_delay_no_other(self):
        _, port = self.operated(self.engine())
        silent = [socket.create_connection(("127.0.0.1", port)) for _ in range(24)]
        self.addCleanup(lambda: [s.close() for s in silent])
        for s in silent[:12]:
            s.sendall(b"GET /sta")  # half a call, and nothing more
        began = time.monotonic()
        assert status(port) == 200
        assert time.monotonic() - began < 1.0


class Upgrade(Case):
    """The platform holds the clients' socket; each process inherits it."""

    def test_a_new_process_takes_over_the_socket_and_no_client_is_refused(self):
        engine = self.engine()
        held = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.addCleanup(held.close)
        port, fd = held.getsockname()[1], held.fileno()
        os.set_inheritable(fd, True)

        def start():
            watch = free_port()
            env = {"ROUTER_SOCKET_FD": str(fd), "ROUTER_MANAGEMENT": f"127.0.0.1:{watch}"}
            broker = self.broker(engine, env=env, keep=(fd,), port=port)
            until(lambda: status(watch) == 200, "a yes")
            return broker

        old = start()
        client = self.client(old)
        client.ask()
        assert content(client.get()) == ROW
        new = start()
        old.process.send_signal(signal.SIGTERM)
        assert client.file.read(1) == b""  # the kept connection ends, nothing owed on it
        for n in range(20):  # across the change, each on a new connection
            fresh = self.client(new)
            fresh.ask(id=f"{n + 1:016x}")
            assert content(fresh.get()) == ROW
        assert old.process.wait(WAIT) == 0
        assert new.process.poll() is None


def call(port, path, body):
    return http(port, f"POST {path} HTTP/1.1\r\nHost: b", body.encode())[0]


class MaintenanceCalls(OperatorsAddress):
    """Engines out by hand: drained at once, whatever the directory says, over an upgrade too."""

    def asked(self, broker, engines, n):
        client = self.client(broker)
        before = [len(e.wants) for e in engines]
        for i in range(n):
            client.ask(id=f"{i + 1:016x}")
            assert content(client.get()) == ROW
        return [len(e.wants) - b for e, b in zip(engines, before, strict=True)]

    def test_an_engine_out_of_service_gets_no_new_attempts_until_it_is_put_back(self):
        one, two = self.engine(name="s-1"), self.engine(name="s-2")
        broker, port = self.operated(one, two)
        assert self.asked(broker, (one, two), 30)[0] > 0
        assert call(port, "/maintenance/enter", "s-1") == 200
        assert call(port, "/maintenance/enter", "s-1") == 200
        assert self.asked(broker, (one, two), 30) == [0, 30]
        broker.relist(5)  # the directory lists s-1 as ready all along
        assert self.asked(broker, (one, two), 20) == [0, 20]
        assert call(port, "/maintenance/exit", "s-1") == 200  # one call back for two out
        until(lambda: self.asked(broker, (one, two), 10)[0] > 0, "work for s-1 again")

    def test_unknown_or_invalid_ids_are_answered_with_an_error(self):
        _, port = self.operated(self.engine())
        assert call(port, "/maintenance/enter", "s-9") == 404
        assert call(port, "/maintenance/exit", "nobody") == 404
        assert call(port, "/maintenance/enter", "") == 400
        assert call(port, "/maintenance/enter", "s 1\x00") == 400
        assert http(port, "GET /maintenance/enter HTTP/1.1\r\nHost: b")[0] == 405

    def test_maintenance_outlives_the_process(self):
        one, two = self.engine(name="s-1"), self.engine(name="s-2")
        shared = self.enterContext(tempfile.TemporaryDirectory())
        broker, port = self.operated(one, two, env_more={"TMPDIR": shared})
        assert call(port, "/maintenance/enter", "s-2") == 200
        broker.process.send_signal(signal.SIGTERM)
        assert broker.process.wait(WAIT) == 0
        again, _ = self.operated(one, two, env_more={"TMPDIR": shared})
        assert self.asked(again, (one, two), 20) == [20, 0]


def metrics(port):
    status_, body = http(port, "GET /status/metrics HTTP/1.1\r\nHost: b")
    assert status_ == 200
    return {
        name: int(value.split("|")[0])
        for name, value in (line.split(":") for line in body.decode().splitlines())
    }


class Metrics(OperatorsAddress):
    """The figures count what happened, where it happened."""

    def test_counts_and_gauges(self):
        def slow(engine, say, name, fields, statement):
            (held if statement.startswith(b"SELECT slow") else whole)(engine, say, name, fields, statement)

        one, two = self.engine(slow, name="s-1"), self.engine(slow, name="s-2")
        one.released = two.released = False
        broker, port = self.operated(one, two)
        first = metrics(port)
        assert first["svc.replies.lookup.success"] == 0
        assert (first["svc.targets"], first["svc.targets_disabled"]) == (2, 0)
        client = self.client(broker)
        for i in range(6):
            client.ask(id=f"{i + 1:016x}")
            assert content(client.get()) == ROW
        waiting = self.client(broker)
        waiting.ask("report", statement=b"SELECT slow FROM sales_17.orders", id=f"{99:016x}", wait=15000)
        until(lambda: any(b"slow" in w[3] for e in (one, two) for w in e.wants), "the report's attempt")
        assert metrics(port)["svc.concurrent"] == 1
        call(port, "/maintenance/enter", "s-1")
        now = metrics(port)
        assert now["svc.replies.lookup.success"] == 6
        assert now["svc.replies.lookup.dispatches"] == 6
        assert now["svc.replies.report.dispatches"] == 1
        assert now["svc.dispatches"] == 7
        assert (now["svc.targets"], now["svc.targets_disabled"]) == (2, 1)
        one.released = two.released = True
        assert content(waiting.get()) == ROW
        until(lambda: metrics(port)["svc.replies.report.success"] == 1, "the report counted")
        assert metrics(port)["svc.concurrent"] == 0

    def test_counters_are_logged_periodically_when_configured(self):
        engine = self.engine()
        broker = self.broker(engine, env={"ROUTER_FIGURES_S": "0.2"})
        client = self.client(broker)
        client.ask(id=f"{1:016x}")
        assert content(client.get()) == ROW
        until(
            lambda: "counters (every 0.2s): " in broker.words()
            and "replies.lookup.success=1" in broker.words().splitlines()[-1],
            "a counters line",
        )
