"""One client sends small or unsound requests at full speed; the answers of the others do not wait for it."""

import socket
import statistics
import threading
import time
from contextlib import suppress

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import WAIT
from tests.net.clickhouse.clickhouse_test_case import LOGIN, ClickHouseTestCase

FLOOD_S = 2.0
SENT_AT_ONCE = 200  # requests
# s; `ConnectTimeout` of the site: a broker that turns more slowly takes sound engines for unreachable ones
LONGEST_ANSWER_S = 0.25
HEADERS = b"".join(f"{name}: {value}\r\n".encode() for name, value in LOGIN.items())


def frame(body):
    return b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


def status_call(number):
    return frame(b'{"jsonrpc":"2.0","id":%d,"method":"status"}' % (number + 1))


def withdrawal(number):
    return frame(b'{"jsonrpc":"2.0","method":"withdraw","params":{"id":"%016x"}}' % number)


def withdrawn_lookup(number):
    """A lookup under a new name, of tables that no other reads, which is withdrawn at once."""
    content = b"U0VMRUNUIDE="  # SELECT 1
    params = b'{"id":"%016x","wait":6000,"tenant":"sahel","content":"%s"}' % (number + (1 << 40), content)
    call = b'{"jsonrpc":"2.0","id":%d,"method":"lookup","params":%s}' % (number + 1, params)
    return frame(call) + withdrawal(number + (1 << 40))


def ping(number):
    return b"GET /ping HTTP/1.1\r\n\r\n"


def unknown_path(number):
    return b"GET /x%d HTTP/1.1\r\n\r\n" % number


def unknown_user(number):
    return b"GET /?query=SELECT+1 HTTP/1.1\r\nX-ClickHouse-User: u%d\r\n\r\n" % number


def unknown_setting(number):
    return b"GET /?query=SELECT+1&set%d=1 HTTP/1.1\r\n%s\r\n" % (number, HEADERS)


class Flood:
    """A client that sends requests at full speed on one connection, and reads what is answered."""

    def __init__(self, port, request):
        self.sock = socket.create_connection(("127.0.0.1", port), WAIT)
        self.request, self.is_over, self.sent = request, threading.Event(), 0
        for run in (self._send, self._read):
            threading.Thread(target=run, daemon=True).start()

    def _send(self):
        with suppress(OSError):
            while not self.is_over.is_set():
                numbers = range(self.sent, self.sent + SENT_AT_ONCE)
                self.sock.sendall(b"".join(map(self.request, numbers)))
                self.sent += SENT_AT_ONCE

    def _read(self):
        with suppress(OSError):
            while self.sock.recv(1 << 20):
                pass

    def close(self):
        self.is_over.set()
        self.sock.close()


class Floods(ClickHouseTestCase):
    """Regression: all messages of a read were handled in one turn, and a reader's next turn came before the
    sockets of others were polled: their answers took 0.5 to 2 s."""

    def check_others(self, is_http, request):
        broker = self.start_service(self.engine(kind=FakeClickHouseEngine))
        flood = Flood(self.port if is_http else broker.port, request)
        self.addCleanup(flood.close)
        client = self.client(broker)
        times = {"JSON-RPC": [], "HTTP": []}
        end = time.monotonic() + FLOOD_S
        while time.monotonic() < end:
            began = time.monotonic()
            client.ask()
            assert result_rows(client.get())
            times["JSON-RPC"].append(time.monotonic() - began)
            began = time.monotonic()
            assert self.query()[0] == 200
            times["HTTP"].append(time.monotonic() - began)
        assert flood.sent > 1000
        medians = {frontend: statistics.median(taken) for frontend, taken in times.items()}
        assert max(medians.values()) < LONGEST_ANSWER_S, medians

    def test_status_calls(self):
        self.check_others(False, status_call)

    def test_withdrawals_under_new_names(self):
        self.check_others(False, withdrawal)

    def test_lookups_under_new_names_that_are_withdrawn(self):
        self.check_others(False, withdrawn_lookup)

    def test_pings(self):
        self.check_others(True, ping)

    def test_unknown_paths(self):
        self.check_others(True, unknown_path)

    def test_unknown_users(self):
        self.check_others(True, unknown_user)

    def test_unknown_settings(self):
        self.check_others(True, unknown_setting)
