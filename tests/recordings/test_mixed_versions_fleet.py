"""A fleet of two brokers, one of which runs an older commit: they see each other alive and share one lease.

The third voter is never started, so a lease is held only by the votes of both: each side reads and answers
the other's datagrams. The lease is handed over in both directions, and what each broker records of its own
holding (`lab.record` of the fleet's file) must never overlap with the other's.
"""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tarfile
import time
from io import BytesIO
from itertools import pairwise
from pathlib import Path

import pytest

from cypressledge.lab.site import config, free_port

ROOT = Path(__file__).parent.parent.parent
OLD_COMMIT = "9c5e980"
TERM_S = 1.0
WAIT_S = 9.0  # for any one condition: a voter that starts waits a term, and who gives back rests for three
POLL_S = 0.05
CALL_S = 1.0
NAMES = ("older", "newer")
VOTERS = (*NAMES, "absent")


def older_tree(folder: Path) -> Path:
    """The tree of the older commit, unpacked."""
    archive = subprocess.run(["git", "archive", OLD_COMMIT], cwd=ROOT, capture_output=True)
    if archive.returncode:
        pytest.fail(
            f"commit {OLD_COMMIT} is not in this clone, fetch it (a shallow clone has no history): "
            f"{archive.stderr.decode().strip()}"
        )
    with tarfile.open(fileobj=BytesIO(archive.stdout)) as tar:
        tar.extractall(folder, filter="data")
    return folder


class Broker:
    """One broker as a process of the tree in `tree`."""

    def __init__(self, name: str, tree: Path, folder: Path, ports: dict[str, int]) -> None:
        self.name, self.management = name, free_port()
        self.record, self.log = folder / f"{name}.record", folder / f"{name}.log"
        config_file, fleet_file = folder / f"{name}.json", folder / f"{name}.yaml"
        config_file.write_text(json.dumps(config(name, free_port(), self.management)))
        fleet_file.write_text(
            json.dumps(
                {  # JSON is YAML
                    "peers": [{"name": n, "address": f"127.0.0.1:{p}"} for n, p in ports.items()],
                    "voters": [{"version": 1, "names": list(VOTERS)}],
                    "term_s": TERM_S,
                    "ping_s": 0.2,
                    "leases": [{"name": "ledger"}, {"name": "summary"}],
                    "tasks": [{"kind": "summary", "lease": "summary", "every_s": 0.2, "longest_s": 0.49}],
                    "lab": {"record": str(self.record)},
                }
            )
        )
        env = {k: v for k, v in os.environ.items() if not k.startswith(("ROUTER_", "PYTHONPATH"))}
        env |= {"ROUTER_CONFIG": str(config_file), "TMPDIR": str(folder), "PYTHONDONTWRITEBYTECODE": "1"}
        with open(self.log, "w", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "cypressledge", "--fleet", str(fleet_file)],
                cwd=tree,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def call(self, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        """An operator's call: status and body; status 0 where nobody answers."""
        connection = http.client.HTTPConnection("127.0.0.1", self.management, timeout=CALL_S)
        try:
            connection.request(method, path, body)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def shown(self, path: str):
        """What a call shows; None where nobody answers."""
        status, body = self.call("GET", path)
        return json.loads(body) if status == 200 else None

    def sees_alive(self) -> set[str]:
        return {p["name"] for p in self.shown("/fleet/peers") or [] if p["state"] == "alive"}

    def lease(self) -> dict:
        return next((row for row in self.shown("/fleet/leases") or [] if row["lease"] == "ledger"), {})

    def holdings(self) -> list[tuple[int, int]]:
        """(from, until) of each term of the lease that this broker counted on, µs on the machine's clock; one
        that was given back ends where that was written."""
        spans: list[tuple[int, int]] = []
        lines = self.record.read_text().splitlines() if self.record.exists() else []
        for told in map(json.loads, lines):
            if told["lease"] != "ledger":
                continue
            if spans:
                start, end = spans[-1]
                spans[-1] = (start, min(end, told["at"]))
            if told["until"]:
                spans.append((told["at"], told["until"]))
        return spans

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


@pytest.fixture
def fleet(tmp_path):
    ports = {name: free_port(socket.SOCK_DGRAM) for name in VOTERS}
    trees = {"older": older_tree(tmp_path / "tree"), "newer": ROOT}
    brokers: dict[str, Broker] = {}
    try:
        for name in NAMES:
            brokers[name] = Broker(name, trees[name], tmp_path, ports)
        yield brokers
    finally:
        for broker in brokers.values():
            broker.end()


def wait_for(fleet, condition, what: str):
    end = time.monotonic() + WAIT_S
    while not (got := condition()):
        if time.monotonic() > end:
            pytest.fail(
                f"not within {WAIT_S} s: {what}\n"
                + "\n".join(f"--- {b.name}\n{b.log.read_text()[-3_000:]}" for b in fleet.values())
            )
        time.sleep(POLL_S)
    return got


def holder(fleet) -> Broker | None:
    """The one broker that holds the lease, once both name it."""
    rows = {name: broker.lease() for name, broker in fleet.items()}
    held = [name for name, row in rows.items() if row.get("state") == "held"]
    named = {row.get("holder") for row in rows.values()}
    return fleet[held[0]] if len(held) == 1 and named == set(held) else None


def test_brokers_of_two_versions_share_a_lease(fleet):
    for broker in fleet.values():
        wait_for(fleet, lambda b=broker: b.sees_alive() == set(NAMES), f"{broker.name} sees both alive")
    first = wait_for(fleet, lambda: holder(fleet), "one holds the lease and both say so")
    token = first.lease()["token"]
    for _ in range(2):  # over to the other, and back
        before = wait_for(fleet, lambda: holder(fleet), "one holds the lease and both say so")
        assert before.call("POST", "/fleet/give-back", b"ledger") == (200, b"ledger given back\n")
        after = wait_for(
            fleet,
            lambda b=before: (h := holder(fleet)) is not None and h is not b and h,
            f"the lease goes from {before.name} to the other",
        )
        assert after.lease()["token"] > token
        token = after.lease()["token"]
    for broker in fleet.values():  # the sum of both brokers' figures, whoever made it
        wait_for(
            fleet,
            lambda b=broker: (s := b.shown("/fleet/summary")) and s["brokers"] == 2,
            f"{broker.name} has a summary of both",
        )
    for broker in fleet.values():
        broker.process.send_signal(signal.SIGTERM)
        assert broker.process.wait(WAIT_S) == 0
    spans = sorted((start, end, name) for name, broker in fleet.items() for start, end in broker.holdings())
    assert {name for *_, name in spans} == set(NAMES)
    overlaps = [(one, two) for one, two in pairwise(spans) if one[2] != two[2] and two[0] < one[1]]
    assert overlaps == []
