"""Three control processes that are called over HTTP, with proxies between them where a test cuts them off."""

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import msgspec
import yaml

from cypressledge.controlplane.settings import ControlSettings
from cypressledge.lab.site import free_port, free_udp_ports
from cypressledge.lab.udp_proxy import UdpProxies
from tests.fakes.control_processes import WAIT, ControlProcess, ControlProcessGroup
from tests.fakes.controlled_broker import ControlledBroker
from tests.fakes.fake_control import SimulatedSubscriber
from tests.fakes.tcp_proxies import TcpProxies

LEASE_TERM = 1.0  # s
NAMES = ("c1", "c2", "c3")
SEED = {"engines": {"e0": {"address": "127.0.0.1:7000"}}}
FAILED_EXIT_CODES = (1, 3)


def engine(number: int) -> dict:
    """An engine at an address of its own."""
    return {"address": f"127.0.{number // 250}.{number % 250 + 1}:7001"}


class CommittedPosition(NamedTuple):
    """What a control process has committed."""

    version: int
    digest: str
    cluster_id: str


class ControlCluster(ControlProcessGroup):
    """Three control processes that run. `proxied`: with proxies between them; `more`: for their settings."""

    def __init__(self, proxied: bool = False, fault: str = "", more: dict | None = None) -> None:
        super().__init__(SEED)
        self.more = more or {}
        self.ports = {name: free_port() for name in NAMES}
        self.fleet_ports = free_udp_ports(list(NAMES))
        self.controls = {name: self._control(name) for name in NAMES}
        self.tcp_proxies = TcpProxies(self.ports) if proxied else None
        self.udp_proxies = UdpProxies(self.fleet_ports, 1) if proxied else None
        self.subscribers: list[SimulatedSubscriber] = []
        self.brokers: list[ControlledBroker] = []
        for control in self.controls.values():
            control.settings_file.write_text(yaml.safe_dump(self.settings(control.name)))
            control.start("--first", str(self.seed_file), fault=fault)

    def _control(self, name: str) -> ControlProcess:
        return ControlProcess(name, self.folder, self.folder / f"{name}.yaml", free_port(), optimised=True)

    def settings(self, reader: str = "") -> dict:
        """The settings file of one of them, or of everybody else."""
        rows = [
            {
                "name": name,
                "management": f"127.0.0.1:{control.management}",
                "address": self._address(reader, name),
                "fleet": self._fleet_address(reader, name),
                "zone": f"z{name[1:]}",
            }
            for name, control in self.controls.items()
        ]
        return {"servers": rows, "term_s": LEASE_TERM, "ping_s": 0.2, "grace_s": 1.0} | self.more

    def _address(self, reader: str, name: str) -> str:
        if self.tcp_proxies is not None and reader and reader != name:
            return self.tcp_proxies.address(reader, name)
        return f"127.0.0.1:{self.ports[name]}"

    def _fleet_address(self, reader: str, name: str) -> str:
        if self.udp_proxies is not None and reader and reader != name:
            return self.udp_proxies.address(reader, name)
        return f"127.0.0.1:{self.fleet_ports[name]}"

    def __getitem__(self, name: str) -> ControlProcess:
        return self.controls[name]

    def other_processes(self) -> list[ControlledBroker]:
        return self.brokers

    def others(self, *names: str) -> list[ControlProcess]:
        """All but these."""
        return [control for name, control in self.controls.items() if name not in names]

    def wait_for(self, condition: Callable, what: str, timeout_s: float = WAIT):
        """Wait, within bounds, until a condition holds; what it gave. No process may fail meanwhile."""

        def checked():
            failed = [c.name for c in self.controls.values() if c.process.poll() in FAILED_EXIT_CODES]
            assert not failed, f"{failed} failed while waiting for {what}\n" + self.log_text()
            return condition()

        return super().wait_for(checked, what, timeout_s)

    # What operators do

    def leader(self, *excluded: str) -> ControlProcess:
        """Wait for a leader, another one than these."""
        return self.controls[self.wait_for(lambda: self.find_leader(*excluded), "a leader")]

    def wait_for_settled_leader(self) -> ControlProcess:
        """The leader, once both others hold all that it has."""

        def holds_everything():
            status = self.leader().status()
            if status.get("role") != "primary" or list(status["match"].values()) != [status["last"]] * 2:
                return None
            return status["name"]

        return self[self.wait_for(holds_everything, "voters that hold everything")]

    def post_change(self, control: ControlProcess, sets: dict, request: str = "", **more) -> tuple[int, dict]:
        """One change, asked for once, at one of them."""
        return control.call(
            "change", "POST", {"request": request, "who": "test", "ops": {"set": sets}} | more
        )

    def change(self, sets: dict, request: str, **more) -> dict:
        """A change, repeated until it is done; what was answered."""

        def done():
            for control in self.controls.values():
                answer = self.post_change(control, sets, request, **more)[1]
                if answer.get("answer") == "done":
                    return answer
                assert answer.get("answer") in (None, "unknown", "not primary"), answer
            return None

        return self.wait_for(done, f"the change {request}")

    # What they hold

    def changes(self, control: ControlProcess) -> list[tuple]:
        """The history that one of them keeps."""
        return [
            (c["epoch"], c["version"], c["request"], *c["set"], *c["removed"])
            for c in control.call("history?from=0")[1].get("changes", ())
        ]

    def position(self, control: ControlProcess) -> CommittedPosition:
        """What one of them has committed."""
        status = control.status()
        return CommittedPosition(
            status.get("version", -1), status.get("digest", ""), status.get("lineage", "")
        )

    def wait_for_one_history(self, min_version: int = 1) -> int:
        """Wait until all hold the same one, up to a version at least; its last version."""

        def common_version():
            positions = {self.position(control) for control in self.controls.values()}
            version = next(iter(positions)).version
            return version if len(positions) == 1 and version >= min_version else None

        version = self.wait_for(common_version, "one history everywhere")
        # What each still has in memory begins where it started: compare the part that all have.
        histories = [{c[1]: c for c in self.changes(control)} for control in self.controls.values()]
        shared = set.intersection(*map(set, histories))
        assert all(histories[0][version] == history[version] for version in shared for history in histories)
        return version

    def version_of_key(self, key: str) -> int:
        """The version that set a key, the same everywhere; -1 where it is not set."""
        versions = {
            control.call(f"state?prefix={key}")[1]["entries"].get(key, {}).get("version", -1)
            for control in self.controls.values()
        }
        assert len(versions) == 1, versions
        return versions.pop()

    def times_in_history(self, request: str) -> int:
        """How often a request stands in the history, at whoever keeps the most of it."""
        return max(
            sum(change[2] == request for change in self.changes(control))
            for control in self.controls.values()
        )

    # What is beside them

    def follow(self, name: str, zone: str = "", only: tuple[str, ...] = NAMES, **more) -> SimulatedSubscriber:
        """A subscriber in this process."""
        settings = self.settings()
        settings["servers"] = [row for row in settings["servers"] if row["name"] in only]
        self.subscribers.append(
            SimulatedSubscriber(name, msgspec.convert(settings, ControlSettings), zone, **more)
        )
        return self.subscribers[-1]

    def control_file(self) -> Path:
        """A file with the settings for brokers."""
        file = self.folder / "brokers-control.yaml"
        file.write_text(yaml.safe_dump(self.settings()))
        return file

    def cut(self, name: str) -> None:
        """Nothing passes between one of them and the others any more."""
        for pair in self.udp_proxies.paths:
            if name in pair:
                self.udp_proxies.paths[pair].cut = True
                self.tcp_proxies.cut.add(pair)

    def heal(self) -> None:
        """Everything passes."""
        self.udp_proxies.heal()
        self.tcp_proxies.heal()

    def close(self) -> None:
        """End all processes, subscribers and proxies."""
        for subscriber in self.subscribers:
            subscriber.stop()
        if self.tcp_proxies is not None:
            self.tcp_proxies.close()
            self.udp_proxies.close()
        super().close()
