"""Some clients exhaust descriptors, buffers or memory that others need.

Each test forces an order of events on real connections: with a fake that controls when bytes arrive, or with
a hook that stops the program at a certain point (tests/fakes/program_with_breakpoints.py).
"""

import os
import resource
import time

from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import ROW, answer_at_once, answer_on_release, answer_with
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import wait_until
from tests.race_conditions.scenarios import METRICS_OFTEN, cpu_ticks, limits, site


def permanent_descriptors(pid):
    """Return the descriptors that a process has open throughout a second, without those used for polls."""
    listings = []
    for _ in range(20):
        listings.append(set(map(int, os.listdir(f"/proc/{pid}/fd"))))
        time.sleep(0.05)
    return set.intersection(*listings)


class DescriptorExhaustion(BrokerTestCase):
    """If idle clients exhaust the descriptors, the directory and the engines still get theirs."""

    def test_idle_clients_leave_descriptors_for_the_directory_and_new_engines(self):
        engine, new = self.engine(name="s-1"), self.engine(name="s-2")
        broker = self.broker(engine, max_open_fds=64, env=METRICS_OFTEN)  # the configuration allows 1024
        broker.dns.is_silent = True  # discovery is down, and no engine has a connection yet
        idle = []
        for _ in range(80):
            idle.append(self.client(broker))
            idle[-1].send("status")
        wait_until(
            lambda: broker.count("clients.rejected") + broker.count("clients.evicted"), "the connection limit"
        )

        def is_answered():  # a new client may be rejected while all other clients are new, too
            client = self.client(broker)
            try:
                client.ask()
                return "result" in (client.get() or {})
            except OSError:
                return False
            finally:
                client.close()

        wait_until(is_answered, "an answer")
        del broker.dns.engines[engine.name]
        broker.dns.engines[new.name] = (new.port, 0)
        broker.dns.serial, broker.dns.is_silent = 2, False
        wait_until(lambda: is_answered() and new.wants, "the new engine's answer")
        used = len(os.listdir(f"/proc/{broker.process.pid}/fd"))
        assert used < 64
        for client in idle:
            client.close()
        wait_until(lambda: broker.count("clients.connections") <= 2, "all closed connections")
        assert not [line for line in broker.log_text().splitlines() if "accept_error" in line]
        assert broker.process.poll() is None

    def test_idle_connections_to_some_engines_leave_capacity_for_the_others(self):
        """Regression: idle connections to engines that rejected everything used up the connection limit for
        half a minute."""
        engines = [self.engine(answer_with("503"), name=f"s-{number}") for number in range(15)] + [
            self.engine(name="s-15")
        ]
        change = site(MaxAttempts=8) | limits(sockets=20)
        change["settings"]["Rules"] |= {"MinExtra": 1_000}
        client = self.client(self.broker(*engines, change=change))

        def served():
            client.ask()
            return "result" in client.get()

        wait_until(served, "an answer of the only engine that accepts requests")

    def test_accept_without_a_descriptor_neither_spins_nor_ends_the_process(self):
        engine = self.engine(answer_on_release)
        engine.released = False
        broker = self.broker(engine, env=METRICS_OFTEN)
        client = self.client(broker)
        client.ask()
        wait_until(lambda: engine.wants, "the query")
        pid = broker.process.pid
        permanent = permanent_descriptors(pid)
        free = next(descriptor for descriptor in range(1024) if descriptor not in permanent)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (free, 1024))
        waiting = self.client(broker)
        broker.wait_for_counter("clients.accept_error.24")
        ticks = cpu_ticks(pid)
        broker.wait_for_counter("clients.accept_error.24", broker.count("clients.accept_error.24") + 10)
        assert cpu_ticks(pid) - ticks < 50  # half a second of processor time, over at least half a second
        engine.released = True
        assert "result" in client.get()  # connected clients are served
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (1024, 1024))
        waiting.ask()
        assert "result" in waiting.get()


