"""Control processes that share one settings file, and their brokers, operated through commands."""

import json
import socket

import yaml

from cypressledge.lab.processes import until
from cypressledge.lab.site import SETTINGS, free_port
from tests.fakes.command_line import run
from tests.fakes.control_processes import ControlProcess, ControlProcessGroup
from tests.fakes.controlled_broker import ControlledBroker

LEASE_TERM = 1.2  # s; term of the leader's lease
WAIT = 20.0  # s; longest wait of a test for an event


def local_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> str:
    """Return a loopback address with a port that is free at the moment."""
    return f"127.0.0.1:{free_port(kind)}"


class ControlPlane(ControlProcessGroup):
    """A number of control processes, of which the first `voters` vote; `start` starts them.

    `more` holds further keys of their settings.
    """

    def __init__(self, count: int = 3, voters: int = 3, seed: dict | None = None, **more) -> None:
        super().__init__(seed or {"config": SETTINGS})
        self.file = self.folder / "control.yaml"
        self.record_file = self.folder / "record.jsonl"
        self.servers = {f"c{i + 1}": self._server_row(f"c{i + 1}", i < voters) for i in range(count)}
        settings = {
            "servers": list(self.servers.values()),
            "term_s": LEASE_TERM,
            "ping_s": 0.2,
            "grace_s": 1.0,
            "lab": {"record": str(self.record_file)},
        }
        self.file.write_text(yaml.safe_dump(settings | more))
        self.controls = {name: self._control(row) for name, row in self.servers.items()}
        self.brokers: dict[str, ControlledBroker] = {}
        self._change_count = 0

    @staticmethod
    def _server_row(name: str, votes: bool) -> dict:
        return {
            "name": name,
            "address": local_address(),
            "fleet": local_address(socket.SOCK_DGRAM),
            "management": local_address(),
            "zone": "room1",
            "votes": votes,
        }

    def _control(self, row: dict) -> ControlProcess:
        management = int(row["management"].rpartition(":")[2])
        return ControlProcess(
            row["name"], self.folder, self.file, management, marker_file=self.folder / "once"
        )

    def other_processes(self) -> list[ControlledBroker]:
        return list(self.brokers.values())

    def start(self, fault: str = "") -> str:
        """Start all control processes, and return the leader's name.

        The fault happens only in the process that reaches it first.
        """
        for control in self.controls.values():
            control.start("--first", str(self.seed_file), fault=fault)
        return self.leader()

    def leader(self, *excluded: str, timeout_s: float = WAIT) -> str:
        """Wait for a leader that is not among the excluded ones, and return its name."""
        return self.wait_for(lambda: self.find_leader(*excluded), "a leader", timeout_s)

    def broker(self, name: str, *arguments, **more) -> ControlledBroker:
        """Start a broker that subscribes to the control processes."""
        self.brokers[name] = ControlledBroker(name, self.folder, self.file, *arguments, **more)
        self.brokers[name].start()
        return self.brokers[name]

    def at_options(self) -> list[str]:
        """Return an option `--at` for each control process, for commands of `control`."""
        return [word for row in self.servers.values() for word in ("--at", row["management"])]

    def change(self, content: dict, *options: str) -> tuple[int, str]:
        """Run `control change` with the content as a file; return its exit code and all its output."""
        self._change_count += 1
        file = self.folder / f"change-{self._change_count}.yaml"
        file.write_text(yaml.safe_dump(content))
        code, out, err = run("control", "change", str(file), *self.at_options(), *options)
        return code, out + err

    def records(self, event: str) -> list[dict]:
        """Return the entries of the record file about an event."""
        lines = self.record_file.read_text().splitlines() if self.record_file.exists() else []
        return [record for record in map(json.loads, lines) if record["event"] == event]

    def broker_has_version(self, broker: ControlledBroker, version: int) -> bool:
        """Wait until a broker has applied a version, and return whether it did in time."""
        return bool(until(lambda: broker.status().get("version", 0) >= version, WAIT, 0.05))
