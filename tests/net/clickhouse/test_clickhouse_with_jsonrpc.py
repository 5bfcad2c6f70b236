"""ClickHouse interface and JSON-RPC at one broker: one ledger, one retry budget."""

import threading

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine, answer_exception, stream_rows
from tests.fakes.fake_engines import ROW, never_answer
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import WAIT, wait_until
from tests.net.clickhouse.clickhouse_test_case import ClickHouseTestCase


class BothFrontends(ClickHouseTestCase):
    def test_both_protocols_share_one_ledger_and_retry_budget(self):
        """Each accepted request has exactly one final answer, and retries stay within the budget."""
        lines = self.engine(self.fail_each_eighth_attempt)
        hosts = [self.engine(self.fail_each_eighth_http_attempt, kind=FakeClickHouseEngine) for _ in range(2)]
        broker = self.start_service(*hosts, lines=(lines,))
        client, got, each = self.client(broker), [], 60

        def over_http(part):
            for n in range(each // 3):
                got.append(self.query(query_id=f"h{part}-{n}", max_execution_time="2.5")[0])

        threads = [threading.Thread(target=over_http, args=(part,)) for part in range(3)]
        for t in threads:
            t.start()
        answers = []
        for at in range(0, each, 20):
            for n in range(at, at + 20):
                client.ask(
                    "order-load" if n % 10 == 0 else "lookup",
                    wait=2500,
                    **({"once": f"{n:032x}"} if n % 10 == 0 else {}),
                )
            answers += [client.get() for _ in range(20)]
        for t in threads:
            t.join(4 * WAIT)
        assert sorted(a["id"] for a in answers) == list(range(1, each + 1))
        assert len(got) == each
        served = [result_rows(a) for a in answers if "result" in a]
        assert served
        assert all(rows == ROW for rows in served)
        assert 200 in got
        assert all(status in (200, 500, 503) for status in got), got
        counts = self.call_admin_api("GET", "/v1/counters")[1]

        def total(word):
            return sum(n for name, n in counts.items() if name.startswith(word + "."))

        assert total("accepted") == 2 * each
        assert total("served") + total("rejected") + total("failed") == 2 * each
        assert total("broken") == 0
        assert counts["attempts.retry"] <= 3 + 0.1 * 2 * each
        assert lines.wants
        assert any(e.asked for e in hosts)
        client.ask(tenant="sales")  # a tenant with a key can't be named where none is asked for
        answer = client.get()  # and no second answer stood before it
        assert (answer["id"], answer["error"]["code"]) == (each + 1, -32602)

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