class BufferExhaustion(BrokerTestCase):
    """The data that one client sends or does not read takes no memory from other clients."""

    def test_incomplete_messages_that_fill_all_buffers_cut_off_no_engine_s_response(self):
        """Regression: buffers for engine responses used the same budget, so that responses were truncated."""
        engine = self.engine(lambda engine, say, name, *_: say(name, "200", "count=1", ROW * 450))
        broker = self.broker(engine, env=METRICS_OFTEN, change=limits(memory_mb=30))
        client = self.client(broker)
        client.send("status")
        client.get()

        def full():
            client = self.client(broker)
            client.sock.sendall(b"Content-Length: 500000\r\n\r\n" + b"x" * 250_000)
            return broker.count("clients.messages_skipped")

        wait_until(full, "all buffers full")
        client.ask(wait=1500)
        assert result_rows(client.get()) == ROW * 450
        assert len(engine.wants) == 1

    def test_a_complete_request_is_answered_while_incomplete_messages_fill_all_buffers(self):
        """Regression: once others had used up the buffers, a whole request was dropped without an answer."""
        engine = self.engine(answer_on_release)
        engine.released = False
        broker = self.broker(engine, change=limits(memory_mb=30))  # 512 KB for all buffers
        client, other_client = self.client(broker), self.client(broker)
        client.ask("report", wait=20_000)
        wait_until(lambda: engine.wants, "the first query at the engine")
        self.send_incomplete_messages(broker, other_client, count=5, size=400_000)
        order = client.ask("report", statement=b"SELECT '" + b"x" * 64_000 + b"'", wait=20_000)
        self.wait_for_turns(other_client)
        engine.released = True
        answers = [client.get(), client.get()]
        assert {answer["id"] for answer in answers} == {1, order}
        assert all("result" in answer for answer in answers)

    def test_a_message_too_large_for_the_buffers_is_rejected_under_its_id_and_the_next_is_served(self):
        """Regression: a message that the buffers could not hold ended its connection unanswered."""
        broker = self.broker(self.engine(), change=limits(memory_mb=30))
        client, other_client = self.client(broker), self.client(broker)
        self.send_incomplete_messages(broker, other_client, count=4, size=200_000)
        large = client.ask("report", statement=b"SELECT '" + b"/" * 300_000 + b"'")
        small = client.ask()
        answers = {answer["id"]: answer for answer in (client.get(), client.get())}
        assert answers[large]["error"]["code"] == -32066
        assert result_rows(answers[small]) == ROW

    def send_incomplete_messages(self, broker, other_client, count, size):
        """Have `count` clients write the beginning of a message, and wait until the broker has read it."""
        for _ in range(count):
            head = b"Content-Length: 500000\r\n\r\n"
            self.client(broker).sock.sendall(head + b'{"id":1,"x":"' + b"x" * size)
        self.wait_for_turns(other_client)

    @staticmethod
    def wait_for_turns(client):
        """Wait until the broker has read what others have written: it reads from each connection in turn."""
        for _ in range(200):
            client.send("status")
            client.get()

    def test_rejections_for_the_statement_bytes_of_a_connection_end_nothing(self):
        """Regression: after 17 such rejections, whole requests of the same client were dropped unanswered."""
        engine = self.engine(answer_on_release)
        engine.released = False
        broker = self.broker(
            engine, change=limits(memory_mb=30)
        )  # a connection may hold 128 KB of statements
        client = self.client(broker)
        statement = b"SELECT '" + b"x" * 70_000 + b"'"
        held = {client.ask("report", statement=statement, wait=20_000) for _ in range(2)}
        rejected = {client.ask("report", statement=statement, wait=20_000) for _ in range(40)}
        rejections = [client.get() for _ in rejected]
        assert {answer["id"] for answer in rejections} == rejected
        assert all(answer["error"]["code"] == -32066 for answer in rejections)
        engine.released = True
        assert {client.get()["id"] for _ in held} == held
        client.ask()
        assert result_rows(client.get()) == ROW

    def test_one_client_s_statements_leave_capacity_for_the_others(self):
        """Regression: thirty large statements on one connection exhausted the limit, and other clients were
        rejected."""
        engine = self.engine(
            lambda engine, say, name, fields, statement: None
            if b"xx" in statement
            else answer_at_once(engine, say, name, fields, statement)
        )
        broker = self.broker(engine, change=limits(memory_mb=60))
        flooding_client, other_client = self.client(broker), self.client(broker)
        for _ in range(30):
            flooding_client.ask("report", statement=b"SELECT '" + b"x" * 300_000 + b"'", wait=20_000)
        assert flooding_client.get()["error"]["code"] == -32066
        other_client.ask()
        assert result_rows(other_client.get()) == ROW
