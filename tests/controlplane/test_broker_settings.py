"""Brokers that reject settings, keep them over a reload, or run without a control process."""

import signal

from cypressledge.lab.engines import LabEngine
from cypressledge.lab.processes import until
from cypressledge.lab.site import SETTINGS
from tests.controlplane.control_changes import ENGINE
from tests.fakes.command_line import run
from tests.fakes.control_plane import WAIT


def test_running_broker_rejects_other_classes(plane):
    """Classes can't change while a broker runs.

    A change to other classes is refused by the control process. A broker whose own file has other classes
    reports that it rejects those of the control plane.
    """
    plane.start()
    code, output = plane.change({"config": {"Classes": SETTINGS["Classes"][:2]}})
    assert code == 2, output
    assert "brokers take other classes only at a restart" in output, output
    broker = plane.broker("n1", settings={"Classes": SETTINGS["Classes"][:1]})
    assert plane.broker_has_version(broker, 1), plane.log_text()
    assert until(lambda: broker.status()["refused"] == "other classes need a restart", WAIT), broker.status()
    assert (broker.counter("control.settings_rejected"), broker.counter("reload_failures")) == (1, 1)


def test_broker_that_rejects_settings_is_named_and_not_counted_as_in_force(plane):
    plane.start()
    good, bad = plane.broker("n1"), plane.broker("n2", settings={"Classes": SETTINGS["Classes"][:1]})
    assert plane.broker_has_version(good, 1), plane.log_text()
    assert plane.broker_has_version(bad, 1), plane.log_text()
    code, output = plane.change({"engines": {"s-1": ENGINE}})  # n2 still has its older settings
    assert code == 1, output + plane.log_text()
    assert "in force at 1 of 2 brokers" in output, output + plane.log_text()
    assert "refused by: n2: other classes need a restart" in output, output
    code, output, _ = run("control", "lag", *plane.at_options())
    assert code == 1, output
    assert "refused by: n2: other classes need a restart" in output, output
    assert plane.change({"config": {name: None for name in SETTINGS}})[0] == 0, plane.log_text()


def test_reload_keeps_settings_and_engines_of_the_control_plane(plane):
    plane.start()
    engine, other = LabEngine("s-1", "room1"), LabEngine("s-2", "room1")
    broker = plane.broker("n1", [other.member()])
    code, output = plane.change(
        {"engines": {"s-1": ENGINE | {"address": f"127.0.0.1:{engine.server.server_port}"}}}
    )
    assert code == 0, output + plane.log_text()
    assert broker.serves()
    before = other.asked
    broker.process.send_signal(signal.SIGHUP)
    assert until(lambda: "reload: the new configuration is in force" in broker.log_text(), WAIT)
    assert broker.serves(20)
    assert (other.asked, broker.status()["sections"]) == (before, sorted(SETTINGS))
    engine.server.stop()
    other.server.stop()


def test_broker_serves_without_a_control_process(plane):
    engine = LabEngine("s-1", "room1")
    broker = plane.broker("n1", [engine.member()])  # no control process is running yet
    assert broker.serves(), broker.log_text()
    status = broker.status()
    assert (status["version"], status["engines_from_here"]) == (0, False)
    plane.start()
    assert plane.broker_has_version(broker, 1), plane.log_text()
    for control in plane.controls.values():
        control.kill()
    assert until(lambda: broker.status()["stale_ms"] > 2_000, WAIT, 0.1)
    assert broker.status()["version"] == 1
    assert broker.serves(), broker.log_text()
    engine.server.stop()
