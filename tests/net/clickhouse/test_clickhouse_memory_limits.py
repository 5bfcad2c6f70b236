"""ClickHouse interface: what some clients or engines send does not use up the memory of the others."""

import socket

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine
from tests.fakes.fake_engines import ROW
from tests.fakes.support import WAIT
from tests.net.clickhouse.clickhouse_test_case import LOGIN, ClickHouseTestCase
from tests.race_conditions.scenarios import limits, peak_memory

HEADERS = b"".join(f"{name}: {value}\r\n".encode() for name, value in LOGIN.items())
SMALL_MEMORY = {"memory_mb": 30}  # 4 MB of spare memory, of which bodies and results may use 1/8 each
ENDLESS_ANSWERS = 12
MAX_GROWTH = 12 << 20  # bytes; what the spare memory, and the answers in Python's own forms, can take
PART = b"0123456789\tx\ty\n" * 4096
PART_OF_FIELD = b"x" * len(PART)


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

    def test_endless_answers_that_are_buffered_take_a_limited_part_of_the_memory(self):
        """Regression: each answer to a client that takes no stream could take 8 MB, with no limit for all."""
        self.check_endless_answers(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")

    def test_header_fields_of_engines_that_never_end_take_a_limited_part_of_the_memory(self):
        """Regression: the parser held a header field of an answer until the memory limit was passed."""
        self.check_endless_answers(b"HTTP/1.1 200 OK\r\nX-ClickHouse-Summary: ", PART_OF_FIELD)

    def test_trailers_of_engines_that_never_end_take_a_limited_part_of_the_memory(self):
        """Regression: as with header fields, behind the last chunk."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.check_endless_answers(head + b"%x\r\n%s\r\n0\r\nX: " % (len(ROW), ROW), PART_OF_FIELD)

    def check_endless_answers(self, head, part=PART):
        """Check that answers of `head` and endless parts take a limited part of the memory."""

        def answer_without_end(engine, send, params, statement):
            if b"sound" in statement:
                send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(ROW), ROW))
                return
            send(head)
            for _ in range(100):
                send(part)
            engine.closed.wait(WAIT)

        engine = self.engine(answer_without_end, kind=FakeClickHouseEngine)
        broker = self.start_service(engine, change=limits(**SMALL_MEMORY))
        self.addCleanup(engine.closed.set)
        assert self.query(b"SELECT sound")[0] == 200
        before = peak_memory(broker.process.pid)
        client = self.client(broker)
        for _ in range(ENDLESS_ANSWERS):
            client.ask("report", wait=4000)
        assert all("error" in client.get() for _ in range(ENDLESS_ANSWERS))
        assert peak_memory(broker.process.pid) - before < MAX_GROWTH
        assert self.query(b"SELECT sound")[0] == 200
