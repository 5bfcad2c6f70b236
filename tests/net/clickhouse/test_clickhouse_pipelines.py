"""ClickHouse interface: several requests on one connection, and input that cannot be read behind them."""

import socket
import time
from contextlib import closing

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine, stream_rows
from tests.fakes.support import WAIT, wait_until
from tests.net.clickhouse.clickhouse_test_case import LOGIN, ClickHouseTestCase

HEADERS = b"".join(f"{name}: {value}\r\n".encode() for name, value in LOGIN.items())


def request(query_id, statement=b"SELECT 1", headers=b""):
    """Return a request."""
    return b"POST /?workload=report&query_id=%s HTTP/1.1\r\n%s%sContent-Length: %d\r\n\r\n%s" % (
        query_id.encode(),
        HEADERS,
        headers,
        len(statement),
        statement,
    )


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
