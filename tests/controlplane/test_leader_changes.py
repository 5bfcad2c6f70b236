"""Another leader takes over: after a fault amid a change, a kill, and a graceful shutdown."""

import signal
import time

import pytest

from cypressledge.lab.processes import until
from tests.controlplane.control_changes import ENGINE, version_of
from tests.fakes.command_line import run
from tests.fakes.control_plane import LEASE_TERM, WAIT


@pytest.mark.parametrize("fault", ["kill-after:append:1", "kill-before:append:1", "stop-before:append:2"])
def test_a_primary_that_fails_amid_a_change_loses_none(plane, fault):
    """A change is on one disk alone, or on two. Whatever of it had left: what was acknowledged stays, and a
    repeat comes into force once."""
    first = plane.start(fault)
    struck = plane.controls[first]
    engines = [{f"s-{n}": ENGINE | {"address": f"127.0.0.1:{n + 1}"}} for n in range(3)]
    changes = {f"r{n}": {"engines": engine} for n, engine in enumerate(engines)}
    for request, what in changes.items():
        code, words = plane.change(what, "--request", request)
        assert code == 0, words + plane.log_text()
    killed = fault.startswith("kill")
    assert struck.process.poll() == (-signal.SIGKILL if killed else None), plane.log_text()
    if killed:
        struck.start()
    else:
        struck.process.send_signal(signal.SIGCONT)
    newest = plane.controls[plane.leader(first)].status()
    assert until(lambda: struck.status().get("digest") == newest["digest"], WAIT), plane.log_text()
    for request, what in changes.items():
        assert plane.change(what, "--request", request)[0] == 0, plane.log_text()
    for told in plane.records("acknowledged"):
        again = {r["version"] for r in plane.records("acknowledged") if r["request"] == told["request"]}
        assert again == {told["version"]}
    assert plane.controls[plane.leader()].status()["version"] == newest["version"]
    code, words, _ = run("control", "state", *plane.at_options(), "--prefix", "engine/")
    assert [f"engine/s-{n}" in words for n in range(3)] == [True] * 3


def test_another_takes_over_from_a_killed_primary(plane):
    first = plane.start()
    broker = plane.broker("n1")
    code, words = plane.change({"engines": {"s-1": ENGINE}}, "--request", "one")
    assert code == 0, words + plane.log_text()
    plane.controls[first].kill()
    killed = time.monotonic()
    second = plane.leader(first, timeout_s=8)
    assert time.monotonic() - killed < 8
    code, again = plane.change({"engines": {"s-1": ENGINE}}, "--request", "one")
    assert (code, version_of(again)) == (0, version_of(words)), again + plane.log_text()
    code, more = plane.change({"engines": {"s-2": ENGINE | {"address": "127.0.0.1:8"}}})
    assert code == 0, more + plane.log_text()
    assert "in force at 1 of 1 brokers" in more, more + plane.log_text()
    assert version_of(more) > version_of(words)
    assert broker.status()["digest"] == plane.controls[second].status()["digest"]
    plane.controls[first].start()  # its disk is there: no flag
    assert until(lambda: plane.controls[first].status().get("version", 0) >= version_of(more), WAIT)


def test_a_stopped_primary_gives_the_lease_back(plane):
    first = plane.start()
    asked = time.monotonic()
    assert plane.controls[first].terminate(WAIT) == 0
    assert time.monotonic() - asked < 2
    began = time.monotonic()
    plane.leader(first)
    assert time.monotonic() - began < LEASE_TERM
    assert "counters (exit)" in plane.controls[first].log_text()
