"""Control processes on the loopback interface, and groups of them that share a temporary folder."""

import json
import sqlite3
import tempfile
from collections.abc import Callable, Iterable
from pathlib import Path

import msgspec
import yaml

from cypressledge.controlplane.faults import FAULT_VARIABLE, ONCE_VARIABLE
from cypressledge.lab.capacity.control_process import call_management
from cypressledge.lab.processes import until
from tests.fakes.program_process import ProgramProcess

WAIT = 25.0  # s; longest wait of a test for an event
LEADER = "primary"  # role of the leader in its status
LOG_TAIL = 2_500  # characters; end of each log that the message of a failed wait contains


class ControlProcess(ProgramProcess):
    """One control process.

    Among the processes that share a `marker_file`, a fault happens in only one.
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        settings_file: Path,
        management: int,
        optimised: bool = False,
        marker_file: Path | None = None,
    ) -> None:
        super().__init__(name, folder, optimised)
        self.settings_file, self.management, self.marker_file = settings_file, management, marker_file
        self.store = folder / f"store-{name}"

    def start(self, *options: str, fault: str = "") -> None:
        """Start the process; `fault` names a fault to inject (see `cypressledge.controlplane.faults`)."""
        environment = {FAULT_VARIABLE: fault} if fault else {}
        if fault and self.marker_file:
            environment[ONCE_VARIABLE] = str(self.marker_file)
        command = ("control", "serve", "--settings", str(self.settings_file), "--name", self.name)
        self.start_program(*command, "--store", str(self.store), *options, **environment)

    def call(self, path: str, method: str = "GET", body: object = None) -> tuple[int, dict]:
        """Call /control/… and return the status and the body; (0, {}) if there is no answer."""
        if not self.running() or self.is_halted():
            return 0, {}
        raw = b"" if body is None else json.dumps(body).encode()
        try:
            return call_management(self.management, method, f"/control/{path}", raw, WAIT)
        except (OSError, ValueError, IndexError):
            return 0, {}

    def status(self) -> dict:
        """Return the status that the process reports; empty if it doesn't answer."""
        return self.call("status")[1]

    def last_stored_position(self) -> tuple[int, int]:
        """Return (epoch, version) of the newest change on disk; the process must not be running."""
        with sqlite3.connect(self.store / "history.sqlite") as db:
            body = db.execute("SELECT body FROM changes ORDER BY version DESC LIMIT 1").fetchone()[0]
        db.close()
        return tuple(msgspec.msgpack.decode(body)[:2])


class ControlProcessGroup:
    """Control processes by name and further processes, with their files in a temporary folder."""

    def __init__(self, seed: dict) -> None:
        self._temporary = tempfile.TemporaryDirectory(prefix="cypressledge-control-")
        self.folder = Path(self._temporary.name)
        self.seed_file = self.folder / "seed.yaml"
        self.seed_file.write_text(yaml.safe_dump(seed))
        self.controls: dict[str, ControlProcess] = {}

    def other_processes(self) -> Iterable[ProgramProcess]:
        """Return the processes of the group that are not control processes."""
        return ()

    def find_leader(self, *excluded: str) -> str | None:
        """Return the name of a leader that is not among the excluded ones; None if there is none."""
        others = (control for name, control in self.controls.items() if name not in excluded)
        return next((c.name for c in others if c.status().get("role") == LEADER), None)

    def wait_for(self, condition: Callable, what: str, timeout_s: float = WAIT):
        """Wait at most `timeout_s` until the condition is true, and return its value."""
        found = until(condition, timeout_s)
        assert found is not None, f"timed out after {timeout_s} s waiting for {what}\n" + self.log_text()
        return found

    def log_text(self) -> str:
        """Return the ends of the logs of all processes."""
        processes = (*self.controls.values(), *self.other_processes())
        return "\n".join(f"--- {p.name}\n{p.log_text()[-LOG_TAIL:]}" for p in processes)

    def close(self) -> None:
        """Kill all processes and remove the folder."""
        for process in (*self.controls.values(), *self.other_processes()):
            process.kill()
        self._temporary.cleanup()
