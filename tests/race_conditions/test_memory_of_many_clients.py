"""Hundreds of clients at once that write slowly, stop half way or send very many short fields.

The process stays within its memory limit, which would be enforced by killing it, and serves sound clients."""

import socket
import threading
import time
from contextlib import suppress

from cypressledge.config import BASE_MEMORY_MB
from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import WAIT
from tests.net.clickhouse.clickhouse_test_case import LOGIN, ClickHouseTestCase
from tests.race_conditions.scenarios import limits, peak_memory

MEMORY_MB = 40  # of which 12 MB are spare
JSON_RPC_CLIENTS, HTTP_CLIENTS = 330, 100  # a third and a tenth of the descriptors
HOLD_S = 2.0  # s for which the clients stay connected once all have written what they can
SLOW_PIECE, SLOW_PAUSE_S = 1_000, 0.03  # bytes, s
HEADERS = b"".join(f"{name}: {value}\r\n".encode() for name, value in LOGIN.items())


def short_fields(size):
    """Return that many bytes of header fields of a few bytes each."""
    return b"".join(b"%x:\r\n" % number for number in range(size // 5))[:size]


class ManyClients(ClickHouseTestCase):
    def start(self):
        self.broker_process = self.start_service(
            self.engine(kind=FakeClickHouseEngine), change=limits(memory_mb=MEMORY_MB)
        )
        self.memory_before = peak_memory(self.broker_process.process.pid)

    def write_from_many(self, port, count, raw, piece_size=None):
        """Have `count` clients write these bytes, at once or in pieces, and stay connected."""
        for _ in range(count):
            sock = socket.create_connection(("127.0.0.1", port), WAIT)
            self.addCleanup(sock.close)
            threading.Thread(target=self.write, args=(sock, raw, piece_size or len(raw)), daemon=True).start()

    @staticmethod
    def write(sock, raw, piece_size):
        with suppress(OSError):
            for begin in range(0, len(raw), piece_size):
                sock.sendall(raw[begin : begin + piece_size])
                if piece_size < len(raw):
                    time.sleep(SLOW_PAUSE_S)

    def check_limit_and_service(self):
        """Check that sound clients of both frontends are served, and that the spare memory suffices."""
        end = time.monotonic() + HOLD_S
        while time.monotonic() < end:
            client = self.client(self.broker_process)
            client.ask()
            assert result_rows(client.get())
            client.close()
            assert self.query()[0] == 200
        growth = peak_memory(self.broker_process.process.pid) - self.memory_before
        assert growth < (MEMORY_MB - BASE_MEMORY_MB) << 20

    def test_json_rpc_requests_that_stop_half_way(self):
        self.start()
        raw = b"Content-Length: 500000\r\n\r\n" + b'{"a":"' + b"x" * 250_000
        self.write_from_many(self.broker_process.port, JSON_RPC_CLIENTS, raw)
        self.check_limit_and_service()

    def test_json_rpc_requests_that_are_written_slowly(self):
        self.start()
        raw = b"Content-Length: 500000\r\n\r\n" + b'{"a":"' + b"x" * 60_000
        self.write_from_many(self.broker_process.port, JSON_RPC_CLIENTS, raw, SLOW_PIECE)
        self.check_limit_and_service()

    def test_json_rpc_requests_of_very_many_values(self):
        """Regression: a message of 480 KB took 20 MB while it was parsed."""
        self.start()
        body = b"[" + b",".join([b"[]"] * 160_000) + b"]"
        raw = b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        self.write_from_many(self.broker_process.port, JSON_RPC_CLIENTS, raw)
        self.check_limit_and_service()

    def test_http_heads_of_very_many_short_fields(self):
        """Regression: a head of 64 KB took 800 KB of memory in 13,000 fields, under no budget."""
        self.start()
        self.write_from_many(self.port, HTTP_CLIENTS - 10, b"GET / HTTP/1.1\r\n" + short_fields(64_000))
        self.check_limit_and_service()

    def test_http_heads_of_very_many_short_fields_that_are_written_slowly(self):
        """Regression: as above."""
        self.start()
        raw = b"GET / HTTP/1.1\r\n" + short_fields(64_000)
        self.write_from_many(self.port, HTTP_CLIENTS - 10, raw, SLOW_PIECE)
        self.check_limit_and_service()

    def test_queued_http_requests_with_large_heads(self):
        """Regression: the heads of requests in a pipeline were held whole until their turn came."""
        self.start()
        fields = b"".join(b"h%d: %s\r\n" % (number, b"y" * 630) for number in range(90))
        request = b"POST / HTTP/1.1\r\n" + HEADERS + fields + b"Content-Length: 900000\r\n\r\nSELECT"
        self.write_from_many(self.port, HTTP_CLIENTS - 10, request)
        self.check_limit_and_service()

    def test_http_requests_that_stop_half_way(self):
        self.start()
        raw = b"POST / HTTP/1.1\r\n" + HEADERS + b"Content-Length: 4000000\r\n\r\n" + b"x" * 2_000_000
        self.write_from_many(self.port, HTTP_CLIENTS - 10, raw)
        self.check_limit_and_service()
