"""A capacity run's day, drawn from a seed, and the TCP proxy that can be cut."""

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from cypressledge.lab.capacity.day import FAULTS, QUIET_REST_S, QUIET_TAIL_S, draw_day
from cypressledge.lab.tcp_proxy import TcpProxy


def test_a_day_depends_only_on_the_seed():
    assert draw_day(7, 240, 2, 0.7) == draw_day(7, 240, 2, 0.7) != draw_day(8, 240, 2, 0.7)


@pytest.mark.parametrize("seed", range(1, 6))
def test_a_long_day_has_all_kinds_of_faults_with_quiet_times_between_and_after(seed):
    day = draw_day(seed, 300, 2, 0.7)
    assert {fault.kind for fault in day.faults} == set(FAULTS)
    for fault, following in zip(day.faults, day.faults[1:], strict=False):
        assert following.at >= fault.at + fault.span + QUIET_REST_S
    assert all(fault.at + fault.span <= 300 - QUIET_TAIL_S for fault in day.faults)
    assert any(change.at > 300 - QUIET_TAIL_S for change in day.changes)


@pytest.mark.parametrize("seed", range(1, 6))
def test_a_short_day_begins_with_the_first_two_kinds_of_faults(seed):
    assert [f.kind for f in draw_day(seed, 30, 2, 0.7).faults][:2] == list(FAULTS[:2])


class EchoServer:
    """A server that sends back what it receives, behind a proxy."""

    def __init__(self):
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.proxy = TcpProxy(("127.0.0.1", self.server.server_port))

    def serve(self, conn, _):
        while data := conn.recv(100):
            conn.sendall(data)

    def connect(self):
        sock = socket.create_connection(("127.0.0.1", self.proxy.server.server_port), 2)
        sock.settimeout(0.3)
        return sock

    def close(self):
        self.proxy.close()
        self.server.stop(timeout=0.1)


@pytest.fixture
def echo():
    server = EchoServer()
    yield server
    server.close()


def exchange(sock, data=b"abc"):
    sock.sendall(data)
    return sock.recv(100)


def test_a_proxy_forwards_and_closes(echo):
    with echo.connect() as sock:
        assert exchange(sock) == b"abc"
    gevent.sleep(0.1)
    assert not echo.proxy.pairs
    assert echo.proxy.bytes == 6


def test_a_silent_cut_stalls_connections_and_closes_them_at_the_heal(echo):
    sock = echo.connect()
    exchange(sock)
    echo.proxy.cut("silent")
    with pytest.raises(TimeoutError):
        exchange(sock)
    other = echo.connect()
    with pytest.raises(TimeoutError):
        exchange(other)
    echo.proxy.heal()
    assert sock.recv(100) == b""
    assert other.recv(100) == b"abc"  # a connection opened during the cut is forwarded from the heal on


def test_a_reset_cut_closes_connections_and_accepts_no_new_ones(echo):
    sock = echo.connect()
    exchange(sock)
    echo.proxy.cut("reset")
    assert sock.recv(100) == b""
    with echo.connect() as other:
        assert other.recv(100) == b""
    echo.proxy.heal()
    with echo.connect() as other:
        assert exchange(other) == b"abc"
