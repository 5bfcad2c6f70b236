"""Brokers that come back at a new address or under a new name."""

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

    def place(name):
        entry = cluster.leader().call(f"state?prefix=broker/{name}")[1]["entries"].get(f"broker/{name}")
        return entry and entry["value"]["address"]

    cluster.wait_for(lambda: place("n1") and place("n2") == f"127.0.0.1:{ports['n2']}", "both are registered")
    brokers["n2"].kill()
    brokers["n2"].fleet = moved  # its own file alone: n1's goes on naming the old address
    brokers["n2"].start()
    cluster.wait_for(lambda: place("n2") == f"127.0.0.1:{ports['new']}", "the new address")

    def heard():
        rows = brokers["n2"].fetch("/fleet/peers") or []
        return any(r["name"] == "n1" and r["state"] == "alive" and r["heard_s"] is not None for r in rows)

    # n2 hears n1 only if n1 sends to where n2 is now.
    cluster.wait_for(heard, f"n1, heard by the new n2\n{brokers['n1'].log_text()[-2000:]}")
    assert brokers["n1"].fetch("/control/status")["version"] == cluster.wait_for_one_history()


def test_a_broker_under_a_new_address_needs_no_file_change(plane):
    places = {n: local_address(socket.SOCK_DGRAM) for n in ("n0", "n1", "n2")}

    def fleet(places):
        return {
            "peers": [{"name": n, "address": a, "zone": "room1"} for n, a in places.items()],
            "voters": [{"version": 1, "names": list(places)}],
            "term_s": LEASE_TERM,
            "ping_s": 0.2,
        }

    plane.start()
    for name in places:
        plane.broker(name, fleet=fleet(places))

    def registered():
        code, told, _ = run("control", "state", *plane.at_options(), "--prefix", "broker/")
        return all(f'"{place}"' in told for place in places.values())

    def sees(viewer, seen):
        peers = {p["name"]: p["state"] for p in plane.brokers[viewer].fetch("/fleet/peers") or ()}
        return peers.get(seen) == "alive"

    assert until(registered, WAIT), plane.log_text()
    assert until(lambda: sees("n0", "n1") and sees("n1", "n0"), WAIT)
    plane.brokers["n1"].kill()
    assert until(lambda: not sees("n0", "n1"), WAIT)
    places["n1"] = local_address(socket.SOCK_DGRAM)
    plane.broker("n1", fleet=fleet(places))  # its own file alone says so
    assert until(registered, WAIT), plane.log_text()

    def lost():
        return not all(sees(n, "n1") and sees("n1", n) for n in ("n0", "n2"))

    # And it stays so, for ten pings: they hear its answers, and not only its word.
    assert until(lambda: not until(lost, 2.0), WAIT), plane.log_text()


PLACES = {n: local_address(socket.SOCK_DGRAM) for n in ("n0", "n1", "n2")}


GONE = {n: {"address": PLACES[of], "zone": "room1"} for n, of in (("old", "n1"), ("older", "n2"))}


@pytest.mark.parametrize(
    "plane", [{"seed": {"config": SETTINGS, "brokers": GONE}, "forget_s": 20}], indirect=True
)
def test_a_machine_under_a_new_name_takes_the_place_of_a_dead_one(plane):
    """And after its time another dead one goes, too."""
    plane.start()
    peers = [{"name": n, "address": a, "zone": "room1"} for n, a in PLACES.items()]
    plane.broker(
        "n1", fleet={"peers": peers, "voters": [{"version": 1, "names": list(PLACES)}], "term_s": LEASE_TERM}
    )

    def registered():
        told = json.loads(run("control", "state", *plane.at_options(), "--prefix", "broker/")[1])
        return set(told["entries"])

    assert until(lambda: registered() == {"broker/n1", "broker/older"}, 2 * WAIT, 0.5), plane.log_text()
    changes = json.loads(run("control", "history", *plane.at_options(), "--json")[1])
    assert (changes[-1]["set"], changes[-1]["removed"]) == (["broker/n1"], ["broker/old"])
    assert until(lambda: registered() == {"broker/n1"}, 2 * WAIT, 0.5), plane.log_text()
