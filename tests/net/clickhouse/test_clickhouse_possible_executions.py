"""ClickHouse interface: what may have run is never answered as if a repeat by the client were harmless."""

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine, answer_exception
from tests.net.clickhouse.clickhouse_test_case import ClickHouseTestCase

INSERT = b"INSERT INTO sales_17.ledger VALUES (1)"
TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
refuse = answer_exception(503, 202, b"Code: 202. DB::Exception: full")


def run_and_lose_answer(engine, send, params, statement):
    """Execute the statement, and close the connection without an answer."""
    raise ConnectionResetError


class PossibleExecutions(ClickHouseTestCase):
    def answer_to_insert(self, *plays, **params):
        """Return status and headers of an INSERT whose attempts get these answers, the last one again."""

        def play(engine, send, *request):
            plays[min(len(engine.asked), len(plays)) - 1](engine, send, *request)

        engine = self.engine(play, kind=FakeClickHouseEngine)
        self.start_service(engine)
        status, headers, _ = self.query(INSERT, **params)
        assert len(engine.asked) >= len(plays)
        return status, headers

    def check_executed_once(self, statement, **params):
        """Check that a statement whose answer is lost is sent once, and fails."""
        engine = self.engine(run_and_lose_answer, kind=FakeClickHouseEngine)
        self.start_service(engine)
        status, headers, _ = self.query(statement, **params)
        assert (status, headers["Retry-After"]) == (500, None)
        assert len(engine.asked) == 1

    def check_failed(self, *plays):
        """Check that the answer to an INSERT is an error, and no rejection."""
        status, headers = self.answer_to_insert(*plays)
        assert status in (500, 504)
        assert headers["Retry-After"] is None
        assert headers["X-ClickHouse-Exception-Code"] != "202"

    def test_an_insert_without_a_token_that_may_have_run_is_not_rejected(self):
        """Regression: it was rejected, as the broker's own key counted as one of its client."""
        self.check_failed(run_and_lose_answer)

    def test_an_insert_with_a_token_of_its_client_may_be_rejected(self):
        fail_at_once = answer_exception(500, 241, b"memory")
        status, headers = self.answer_to_insert(fail_at_once, insert_deduplication_token=TOKEN)
        assert (status, headers["Retry-After"]) == (503, "1")

    def test_an_insert_with_a_token_is_not_rejected_at_the_end_of_its_deduplication_window(self):
        """Regression: it waited for an engine until then, and its client's repeat came after that."""
        status, headers = self.answer_to_insert(run_and_lose_answer, insert_deduplication_token=TOKEN)
        assert (status, headers["Retry-After"]) == (500, None)

    def test_an_insert_that_never_ran_is_rejected(self):
        status, headers = self.answer_to_insert(refuse)
        assert (status, headers["Retry-After"]) == (503, "1")

    def test_a_refusal_behind_a_lost_answer_is_not_what_the_client_is_told(self):
        """Regression: the refusal of one engine was the answer for what another engine may have executed."""
        self.check_failed(run_and_lose_answer, refuse)
        self.check_failed(refuse, run_and_lose_answer, refuse)

    def test_a_gateway_timeout_does_not_prove_that_nothing_ran(self):
        """Regression: HTTP 504 counted as never sent, as in the line protocol, where it has that meaning."""
        self.check_failed(answer_exception(504, 0, b"gateway timeout"))

    def test_a_refusal_after_progress_does_not_prove_that_nothing_ran(self):
        def refuse_after_progress(engine, send, params, statement):
            send(
                b"HTTP/1.1 503 X\r\nX-ClickHouse-Exception-Code: 202\r\n"
                b'X-ClickHouse-Progress: {"read_rows":"5","total_rows_to_read":"9"}\r\n'
                b"Content-Length: 4\r\n\r\nfull"
            )

        self.check_failed(refuse_after_progress)

    def test_an_insert_behind_common_table_expressions_is_a_load_with_a_key(self):
        """Regression: it counted as a read, and after a lost answer it was applied again without a key."""
        engine = self.engine(run_and_lose_answer, kind=FakeClickHouseEngine)
        self.start_service(engine)
        status = self.query(b"WITH u AS (SELECT 1) INSERT INTO sales_17.t SELECT * FROM u", query_id="q1")[0]
        assert status == 500
        keys = {(params["workload"], params["insert_deduplication_token"]) for params, *_ in engine.asked}
        assert keys == {("order-load", "q1")}

    def test_a_statement_that_is_not_surely_a_read_is_not_repeated(self):
        """Regression: it counted as a read and was repeated; swapped twice, tables are as before."""
        self.check_executed_once(b"EXCHANGE TABLES sales_17.a AND sales_17.b")

    def test_a_token_does_not_make_other_statements_than_inserts_repeatable(self):
        self.check_executed_once(b"ALTER TABLE t UPDATE a = a + 1 WHERE 1", insert_deduplication_token=TOKEN)

    def test_a_write_in_a_class_of_reads_is_not_repeated(self):
        """Regression: the class that a client had named was repeated freely, whatever the statement."""
        for statement in (INSERT, b"WITH u AS (SELECT 1) INSERT INTO sales_17.t SELECT * FROM u"):
            with self.subTest(statement):
                self.check_executed_once(statement, workload="report")

    def test_a_read_is_repeated(self):
        engine = self.engine(run_and_lose_answer, kind=FakeClickHouseEngine)
        self.start_service(engine)
        self.query(b"WITH u AS (SELECT 1) SELECT * FROM u")
        assert len(engine.asked) > 1
