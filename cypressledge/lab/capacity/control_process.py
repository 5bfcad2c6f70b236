"""Control processes of a capacity run, and requests to management addresses."""

import json
from pathlib import Path
from typing import NamedTuple

from gevent import socket

from cypressledge.lab.capacity.day import REGION
from cypressledge.lab.capacity.process_cost import ProcessCost
from cypressledge.lab.processes import ManagedProcess
from cypressledge.lab.site import free_port, reserve_port

CONNECT_TIMEOUT_S = 1.0
CHUNK_BYTES = 65_536


class ManagementAnswer(NamedTuple):
    """An answer from a management address: the HTTP status and the decoded JSON body."""

    status: int
    body: dict


def call_management(
    port: int, method: str, path: str, body: bytes = b"", seconds: float = 8.0
) -> ManagementAnswer:
    """Send a request to a process's management address and return the answer.

    `seconds`: timeout of the answer. Raises `OSError` if the connection fails, `ValueError` or `IndexError`
    for an answer that is not HTTP with a JSON body.
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


def serve_arguments(settings: Path, name: str, store: Path, *options: str) -> list[str]:
    """Return the program's arguments that run a control process. `settings`, `store`: its files."""
    return [
        "control",
        "serve",
        "--settings",
        str(settings),
        "--name",
        name,
        "--store",
        str(store),
        *options,
    ]


class ControlProcess(ManagedProcess):
    """A control process of a capacity run; `votes`: whether it is a voter."""

    def __init__(self, name: str, zone: str, votes: bool, folder: Path) -> None:
        self.name, self.zone, self.votes, self.folder = name, zone, votes, folder
        self.region = REGION[zone]
        self.port, self.management = free_port(), free_port()
        # While it is restarted, another process must not take its ports.
        self.reservations = [reserve_port(port) for port in (self.port, self.management)]
        self.fleet = free_port(socket.SOCK_DGRAM)
        self.settings = folder / f"{name}.yaml"
        self.record, self.log = folder / f"{name}.control.jsonl", folder / f"{name}.log"
        self.cost = ProcessCost()

    def start(self, first: Path | None = None) -> None:
        """Start the process; `first`: the file with the initial contents of a new history."""
        seed_option = ("--first", str(first)) if first else ()
        store = self.folder / f"{self.name}.store"
        self.launch(serve_arguments(self.settings, self.name, store, *seed_option), self.log)

    def responsive(self) -> bool:
        """Return whether the process runs and is not stopped by a signal."""
        return self.running() and not self.stopped

    def status(self, seconds: float = 1.0) -> dict:
        """Return the status from its management address; empty if it does not answer."""
        try:
            return call_management(self.management, "GET", "/control/status", seconds=seconds).body
        except (OSError, ValueError, IndexError):
            return {}
