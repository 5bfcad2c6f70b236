"""The program as a process that a test starts and ends, its log in a file."""

import json
import os
import signal
import sys
from pathlib import Path

from gevent import subprocess

from cypressledge.lab.processes import ROOT, ManagedProcess

EXIT_TIMEOUT_S = 5.0
VARIABLE_PREFIXES = ("ROUTER_", "CYPRESSLEDGE_")  # beginnings of the program's environment variables


class ProgramProcess(ManagedProcess):
    """One process of the program. `optimised`: run without the interpreter's assertions, as in production."""

    tree = ROOT  # the folder whose program runs

    def __init__(self, name: str, folder: Path, optimised: bool = False) -> None:
        self.name, self.folder, self.optimised = name, folder, optimised
        self.log_file = folder / f"{name}.log"

    def start_program(self, *arguments: str, **environment: str) -> None:
        """Start it; its log goes on in the same file."""
        # Guards against a second start that would leave the first one running for good.
        assert not self.running(), f"{self.name} runs already"
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
        """Whether it stands still (SIGSTOP), whoever did that."""
        if not self.running():
            return False
        state = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()[0]
        return state == "T"

    def memory_bytes(self) -> int:
        """What it holds in memory."""
        text = Path(f"/proc/{self.pid}/status").read_text()
        return next(int(line.split()[1]) for line in text.splitlines() if line.startswith("VmRSS")) * 1024

    def log_text(self) -> str:
        """Its log so far."""
        return self.log_file.read_text(encoding="utf-8") if self.log_file.exists() else ""

    def logged(self, event: str) -> list[dict]:
        """The structured lines of its log about an event."""
        lines = [x for x in self.log_text().splitlines() if x.startswith("{") and x.endswith("}")]
        return [entry for entry in map(json.loads, lines) if entry["event"] == event]
