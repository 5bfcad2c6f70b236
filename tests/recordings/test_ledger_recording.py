"""The broker's core does as recorded: the sequence of calls, answers and events of scripted requests.

`python -m tests.recordings.test_ledger_recording` writes it anew.
"""

import json
import sys
from pathlib import Path

import gevent
import pytest
from gevent import socket

from cypressledge.broker.maintenance import Maintenance
from cypressledge.decisions import contract as c
from cypressledge.net.maintenance_file import MaintenanceFile
from cypressledge.net.management import ManagementServer, metrics
from tests.recordings.ledger_scenarios import ROWS, SCENARIOS
from tests.recordings.ledger_script import ENGINE_1, Script

RECORDING = Path(__file__).with_suffix(".json")


def management(script):
    """The operators' address: every answer, byte for byte."""
    taking = [True]
    calls = ManagementServer(("127.0.0.1", 0), script.counters, lambda: taking[0])
    script.core.engines.maintenance = Maintenance()
    kept = MaintenanceFile(script.core, "recording", script.directory)
    classes = ("lookup", "report")
    calls.add("/status/metrics", "GET", lambda r: (200, metrics(script.core, classes)))
    calls.add("/maintenance/enter", "POST", lambda r: kept.handle_call(r, True))
    calls.add("/maintenance/exit", "POST", lambda r: kept.handle_call(r, False))
    listener = calls.server.listener
    accepting = gevent.spawn(listener.run)
    request, attempt = script.sent((ENGINE_1, 0))
    script.end(attempt, c.Outcome.OK, ROWS)
    script.turn()
    script.submit("00000000000000bb")
    script.turn()
    for line, body in (
        ("GET /status", ""),
        ("GET /status/metrics", ""),
        ("POST /maintenance/enter", "s-7"),
        ("GET /status/metrics", ""),
        ("POST /maintenance/exit", "s-7"),
        ("POST /maintenance/exit", "s-9"),
        ("POST /maintenance/enter", ""),
        ("GET /nowhere", ""),
        ("POST /status", ""),
    ):
        script.row("call", line, body, answer(listener.sock.getsockname(), line, body))
    taking[0] = False
    script.row("call", "GET /status", "", answer(listener.sock.getsockname(), "GET /status", ""))
    listener.stop()
    accepting.kill()


def answer(address, line, body):
    """All bytes that the operators' address answers a call with."""
    with socket.create_connection(address, timeout=5) as sock:
        sock.sendall(f"{line} HTTP/1.1\r\nHost: b\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        got = b""
        while part := sock.recv(65536):
            got += part
    return got.decode()


def play(scenario, monkeypatch, directory):
    """The rows of one scenario."""
    script = Script(monkeypatch)
    script.directory = str(directory)
    try:
        scenario(script)
    finally:
        script.close()
    return json.loads(json.dumps(script.rows))


@pytest.mark.parametrize("scenario", [*SCENARIOS, management], ids=lambda s: s.__name__)
def test_recorded(scenario, monkeypatch, tmp_path):
    assert play(scenario, monkeypatch, tmp_path) == json.loads(RECORDING.read_text())[scenario.__name__]


def write() -> None:
    """Record everything anew: only where the behaviour itself is meant to change."""
    import tempfile

    with pytest.MonkeyPatch.context() as patch, tempfile.TemporaryDirectory() as directory:
        recorded = {s.__name__: play(s, patch, directory) for s in (*SCENARIOS, management)}
    scenarios = (
        f"{json.dumps(name)}: [\n" + ",\n".join(f"  {json.dumps(row)}" for row in rows) + "\n]"
        for name, rows in recorded.items()
    )
    RECORDING.write_text("{\n" + ",\n".join(scenarios) + "\n}\n")


if __name__ == "__main__":
    sys.exit(write())
