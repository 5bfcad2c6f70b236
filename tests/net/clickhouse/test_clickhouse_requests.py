"""ClickHouse interface: requests in every form of HTTP, and how they reach engines."""

from tests.fakes.fake_clickhouse_engine import (
    FakeClickHouseEngine,
    stream_rows,
)
from tests.fakes.fake_engines import ROW, page_rows
from tests.fakes.support import wait_until
from tests.net.clickhouse.clickhouse_test_case import LOGIN, TYPE, ClickHouseTestCase


class Requests(ClickHouseTestCase):
    def test_post_get_and_both_reach_the_engine_under_id_class_and_deadline(self):
        engine = self.engine(stream_rows(ROW, page_rows(1)), kind=FakeClickHouseEngine)
        self.service(engine)
        status, headers, body = self.ask(
            query_id="my-id", workload="report", max_execution_time="2.5", insert_deduplication_token="k1"
        )
        assert (status, body) == (200, ROW + page_rows(1))
        assert headers["Transfer-Encoding"] == "chunked"
        assert (headers["X-ClickHouse-Query-Id"], headers["X-ClickHouse-Format"]) == ("my-id", "TabSeparated")
        params, statement, sent = engine.asked[0]
        assert statement == b"SELECT a, b, c FROM sales_17.orders"
        assert (params["query_id"], params["workload"], params["insert_deduplication_token"]) == (
            "my-id",
            "report",
            "k1",
        )
        assert 0 < float(params["max_execution_time"]) <= 2.5
        assert (sent["x-clickhouse-user"], sent["x-clickhouse-key"]) == ("broker", "secret")
        assert self.ask(method="GET", query="SELECT 1")[2] == ROW + page_rows(1)
        data = b"1\t\xff\n"
        self.ask(data, query="INSERT INTO sales_2.orders FORMAT TSV", max_execution_time="900")
        params, statement, _ = engine.asked[-1]
        assert statement == b"INSERT INTO sales_2.orders FORMAT TSV\n" + data
        assert params["workload"] == "order-load"  # and never beyond the class's own deadline:
        assert float(params["max_execution_time"]) <= 20.0
        assert params["insert_deduplication_token"]

    def test_ping_tells_whether_it_serves(self):
        broker = self.service()
        wait_until(lambda: "cannot listen" not in broker.log_text() and self._ping())
        assert self._ping() == 503
        engine = self.engine(kind=FakeClickHouseEngine)
        broker.dns.instances[f"ch-0.{TYPE}"] = (engine.port, "ready")
        wait_until(lambda: self._ping() == 200, "a healthy ping")

    def _ping(self):
        try:
            return self.ask(method="GET", path="/ping", login={})[0]
        except OSError:
            return None

    def test_forms_of_http(self):
        engine = self.engine(stream_rows(ROW, page_rows(1)), kind=FakeClickHouseEngine)
        self.service(engine)
        login = b"".join(f"{k}: {v}\r\n".encode() for k, v in LOGIN.items())
        last = login + b"Connection: close\r\n"
        got = self.raw(
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n%s\r\n6\r\nSELECT\r\n" % login,
            b"2\r\n 1\r\n0\r\n\r\nGET /ping HTTP/1.1\r\n%s\r\n" % last,
        )  # and one pipelined
        assert engine.asked[0][1] == b"SELECT 1"
        assert got.count(b"HTTP/1.1 200 OK") == 2
        assert got.endswith(b"Ok.\n"), got
        whole = b"Content-Length: %d\r\n\r\n%s" % (len(ROW + page_rows(1)), ROW + page_rows(1))
        for request in (
            b"GET /?query=SELECT+1 HTTP/1.0\r\n%s\r\n" % login,
            b"GET /?query=SELECT+1&wait_end_of_query=1 HTTP/1.1\r\n%s\r\n" % last,
        ):
            got = self.raw(request)
            assert whole.split(b"\r\n")[0] in got
            assert got.endswith(whole[-len(ROW) :])
            assert b"chunked" not in got
