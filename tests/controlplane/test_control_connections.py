"""Connections of control processes: a non-voting one, and peers that are slow or send malformed data."""

import time

import pytest
import yaml
from gevent import socket

from cypressledge.lab.processes import until
from tests.controlplane.control_changes import ENGINE
from tests.fakes.control_plane import WAIT, local_address


@pytest.mark.parametrize("plane", [{"count": 4, "voters": 3}], indirect=True)
def test_non_voting_control_process_publishes_the_history(plane):
    plane.start()
    others = [c for c in plane.controls.values() if c.name != "c4"]
    learner = plane.controls["c4"]
    assert until(lambda: learner.status().get("version") == 1, WAIT), plane.log_text()
    assert learner.status()["role"] == "learner"
    config = yaml.safe_load(plane.file.read_text())
    config["servers"] = [s for s in config["servers"] if s["name"] == "c4"] + [
        s | {"address": local_address(), "votes": True} for s in config["servers"] if s["name"] != "c4"
    ]
    plane.file.write_text(yaml.safe_dump(config))  # the broker can't reach the other control processes
    broker = plane.broker("n1")
    assert plane.broker_has_version(broker, 1), plane.log_text()
    assert broker.status()["server"] == "c4"
    code, output = plane.change({"engines": {"s-1": ENGINE}})
    assert code == 0, output
    assert "in force at 2 of 2 brokers" in output, output
    assert [c.process.poll() for c in others] == [None] * 3


def test_slow_and_malformed_connections_are_closed(plane):
    control = plane.controls["c1"]
    control.start("--first", str(plane.seed_file))
    assert until(control.status, WAIT), plane.log_text()
    host, port = plane.servers["c1"]["address"].split(":")

    def ended(raw, pause=None):
        """Return the seconds until the connection ends.

        The peer sends `raw` at once or, with a pause, one byte at a time.
        """
        with socket.create_connection((host, int(port)), 2) as sock:
            began = time.monotonic()
            sock.settimeout(0.5 if pause else 10)
            for part in [raw[i : i + 1] for i in range(len(raw))] if pause else [raw]:
                try:
                    sock.sendall(part)
                    if not pause:
                        break
                    if sock.recv(1) == b"":
                        break
                except TimeoutError:
                    continue
                except OSError:
                    break
            try:
                while sock.recv(4096):
                    pass
            except OSError:
                pass
            return time.monotonic() - began

    assert ended(b"\x00\x00\x00\x05abcde") < 2
    assert ended(b"\xff\xff\xff\xff" + bytes(100)) < 2
    assert ended(b"GET / HTTP/1.1\r\n\r\n") < 2
    assert 4 < ended(b"\x00\x00\x00\x40" + bytes(40), pause=0.5) < 8  # the timeout for the Hello is 5 s
    assert control.process.poll() is None
