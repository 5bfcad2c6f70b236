"""The scale run's day, drawn from a seed, and the relays that can be cut."""

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from cypressledge.lab.capacity.day import FAULTS, QUIET_REST_S, QUIET_TAIL_S, draw_day
from cypressledge.lab.tcp_proxy import TcpProxy


def test_a_day_is_the_seeds_alone():
    assert draw_day(7, 240, 2, 0.7) == draw_day(7, 240, 2, 0.7) != draw_day(8, 240, 2, 0.7)


@pytest.mark.parametrize("seed", range(1, 6))
def test_a_long_day_has_all_faults_and_quiet_between_and_after(seed):
    day = draw_day(seed, 300, 2, 0.7)
    assert {f.kind for f in day.faults} == set(FAULTS)
    for one, other in zip(day.faults, day.faults[1:], strict=False):
        assert other.at >= one.at + one.span + QUIET_REST_S
    assert all(f.at + f.span <= 300 - QUIET_TAIL_S for f in day.faults)
    assert any(c.at > 300 - QUIET_TAIL_S for c in day.changes)


@pytest.mark.parametrize("seed", range(1, 6))
def test_a_short_day_has_the_faults_that_count(seed):
    assert [f.kind for f in draw_day(seed, 30, 2, 0.7).faults][:2] == list(FAULTS[:2])


class Echo:
    """Says back what it hears."""

    def __init__(self):
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.relay = TcpProxy(("127.0.0.1", self.server.server_port))

    def serve(self, conn, _):
        while data := conn.recv(100):
            conn.sendall(data)

    def dial(self):
        sock = socket.create_connection(("127.0.0.1", self.relay.server.server_port), 2)
        sock.settimeout(0.3)
        return sock

    def close(self):
        self.relay.close()
        self.server.stop(timeout=0.1)


@pytest.fixture
def echo():
    made = Echo()
    yield made
    made.close()


def say(sock, words=b"abc"):
    sock.sendall(words)
    return sock.recv(100)


def test_a_relay_passes_on_and_closes(echo):
    with echo.dial() as sock:
        assert say(sock) == b"abc"
    gevent.sleep(0.1)
    assert not echo.relay.pairs
    assert echo.relay.bytes == 6


def test_a_silent_cut_stands_still_and_ends_what_was_open_at_the_heal(echo):
    sock = echo.dial()
    say(sock)
    echo.relay.cut("silent")
    with pytest.raises(TimeoutError):
        say(sock)
    other = echo.dial()
    with pytest.raises(TimeoutError):
        say(other)
    echo.relay.heal()
    assert sock.recv(100) == b""
    assert other.recv(100) == b"abc"  # what was new in the cut is a connection from the heal on


def test_a_reset_cut_ends_what_is_open_and_takes_nothing_new(echo):
    sock = echo.dial()
    say(sock)
    echo.relay.cut("reset")
    assert sock.recv(100) == b""
    with echo.dial() as other:
        assert other.recv(100) == b""
    echo.relay.heal()
    with echo.dial() as other:
        assert say(other) == b"abc"
