"""Another leader takes over after a fault during a change, after a kill, and after a graceful shutdown."""

import signal
import time

import pytest

from cypressledge.lab.processes import until
from tests.controlplane.control_changes import ENGINE, version_of
from tests.fakes.command_line import run
from tests.fakes.control_plane import LEASE_TERM, WAIT


@pytest.mark.parametrize("fault", ["kill-after:append:1", "kill-before:append:1", "stop-before:append:2"])
def test_a_leader_that_fails_during_a_change_loses_no_change(plane, fault):
    """No acknowledged change is lost, and a repeated request is applied once.

    The leader fails when a change is on its own disk alone or on two disks.
    """
    first = plane.start(fault)
    failed = plane.controls[first]
    engines = [{f"s-{n}": ENGINE | {"address": f"127.0.0.1:{n + 1}"}} for n in range(3)]
    changes = {f"r{n}": {"engines": engine} for n, engine in enumerate(engines)}
    for request, content in changes.items():
        code, output = plane.change(content, "--request", request)
        assert code == 0, output + plane.log_text()
    killed = fault.startswith("kill")
    assert failed.process.poll() == (-signal.SIGKILL if killed else None), plane.log_text()
    if killed:
        failed.start()
    else:
        failed.process.send_signal(signal.SIGCONT)
    newest = plane.controls[plane.leader(first)].status()
    assert until(lambda: failed.status().get("digest") == newest["digest"], WAIT), plane.log_text()
    for request, content in changes.items():
        assert plane.change(content, "--request", request)[0] == 0, plane.log_text()
    for record in plane.records("acknowledged"):
        versions = {r["version"] for r in plane.records("acknowledged") if r["request"] == record["request"]}
        assert versions == {record["version"]}
    assert plane.controls[plane.leader()].status()["version"] == newest["version"]
    code, output, _ = run("control", "state", *plane.at_options(), "--prefix", "engine/")
    assert [f"engine/s-{n}" in output for n in range(3)] == [True] * 3


def test_another_process_takes_over_from_a_killed_leader(plane):
    first = plane.start()
    broker = plane.broker("n1")
    code, output = plane.change({"engines": {"s-1": ENGINE}}, "--request", "one")
    assert code == 0, output + plane.log_text()
    plane.controls[first].kill()
    killed_at = time.monotonic()
    second = plane.leader(first, timeout_s=8)
    assert time.monotonic() - killed_at < 8
    code, repeated_output = plane.change({"engines": {"s-1": ENGINE}}, "--request", "one")
    assert (code, version_of(repeated_output)) == (0, version_of(output)), repeated_output + plane.log_text()
    code, later_output = plane.change({"engines": {"s-2": ENGINE | {"address": "127.0.0.1:8"}}})
    assert code == 0, later_output + plane.log_text()
    assert "in force at 1 of 1 brokers" in later_output, later_output + plane.log_text()
    assert version_of(later_output) > version_of(output)
    assert broker.status()["digest"] == plane.controls[second].status()["digest"]
    plane.controls[first].start()  # its disk is intact, so it needs no option
    assert until(lambda: plane.controls[first].status().get("version", 0) >= version_of(later_output), WAIT)


def test_a_leader_releases_the_lease_on_shutdown(plane):
    first = plane.start()
    requested_at = time.monotonic()
    assert plane.controls[first].terminate(WAIT) == 0
    assert time.monotonic() - requested_at < 2
    exited_at = time.monotonic()
    plane.leader(first)
    assert time.monotonic() - exited_at < LEASE_TERM
    assert "counters (exit)" in plane.controls[first].log_text()
