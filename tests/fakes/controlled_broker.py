"""A real broker as a process that follows control processes, with the fleet's part or without."""

import json
import signal
from pathlib import Path
from typing import Any

import gevent
import yaml

from cypressledge.lab.capacity.control_process import call_management
from cypressledge.lab.load import Client
from cypressledge.lab.processes import until
from cypressledge.lab.site import config, free_port
from tests.fakes.program_process import ProgramProcess

WAIT = 20.0  # seconds that a test waits for an event at most
LOOKUP_INTERVAL_S = 0.02
COUNTERS_LINE = "counters (asked)"  # how the log begins the counters that SIGUSR1 asks for


class ControlledBroker(ProgramProcess):
    """A broker. `control_file`: the settings of whom it follows; `fleet`: the content of its fleet file;
    `members`: engines of its own file; `settings`: of its own file, in place of the laboratory's."""

    zone = ""

    def __init__(
        self,
        name: str,
        folder: Path,
        control_file: Path,
        members: tuple[dict, ...] = (),
        fleet: dict | None = None,
        settings: dict | None = None,
    ) -> None:
        super().__init__(name, folder)
        self.control_file, self.fleet = control_file, fleet
        self.port, self.management = free_port(), free_port()
        self.config_file, self.fleet_file = folder / f"{name}.json", folder / f"{name}-fleet.yaml"
        self.config_file.write_text(
            json.dumps(config(name, self.port, self.management, list(members), settings))
        )

    def start(self) -> None:
        """Start it; its log goes on in the same file."""
        options = ["--control", str(self.control_file)]
        if self.fleet is not None:
            self.fleet_file.write_text(yaml.safe_dump(self.fleet))
            options += ["--fleet", str(self.fleet_file)]
        self.start_program(*options, ROUTER_CONFIG=str(self.config_file), ROUTER_ZONE=self.zone)

    def fetch(self, path: str) -> Any:
        """What it answers on its management address; None where it doesn't."""
        try:
            return call_management(self.management, "GET", path)[1]
        except (OSError, ValueError, IndexError):
            return None

    def status(self) -> dict:
        """What it says of the control plane; empty where it doesn't answer."""
        return self.fetch("/control/status") or {}

    def counter(self, name: str) -> int:
        """A counter, from the log that SIGUSR1 makes it write."""

        def lines() -> list[str]:
            return [x for x in self.log_text().splitlines(True) if x.startswith(COUNTERS_LINE)]

        before = len(lines())
        self.signal(signal.SIGUSR1)
        assert until(lambda: len(lines()) > before and lines()[-1].endswith("\n"), WAIT), self.log_text()
        return int(dict(pair.split("=", 1) for pair in lines()[-1].split() if "=" in pair).get(name, 0))

    def serves(self, count: int = 5, timeout_s: float = WAIT) -> bool:
        """Whether so many lookups are answered with a result in time."""
        client = Client([self.port], LOOKUP_INTERVAL_S, 0)
        lookups = gevent.spawn(client.run)
        try:
            return bool(until(lambda: client.counts["served"] >= count, timeout_s))
        finally:
            lookups.kill()
