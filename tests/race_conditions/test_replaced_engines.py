"""A new engine comes up at the address of one that has gone: it is not taken for the old one."""

import threading

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine, stall_after_first_rows
from tests.fakes.fake_engines import FakeLineEngine, never_answer
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import wait_until
from tests.net.clickhouse.clickhouse_test_case import SERVICE_TYPE, ClickHouseTestCase
from tests.race_conditions.scenarios import NOT_IDEMPOTENT, site

OPEN_QUERIES, LATER_QUERIES = 4, 10


class ReplacedEngines(ClickHouseTestCase):
    """Each query runs once: those that were open fail with the old engine, later ones run at the new one."""

    def test_over_the_line_protocol(self):
        old = self.engine(never_answer)
        broker = self.broker(old, change=site(NOT_IDEMPOTENT))
        client = self.client(broker)
        for _ in range(OPEN_QUERIES):
            client.ask()
        wait_until(lambda: len(old.wants) == OPEN_QUERIES, "the queries at the old engine")
        old.close()
        new = self.engine(kind=FakeLineEngine, name="s-2", port=old.port)
        assert {client.get()["error"]["code"] for _ in range(OPEN_QUERIES)} == {-32000}
        broker.dns.engines = {"s-2": (new.port, 0)}
        broker.publish_list(2)
        for _ in range(LATER_QUERIES):
            client.ask()
            assert result_rows(client.get())
        before = {name for _, name, *_ in old.wants}
        ran = [name for _, name, *_ in new.wants]
        assert len(set(ran)) == len(ran) == LATER_QUERIES
        assert before.isdisjoint(ran)

    def test_over_http(self):
        old = self.engine(stall_after_first_rows, kind=FakeClickHouseEngine)
        broker = self.start_service(old, change=site(NOT_IDEMPOTENT))
        statuses = []

        def query(number):
            statuses.append(self.query(query_id=f"old-{number}", wait_end_of_query="1")[0])

        threads = [threading.Thread(target=query, args=(number,)) for number in range(OPEN_QUERIES)]
        for thread in threads:
            thread.start()
        wait_until(lambda: len(old.asked) == OPEN_QUERIES, "the queries at the old engine")
        old.close()
        new = self.engine(kind=FakeClickHouseEngine, port=old.port)
        for thread in threads:
            thread.join()
        assert set(statuses) == {500}
        broker.dns.instances = {f"ch-9.{SERVICE_TYPE}": (new.port, "ready")}
        wait_until(
            lambda: [e["name"] for e in self.call_admin_api("GET", "/v1/engines")[1]["engines"]] == ["ch-9"]
        )
        for number in range(LATER_QUERIES):
            assert self.query(query_id=f"new-{number}")[0] == 200
        ran = [params["query_id"] for params, *_ in new.asked]
        assert sorted(ran) == sorted(f"new-{number}" for number in range(LATER_QUERIES))
