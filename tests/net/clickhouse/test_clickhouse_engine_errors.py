"""ClickHouse engines that reject, fail or never answer: what clients get, and what is retried."""

import threading
import time

from tests.fakes.fake_clickhouse_engine import (
    FakeClickHouseEngine,
    answer_exception,
    stream_rows,
)
from tests.fakes.fake_engines import ROW
from tests.fakes.support import WAIT, wait_until
from tests.net.clickhouse.clickhouse_test_case import ClickHouseTestCase


class EngineErrors(ClickHouseTestCase):
    def test_refusal_is_503_with_retry_after(self):
        self.service(
            self.engine(
                answer_exception(503, 202, b"Code: 202. DB::Exception: full"), kind=FakeClickHouseEngine
            )
        )
        status, headers, _ = self.ask(max_execution_time="0.9")
        assert (status, headers["Retry-After"]) == (503, "1")
        assert headers["X-ClickHouse-Exception-Code"] == "202"

    def test_engines_error_on_the_statement_itself_is_passed_on_at_once(self):
        text = b"Code: 60. DB::Exception: no such table. (UNKNOWN_TABLE)"
        engine = self.engine(answer_exception(404, 60, text), kind=FakeClickHouseEngine)
        self.service(engine)
        status, headers, body = self.ask()
        assert (status, headers["X-ClickHouse-Exception-Code"], body) == (404, "60", text + b"\n")
        assert len(engine.asked) == 1

    def test_other_errors_are_tried_again_within_three_attempts(self):
        engine = self.engine(
            answer_exception(500, 241, b"Code: 241. DB::Exception: memory"), kind=FakeClickHouseEngine
        )
        self.service(engine)
        assert self.ask()[0] in (500, 503)
        assert len(engine.asked) == 3

    def test_engine_that_tells_nothing_of_a_query_has_not_lost_its_answer(self):
        """Only engines that speak lines tell of all they run at each interval of notes."""

        def play(engine, send, params, statement):
            if b"slow" in statement:
                engine.released.wait(WAIT)
            stream_rows(ROW)(engine, send, params, statement)

        engine = self.engine(play, kind=FakeClickHouseEngine)
        engine.released = threading.Event()
        self.service(engine)
        answers = []
        slow = threading.Thread(target=lambda: answers.append(self.ask(b"SELECT slow", workload="report")))
        slow.start()
        self.addCleanup(slow.join)
        self.addCleanup(engine.released.set)
        begun = time.monotonic()
        wait_until(lambda: self.ask()[0] == 200 and time.monotonic() > begun + 2.5, "the others' answers")
        engine.released.set()
        wait_until(lambda: answers, "the slow answer")
        assert answers[0][0] == 200
        assert sum(b"slow" in statement for _, statement, _ in engine.asked) == 1

    def test_deadline_is_kept(self):
        def mute(engine, send, params, statement):
            engine.closed.wait(WAIT)

        self.service(self.engine(mute, kind=FakeClickHouseEngine))
        began = time.monotonic()
        status, _ = self.code(workload="report", max_execution_time="0.5")
        assert status in (408, 503)
        assert time.monotonic() - began < 5.0  # of the class's 25 s
