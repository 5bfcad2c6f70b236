"""ClickHouse interface: several requests on one connection, and input that cannot be read behind them."""

import http.client
import socket
import time
from contextlib import closing

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine, stream_rows
from tests.fakes.fake_engines import ROW
from tests.fakes.support import WAIT, close_connection, wait_until
from tests.net.clickhouse.clickhouse_test_case import LOGIN, ClickHouseTestCase

HEADERS = b"".join(f"{name}: {value}\r\n".encode() for name, value in LOGIN.items())
PIPELINED = 12  # requests, more than the broker queues


def answer_on_release(engine, send, params, statement):
    """Answer statements that contain `slow` once the test sets `engine.released`, and others at once."""
    if b"slow" in statement:
        wait_until(lambda: engine.released, "the release")
    stream_rows(ROW)(engine, send, params, statement)


def request(query_id, statement=b"SELECT 1", headers=b""):
    """Return a request."""
    return b"POST /?workload=report&query_id=%s HTTP/1.1\r\n%s%sContent-Length: %d\r\n\r\n%s" % (
        query_id.encode(),
        HEADERS,
        headers,
        len(statement),
        statement,
    )


def read_answer(file):
    """Read one answer; return its status and query id."""
    status = int(file.readline().split()[1])
    headers = http.client.parse_headers(file)
    if headers["Transfer-Encoding"] == "chunked":
        while size := int(file.readline(), 16):
            file.read(size + len(b"\r\n"))
        file.readline()
    else:
        file.read(int(headers["Content-Length"]))
    return status, headers["X-ClickHouse-Query-Id"]


class Pipelines(ClickHouseTestCase):
    """A request that has been read is answered, whatever follows it on its connection."""

    def setUp(self):
        self.running_engine = self.engine(answer_on_release, kind=FakeClickHouseEngine)
        self.running_engine.released = False
        self.addCleanup(setattr, self.running_engine, "released", True)
        self.start_service(self.running_engine)
        self.sock = socket.create_connection(("127.0.0.1", self.port), WAIT)
        self.file = self.sock.makefile("rb")
        self.addCleanup(self.sock.close)
        self.addCleanup(self.file.close)

    def release(self):
        """Let the first request end once the engine has it."""
        wait_until(lambda: self.running_engine.asked, "the first request at the engine")
        self.running_engine.released = True

    def answers(self, count):
        """Return the statuses and query ids of so many answers."""
        return [read_answer(self.file) for _ in range(count)]

    def test_requests_beyond_the_queue_are_answered_in_order(self):
        """Regression: over four waiting requests ended the connection, and none of them was answered."""
        self.sock.sendall(
            request("q0", b"SELECT slow") + b"".join(request(f"q{n}") for n in range(1, PIPELINED))
        )
        self.release()
        assert self.answers(PIPELINED) == [(200, f"q{number}") for number in range(PIPELINED)]

    def test_a_client_that_leaves_with_a_full_queue_is_noticed(self):
        self.sock.sendall(request("q0", b"SELECT slow") + b"".join(request(f"q{n}") for n in range(1, 40)))
        wait_until(lambda: self.running_engine.asked, "the first request at the engine")
        close_connection(self.sock)
        wait_until(lambda: self.counter("open_requests") == 0, "the withdrawal")
        assert len(self.running_engine.asked) == 1

    def test_unreadable_input_behind_a_running_request_does_not_end_it(self):
        """Regression: input that was no HTTP closed the connection over the requests before it."""
        self.sock.sendall(request("q0", b"SELECT slow") + request("q1") + b"nonsense\r\n\r\n")
        self.release()
        assert self.answers(3) == [(200, "q0"), (200, "q1"), (400, None)]
        assert self.file.read() == b""

    def test_an_incomplete_request_behind_a_running_one_does_not_end_it(self):
        """Regression: a request that stayed incomplete closed the connection over the one before it."""
        self.sock.sendall(request("q0", b"SELECT slow") + request("q1")[:-1])
        wait_until(lambda: self.counter("clickhouse.idle"), "the time-out")
        self.release()
        assert self.answers(2) == [(200, "q0"), (408, None)]
        assert self.file.read() == b""

    def test_a_request_whose_handling_fails_is_answered_and_costs_no_other(self):
        """Regression: an exception while one request was handled left it, and those behind it, unanswered."""
        failing = b"SELECT a FROM sales_" + b"1" * 5000 + b".orders"
        self.sock.sendall(request("q0", b"SELECT slow") + request("q1", failing) + request("q2"))
        self.release()
        assert self.answers(3) == [(200, "q0"), (500, None), (200, "q2")]

    def test_a_request_for_an_upgrade_is_answered_once(self):
        """Regression: it was answered with an error, although its sender works without the upgrade."""
        upgrade = b"Connection: Upgrade\r\nUpgrade: h2c\r\n"
        self.sock.sendall(b"GET /?query_id=q0&query=SELECT+1 HTTP/1.1\r\n%s%s\r\n" % (HEADERS, upgrade))
        assert self.answers(1) == [(200, "q0")]
        assert self.file.read() == b""

    def test_a_request_for_an_upgrade_with_a_body_is_rejected(self):
        self.sock.sendall(request("q0", headers=b"Connection: Upgrade\r\nUpgrade: h2c\r\n"))
        assert self.answers(1) == [(400, None)]
        assert self.file.read() == b""


class LastAnswers(ClickHouseTestCase):
    """The last answer on a connection arrives whole."""

    def test_bytes_that_arrive_behind_the_last_request_cost_no_part_of_its_answer(self):
        """Regression: the socket was closed at once, so bytes of the client reset it under the answer."""
        rows = b"0123456789\tx\ty\n" * 200_000
        self.start_service(self.engine(stream_rows(rows), kind=FakeClickHouseEngine))
        with closing(socket.create_connection(("127.0.0.1", self.port), WAIT)) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
            sock.sendall(request("q0", headers=b"Connection: close\r\n"))
            wait_until(lambda: self.counter("served.report"), "the end of the answer")
            time.sleep(0.3)  # the broker has written the answer, and the client has not read it
            sock.sendall(request("q1"))
            received = bytearray()
            while part := sock.recv(1 << 16):
                received += part
        assert received.endswith(b"0\r\n\r\n")
        assert received.count(b"0123456789\tx\ty\n") > 190_000
