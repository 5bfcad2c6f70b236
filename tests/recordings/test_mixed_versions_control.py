"""A control process of the version before among two of this one, each version followed by a broker of either:
a change that is proposed reaches all, whoever leads.

The version before is the commit `BEFORE`, unpacked from the repository. All are processes on the loopback.
"""

import io
import os
import subprocess
import sys
import tarfile

import gevent.subprocess
import pytest
import yaml

from cypressledge.lab.processes import ROOT, until
from tests.fakes.control_processes import WAIT, Broker, Control, ControlPlane, ProgramProcess

BEFORE = "9c5e980"
OLD, NEW = "c1", "c2"  # a control process of each version; c3 is of this one, too
BROKERS = {
    "old-at-old": (True, OLD),
    "old-at-new": (True, NEW),
    "new-at-old": (False, OLD),
    "new-at-new": (False, NEW),
}  # whether of the version before, and whom it is to follow
ENGINE = {"address": "127.0.0.1:9", "kind": "node-8c", "zone": "room1"}


@pytest.fixture(scope="module")
def tree_before(tmp_path_factory):
    """The files of the version before."""
    done = subprocess.run(["git", "archive", BEFORE], cwd=ROOT, capture_output=True, timeout=20)
    if done.returncode:
        pytest.fail(
            f"the test needs commit {BEFORE}, which this repository lacks (a shallow clone: "
            f"git fetch --unshallow): {done.stderr.decode().strip()}"
        )
    folder = tmp_path_factory.mktemp("before")
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return folder


class FromTree(ProgramProcess):
    """A process of the program as it is in the folder `tree`; a broker says that it is in `zone`."""

    tree, zone = ROOT, ""

    def launch(self, *args, **env):
        """Start it there; its log goes on in the same file."""
        assert self.process is None or self.process.poll() is not None, f"{self.name} runs already"
        plain = {
            k: v
            for k, v in os.environ.items()
            if not k.startswith(("ROUTER_", "CYPRESSLEDGE_")) and k != "PYTHONPATH"
        }
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = gevent.subprocess.Popen(
                [sys.executable, "-m", "cypressledge", *args],
                cwd=self.tree,
                stdout=log,
                stderr=log,
                env=plain | env | {"ROUTER_ZONE": self.zone},
                start_new_session=True,
            )


class ControlFromTree(FromTree, Control):
    """A control process."""


class BrokerFromTree(FromTree, Broker):
    """A broker."""


@pytest.fixture
def plane(tree_before):
    """c1 of the version before, c2 and c3 of this one, each in a zone of its own, and four brokers."""
    made = ControlPlane()
    try:
        settings = yaml.safe_load(made.file.read_text())
        for server in settings["servers"]:
            server["zone"] = server["name"]
            made.controls[server["name"]] = ControlFromTree(made, server)
        made.file.write_text(yaml.safe_dump(settings))
        made.controls[OLD].tree = tree_before
        for name, (before, zone) in BROKERS.items():
            broker = made.brokers[name] = BrokerFromTree(made, name)
            broker.zone = zone
            broker.tree = tree_before if before else ROOT
        yield made
    finally:
        made.end()


def holds(process, told):
    """Whether what it says of itself is at the position of `told`, or behind it with the same digest."""
    own = process.status()
    return (own.get("version"), own.get("epoch"), own.get("digest")) == (
        told["version"],
        told["epoch"],
        told["digest"],
    )


def reaches_all(plane, number):
    """Propose a change; wait until each process that runs holds it, and brokers have it in force."""
    code, words = plane.change(
        {"engines": {f"s-{number}": ENGINE | {"address": f"127.0.0.1:{number}"}}}, "--request", f"r{number}"
    )
    running = [p for p in [*plane.controls.values(), *plane.brokers.values()] if p.process.poll() is None]
    assert code == 0, words + plane.words()
    assert f"in force at {len(BROKERS)} of {len(BROKERS)} brokers" in words, words + plane.words()
    told = next(s for c in plane.controls.values() if (s := c.status()).get("role") == "primary")
    assert until(lambda: all(holds(p, told) for p in running), WAIT), plane.words()
    return told


def follow(plane, name):
    """Whom a broker follows once it is where it belongs."""
    return until(lambda: plane.brokers[name].status().get("server") == BROKERS[name][1], WAIT, 0.05)


def test_both_versions_run_as_they_are(plane, tree_before):
    """Guards against a test that starts the same version twice."""
    assert (tree_before / "cypressledge/controlplane/server.py").is_file()
    first = plane.start()
    where = {name: os.readlink(f"/proc/{c.process.pid}/cwd") for name, c in plane.controls.items()}
    assert where == {OLD: str(tree_before), NEW: str(ROOT), "c3": str(ROOT)}
    assert first in plane.controls


def test_a_change_reaches_both_versions_under_each_primary(plane):
    first = plane.start()
    for broker in plane.brokers.values():
        broker.start()
    for name in plane.brokers:
        assert follow(plane, name), plane.words()
    reaches_all(plane, 1)
    plane.controls[first].terminate(WAIT)
    second = plane.primary(first)
    assert second != first
    told = reaches_all(plane, 2)
    assert told["name"] == second
    plane.controls[first].start()  # with the store that it has
    assert until(lambda: holds(plane.controls[first], told), WAIT), plane.words()
    told = reaches_all(plane, 3)
    assert {c.status()["lineage"] for c in plane.controls.values()} == {told["lineage"]}
    refusals = {c.name: c.status()["traffic"].get("in.goodbye") for c in plane.controls.values()}
    assert set(refusals.values()) == {None}, refusals  # none was turned down by another one
    assert [b.status()["refused"] for b in plane.brokers.values()] == [""] * len(BROKERS)
