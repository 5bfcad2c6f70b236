"""ClickHouse engines that send more than the answer: second copies, foreign answers, surplus bytes."""

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine
from tests.fakes.fake_engines import ROW, page_rows
from tests.fakes.json_rpc_client import result_rows
from tests.net.clickhouse.clickhouse_test_case import ClickHouseTestCase

FOREIGN_ROWS = b"9\tforeign\t9.9\n"


def response(query_id, rows, *headers):
    """Return a complete response of an engine."""
    lines = [
        b"HTTP/1.1 200 OK",
        b"X-ClickHouse-Query-Id: " + query_id.encode(),
        b"Content-Length: %d" % len(rows),
        *headers,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + rows


def rows_of(statement):
    """Return the rows that the engines make for a statement, which tell one answer from another."""
    return b"%s\ttotal\t12.5\n" % statement.split()[-1]


class SurplusAnswers(ClickHouseTestCase):
    def check_answers(self, play, parts=3):
        """Check that clients of both frontends get each answer's rows once, and no others."""
        engine = self.engine(play, kind=FakeClickHouseEngine)
        client = self.client(self.start_service(engine))
        for number in range(parts):
            statement = b"SELECT a, b, c FROM sales_17.orders WHERE shop = %d" % number
            assert self.query(statement)[::2] == (200, rows_of(statement))
            assert self.query(statement, wait_end_of_query=1)[::2] == (200, rows_of(statement))
            client.ask(statement=statement)
            assert result_rows(client.get()) == rows_of(statement)
        assert len(engine.asked) == 3 * parts  # none was repeated

    def test_a_second_copy_behind_an_answer_is_not_served(self):
        """Regression: the rows of a second copy in the same read were served as further rows."""

        def answer_twice(engine, send, params, statement):
            send(2 * response(params["query_id"], rows_of(statement)))

        self.check_answers(answer_twice)

    def test_the_beginning_of_a_second_copy_is_not_served(self):
        def answer_one_and_a_half_times(engine, send, params, statement):
            answer = response(params["query_id"], rows_of(statement))
            send(answer + answer[:-4])

        self.check_answers(answer_one_and_a_half_times)

    def test_a_second_copy_some_milliseconds_later_is_not_served_to_the_next_query(self):
        def answer_again_before_the_next(engine, send, params, statement):
            if len(engine.asked) > 1 and engine.asked[-2][1] != statement:
                send(response(engine.asked[-2][0]["query_id"], rows_of(engine.asked[-2][1])))
            send(response(params["query_id"], rows_of(statement)))

        self.check_answers(answer_again_before_the_next)

    def test_an_answer_to_another_query_in_front_is_not_served(self):
        """Regression: an answer under another query's id was served as the query's own."""

        def answer_another_first(engine, send, params, statement):
            send(
                response("0123456789abcdef", FOREIGN_ROWS) + response(params["query_id"], rows_of(statement))
            )

        self.check_answers(answer_another_first)

    def test_an_interim_response_in_front_is_not_the_answer(self):
        def answer_with_early_hints(engine, send, params, statement):
            send(
                b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                + response(params["query_id"], rows_of(statement))
            )

        self.check_answers(answer_with_early_hints)

    def test_only_an_answer_to_another_query_is_no_answer(self):
        def answer_another(engine, send, params, statement):
            send(response("0123456789abcdef", FOREIGN_ROWS))

        self.start_service(self.engine(answer_another, kind=FakeClickHouseEngine))
        status, _, body = self.query(max_execution_time="1")
        assert status != 200
        assert FOREIGN_ROWS not in body
        assert self.counter("clickhouse.foreign_responses") >= 1

    def test_bytes_behind_a_complete_answer_do_not_spoil_it(self):
        """Regression: bytes that are no HTTP behind the end of an answer made it a failed one."""
        for name, headers, surplus in (
            ("no HTTP", (), b"\0\1 no HTTP\r\n\r\n"),
            ("a copy behind the last answer", (b"Connection: close",), None),
        ):
            with self.subTest(name):

                def answer(engine, send, params, statement, headers=headers, surplus=surplus):
                    whole = response(params["query_id"], rows_of(statement), *headers)
                    send(whole + (whole if surplus is None else surplus))

                self.check_answers(answer, parts=1)

    def test_a_chunked_answer_is_served_without_its_second_copy(self):
        def answer_twice_in_chunks(engine, send, params, statement):
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            rows = (ROW, page_rows(1))
            send(2 * (head + b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in rows) + b"0\r\n\r\n"))

        self.start_service(self.engine(answer_twice_in_chunks, kind=FakeClickHouseEngine))
        assert self.query()[::2] == (200, ROW + page_rows(1))
