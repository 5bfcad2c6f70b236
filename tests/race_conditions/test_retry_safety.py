"""Retries are sent only if the idempotency of the class allows them, whatever engines answer.

Hypothesis generates sequences of engine answers, the real broker receives them on real connections, and the
attempts recorded by the fake engines are checked.
"""

import contextlib
import re
import threading
import time
from itertools import pairwise

from hypothesis import example, given
from hypothesis import strategies as st

from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import ROW, FakeLineEngine
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import close_connection, reset_connection, wait_until
from tests.race_conditions.scenarios import site

NEVER_EXECUTED = {"rejected", "timed_out"}  # answers that prove that the attempt was not executed
IDEMPOTENCY = {"lookup": "free", "report": "single_shot", "order-load": "guarded"}
SCRIPT = re.compile(rb"script ([a-z_,]+)")  # part of a statement: the answers to the attempts of the query


class ScriptedEngines:
    """Fake engines that answer each attempt according to the query's script, and record the attempts."""

    def __init__(self):
        self.lock, self.attempts = threading.Lock(), {}

    def play(self, engine, say, name, fields, statement):
        """Answer the n-th attempt with the n-th answer of the statement's script."""
        conn = engine.wants[-1][0]
        with self.lock:
            attempts = self.attempts.setdefault(name, [])
            before = [attempt["conn"] for attempt in attempts]
            answers = SCRIPT.search(statement)[1].decode().split(",")
            answer = answers[min(len(before), len(answers) - 1)]
            attempts.append({"answer": answer, "key": fields.get("i"), "conn": conn})
        getattr(self, answer)(conn, say, name, before)

    @staticmethod
    def ok(conn, say, name, before):
        say(name, "200", "count=1", ROW)

    @staticmethod
    def rejected(conn, say, name, before):
        say(name, "503")

    @staticmethod
    def timed_out(conn, say, name, before):
        say(name, "504")

    @staticmethod
    def rejected_while_running(conn, say, name, before):
        """Report progress, which shows that the attempt is running, and then reject it."""
        say(name, "status", "note=done,reading=0.4")
        say(name, "503")

    @staticmethod
    def error(conn, say, name, before):
        say(name, "500")

    @staticmethod
    def silent(conn, say, name, before):
        """Never answer; the attempt may be executed."""

    @staticmethod
    def reset(conn, say, name, before):
        close_connection(conn)

    @staticmethod
    def truncated(conn, say, name, before):
        """Close the connection in the middle of the answer."""
        conn.sendall(f"{name} 200 count=1 {len(ROW)}\r\n1\tbr".encode())
        close_connection(conn)

    @staticmethod
    def malformed(conn, say, name, before):
        conn.sendall(f"{name} 200 count=1 4\r\na\tb\n\r\n".encode())

    @staticmethod
    def rejected_twice(conn, say, name, before):
        """Reject the attempt twice; the second answer may arrive during the next attempt with this id."""
        say(name, "503")
        say(name, "503")

    @staticmethod
    def answered_elsewhere_first(conn, say, name, before):
        """Reject this id again on the connections of earlier attempts, and then answer on this one."""
        for other in before:
            with contextlib.suppress(OSError):
                other.sendall(f"{name} 503 - 0\r\n\r\n".encode())
        say(name, "200", "count=1", ROW)


SCRIPTS = st.lists(
    st.sampled_from(
        [
            "ok",
            "rejected",
            "timed_out",
            "rejected_while_running",
            "error",
            "silent",
            "reset",
            "truncated",
            "malformed",
            "rejected_twice",
            "answered_elsewhere_first",
        ]
    ),
    min_size=1,
    max_size=4,
)


class RetrySafety(BrokerTestCase):
    """No request is retried unless its class allows it, and each request has exactly one final answer."""

    def test_retries_keep_to_their_class_s_idempotency_whatever_engines_answer(self):
        script = ScriptedEngines()
        engines = [self.engine(script.play, name=f"s-{number}") for number in range(3)]
        change = site(IDEMPOTENCY, MaxAttempts=4)
        change["settings"]["Rules"] |= {"MinExtra": 1_000, "ResendRatio": 1.0}
        broker = self.broker(*engines, change=change)
        client = self.client(broker)

        @given(st.sampled_from(sorted(IDEMPOTENCY)), SCRIPTS)
        @example("report", ["rejected_while_running", "ok"])
        @example("report", ["rejected", "answered_elsewhere_first"])
        @example("report", ["rejected_twice", "timed_out", "answered_elsewhere_first"])
        def check(class_name, answers):
            more = {"once": f"{client.number:032x}"} if IDEMPOTENCY[class_name] == "guarded" else {}
            statement = b"SELECT 1 -- script " + ",".join(answers).encode()
            number = client.ask(class_name, statement=statement, wait=700, **more)
            name = f"{id(client) & 0xFFFFFFFF:08x}{client.ids:08x}"
            answer = client.get()
            assert answer["id"] == number
            with script.lock:
                attempts = list(script.attempts.get(name, ()))
            assert len(attempts) <= 4
            for attempt, retry in pairwise(attempts):
                if IDEMPOTENCY[class_name] == "single_shot":
                    assert attempt["answer"] in NEVER_EXECUTED | {"rejected_twice"}, attempts
                assert attempt["conn"] is not retry["conn"]
                assert attempt["key"] == retry["key"]
            if "result" in answer:
                assert result_rows(answer) == ROW
                assert attempts[-1]["answer"] in ("ok", "answered_elsewhere_first")
            elif answer["error"]["code"] == -32066 and IDEMPOTENCY[class_name] == "single_shot":
                proofs = NEVER_EXECUTED | {"rejected_twice"}
                assert all(attempt["answer"] in proofs for attempt in attempts), attempts

        check()
        client.send("status")
        assert client.get()["result"] == {"healthy": True}  # no second answer was sent before it
        wait_until(lambda: broker.process.poll() is None, "the broker process running")


