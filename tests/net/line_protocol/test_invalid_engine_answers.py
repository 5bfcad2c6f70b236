"""Engines on the line protocol whose answers are malformed, duplicated or missing."""

import threading

from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import ROW, answer_at_once
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import wait_until


class InvalidAnswers(BrokerTestCase):
    """Malformed answers are never passed on; the attempt may have run, and its class may allow a retry."""

    def query_answered_with(self, raw, **more):
        """Answer the first attempt with these bytes; return the client's final answer and the engine."""

        def play(engine, say, name, fields, statement):
            if len(engine.wants) > 1:
                return answer_at_once(engine, say, name, fields, statement)
            engine.wants[0][0].sendall(raw.replace(b"ID", name.encode()))
            return None

        engine = self.engine(play)
        client = self.client(self.broker(engine))
        client.ask(**more)
        return client.get(), engine

    def test_malformed_answers_are_not_passed_on(self):
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
            b"ID 200 count=1 60\r\na\tb",  # the rest of the message is missing
        ):
            with self.subTest(raw[:50]):
                answer, engine = self.query_answered_with(raw)
                assert result_rows(answer) == ROW
                assert engine.wants[0][0] is not engine.wants[1][0]

    def test_duplicate_answers_and_unknown_ids_are_ignored(self):
        good = b"ID 200 count=1 %d\r\n%s\r\n" % (len(ROW), ROW)
        answer, engine = self.query_answered_with(good.replace(b"ID", b"0" * 16) + good + good)
        assert (result_rows(answer), len(engine.wants)) == (ROW, 1)
        first = b"ID 200 count=2 6\r\na\tb\tc\n\r\n"
        answer, engine = self.query_answered_with(first + first + b"ID chunk pos=1 6\r\nd\te\tf\n\r\n" * 2)
        assert (result_rows(answer), len(engine.wants)) == (b"a\tb\tc\nd\te\tf\n", 1)

    def test_other_attempts_on_the_connection_are_retried(self):
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

    def test_an_attempt_whose_response_is_lost_is_retried(self):
        """The attempt's connection is silent while the engine sends progress notifications on another one."""
        say_on = {}

        def play(engine, say, name, fields, statement):
            say_on[next(want[0] for want in engine.wants if want[1] == name)] = say
            if len(engine.wants) > 9:
                answer_at_once(engine, say, name, fields, statement)

        def alone_on_its_connection():
            # The ninth attempt, as a connection takes eight. The two connections may be established, and
            # their threads may append, in either order.
            wants = engine.wants[:9]
            alone = [want for want in wants if sum(other[0] is want[0] for other in wants) == 1]
            return alone[0] if len(wants) == 9 and alone and alone[0][0] in say_on else None

        engine = self.engine(play)
        client = self.client(self.broker(engine))
        for _ in range(9):
            client.ask("report", wait=20000)
        connection, name, *_ = wait_until(alone_on_its_connection, "nine attempts on two connections")
        notifications = threading.Thread(
            target=wait_until, args=(lambda: say_on[connection](name, "status") or engine.wants[9:],)
        )
        notifications.start()
        self.addCleanup(notifications.join)
        wait_until(lambda: engine.wants[9:], "a retry")
        silent = [name for sock, name, *_ in engine.wants[:9] if sock is not connection]
        assert len(silent) == 8
        assert engine.wants[9][1] in silent
