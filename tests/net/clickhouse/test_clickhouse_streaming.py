"""ClickHouse interface: answers in chunks, while engine or client break off or are slow."""

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
    def test_client_that_closes_mid_stream_leaves_nothing_behind(self):
        engine = self.engine(stall_after_first_rows, kind=FakeClickHouseEngine)
        self.service(engine)
        conn = self.begin("/?workload=report")
        assert conn.getresponse().read(len(ROW)) == ROW
        close_connection(conn.sock)
        conn.close()
        assert engine.closed.wait(WAIT), "the engine's work goes on"
        wait_until(lambda: self.count("open_requests") == 0, "an empty ledger")
        wait_until(lambda: self.count("clickhouse.engine_connections") == 0, "closed connections")
        assert (self.count("client_disconnects"), len(engine.asked)) == (1, 1)
        assert self.api("GET", "/v1/tenants/sales")[1]["open"] == 0

    def test_after_the_first_byte_no_second_attempt_and_a_visibly_broken_stream(self):
        def tagged(engine, send, params, statement):
            send(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                b"X-ClickHouse-Exception-Tag: tagtag\r\n\r\n"
            )
            for part in (ROW * 9, b"\r\n__exception__\r\ntag", b"tag\r\nCode: 241\r\n"):
                send(b"%x\r\n%s\r\n" % (len(part), part))
            send(b"0\r\n\r\n")

        for play in (break_after_first_rows, tagged):
            with self.subTest(play.__name__):
                engine = self.engine(play, kind=FakeClickHouseEngine)
                self.service(engine, self.engine(play, kind=FakeClickHouseEngine))
                with pytest.raises(http.client.IncompleteRead) as caught:
                    self.ask()
                assert caught.value.partial.startswith(ROW[:5])
                assert b"__exception__" not in caught.value.partial
                assert self.count("attempts.first") == 1
                assert self.count("attempts.retry") == 0

    def test_slow_reader_does_not_make_the_broker_hold_the_result(self):
        part = b"0123456789\tx\ty\n" * 4096

        def endless(engine, send, params, statement):
            send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(1024):  # 62 MB
                send(b"%x\r\n%s\r\n" % (len(part), part))
                engine.sent += len(part)

        engine = self.engine(endless, kind=FakeClickHouseEngine)
        engine.sent = 0
        self.service(engine)
        self.begin("/?workload=report&max_execution_time=4")
        wait_until(lambda: engine.sent, "the first rows")
        assert self.api("GET", "/v1/engines")[0] == 200  # nobody else is stalled
        wait_until(lambda: self.count("open_requests") == 0, "the deadline")
        assert engine.sent < 40 << 20
