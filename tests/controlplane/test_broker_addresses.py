"""Brokers that restart at a new address or under a new name."""

import json

import pytest
from gevent import socket

from cypressledge.lab.processes import until
from cypressledge.lab.site import SETTINGS, free_udp_ports
from tests.fakes.command_line import run
from tests.fakes.control_plane import LEASE_TERM, WAIT, local_address
from tests.fakes.controlled_broker import ControlledBroker


def test_broker_replaced_at_a_new_address(cluster):
    ports = free_udp_ports(["n1", "n2", "n3", "new"])
    fleet = {
        "peers": [{"name": n, "address": f"127.0.0.1:{ports[n]}"} for n in ("n1", "n2", "n3")],
        "voters": [{"version": 1, "names": ["n1", "n2", "n3"]}],
        "term_s": 1.0,
        "ping_s": 0.2,
        "grace_s": 1.0,
    }
    moved = fleet | {
        "peers": [
            fleet["peers"][0],
            {"name": "n2", "address": f"127.0.0.1:{ports['new']}"},
            fleet["peers"][2],
        ]
    }
    control_file = cluster.control_file()
    brokers = {n: ControlledBroker(n, cluster.folder, control_file, fleet=fleet) for n in ("n1", "n2")}
    cluster.brokers += brokers.values()
    for broker in brokers.values():
        broker.zone, broker.optimised = "z1", True
        broker.start()

    def address(name):
        entry = cluster.leader().call(f"state?prefix=broker/{name}")[1]["entries"].get(f"broker/{name}")
        return entry and entry["value"]["address"]

    cluster.wait_for(
        lambda: address("n1") and address("n2") == f"127.0.0.1:{ports['n2']}", "both are registered"
    )
    brokers["n2"].kill()
    brokers["n2"].fleet = moved  # only n2's own file: the file of n1 still has the old address
    brokers["n2"].start()
    cluster.wait_for(lambda: address("n2") == f"127.0.0.1:{ports['new']}", "the new address")

    def n2_receives_from_n1():
        rows = brokers["n2"].fetch("/fleet/peers") or []
        return any(r["name"] == "n1" and r["state"] == "alive" and r["heard_s"] is not None for r in rows)

    # n2 receives messages of n1 only if n1 sends them to the new address of n2.
    cluster.wait_for(n2_receives_from_n1, f"n2 receives from n1\n{brokers['n1'].log_text()[-2000:]}")
    assert brokers["n1"].fetch("/control/status")["version"] == cluster.wait_for_one_history()


def test_peers_reach_a_broker_at_a_new_address_without_file_changes(plane):
    addresses = {n: local_address(socket.SOCK_DGRAM) for n in ("n0", "n1", "n2")}

    def fleet(addresses):
        return {
            "peers": [{"name": n, "address": a, "zone": "room1"} for n, a in addresses.items()],
            "voters": [{"version": 1, "names": list(addresses)}],
            "term_s": LEASE_TERM,
            "ping_s": 0.2,
        }

    plane.start()
    for name in addresses:
        plane.broker(name, fleet=fleet(addresses))

    def registered():
        code, output, _ = run("control", "state", *plane.at_options(), "--prefix", "broker/")
        return all(f'"{address}"' in output for address in addresses.values())

    def sees(viewer, seen):
        peers = {p["name"]: p["state"] for p in plane.brokers[viewer].fetch("/fleet/peers") or ()}
        return peers.get(seen) == "alive"

    assert until(registered, WAIT), plane.log_text()
    assert until(lambda: sees("n0", "n1") and sees("n1", "n0"), WAIT)
    plane.brokers["n1"].kill()
    assert until(lambda: not sees("n0", "n1"), WAIT)
    addresses["n1"] = local_address(socket.SOCK_DGRAM)
    plane.broker("n1", fleet=fleet(addresses))  # only its own file has the new address
    assert until(registered, WAIT), plane.log_text()

    def lost():
        return not all(sees(n, "n1") and sees("n1", n) for n in ("n0", "n2"))

    # For ten pings n1 stays alive in their view: they receive the answers of n1 and not only its own
    # messages.
    assert until(lambda: not until(lost, 2.0), WAIT), plane.log_text()


ADDRESSES = {n: local_address(socket.SOCK_DGRAM) for n in ("n0", "n1", "n2")}


ABSENT_BROKERS = {
    n: {"address": ADDRESSES[of], "zone": "room1"} for n, of in (("old", "n1"), ("older", "n2"))
}


@pytest.mark.parametrize(
    "plane", [{"seed": {"config": SETTINGS, "brokers": ABSENT_BROKERS}, "forget_s": 20}], indirect=True
)
def test_broker_under_a_new_name_replaces_an_absent_one_at_its_address(plane):
    """Another absent broker is removed after `forget_s`."""
    plane.start()
    peers = [{"name": n, "address": a, "zone": "room1"} for n, a in ADDRESSES.items()]
    plane.broker(
        "n1",
        fleet={"peers": peers, "voters": [{"version": 1, "names": list(ADDRESSES)}], "term_s": LEASE_TERM},
    )

    def registered():
        output = json.loads(run("control", "state", *plane.at_options(), "--prefix", "broker/")[1])
        return set(output["entries"])

    assert until(lambda: registered() == {"broker/n1", "broker/older"}, 2 * WAIT, 0.5), plane.log_text()
    changes = json.loads(run("control", "history", *plane.at_options(), "--json")[1])
    assert (changes[-1]["set"], changes[-1]["removed"]) == (["broker/n1"], ["broker/old"])
    assert until(lambda: registered() == {"broker/n1"}, 2 * WAIT, 0.5), plane.log_text()
