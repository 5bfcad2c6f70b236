"""A process of another control plane comes up at the address of one that has gone."""

import yaml

from cypressledge.lab.engines import LabEngine
from cypressledge.lab.processes import until
from cypressledge.lab.site import SETTINGS
from tests.controlplane.control_changes import ENGINE
from tests.fakes.control_plane import WAIT, ControlPlane


class OtherControlPlane(ControlPlane):
    """Control processes of another plane, with names of their own, at the addresses of the given one."""

    def __init__(self, plane):
        super().__init__(seed={"config": SETTINGS | {"Step": 7000}})
        for (name, row), old in zip(self.servers.items(), plane.servers.values(), strict=True):
            row |= old | {"name": f"x-{name}"}
        self.servers = {row["name"]: row for row in self.servers.values()}
        settings = yaml.safe_load(self.file.read_text()) | {"servers": list(self.servers.values())}
        self.file.write_text(yaml.safe_dump(settings))
        self.controls = {name: self._control(row) for name, row in self.servers.items()}


def test_a_broker_takes_nothing_from_another_control_plane_at_the_address_of_its_own(plane):
    """Regression: a broker without a state took the settings and engines of whatever answered."""
    other = OtherControlPlane(plane)  # its own control processes have gone, or were never started
    engine = LabEngine("s-1", "room1")
    try:
        other.start()
        broker = plane.broker("n1", [engine.member()])
        assert broker.serves(), broker.log_text()
        until(lambda: broker.counter("control.disconnected") >= 3 or broker.status()["version"], WAIT)
        status = broker.status()
        assert (status["version"], status["sections"]) == (0, []), broker.log_text()
    finally:
        engine.server.stop()
        other.close()


def test_control_processes_take_nothing_from_one_of_another_control_plane(plane):
    """A voter is replaced at its address by one of another plane; the others go on without it."""
    leader = plane.start()
    gone = next(name for name in plane.controls if name != leader)
    plane.controls[gone].kill()
    other = OtherControlPlane(plane)
    try:
        for control in other.controls.values():
            if control.name == f"x-{gone}":
                control.start("--first", str(other.seed_file))
        code, output = plane.change({"engines": {"s-1": ENGINE}})
        assert code == 0, output + plane.log_text()
        assert not [c.name for c in other.controls.values() if c.status().get("version")]
        rest = [control for name, control in plane.controls.items() if name != gone]
        assert len({control.status()["lineage"] for control in rest}) == 1
    finally:
        other.close()
