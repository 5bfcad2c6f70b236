"""Engines on the line protocol that answer what cannot be read, twice, or never."""

import threading

from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import ROW, answer_at_once
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import wait_until


class InvalidAnswers(BrokerTestCase):
    """Spoilt answers have run: never passed on, and asked for again only as class and ration allow."""

    def ask(self, raw, **more):
        """Answer the first attempt with these bytes and the next ones well; what the client is told."""

        def play(engine, say, name, fields, statement):
            if len(engine.wants) > 1:
                return answer_at_once(engine, say, name, fields, statement)
            engine.wants[0][0].sendall(raw.replace(b"ID", name.encode()))
            return None

        engine = self.engine(play)
        client = self.client(self.broker(engine))
        client.ask(**more)
        return client.get(), engine

    def test_spoilt_answers_are_not_passed_on(self):
        for raw in (
            b"ID 200 count=1 4\r\na\tb\n\r\n",
            b"ID 200 count=1 8\r\n1\tb\t2.5\r\n",
            b"ID 200 count=1 6\r\n\xff\tb\tc\n\r\n",
            b"ID 200 count=0 0\r\n\r\n",
            b"ID 200 - 0\r\n\r\n",
            b"ID 200 count=9999 6\r\na\tb\tc\n\r\n",
            b"ID 200 count=1 7\r\na\tb\tc\n\r\n",
            b"ID 200 count=1 -6\r\na\tb\tc\n\r\n",
            b"ID 200 count=1 3000000000\r\n" + b"a\tb\tc\n" * 9000,
            b"ID 200 count 6\r\na\tb\tc\n\r\n",
            b"ID 999 - 0\r\n\r\n",
            b"\0\x80noise\r\n",
            b"x" * 9000,
            b"ID status note=done,reading=nan 0\r\n\r\n",
            b"ID status note=done 0\r\n\r\n",
            b"ID chunk pos=1 6\r\na\tb\tc\n\r\n",
            b"ID 200 count=2 6\r\na\tb\tc\n\r\nID chunk pos=2 0\r\n\r\n",
            b"ID 200 count=1 60\r\na\tb",  # and no more: cut short
        ):
            with self.subTest(raw[:50]):
                answer, engine = self.ask(raw)
                assert result_rows(answer) == ROW
                assert engine.wants[0][0] is not engine.wants[1][0]

    def test_second_copies_and_unknown_ids_are_ignored(self):
        good = b"ID 200 count=1 %d\r\n%s\r\n" % (len(ROW), ROW)
        answer, engine = self.ask(good.replace(b"ID", b"0" * 16) + good + good)
        assert (result_rows(answer), len(engine.wants)) == (ROW, 1)
        first = b"ID 200 count=2 6\r\na\tb\tc\n\r\n"
        answer, engine = self.ask(first + first + b"ID chunk pos=1 6\r\nd\te\tf\n\r\n" * 2)
        assert (result_rows(answer), len(engine.wants)) == (b"a\tb\tc\nd\te\tf\n", 1)

    def test_what_else_was_on_the_connection_is_asked_for_again(self):
        def play(engine, say, name, fields, statement):
            if len(engine.wants) == 2:
                engine.wants[1][0].sendall(b"noise\r\n")
            elif len(engine.wants) > 2:
                answer_at_once(engine, say, name, fields, statement)

        engine = self.engine(play)
        client = self.client(self.broker(engine))
        client.ask("order-load", once="ab" * 16, wait=15000)
        wait_until(lambda: engine.wants, "the first attempt")
        client.ask()
        assert [result_rows(client.get()) for _ in "ab"] == [ROW, ROW]
        assert len(engine.wants) == 4

    def test_answer_that_never_comes_is_asked_for_again(self):
        """Its connection is silent while the engine tells notes on another one."""
        says = {}

        def play(engine, say, name, fields, statement):
            says[next(w[0] for w in engine.wants if w[1] == name)] = say
            if len(engine.wants) > 9:
                answer_at_once(engine, say, name, fields, statement)

        def lone():
            # The want beyond the first connection's share, known by being alone on its connection: the two
            # connections may come up, and their threads append, in either order.
            wants = engine.wants[:9]
            alone = [w for w in wants if sum(v[0] is w[0] for v in wants) == 1]
            return alone[0] if len(wants) == 9 and alone and alone[0][0] in says else None

        engine = self.engine(play)
        client = self.client(self.broker(engine))
        for _ in range(9):
            client.ask("report", wait=20000)
        noted = wait_until(lone, "nine wants on two connections")
        notes = threading.Thread(
            target=wait_until, args=(lambda: says[noted[0]](noted[1], "status") or engine.wants[9:],)
        )
        notes.start()
        self.addCleanup(notes.join)
        wait_until(lambda: engine.wants[9:], "a repeat")
        silent = [name for sock, name, *_ in engine.wants[:9] if sock is not noted[0]]
        assert len(silent) == 8
        assert engine.wants[9][1] in silent
