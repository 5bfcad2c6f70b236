"""ClickHouse interface: streamed answers when the engine or the client disconnects or is slow."""

import http.client

import pytest

from tests.fakes.fake_clickhouse_engine import (
    FakeClickHouseEngine,
    break_after_first_rows,
    stall_after_first_rows,
)
from tests.fakes.fake_engines import ROW
from tests.fakes.support import WAIT, close_connection, wait_until
from tests.net.clickhouse.clickhouse_test_case import ClickHouseTestCase


class StreamedAnswers(ClickHouseTestCase):
    def test_a_client_that_disconnects_in_mid_stream_ends_the_engine_s_work(self):
        engine = self.engine(stall_after_first_rows, kind=FakeClickHouseEngine)
        self.start_service(engine)
        conn = self.start_query("/?workload=report")
        assert conn.getresponse().read(len(ROW)) == ROW
        close_connection(conn.sock)
        conn.close()
        assert engine.closed.wait(WAIT), "the engine's connection is still open"
        wait_until(lambda: self.counter("open_requests") == 0, "an empty ledger")
        wait_until(lambda: self.counter("clickhouse.engine_connections") == 0, "closed connections")
        assert (self.counter("client_disconnects"), len(engine.asked)) == (1, 1)
        assert self.call_admin_api("GET", "/v1/tenants/sales")[1]["open"] == 0

    def test_after_the_first_row_a_failure_breaks_the_stream_without_a_retry(self):
        def end_in_tagged_exception(engine, send, params, statement):
            send(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                b"X-ClickHouse-Exception-Tag: tagtag\r\n\r\n"
            )
            for part in (ROW * 9, b"\r\n__exception__\r\ntag", b"tag\r\nCode: 241\r\n"):
                send(b"%x\r\n%s\r\n" % (len(part), part))
            send(b"0\r\n\r\n")

        for play in (break_after_first_rows, end_in_tagged_exception):
            with self.subTest(play.__name__):
                engine = self.engine(play, kind=FakeClickHouseEngine)
                self.start_service(engine, self.engine(play, kind=FakeClickHouseEngine))
                with pytest.raises(http.client.IncompleteRead) as caught:
                    self.query()
                assert caught.value.partial.startswith(ROW[:5])
                assert b"__exception__" not in caught.value.partial
                assert self.counter("attempts.first") == 1
                assert self.counter("attempts.retry") == 0

    def test_a_slow_client_does_not_make_the_broker_buffer_the_result(self):
        part = b"0123456789\tx\ty\n" * 4096

        def stream_62_mb(engine, send, params, statement):
            send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(1024):
                send(b"%x\r\n%s\r\n" % (len(part), part))
                engine.sent += len(part)

        engine = self.engine(stream_62_mb, kind=FakeClickHouseEngine)
        engine.sent = 0
        self.start_service(engine)
        self.start_query("/?workload=report&max_execution_time=4")
        wait_until(lambda: engine.sent, "the first rows")
        assert self.call_admin_api("GET", "/v1/engines")[0] == 200  # other callers are not blocked
        wait_until(lambda: self.counter("open_requests") == 0, "the deadline")
        assert engine.sent < 40 << 20
