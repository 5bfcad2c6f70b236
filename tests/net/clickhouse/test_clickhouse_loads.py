"""ClickHouse interface: loads, deduplicated by their keys and killed by their ids."""

import threading

from tests.fakes.fake_clickhouse_engine import (
    FakeClickHouseEngine,
    stall_after_first_rows,
)
from tests.fakes.support import WAIT, close_connection, wait_until
from tests.net.clickhouse.clickhouse_test_case import ClickHouseTestCase


class Loads(ClickHouseTestCase):
    def test_load_sent_twice_has_one_effect_and_two_answers(self):
        engines = [self.engine(kind=FakeClickHouseEngine) for _ in range(2)]
        self.service(*engines)
        answers, token = [], "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"

        def load(n):
            answers.append(
                self.ask(
                    b"INSERT INTO sales_5.orders VALUES (1)",
                    query_id=f"load-{n}",
                    insert_deduplication_token=token,
                )[0]
            )

        threads = [threading.Thread(target=load, args=(n,)) for n in range(2)]
        for t in threads:
            t.start()
        for t in threads:
            t.join(WAIT)
        assert answers == [200, 200]
        asked = [params for e in engines for params, *_ in e.asked]
        assert {p["insert_deduplication_token"] for p in asked} == {token}
        assert {p["query_id"] for p in asked} == {"load-0", "load-1"}
        assert len(set().union(*(e.effects for e in engines))) == 1

    def test_load_whose_client_closes_is_killed_by_its_id(self):
        engine = self.engine(stall_after_first_rows, kind=FakeClickHouseEngine)
        self.service(engine)
        conn = self.begin("/?query_id=load-7&workload=order-load&query=INSERT+INTO+sales_1.t+FORMAT+TSV")
        wait_until(lambda: engine.asked, "the attempt")
        close_connection(conn.sock)
        wait_until(
            lambda: any(b"KILL QUERY WHERE query_id = 'load-7'" in said for _, said, _ in engine.asked)
        )
