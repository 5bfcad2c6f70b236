"""ClickHouse interface: what some clients or engines send does not use up the memory of the others."""

import socket

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine
from tests.fakes.support import WAIT
from tests.net.clickhouse.clickhouse_test_case import LOGIN, ClickHouseTestCase
from tests.race_conditions.scenarios import limits

HEADERS = b"".join(f"{name}: {value}\r\n".encode() for name, value in LOGIN.items())
SMALL_MEMORY = {"memory_mb": 30}  # 4 MB of spare memory, of which bodies and results may use 1/8 each


class MemoryLimits(ClickHouseTestCase):
    def test_incomplete_bodies_of_some_clients_cost_no_other_client_its_request(self):
        """Regression: once some bodies had used up the limit of all, whole requests were turned away."""
        self.start_service(self.engine(kind=FakeClickHouseEngine), change=limits(**SMALL_MEMORY))
        for _ in range(5):
            sock = socket.create_connection(("127.0.0.1", self.port), WAIT)
            self.addCleanup(sock.close)
            sock.sendall(b"POST / HTTP/1.1\r\n%sContent-Length: 1000000\r\n\r\n" % HEADERS + b"x" * 300_000)
        for _ in range(50):  # the broker reads from each connection in turn
            self.counter("open_requests")
        statement = b"SELECT '" + b"x" * 100_000 + b"'"
        assert [self.query(statement)[0] for _ in range(3)] == [200] * 3

    def test_a_body_that_was_dropped_is_rejected_and_the_connection_stays_usable(self):
        self.start_service(self.engine(kind=FakeClickHouseEngine), change=limits(**SMALL_MEMORY))
        with socket.create_connection(("127.0.0.1", self.port), WAIT) as sock:
            sock.sendall(b"POST / HTTP/1.1\r\n%sContent-Length: 900000\r\n\r\n" % HEADERS + b"x" * 900_000)
            sock.sendall(b"GET /ping HTTP/1.1\r\nConnection: close\r\n\r\n")
            received = b"".join(iter(lambda: sock.recv(65536), b""))
        assert received.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1\r\n" in received
        assert received.endswith(b"Ok.\n")

    def test_a_header_field_without_an_end_is_rejected_early(self):
        """Regression: a field that never ended was held whole until the request timed out."""
        self.start_service(self.engine(kind=FakeClickHouseEngine))
        with socket.create_connection(("127.0.0.1", self.port), WAIT) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nX: " + b"x" * 200_000)
            assert sock.recv(4096).startswith(b"HTTP/1.1 431 ")
