"""Retries are sent only where the class's idempotency allows them, whatever engines answer.

Hypothesis draws sequences of engines' answers, the real program meets them on real connections, and the fake
engines' record of attempts is checked."""

import contextlib
import re
import threading
from itertools import pairwise

from hypothesis import example, given
from hypothesis import strategies as st

from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import ROW, FakeLineEngine
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import close_connection, reset_connection, wait_until
from tests.race_conditions.scenarios import site

NEVER_RAN = {"full", "over"}  # the proofs an engine's answer gives
EFFECTS = {"lookup": "free", "report": "single_shot", "order-load": "guarded"}
SCRIPT = re.compile(rb"script ([a-z,]+)")


class Ledger:
    """What engines saw of each query, attempt by attempt, and how they answered."""

    def __init__(self):
        self.lock, self.seen = threading.Lock(), {}

    def play(self, engine, say, name, fields, statement):
        """Answer the n-th attempt by the n-th word of the statement's script."""
        conn = engine.wants[-1][0]
        with self.lock:
            told = self.seen.setdefault(name, [])
            before = [a["conn"] for a in told]
            words = SCRIPT.search(statement)[1].decode().split(",")
            way = words[min(len(before), len(words) - 1)]
            told.append({"way": way, "key": fields.get("i"), "conn": conn})
        getattr(self, way)(conn, say, name, before)

    @staticmethod
    def ok(conn, say, name, before):
        say(name, "200", "count=1", ROW)

    @staticmethod
    def full(conn, say, name, before):
        say(name, "503")

    @staticmethod
    def over(conn, say, name, before):
        say(name, "504")

    @staticmethod
    def liar(conn, say, name, before):
        """It runs, as it says itself, and is full then."""
        say(name, "status", "note=done,reading=0.4")
        say(name, "503")

    @staticmethod
    def error(conn, say, name, before):
        say(name, "500")

    @staticmethod
    def silent(conn, say, name, before):
        """It runs, and never says so."""

    @staticmethod
    def reset(conn, say, name, before):
        close_connection(conn)

    @staticmethod
    def cut(conn, say, name, before):
        """The answer breaks off."""
        conn.sendall(f"{name} 200 count=1 {len(ROW)}\r\n1\tbr".encode())
        close_connection(conn)

    @staticmethod
    def spoilt(conn, say, name, before):
        conn.sendall(f"{name} 200 count=1 4\r\na\tb\n\r\n".encode())

    @staticmethod
    def twice(conn, say, name, before):
        """Full, and a second answer to whoever is asked next under this id."""
        say(name, "503")
        say(name, "503")

    @staticmethod
    def crossed(conn, say, name, before):
        """The former attempts' connections tell of this id again before it is answered."""
        for other in before:
            with contextlib.suppress(OSError):
                other.sendall(f"{name} 503 - 0\r\n\r\n".encode())
        say(name, "200", "count=1", ROW)


WAYS = st.lists(
    st.sampled_from(
        ["ok", "full", "over", "liar", "error", "silent", "reset", "cut", "spoilt", "twice", "crossed"]
    ),
    min_size=1,
    max_size=4,
)


