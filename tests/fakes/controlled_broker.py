"""A broker process that subscribes to control processes, optionally as a member of a fleet."""

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

WAIT = 20.0  # s; longest wait of a test for an event
LOOKUP_INTERVAL_S = 0.02  # s; pause between two lookups of the client
COUNTERS_LINE = "counters (asked)"  # prefix of the log line that SIGUSR1 requests


class ControlledBroker(ProgramProcess):
    """A broker process that subscribes to control processes.

    `control_file` holds the settings of the control processes, `fleet` the content of its fleet file (None:
    no fleet). `members` and `settings` are the engines and the settings of its own configuration file;
    without `settings`, the file has those of `cypressledge.lab.site`.
    """

    zone = ""  # value of ROUTER_ZONE

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
        """Start the broker; a restart appends to the same log file."""
        options = ["--control", str(self.control_file)]
        if self.fleet is not None:
            self.fleet_file.write_text(yaml.safe_dump(self.fleet))
            options += ["--fleet", str(self.fleet_file)]
        self.start_program(*options, ROUTER_CONFIG=str(self.config_file), ROUTER_ZONE=self.zone)

    def fetch(self, path: str) -> Any:
        """Return the answer to a GET request at the management address; None if there is none."""
        try:
            return call_management(self.management, "GET", path)[1]
        except (OSError, ValueError, IndexError):
            return None

    def status(self) -> dict:
        """Return the broker's status of the control plane; empty if it doesn't answer."""
        return self.fetch("/control/status") or {}

    def counter(self, name: str) -> int:
        """Return the value of a counter, which SIGUSR1 makes the broker log; 0 if it is missing."""

        def lines() -> list[str]:
            return [x for x in self.log_text().splitlines(True) if x.startswith(COUNTERS_LINE)]

        before = len(lines())
        self.signal(signal.SIGUSR1)
        assert until(lambda: len(lines()) > before and lines()[-1].endswith("\n"), WAIT), self.log_text()
        return int(dict(pair.split("=", 1) for pair in lines()[-1].split() if "=" in pair).get(name, 0))

    def serves(self, count: int = 5, timeout_s: float = WAIT) -> bool:
        """Return whether `count` lookups succeed within `timeout_s`."""
        client = Client([self.port], LOOKUP_INTERVAL_S, 0)
        lookups = gevent.spawn(client.run)
        try:
            return bool(until(lambda: client.counts["served"] >= count, timeout_s))
        finally:
            lookups.kill()
