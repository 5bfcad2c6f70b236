"""A process of the program that a test starts and stops, with its log in a file."""

import json
import os
import signal
import sys
from pathlib import Path

from gevent import subprocess

from cypressledge.lab.processes import ROOT, ManagedProcess

EXIT_TIMEOUT_S = 5.0  # s; default wait for the exit after SIGTERM
VARIABLE_PREFIXES = ("ROUTER_", "CYPRESSLEDGE_")  # of the program's variables, which are not inherited


class ProgramProcess(ManagedProcess):
    """One process of the program; `optimised` runs it with -O, without assertions, as in production."""

    tree = ROOT  # root of the source tree whose program runs

    def __init__(self, name: str, folder: Path, optimised: bool = False) -> None:
        self.name, self.folder, self.optimised = name, folder, optimised
        self.log_file = folder / f"{name}.log"

    def start_program(self, *arguments: str, **environment: str) -> None:
        """Start the process; a restart appends to the same log file."""
        # A second start would lose the handle of the first process, which would never be stopped.
        assert not self.running(), f"the process {self.name} is already running"
        inherited = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith(VARIABLE_PREFIXES) and name != "PYTHONPATH"
        }
        options = ["-O"] if self.optimised else []
        with open(self.log_file, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [sys.executable, *options, "-m", "cypressledge", *arguments],
                cwd=self.tree,
                env=inherited | {"TMPDIR": str(self.folder)} | environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        self.stopped = False

    def terminate(self, timeout_s: float = EXIT_TIMEOUT_S) -> int:
        """Send SIGTERM and return the exit code. Raises `TimeoutExpired`."""
        self.signal(signal.SIGTERM)
        return self.process.wait(timeout_s)

    def is_halted(self) -> bool:
        """Return whether the process is stopped (SIGSTOP), no matter who sent the signal."""
        if not self.running():
            return False
        state = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()[0]
        return state == "T"

    def memory_bytes(self) -> int:
        """Return the resident memory of the process in bytes."""
        text = Path(f"/proc/{self.pid}/status").read_text()
        return next(int(line.split()[1]) for line in text.splitlines() if line.startswith("VmRSS")) * 1024

    def log_text(self) -> str:
        """Return the log so far."""
        return self.log_file.read_text(encoding="utf-8") if self.log_file.exists() else ""

    def logged(self, event: str) -> list[dict]:
        """Return the JSON entries of the log about an event."""
        lines = [x for x in self.log_text().splitlines() if x.startswith("{") and x.endswith("}")]
        return [entry for entry in map(json.loads, lines) if entry["event"] == event]