class RetrySafety(BrokerTestCase):
    """No request is repeated unless its class allows it, and each has one final answer."""

    def test_attempts_keep_to_their_class_whatever_engines_answer(self):
        ledger = Ledger()
        engines = [self.engine(ledger.play, name=f"s-{n}") for n in range(3)]
        change = site(EFFECTS, MaxAttempts=4)
        change["settings"]["Rules"] |= {"MinExtra": 1_000, "ResendRatio": 1.0}
        broker = self.broker(*engines, change=change)
        client = self.client(broker)

        @given(st.sampled_from(sorted(EFFECTS)), WAYS)
        @example("report", ["liar", "ok"])
        @example("report", ["full", "crossed"])
        @example("report", ["twice", "over", "crossed"])
        def check(cls, ways):
            more = {"once": f"{client.number:032x}"} if EFFECTS[cls] == "guarded" else {}
            statement = b"SELECT 1 -- script " + ",".join(ways).encode()
            number = client.ask(cls, statement=statement, wait=700, **more)
            name = f"{id(client) & 0xFFFFFFFF:08x}{client.ids:08x}"
            answer = client.get()
            assert answer["id"] == number
            with ledger.lock:
                seen = list(ledger.seen.get(name, ()))
            assert len(seen) <= 4
            for first, then in pairwise(seen):
                if EFFECTS[cls] == "single_shot":
                    assert first["way"] in NEVER_RAN | {"twice"}, seen
                assert first["conn"] is not then["conn"]
                assert first["key"] == then["key"]
            if "result" in answer:
                assert result_rows(answer) == ROW
                assert seen[-1]["way"] in ("ok", "crossed")
            elif answer["error"]["code"] == -32066 and EFFECTS[cls] == "single_shot":
                assert all(a["way"] in NEVER_RAN | {"twice"} for a in seen), seen

        check()
        client.send("status")
        assert client.get()["result"] == {"healthy": True}  # no second answer came before it
        wait_until(lambda: broker.process.poll() is None, "a living broker")


class InterruptedConnections(BrokerTestCase):
    """Connections that end in the middle of a request or an answer."""

    def test_an_answer_that_breaks_off_at_any_byte_is_never_passed_on(self):
        """Each byte in its turn is the last one of the first attempt's answer."""
        whole = f"ID 200 count=1 {len(ROW)}\r\n".encode() + ROW + b"\r\n"
        first = {}

        def play(engine, say, name, fields, statement):
            at = int(statement.split()[-1])
            if first.setdefault(name, engine.wants[-1][0]) is not engine.wants[-1][0]:
                return say(name, "200", "count=1", ROW)
            answer = whole.replace(b"ID", name.encode())
            engine.wants[-1][0].sendall(answer[:at])
            return close_connection(engine.wants[-1][0])

        engines = [self.engine(play, name=f"s-{n}") for n in range(4)]
        change = site()
        change["settings"]["Rules"] |= {"MinExtra": 1_000, "ResendRatio": 1.0}
        broker = self.broker(*engines, change=change)
        client = self.client(broker)
        length = len(whole) + 14  # the id has sixteen digits
        for at in range(length + 1):
            client.ask(statement=f"SELECT {at}".encode())
            assert result_rows(client.get()) == ROW
        assert len(first) == length + 1

    def test_a_reset_around_the_write_of_a_request(self):
        """Before any of it has left nothing can have run; in its midst or behind it, it may have."""
        for way, repeated in (("before", True), ("midst", False), ("behind", False)):
            for effect in ("free", "single_shot"):
                with self.subTest(way=way, effect=effect):
                    self.reset_around(way, effect, repeated or effect == "free")

    def reset_around(self, way, effect, served):
        class Resetting(FakeLineEngine):
            resets = 0

            def serve(self, conn, file):
                if not self.resets:
                    self.resets += 1
                    if way == "midst":
                        conn.recv(1_000)
                    elif way == "behind":
                        line = file.readline()
                        file.read(int(line.split()[3]) + 2)
                    reset_connection(conn)
                    return
                super().serve(conn, file)

        engine = self.engine(kind=Resetting)
        hooks = (
            {"leaves": "cypressledge.net.line_protocol.connection:EngineConnection._write_query"}
            if way == "before"
            else None
        )
        broker = self.broker(engine, change=site({"lookup": effect}), hooks=hooks)
        client = self.client(broker)
        client.ask(statement=b"SELECT '" + b"x" * 300_000 + b"' FROM sales_17.orders", wait=3000)
        if way == "before":  # the reset has come before the first byte is written
            broker.wait_for_hook("leaves")
            wait_until(lambda: engine.resets, "the reset")
            broker.release_hook("leaves")
        answer = client.get()
        assert ("result" in answer) == served, answer
        assert len(engine.wants) == int(served)
        broker.close()
