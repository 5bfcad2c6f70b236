"""ClickHouse engines that reject, fail or never answer: answers to clients, and retries."""

import threading
import time

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine, answer_exception, stream_rows
from tests.fakes.fake_engines import ROW
from tests.fakes.support import WAIT, wait_until
from tests.net.clickhouse.clickhouse_test_case import ClickHouseTestCase


class EngineErrors(ClickHouseTestCase):
    def test_a_rejection_is_answered_with_503_and_retry_after(self):
        self.start_service(
            self.engine(
                answer_exception(503, 202, b"Code: 202. DB::Exception: full"), kind=FakeClickHouseEngine
            )
        )
        status, headers, _ = self.query(max_execution_time="0.9")
        assert (status, headers["Retry-After"]) == (503, "1")
        assert headers["X-ClickHouse-Exception-Code"] == "202"

    def test_an_error_in_the_statement_is_passed_on_without_a_retry(self):
        text = b"Code: 60. DB::Exception: no such table. (UNKNOWN_TABLE)"
        engine = self.engine(answer_exception(404, 60, text), kind=FakeClickHouseEngine)
        self.start_service(engine)
        status, headers, body = self.query()
        assert (status, headers["X-ClickHouse-Exception-Code"], body) == (404, "60", text + b"\n")
        assert len(engine.asked) == 1

    def test_other_errors_are_retried_within_three_attempts(self):
        engine = self.engine(
            answer_exception(500, 241, b"Code: 241. DB::Exception: memory"), kind=FakeClickHouseEngine
        )
        self.start_service(engine)
        assert self.query()[0] in (500, 503)
        assert len(engine.asked) == 3

    def test_a_slow_clickhouse_query_without_progress_is_not_taken_for_lost(self):
        """Only line protocol engines report progress at each interval, so that silence means a loss."""

        def play(engine, send, params, statement):
            if b"slow" in statement:
                engine.released.wait(WAIT)
            stream_rows(ROW)(engine, send, params, statement)

        engine = self.engine(play, kind=FakeClickHouseEngine)
        engine.released = threading.Event()
        self.start_service(engine)
        answers = []
        slow = threading.Thread(target=lambda: answers.append(self.query(b"SELECT slow", workload="report")))
        slow.start()
        self.addCleanup(slow.join)
        self.addCleanup(engine.released.set)
        began = time.monotonic()
        wait_until(lambda: self.query()[0] == 200 and time.monotonic() > began + 2.5, "the others' answers")
        engine.released.set()
        wait_until(lambda: answers, "the slow answer")
        assert answers[0][0] == 200
        assert sum(b"slow" in statement for _, statement, _ in engine.asked) == 1

    def test_a_query_at_a_silent_engine_ends_at_its_deadline(self):
        def never_respond(engine, send, params, statement):
            engine.closed.wait(WAIT)

        self.start_service(self.engine(never_respond, kind=FakeClickHouseEngine))
        began = time.monotonic()
        status, _ = self.query_error(workload="report", max_execution_time="0.5")
        assert status in (408, 503)
        assert time.monotonic() - began < 5.0  # well before the class's deadline of 25 s
