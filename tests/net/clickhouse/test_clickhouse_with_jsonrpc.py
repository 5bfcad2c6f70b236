"""ClickHouse interface and JSON-RPC at one broker share one ledger and one retry budget."""

import threading

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine, answer_exception, stream_rows
from tests.fakes.fake_engines import ROW, never_answer
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import WAIT, wait_until
from tests.net.clickhouse.clickhouse_test_case import ClickHouseTestCase

QUERIES = 60  # over each protocol
BATCH = 20  # JSON-RPC queries that are open at once
HTTP_CLIENTS = 3


class BothFrontends(ClickHouseTestCase):
    def test_both_protocols_share_one_ledger_and_retry_budget(self):
        """Each accepted request has exactly one final answer, and retries stay within the budget."""
        line_engine = self.engine(self.fail_each_eighth_attempt)
        http_engines = [
            self.engine(self.fail_each_eighth_http_attempt, kind=FakeClickHouseEngine) for _ in range(2)
        ]
        broker = self.start_service(*http_engines, lines=(line_engine,))
        client, statuses = self.client(broker), []
        threads = [
            threading.Thread(target=self.query_over_http, args=(number, statuses))
            for number in range(HTTP_CLIENTS)
        ]
        for thread in threads:
            thread.start()
        answers = self.query_over_jsonrpc(client)
        for thread in threads:
            thread.join(4 * WAIT)
        self.check_answers(answers, statuses)
        self.check_counters(self.call_admin_api("GET", "/v1/counters")[1])
        assert line_engine.wants
        assert any(engine.asked for engine in http_engines)
        client.ask(tenant="sales")  # a tenant with a key is not accepted where no key is checked
        answer = client.get()  # the next message, so no request had a second answer
        assert (answer["id"], answer["error"]["code"]) == (QUERIES + 1, -32602)

    def query_over_http(self, client_number, statuses):
        """Send one client's share of the queries over HTTP; append the status of each answer."""
        for number in range(QUERIES // HTTP_CLIENTS):
            statuses.append(self.query(query_id=f"h{client_number}-{number}", max_execution_time="2.5")[0])

    @staticmethod
    def query_over_jsonrpc(client):
        """Send the queries over JSON-RPC, every tenth a load; return their answers."""
        answers = []
        for first in range(0, QUERIES, BATCH):
            for number in range(first, first + BATCH):
                if number % 10 == 0:
                    client.ask("order-load", wait=2500, once=f"{number:032x}")
                else:
                    client.ask("lookup", wait=2500)
            answers += [client.get() for _ in range(BATCH)]
        return answers

    @staticmethod
    def check_answers(answers, statuses):
        """Check that each query has one answer, and that some succeed over each protocol."""
        assert sorted(answer["id"] for answer in answers) == list(range(1, QUERIES + 1))
        assert len(statuses) == QUERIES
        served = [result_rows(answer) for answer in answers if "result" in answer]
        assert served
        assert all(rows == ROW for rows in served)
        assert 200 in statuses
        assert all(status in (200, 500, 503) for status in statuses), statuses

    @staticmethod
    def check_counters(counters):
        """Check that the ledger and the retry budget count the queries of both protocols together."""

        def total(name):
            return sum(count for key, count in counters.items() if key.startswith(name + "."))

        assert total("accepted") == 2 * QUERIES
        assert total("served") + total("rejected") + total("failed") == 2 * QUERIES
        assert total("broken") == 0
        assert counters["attempts.retry"] <= 3 + 0.1 * 2 * QUERIES

    @staticmethod
    def fail_each_eighth_attempt(engine, say, name, fields, statement):
        if len(engine.wants) % 8 == 0:
            return say(name, "500")
        say(name, "200", "count=1", ROW)
        return None

    @staticmethod
    def fail_each_eighth_http_attempt(engine, send, params, statement):
        fails = len(engine.asked) % 8 == 0
        (answer_exception(500, 241, b"memory") if fails else stream_rows(ROW))(
            engine, send, params, statement
        )

    def test_an_id_open_on_the_other_frontend_is_rejected(self):
        engine = self.engine(never_answer)
        broker = self.start_service(lines=[engine])
        client = self.client(broker)
        client.ask(id="00000000000000aa")
        wait_until(lambda: engine.wants, "the attempt")
        assert self.query_error(query_id="00000000000000aa") == (500, 216)
