"""Brokers as processes for the laboratory: starts, stops, kills and ends its own, by their ids."""

import json
import os
import signal
import sys
import tempfile
import time
from functools import cache
from pathlib import Path

import yaml
from gevent import sleep, subprocess

from cypressledge.lab.site import config, free_port

ROOT = Path(__file__).parent.parent.parent


class OwnProcess:
    """A process that the laboratory starts, and ends by its id."""

    process: subprocess.Popen | None = None
    stopped = False

    def running(self) -> bool:
        """Whether the process is there, stopped or not."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to this process alone."""
        if self.running():
            self.process.send_signal(number)
            self.stopped = {signal.SIGSTOP: True, signal.SIGCONT: False}.get(number, self.stopped)

    def kill(self) -> None:
        """It is gone at once."""
        if self.running():
            self.process.kill()
            self.process.wait()


class BrokerProcess(OwnProcess):
    """One broker of the program with the fleet's part on. `fleet` is the file's content, by its keys."""

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
        self.life_begins = 0  # bytes of the log that are of former lives

    def start(self, fleet: bool = True, more: tuple[str, ...] = (), place: dict | None = None) -> None:
        """Start it, with or without the fleet's part; its log goes on in the same file. `more`: arguments;
        `place`: of the environment, where it is."""
        self.fleet_file.write_text(yaml.safe_dump(self.fleet))
        env = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        env |= {"ROUTER_CONFIG": str(self.config_file), "TMPDIR": str(self.folder)} | (place or {})
        with open(self.log_file, "a", encoding="utf-8") as log:
            self.life_begins = log.tell()
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-O",
                    "-m",
                    "cypressledge",
                    *(("--fleet", str(self.fleet_file)) if fleet else ()),
                    *more,
                ],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        self.stopped = False

    def leave(self, seconds: float = 5.0) -> int | None:
        """SIGTERM, and its exit code; killed where it takes longer."""
        self.signal(signal.SIGTERM)
        try:
            return self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def listening(self) -> bool:
        """Whether it has come so far in this life: its start is over."""
        with open(self.log_file, "rb") as log:
            log.seek(self.life_begins)
            return b"listening on" in log.read()

    def words(self) -> str:
        """Its log so far."""
        return self.log_file.read_text(encoding="utf-8") if self.log_file.exists() else ""

    def events(self) -> list[dict]:
        """The structured lines of its log."""
        lines = [line for line in self.words().splitlines() if line.startswith("{") and line.endswith("}")]
        return [json.loads(line) for line in lines]


class Brokers:
    """Several of them in one folder; ended whatever happens."""

    def __init__(self, folder: str = "") -> None:
        self._own = None if folder else tempfile.TemporaryDirectory(prefix="cypressledge-lab-")
        self.folder = Path(folder or self._own.name)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.all: dict[str, BrokerProcess] = {}

    def add(
        self, name: str, fleet: dict, members: list[dict] | None = None, more: dict | None = None
    ) -> BrokerProcess:
        """One more, not started yet. `more`: site settings that differ from the laboratory's."""
        self.all[name] = BrokerProcess(name, self.folder, fleet, members, more)
        return self.all[name]

    def end(self) -> None:
        """All are gone, and the folder with them unless it was named."""
        for broker in self.all.values():
            broker.kill()
        if self._own is not None:
            self._own.cleanup()


def until(holds, seconds: float, pause: float = 0.02):
    """Wait until something holds, `seconds` at most; what it gave, or None."""
    end = time.monotonic() + seconds
    while not (got := holds()):
        if time.monotonic() >= end:
            return None
        sleep(pause)
    return got


@cache
def commit() -> str:
    """The commit that this process began with: what is changed while it runs is not what it runs. A tree that
    differs from its commit says so."""

    def git(*words: str) -> str:
        return subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True).stdout.strip()

    changed = git("status", "--porcelain", "--", "cypressledge")
    return (git("rev-parse", "--short=10", "HEAD") or "unknown") + ("+changes" if changed else "")
