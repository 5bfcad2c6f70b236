"""ClickHouse interface: requests that are invalid, unsupported, too large or too many."""

import socket

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine, stall_after_first_rows
from tests.fakes.support import WAIT, wait_until
from tests.net.clickhouse.clickhouse_test_case import LOGIN, ClickHouseTestCase


class InvalidRequests(ClickHouseTestCase):
    def test_unsupported_and_invalid_requests_get_their_error_codes(self):
        self.start_service(self.engine(kind=FakeClickHouseEngine))
        select = b"SELECT 1"
        for expected, body, more in (
            ((501, 48), select, {"session_id": "s"}),
            ((501, 48), select, {"param_x": "1"}),
            ((404, 115), select, {"max_threads": "4"}),
            ((400, 36), select, {"workload": "nothing"}),
            ((400, 36), select, {"max_execution_time": "soon"}),
            ((404, 73), b"SELECT 1 FORMAT JSON", {}),
            ((404, 73), select, {"default_format": "CSV"}),
            ((400, 62), b"  ", {}),
            ((400, 36), select, {"query_id": "a b"}),
            ((404, 48), select, {"path": "/other"}),
            ((501, 48), select, {"method": "PUT"}),
            ((500, 164), b"", {"method": "GET", "query": "INSERT INTO t VALUES (1)"}),
            ((501, 48), select, {"login": LOGIN | {"Content-Encoding": "gzip"}}),
        ):
            with self.subTest(more or body):
                assert self.query_error(body, **more) == expected

    def test_requests_that_are_too_large_or_not_http_are_rejected(self):
        """The parser wraps exceptions of its callbacks; unless unwrapped, each limit becomes a 400."""
        self.start_service(self.engine(kind=FakeClickHouseEngine))
        for status, *parts in (
            (413, b"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"),
            (
                413,
                b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                *(b"100000\r\n" + bytes(1 << 20) + b"\r\n" for _ in range(5)),
            ),
            (431, b"GET /?" + b"x" * 70_000 + b" HTTP/1.1\r\n\r\n"),
            (400, b"nonsense\r\n\r\n"),
        ):
            with self.subTest(status):
                assert self.send_raw(*parts).startswith(b"HTTP/1.1 %d " % status)

    def test_the_id_of_a_running_query_is_rejected(self):
        engine = self.engine(stall_after_first_rows, kind=FakeClickHouseEngine)
        self.start_service(engine)
        self.start_query("/?query_id=one")
        wait_until(lambda: engine.asked, "the attempt")
        assert self.query_error(query_id="one") == (500, 216)

    def test_silent_clients_are_closed_and_incomplete_requests_time_out(self):
        self.start_service(self.engine(kind=FakeClickHouseEngine))
        with socket.create_connection(("127.0.0.1", self.port), 3.5) as silent:
            assert silent.recv(1) == b""
        with socket.create_connection(("127.0.0.1", self.port), WAIT) as incomplete:
            incomplete.sendall(b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nSEL")
            assert b" 408 " in incomplete.recv(4096)
