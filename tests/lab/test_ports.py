"""Ports of processes that an experiment restarts."""

import errno
import socket

import pytest

from cypressledge.lab.processes import Brokers, until
from cypressledge.lab.site import free_port, reserve_port
from tests.fakes.support import WAIT


def test_a_reserved_port_can_be_listened_on_but_is_not_free():
    port = free_port()
    with reserve_port(port), socket.socket() as other:
        with socket.create_server(("127.0.0.1", port)):  # sets SO_REUSEADDR
            pass
        with pytest.raises(OSError, match="in use") as caught:
            other.bind(("127.0.0.1", port))
        assert caught.value.errno == errno.EADDRINUSE


def test_the_ports_of_a_broker_are_kept_while_it_is_down(tmp_path):
    """Regression: another process took the port of a killed broker, which could not be started again; a
    capacity run then reported that the broker "must be running at the end"."""
    broker = Brokers(str(tmp_path)).add("n1", {})
    try:
        broker.start(fleet=False)
        assert until(broker.listening, WAIT)
        broker.kill()
        for port in (broker.port, broker.management):
            with socket.socket() as other, pytest.raises(OSError, match="in use"):
                other.bind(("127.0.0.1", port))
        broker.start(fleet=False)
        assert until(broker.listening, WAIT)
    finally:
        broker.kill()
