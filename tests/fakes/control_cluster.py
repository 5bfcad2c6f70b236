"""Three control processes that are called over HTTP, optionally with proxies that can be cut."""

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

LEASE_TERM = 1.0  # s; term of the leader's lease
NAMES = ("c1", "c2", "c3")
SEED = {"engines": {"e0": {"address": "127.0.0.1:7000"}}}
FAILED_EXIT_CODES = (1, 3)  # of a control process that has failed


def engine(number: int) -> dict:
    """Return the entry of an engine whose address is unique to its number."""
    return {"address": f"127.0.{number // 250}.{number % 250 + 1}:7001"}


class CommittedPosition(NamedTuple):
    """The position up to which a control process has committed, and the cluster it belongs to."""

    version: int
    digest: str
    cluster_id: str


class ControlCluster(ControlProcessGroup):
    """Three running control processes.

    `proxied` puts TCP and UDP proxies between them; `more` holds further keys of their settings; `fault` is
    passed to each process (see `cypressledge.controlplane.faults`).
    """

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
        """Return the settings for one control process, or for brokers and subscribers (no `reader`).

        Only the settings of a control process contain the addresses of proxies.
        """
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
        """Return all control processes except the named ones."""
        return [control for name, control in self.controls.items() if name not in names]

    def wait_for(self, condition: Callable, what: str, timeout_s: float = WAIT):
        """Wait at most `timeout_s` until the condition is true, and return its value.

        Raises `AssertionError` if a control process fails in the meantime.
        """

        def checked():
            failed = [c.name for c in self.controls.values() if c.process.poll() in FAILED_EXIT_CODES]
            assert not failed, f"{failed} failed while waiting for {what}\n" + self.log_text()
            return condition()

        return super().wait_for(checked, what, timeout_s)

    def leader(self, *excluded: str) -> ControlProcess:
        """Wait for a leader that is not among the excluded ones, and return it."""
        return self.controls[self.wait_for(lambda: self.find_leader(*excluded), "a leader")]

    def wait_for_settled_leader(self) -> ControlProcess:
        """Wait until both other control processes have the leader's newest version, and return the leader."""

        def holds_everything():
            status = self.leader().status()
            if status.get("role") != "primary" or list(status["match"].values()) != [status["last"]] * 2:
                return None
            return status["name"]

        return self[self.wait_for(holds_everything, "voters that have the leader's newest version")]

    def post_change(self, control: ControlProcess, sets: dict, request: str = "", **more) -> tuple[int, dict]:
        """Send a change to a control process once, without retries; return the status and the answer."""
        return control.call(
            "change", "POST", {"request": request, "who": "test", "ops": {"set": sets}} | more
        )

    def change(self, sets: dict, request: str, **more) -> dict:
        """Request a change at all control processes in turn until it is done, and return the answer."""

        def done():
            for control in self.controls.values():
                answer = self.post_change(control, sets, request, **more)[1]
                if answer.get("answer") == "done":
                    return answer
                assert answer.get("answer") in (None, "unknown", "not primary"), answer
            return None

        return self.wait_for(done, f"the change {request}")

    def changes(self, control: ControlProcess) -> list[tuple]:
        """Return the history of a control process as tuples (epoch, version, request, *keys)."""
        return [
            (c["epoch"], c["version"], c["request"], *c["set"], *c["removed"])
            for c in control.call("history?from=0")[1].get("changes", ())
        ]

    def position(self, control: ControlProcess) -> CommittedPosition:
        """Return the committed position of a control process."""
        status = control.status()
        return CommittedPosition(
            status.get("version", -1), status.get("digest", ""), status.get("lineage", "")
        )

    def wait_for_one_history(self, min_version: int = 1) -> int:
        """Wait until all control processes have committed the same version, and return it.

        The version is at least `min_version`. Also checks that their histories are equal.
        """

        def common_version():
            positions = {self.position(control) for control in self.controls.values()}
            version = next(iter(positions)).version
            return version if len(positions) == 1 and version >= min_version else None

        version = self.wait_for(common_version, "one history everywhere")
        # The history in memory begins at the version at which a process started: compare the common part.
        histories = [{c[1]: c for c in self.changes(control)} for control in self.controls.values()]
        shared = set.intersection(*map(set, histories))
        assert all(histories[0][version] == history[version] for version in shared for history in histories)
        return version

    def version_of_key(self, key: str) -> int:
        """Return the version that set a key, which must be the same everywhere; -1 if it is not set."""
        versions = {
            control.call(f"state?prefix={key}")[1]["entries"].get(key, {}).get("version", -1)
            for control in self.controls.values()
        }
        assert len(versions) == 1, versions
        return versions.pop()

    def times_in_history(self, request: str) -> int:
        """Return how often a request occurs in a history: the maximum over the control processes."""
        return max(
            sum(change[2] == request for change in self.changes(control))
            for control in self.controls.values()
        )

    def follow(self, name: str, zone: str = "", only: tuple[str, ...] = NAMES, **more) -> SimulatedSubscriber:
        """Start a subscriber in this process, which connects to the control processes in `only`."""
        settings = self.settings()
        settings["servers"] = [row for row in settings["servers"] if row["name"] in only]
        self.subscribers.append(
            SimulatedSubscriber(name, msgspec.convert(settings, ControlSettings), zone, **more)
        )
        return self.subscribers[-1]

    def control_file(self) -> Path:
        """Write the settings for brokers to a file, and return its path."""
        file = self.folder / "brokers-control.yaml"
        file.write_text(yaml.safe_dump(self.settings()))
        return file

    def cut(self, name: str) -> None:
        """Cut all connections and datagrams between one control process and the others."""
        for pair in self.udp_proxies.paths:
            if name in pair:
                self.udp_proxies.paths[pair].cut = True
                self.tcp_proxies.cut.add(pair)

    def heal(self) -> None:
        """Remove all cuts."""
        self.udp_proxies.heal()
        self.tcp_proxies.heal()

    def close(self) -> None:
        """Stop all subscribers, proxies and processes."""
        for subscriber in self.subscribers:
            subscriber.stop()
        if self.tcp_proxies is not None:
            self.tcp_proxies.close()
            self.udp_proxies.close()
        super().close()
