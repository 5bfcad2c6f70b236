"""Brokers as processes: started, stopped, killed and ended by their ids."""

import json
import os
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Mapping, Sequence
from functools import cache
from pathlib import Path
from typing import TypeVar

import yaml
from gevent import sleep, subprocess

from cypressledge.lab.site import config, free_port

Result = TypeVar("Result")

ROOT = Path(__file__).parent.parent.parent


class ManagedProcess:
    """A process of the program that the laboratory starts, and ends by its id."""

    process: subprocess.Popen | None = None
    stopped = False  # by SIGSTOP
    log_start = 0  # bytes of the log that former processes wrote

    def launch(self, arguments: Sequence[str], log_file: Path, env: Mapping[str, str] | None = None) -> None:
        """Start `cypressledge` with these arguments in a session of its own; its output goes on in the log.

        `env`: its environment; this process's where it is None.
        """
        with open(log_file, "a", encoding="utf-8") as log:
            self.log_start = log.tell()
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", "cypressledge", *arguments],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        self.stopped = False

    @property
    def pid(self) -> int:
        """The id of the process. Raises `RuntimeError` where it was never started."""
        return self._started().pid

    def _started(self) -> subprocess.Popen:
        if self.process is None:
            raise RuntimeError("the process was never started")
        return self.process

    def running(self) -> bool:
        """Whether the process exists, stopped or not."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to this process alone."""
        if self.running():
            self._started().send_signal(number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.stopped = number == signal.SIGSTOP

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.running():
            self._started().kill()
            self._started().wait()


class BrokerProcess(ManagedProcess):
    """One broker of the program. `fleet`: the content of its fleet file, by its keys."""

    def __init__(
        self,
        name: str,
        folder: Path,
        fleet: dict,
        members: list[dict] | None = None,
        more: dict | None = None,
    ) -> None:
        self.name, self.folder, self.fleet = name, folder, fleet
        self.port, self.management = free_port(), free_port()
        self.config_file, self.fleet_file = folder / f"{name}.json", folder / f"{name}.yaml"
        self.log_file = folder / f"{name}.log"
        self.config_file.write_text(json.dumps(config(name, self.port, self.management, members, more)))

    def start(self, fleet: bool = True, more: tuple[str, ...] = (), place: dict | None = None) -> None:
        """Start it, with or without the fleet's part.

        `more`: further arguments; `place`: environment variables that name its zone and region.
        """
        self.fleet_file.write_text(yaml.safe_dump(self.fleet))
        env = {name: value for name, value in os.environ.items() if not name.startswith("ROUTER_")}
        env |= {"ROUTER_CONFIG": str(self.config_file), "TMPDIR": str(self.folder)} | (place or {})
        fleet_option = ("--fleet", str(self.fleet_file)) if fleet else ()
        self.launch([*fleet_option, *more], self.log_file, env)

    def leave(self, seconds: float = 5.0) -> int | None:
        """Send SIGTERM and return the exit code; None where it took longer and was killed."""
        self.signal(signal.SIGTERM)
        try:
            return self._started().wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def listening(self) -> bool:
        """Whether it has logged, since its last start, that it listens."""
        with open(self.log_file, "rb") as log:
            log.seek(self.log_start)
            return b"listening on" in log.read()

    def words(self) -> str:
        """Return its log so far."""
        return self.log_file.read_text(encoding="utf-8") if self.log_file.exists() else ""

    def events(self) -> list[dict]:
        """Return the structured lines of its log."""
        lines = [line for line in self.words().splitlines() if line.startswith("{") and line.endswith("}")]
        return [json.loads(line) for line in lines]


class Brokers:
    """Several broker processes with their files in one folder, a temporary one where none is named."""

    def __init__(self, folder: str = "") -> None:
        self._temporary = None if folder else tempfile.TemporaryDirectory(prefix="cypressledge-lab-")
        self.folder = Path(self._temporary.name if self._temporary else folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.all: dict[str, BrokerProcess] = {}

    def add(
        self, name: str, fleet: dict, members: list[dict] | None = None, more: dict | None = None
    ) -> BrokerProcess:
        """Add one, not started yet. `more`: site settings that differ from the laboratory's."""
        self.all[name] = BrokerProcess(name, self.folder, fleet, members, more)
        return self.all[name]

    def end(self) -> None:
        """Kill all, and remove the folder unless it was named."""
        for broker in self.all.values():
            broker.kill()
        if self._temporary is not None:
            self._temporary.cleanup()


def until(condition: Callable[[], Result], seconds: float, pause: float = 0.02) -> Result | None:
    """Wait until a condition is true, `seconds` at most; return its value, or None where it stayed false."""
    end = time.monotonic() + seconds
    while not (result := condition()):
        if time.monotonic() >= end:
            return None
        sleep(pause)
    return result


@cache
def commit() -> str:
    """Return the commit that this process began with, marked where the tree differs from it.

    Cached, as what is changed in the tree while the process runs is not what it runs.
    """
    changed = _git("status", "--porcelain", "--", "cypressledge")
    return (_git("rev-parse", "--short=10", "HEAD") or "unknown") + ("+changes" if changed else "")


def _git(*words: str) -> str:
    return subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True).stdout.strip()
