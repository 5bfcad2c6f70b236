"""ClickHouse interface: requests that are invalid, unsupported, too large or too many."""

import socket

from tests.fakes.fake_clickhouse_engine import (
    FakeClickHouseEngine,
    stall_after_first_rows,
)
from tests.fakes.support import WAIT, wait_until
from tests.net.clickhouse.clickhouse_test_case import LOGIN, ClickHouseTestCase


class InvalidRequests(ClickHouseTestCase):
    def test_what_is_not_supported_gets_a_plain_error(self):
        self.service(self.engine(kind=FakeClickHouseEngine))
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
                assert self.code(body, **more) == expected

    def test_what_is_too_large_or_no_http(self):
        """The parser wraps what its callbacks raise: once, every limit came out as 400."""
        self.service(self.engine(kind=FakeClickHouseEngine))
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
                assert self.raw(*parts).startswith(b"HTTP/1.1 %d " % status)

    def test_running_id_is_not_taken_twice(self):
        engine = self.engine(stall_after_first_rows, kind=FakeClickHouseEngine)
        self.service(engine)
        self.begin("/?query_id=one")
        wait_until(lambda: engine.asked, "the attempt")
        assert self.code(query_id="one") == (500, 216)

    def test_clients_that_say_nothing_or_half_are_let_go(self):
        self.service(self.engine(kind=FakeClickHouseEngine))
        with socket.create_connection(("127.0.0.1", self.port), 3.5) as quiet:
            assert quiet.recv(1) == b""
        with socket.create_connection(("127.0.0.1", self.port), WAIT) as half:
            half.sendall(b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nSEL")
            assert b" 408 " in half.recv(4096)
