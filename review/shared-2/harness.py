"""Shared parts of the second review's cases: processes, the record, a verdict. Standard library only.

Every process of the program is started as the deploy file does it (`/bin/sh -c`, from the root of the
repository) and is ended by its process id. All addresses are on the loopback.
"""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
RUN_BROKER = DEPLOY["run"]  # "trap '' HUP; exec .venv/bin/python -O -m cypressledge"
RUN_PROGRAM = ".venv/bin/python -O -m cypressledge"  # as deploy/control.yaml and deploy/fleet.yaml name it
LONGEST_RUN_S = 115.0


class CouldNotRunError(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8", errors="backslashreplace")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
            self._file.flush()


_reserved: set[int] = set()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of the loopback that is free now, below the usual ephemeral range, each one once."""
    for _ in range(1000):
        port = random.SystemRandom().randrange(15_000, 32_000)
        if port in _reserved:
            continue
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _reserved.add(port)
        return port
    raise CouldNotRunError("no free port")


class Case:
    """One play of a case: its folder, its temporary folder and the processes that it has started."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-2-")
        self.tmp = Path(self._temporary.name)
        self.processes: dict[str, subprocess.Popen] = {}
        self.ended_by_case: set[int] = set()

    def start(self, name: str, command: str, **environment: str) -> subprocess.Popen:
        """Start a command from the repository's root; its output goes to NAME.log in the temporary folder."""
        own_tmp = self.tmp / f"tmp-{name}"
        own_tmp.mkdir(exist_ok=True)
        inherited = {
            key: value
            for key, value in os.environ.items()
            if not key.startswith(("ROUTER_", "CYPRESSLEDGE_", "PYTHON"))
        }
        with open(self.tmp / f"{name}.log", "a", encoding="utf-8") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=inherited | {"TMPDIR": str(own_tmp)} | environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.processes[name] = process
        self.record.write(f"started {name} (process {process.pid})")
        return process

    def log(self, name: str) -> str:
        """Return the log of a process so far."""
        return (self.tmp / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    def exits(self) -> dict[str, int]:
        """Return the exit codes of the processes that ended without a signal of this case."""
        return {
            name: code
            for name, process in self.processes.items()
            if (code := process.poll()) is not None and process.pid not in self.ended_by_case
        }

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this case started."""
        process = self.processes[name]
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.ended_by_case.add(process.pid)
        self.record.write(f"{number.name} to {name} (process {process.pid})")
        process.send_signal(number)

    def close(self) -> None:
        """End all processes of this case by their process ids."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(10)
        self._temporary.cleanup()


def wait_for(condition: Callable[[], object], what: str, seconds: float = 20.0) -> object:
    """Wait until a condition is true and return its value. Raises `CouldNotRunError` after `seconds`."""
    until = time.monotonic() + seconds
    while not (value := condition()):
        if time.monotonic() >= until:
            raise CouldNotRunError(f"waited {seconds} s for {what}")
        time.sleep(0.02)
    return value


def call(port: int, method: str, path: str, body: bytes = b"", timeout: float = 8.0) -> tuple[int, bytes]:
    """Make one HTTP call on the loopback; (0, the error's text) if there is no answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as err:
        return 0, repr(err).encode()
    finally:
        connection.close()


def get_json(port: int, path: str) -> dict:
    """Return the JSON object that a GET call answers; empty if there is none."""
    status, body = call(port, "GET", path, timeout=2.0)
    try:
        return json.loads(body) if status else {}
    except ValueError:
        return {}


def play(case_file: str, run: Callable[[Case], tuple[bool, str]]) -> None:
    """Play a case and exit with its verdict; `run` returns whether the rule held, and the reason."""
    case = Case(Path(case_file).resolve().parent)
    watchdog = threading.Timer(LONGEST_RUN_S, lambda: _give_up(case))
    watchdog.daemon = True
    watchdog.start()
    verdict = COULD_NOT_RUN
    try:
        held, reason = run(case)
        verdict = HELD if held else BROKEN
    except CouldNotRunError as err:
        reason = f"could not run: {err}"
    except Exception as err:  # a fault of the case itself is no verdict on the program
        reason = f"could not run: {type(err).__name__}: {err}"
    finally:
        case.close()
    word = {HELD: "held", BROKEN: "BROKEN", COULD_NOT_RUN: "no verdict"}[verdict]
    case.record.write(f"verdict (TROUBLE={int(TROUBLE)}): {word}: {reason}")
    print(f"{word}: {reason}")
    sys.stdout.flush()
    os._exit(verdict)


def _give_up(case: Case) -> None:
    case.record.write("verdict: no verdict: out of time")
    for process in case.processes.values():
        if process.poll() is None:
            process.kill()
    print("no verdict: out of time")
    sys.stdout.flush()
    os._exit(COULD_NOT_RUN)
