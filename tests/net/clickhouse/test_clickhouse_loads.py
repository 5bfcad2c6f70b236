"""ClickHouse interface: loads, which are deduplicated by key and killed by query id."""

import threading

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine, stall_after_first_rows
from tests.fakes.support import WAIT, close_connection, wait_until
from tests.net.clickhouse.clickhouse_test_case import ClickHouseTestCase


class Loads(ClickHouseTestCase):
    def test_a_load_sent_twice_takes_effect_once_and_is_answered_twice(self):
        engines = [self.engine(kind=FakeClickHouseEngine) for _ in range(2)]
        self.start_service(*engines)
        answers, token = [], "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"

        def load(number):
            answers.append(
                self.query(
                    b"INSERT INTO sales_5.orders VALUES (1)",
                    query_id=f"load-{number}",
                    insert_deduplication_token=token,
                )[0]
            )

        threads = [threading.Thread(target=load, args=(number,)) for number in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(WAIT)
        assert answers == [200, 200]
        received = [params for engine in engines for params, *_ in engine.asked]
        assert {params["insert_deduplication_token"] for params in received} == {token}
        assert {params["query_id"] for params in received} == {"load-0", "load-1"}
        assert len(set().union(*(engine.inserts_by_token for engine in engines))) == 1

    def test_a_load_whose_client_disconnects_is_killed_by_its_id(self):
        engine = self.engine(stall_after_first_rows, kind=FakeClickHouseEngine)
        self.start_service(engine)
        conn = self.start_query(
            "/?query_id=load-7&workload=order-load&query=INSERT+INTO+sales_1.t+FORMAT+TSV"
        )
        wait_until(lambda: engine.asked, "the attempt")
        close_connection(conn.sock)
        wait_until(
            lambda: any(
                b"KILL QUERY WHERE query_id = 'load-7'" in statement for _, statement, _ in engine.asked
            )
        )
