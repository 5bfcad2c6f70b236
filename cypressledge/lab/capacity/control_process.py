"""Control processes of a capacity run, and calls of management addresses."""

import json
import sys
from pathlib import Path
from typing import NamedTuple

from gevent import socket, subprocess

from cypressledge.lab.capacity.day import REGION
from cypressledge.lab.capacity.process_cost import ProcessCost
from cypressledge.lab.processes import ROOT, OwnProcess
from cypressledge.lab.site import free_port

CONNECT_TIMEOUT_S = 1.0
CHUNK_BYTES = 65_536


class ManagementAnswer(NamedTuple):
    """What a process answers on its management address: the HTTP status, and the JSON of the body."""

    status: int
    body: dict


def call_management(
    port: int, method: str, path: str, body: bytes = b"", seconds: float = 8.0
) -> ManagementAnswer:
    """Return a process's answer on its management address.

    `seconds`: how long to wait for it. Raises `OSError`, `ValueError`.
    """
    with socket.create_connection(("127.0.0.1", port), CONNECT_TIMEOUT_S) as sock:
        sock.settimeout(seconds)
        sock.sendall(
            f"{method} {path} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        raw = b""
        while chunk := sock.recv(CHUNK_BYTES):
            raw += chunk
    head, _, rest = raw.partition(b"\r\n\r\n")
    return ManagementAnswer(int(head.split()[1]), json.loads(rest))


class ControlProcess(OwnProcess):
    """One control process; `votes`: whether it is a voter."""

    def __init__(self, name: str, zone: str, votes: bool, folder: Path) -> None:
        self.name, self.zone, self.votes, self.folder = name, zone, votes, folder
        self.region = REGION[zone]
        self.port, self.management = free_port(), free_port()
        self.fleet = free_port(socket.SOCK_DGRAM)
        self.settings = folder / f"{name}.yaml"
        self.record, self.log = folder / f"{name}.control.jsonl", folder / f"{name}.log"
        self.cost = ProcessCost()

    def start(self, first: Path | None = None) -> None:
        """Start the process; `first`: a file with which a new history begins."""
        seed_option = ["--first", str(first)] if first else []
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-O",
                    "-m",
                    "cypressledge",
                    "control",
                    "serve",
                    "--settings",
                    str(self.settings),
                    "--name",
                    self.name,
                    "--store",
                    str(self.folder / f"{self.name}.store"),
                    *seed_option,
                ],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        self.stopped = False

    def responsive(self) -> bool:
        """Whether the process runs and is not stopped."""
        return self.running() and not self.stopped

    def status(self, seconds: float = 1.0) -> dict:
        """Return its status as operators see it; empty where it does not answer."""
        try:
            return call_management(self.management, "GET", "/control/status", seconds=seconds).body
        except (OSError, ValueError, IndexError):
            return {}