class InterruptedConnections(BrokerTestCase):
    """Connections that end during a request or an answer."""

    def test_an_answer_that_is_truncated_at_any_byte_is_never_passed_on(self):
        """The answer to the first attempt is truncated after each number of bytes in turn."""
        complete = f"ID 200 count=1 {len(ROW)}\r\n".encode() + ROW + b"\r\n"
        first_connections = {}

        def play(engine, say, name, fields, statement):
            length = int(statement.split()[-1])
            if first_connections.setdefault(name, engine.wants[-1][0]) is not engine.wants[-1][0]:
                return say(name, "200", "count=1", ROW)
            answer = complete.replace(b"ID", name.encode())
            engine.wants[-1][0].sendall(answer[:length])
            return close_connection(engine.wants[-1][0])

        engines = [self.engine(play, name=f"s-{number}") for number in range(4)]
        change = site()
        change["settings"]["Rules"] |= {"MinExtra": 1_000, "ResendRatio": 1.0}
        broker = self.broker(*engines, change=change)
        client = self.client(broker)
        complete_length = len(complete) + 14  # an id of sixteen digits replaces the two characters ID
        for length in range(complete_length + 1):
            client.ask(statement=f"SELECT {length}".encode())
            assert result_rows(client.get()) == ROW
        assert len(first_connections) == complete_length + 1

    def test_a_load_is_not_rejected_once_engines_may_forget_its_key(self):
        """Regression: it was rejected at the end of the window, and its client's repeat came after that."""
        window_s = 2.5  # longer than the margin of 0.6 s and the Retry-After of 1 s

        def fail_late(engine, say, name, fields, statement):
            if b"late" in statement:
                time.sleep(window_s - 0.5)
            say(name, "500")

        change = site(keyed_class={"MemorySpan": int(window_s * 1e6)})
        client = self.client(self.broker(self.engine(fail_late), change=change))
        for statement, code in ((b"INSERT INTO sales_1.t VALUES (1)", -32066), (b"INSERT late", -32000)):
            client.ask("order-load", once="ab" * 16, wait=15_000, statement=statement)
            assert client.get()["error"]["code"] == code

    def test_a_reset_before_during_or_after_the_write_of_a_request(self):
        """A query cannot have been executed before its first byte is written; afterwards it may have been."""
        for moment, never_executed in (("before", True), ("during", False), ("after", False)):
            for idempotency in ("free", "single_shot"):
                with self.subTest(moment=moment, idempotency=idempotency):
                    is_served = never_executed or idempotency == "free"
                    self.check_reset(moment, idempotency, is_served)

    def check_reset(self, moment, idempotency, is_served):
        class Resetting(FakeLineEngine):
            resets = 0

            def serve(self, conn, file):
                if not self.resets:
                    self.resets += 1
                    if moment == "during":
                        conn.recv(1_000)
                    elif moment == "after":
                        line = file.readline()
                        file.read(int(line.split()[3]) + 2)
                    reset_connection(conn)
                    return
                super().serve(conn, file)

        engine = self.engine(kind=Resetting)
        hooks = (
            {"write": "cypressledge.net.line_protocol.connection:EngineConnection._write_query"}
            if moment == "before"
            else None
        )
        broker = self.broker(engine, change=site({"lookup": idempotency}), hooks=hooks)
        client = self.client(broker)
        client.ask(statement=b"SELECT '" + b"x" * 300_000 + b"' FROM sales_17.orders", wait=3000)
        if moment == "before":  # the reset comes before the first byte is written
            broker.wait_for_hook("write")
            wait_until(lambda: engine.resets, "the reset")
            broker.release_hook("write")
        answer = client.get()
        assert ("result" in answer) == is_served, answer
        assert len(engine.wants) == int(is_served)
        broker.close()
