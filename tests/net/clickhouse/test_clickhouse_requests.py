"""ClickHouse interface: requests in several forms of HTTP, and what engines receive of them."""

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine, stream_rows
from tests.fakes.fake_engines import ROW, page_rows
from tests.fakes.support import wait_until
from tests.net.clickhouse.clickhouse_test_case import LOGIN, SERVICE_TYPE, ClickHouseTestCase


class Requests(ClickHouseTestCase):
    def test_get_and_post_reach_the_engine_with_id_class_and_deadline(self):
        engine = self.engine(stream_rows(ROW, page_rows(1)), kind=FakeClickHouseEngine)
        self.start_service(engine)
        status, headers, body = self.query(
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
        assert self.query(method="GET", query="SELECT 1")[2] == ROW + page_rows(1)
        data = b"1\t\xff\n"
        self.query(data, query="INSERT INTO sales_2.orders FORMAT TSV", max_execution_time="900")
        params, statement, _ = engine.asked[-1]
        assert statement == b"INSERT INTO sales_2.orders FORMAT TSV\n" + data
        assert params["workload"] == "order-load"  # and at most the class's own deadline:
        assert float(params["max_execution_time"]) <= 20.0
        assert params["insert_deduplication_token"]

    def test_ping_reports_whether_the_broker_is_serving(self):
        broker = self.start_service()
        wait_until(lambda: "cannot listen" not in broker.log_text() and self.ping_status())
        assert self.ping_status() == 503
        engine = self.engine(kind=FakeClickHouseEngine)
        broker.dns.instances[f"ch-0.{SERVICE_TYPE}"] = (engine.port, "ready")
        wait_until(lambda: self.ping_status() == 200, "a healthy ping")

    def ping_status(self):
        try:
            return self.query(method="GET", path="/ping", login={})[0]
        except OSError:
            return None

    def test_chunked_pipelined_and_http_1_0_requests_are_answered(self):
        engine = self.engine(stream_rows(ROW, page_rows(1)), kind=FakeClickHouseEngine)
        self.start_service(engine)
        login = b"".join(f"{name}: {value}\r\n".encode() for name, value in LOGIN.items())
        final_headers = login + b"Connection: close\r\n"
        received = self.send_raw(
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n%s\r\n6\r\nSELECT\r\n" % login,
            b"2\r\n 1\r\n0\r\n\r\nGET /ping HTTP/1.1\r\n%s\r\n" % final_headers,
        )  # the second request is pipelined
        assert engine.asked[0][1] == b"SELECT 1"
        assert received.count(b"HTTP/1.1 200 OK") == 2
        assert received.endswith(b"Ok.\n"), received
        complete = b"Content-Length: %d\r\n\r\n%s" % (len(ROW + page_rows(1)), ROW + page_rows(1))
        for request in (
            b"GET /?query=SELECT+1 HTTP/1.0\r\n%s\r\n" % login,
            b"GET /?query=SELECT+1&wait_end_of_query=1 HTTP/1.1\r\n%s\r\n" % final_headers,
        ):
            received = self.send_raw(request)
            assert complete.split(b"\r\n")[0] in received
            assert received.endswith(complete[-len(ROW) :])
            assert b"chunked" not in received
