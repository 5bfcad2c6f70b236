"""Broker processes that an experiment starts, pauses, terminates and kills by process id."""

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

from cypressledge.lab.site import config, free_port, reserve_port

Result = TypeVar("Result")

ROOT = Path(__file__).parent.parent.parent


class ManagedProcess:
    """A process of the program that an experiment starts and ends by its process id."""

    process: subprocess.Popen | None = None
    stopped = False  # whether SIGSTOP has paused it
    log_start = 0  # bytes; size of the log file when this process was started

    def launch(self, arguments: Sequence[str], log_file: Path, env: Mapping[str, str] | None = None) -> None:
        """Start `cypressledge` with these arguments in its own session; append its output to the log file.

        `env`: its environment; None to inherit that of this process.
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
        """The process id. Raises `RuntimeError` if the process was never started."""
        return self._started().pid

    def _started(self) -> subprocess.Popen:
        if self.process is None:
            raise RuntimeError("the process was never started")
        return self.process

    def running(self) -> bool:
        """Return whether the process exists, paused or not."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to this process only, not to its group; do nothing if it is not running."""
        if self.running():
            self._started().send_signal(number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.stopped = number == signal.SIGSTOP

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        if self.running():
            self._started().kill()
            self._started().wait()


class BrokerProcess(ManagedProcess):
    """A broker process with its configuration files. `fleet`: content of its fleet file, by key."""

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
        # While it is restarted, another process must not take its ports.
        self.reservations = [reserve_port(port) for port in (self.port, self.management)]
        self.config_file, self.fleet_file = folder / f"{name}.json", folder / f"{name}.yaml"
        self.log_file = folder / f"{name}.log"
        self.config_file.write_text(json.dumps(config(name, self.port, self.management, members, more)))

    def start(self, fleet: bool = True, more: tuple[str, ...] = (), place: dict | None = None) -> None:
        """Start the broker, with `--fleet` if `fleet` is true.

        `more`: further arguments; `place`: environment variables that name its zone and region.
        """
        self.fleet_file.write_text(yaml.safe_dump(self.fleet))
        env = {name: value for name, value in os.environ.items() if not name.startswith("ROUTER_")}
        env |= {"ROUTER_CONFIG": str(self.config_file), "TMPDIR": str(self.folder)} | (place or {})
        fleet_option = ("--fleet", str(self.fleet_file)) if fleet else ()
        self.launch([*fleet_option, *more], self.log_file, env)

    def leave(self, seconds: float = 5.0) -> int | None:
        """Send SIGTERM and return the exit code; kill it and return None if it takes over `seconds`."""
        self.signal(signal.SIGTERM)
        try:
            return self._started().wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def listening(self) -> bool:
        """Return whether it has logged since its last start that it is listening."""
        with open(self.log_file, "rb") as log:
            log.seek(self.log_start)
            return b"listening on" in log.read()

    def words(self) -> str:
        """Return the text of its log file, empty if there is none."""
        return self.log_file.read_text(encoding="utf-8") if self.log_file.exists() else ""

    def events(self) -> list[dict]:
        """Return the structured (JSON) lines of its log, decoded."""
        lines = [line for line in self.words().splitlines() if line.startswith("{") and line.endswith("}")]
        return [json.loads(line) for line in lines]


class Brokers:
    """Several broker processes with their files in one folder, a temporary one if none is given."""

    def __init__(self, folder: str = "") -> None:
        self._temporary = None if folder else tempfile.TemporaryDirectory(prefix="cypressledge-lab-")
        self.folder = Path(self._temporary.name if self._temporary else folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.all: dict[str, BrokerProcess] = {}

    def add(
        self, name: str, fleet: dict, members: list[dict] | None = None, more: dict | None = None
    ) -> BrokerProcess:
        """Create a broker process without starting it. `more`: site settings in place of the defaults."""
        self.all[name] = BrokerProcess(name, self.folder, fleet, members, more)
        return self.all[name]

    def end(self) -> None:
        """Kill all brokers, and remove the folder if it is a temporary one."""
        for broker in self.all.values():
            broker.kill()
        if self._temporary is not None:
            self._temporary.cleanup()


def until(condition: Callable[[], Result], seconds: float, pause: float = 0.02) -> Result | None:
    """Wait at most `seconds` until a condition is true; return its value, or None if it stays false."""
    end = time.monotonic() + seconds
    while not (result := condition()):
        if time.monotonic() >= end:
            return None
        sleep(pause)
    return result


@cache
def commit() -> str:
    """Return the checked-out commit, marked with "+changes" if the package differs from it.

    Cached, because the process keeps running the code it started with when files change later.
    """
    changed = _git("status", "--porcelain", "--", "cypressledge")
    return (_git("rev-parse", "--short=10", "HEAD") or "unknown") + ("+changes" if changed else "")


def _git(*words: str) -> str:
    return subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True).stdout.strip()
