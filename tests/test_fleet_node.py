"""Members of a fleet without a broker: leases, and peers that move."""

import time

import gevent
import pytest

from cypressledge.counters import Counters
from cypressledge.fleet.clock import LeaseClock
from cypressledge.fleet.keeper import places
from cypressledge.fleet.lease import Electorate
from cypressledge.fleet.messages import Sight
from cypressledge.fleet.node import FleetNode
from cypressledge.lab.processes import until
from cypressledge.lab.relay import udp_ports

TERM = 600_000  # µs
NAMES = ("n0", "n1", "n2")


class Quiet:
    """A log that nobody reads."""

    def info(self, event, **what):
        pass


class Trio:
    """Three nodes in this process: one lease that all ask for, and one for those that want it."""

    def __init__(self):
        ports = udp_ports([*NAMES, "spare"])
        self.at = {n: ("127.0.0.1", p) for n, p in ports.items()}
        self.spare = self.at.pop("spare")
        self.told, self.changed, self.nodes = [], [], {}
        for name in NAMES:
            self.start(name, self.at[name])

    def start(self, name, listen, **more):
        clock = LeaseClock()
        electorate = Electorate(name, TERM, {1: NAMES}, 1, clock.now())
        node = self.nodes[name] = FleetNode(
            name, listen=listen, addresses=self.at, electorate=electorate, drift_ppm=10_000, ping_s=0.1,
            places=[*places("one", 1, TERM, False), *places("wish", 1, TERM, True)], counters=Counters(),
            clock=clock, log=Quiet(), told=lambda *what: self.told.append((name, *what)),
            member_changed=lambda member, why: self.changed.append((name, member.name, member.state)), **more)
        for part in node.parts:
            gevent.spawn(part)
        return node

    def holders(self, lease="one"):
        return [n for n, node in self.nodes.items() if node.grant(lease) is not None]

    def end(self):
        for node in self.nodes.values():
            node.close()


@pytest.fixture
def trio():
    made = Trio()
    yield made
    made.end()


def test_nodes_without_a_broker_hold_a_lease_and_pass_it_on(trio):
    assert until(trio.holders, 10, 0.01) and until(lambda: all(len(n.alive()) == 3 for n in
                                                               trio.nodes.values()), 10, 0.01)
    first = trio.holders()[0]
    token = trio.nodes[first].grant("one").token
    trio.nodes[first].stop()
    began = time.monotonic()
    assert until(lambda: [n for n in trio.holders() if n != first], 10, 0.005)
    assert time.monotonic() - began < TERM / 1e6, "a lease that is given back is not waited for"
    second = trio.holders()[0]
    assert trio.nodes[second].grant("one").token > token
    events = [(n, event) for n, event, lease, *_ in trio.told if lease == "one"]
    assert (first, "given_back") in events and (second, "acquired") in events
    assert until(lambda: first not in trio.nodes[second].alive(), 10, 0.01)
    assert (second, first, 2) in trio.changed


def test_a_lease_by_wish_is_taken_and_given_back(trio):
    assert until(trio.holders, 10, 0.01) and not trio.holders("wish")
    assert trio.nodes["n1"].want("wish") and not trio.nodes["n1"].want("no such lease")
    assert until(lambda: trio.holders("wish") == ["n1"], 10, 0.01)
    assert trio.nodes["n1"].give_back("wish", "done") and not trio.holders("wish")
    assert not trio.nodes["n1"].give_back("wish", "done")


def test_work_that_goes_on_keeps_its_lease(trio):
    trio.nodes["n2"].close()
    node = trio.start("n2", trio.at["n2"], call_off=lambda lease: False)
    node.want("wish")
    assert until(lambda: trio.holders("wish") == ["n2"], 10, 0.01)
    assert not node.give_back("wish", "by hand") and trio.holders("wish") == ["n2"]
    node.stop()
    assert trio.holders("wish") == ["n2"]  # it runs out by itself


def test_a_peer_moves_and_another_leaves_the_names_at_run_time(trio):
    assert until(lambda: all(len(n.alive()) == 3 for n in trio.nodes.values()), 10, 0.01)
    known = trio.nodes["n0"].members.members["n1"]
    trio.nodes["n2"].close()
    trio.at["n2"] = trio.spare
    trio.start("n2", trio.spare)
    for node in trio.nodes.values():
        node.rename(trio.at)
    assert trio.nodes["n0"].members.members["n1"] is known
    heard = trio.nodes["n2"].now()
    assert until(lambda: all(trio.nodes[n].members.members["n2"].heard > heard for n in ("n0", "n1")), 10)
    assert until(lambda: all(len(n.alive()) == 3 for n in trio.nodes.values()), 10, 0.01)
    left = {n: a for n, a in trio.at.items() if n != "n1"}
    trio.nodes["n0"].rename(left)
    assert trio.nodes["n0"].alive() == {"n0", "n2"}
    gevent.sleep(0.5)
    assert trio.nodes["n0"].alive() == {"n0", "n2"} and trio.nodes["n0"].counters.counts["fleet.misdirected"]


def test_what_no_handler_takes_is_counted_and_stops_nothing(trio):
    assert until(lambda: all(len(n.alive()) == 3 for n in trio.nodes.values()), 10, 0.01)
    got = []
    trio.nodes["n1"].handlers[Sight] = lambda sender, item: got.append((sender, item.alone))
    for peer in ("n1", "n2"):
        trio.nodes["n0"].out(peer, Sight([], {}, ["z"]))
    assert until(lambda: got, 10, 0.01) == [("n0", ["z"])]
    assert until(lambda: trio.nodes["n2"].counters.counts["fleet.not_handled"], 10, 0.01)
    assert not trio.nodes["n2"].owner.dead


def test_a_node_sleeps_until_it_is_due(trio):
    assert until(trio.holders, 10, 0.01)
    for name in ("n1", "n2"):
        trio.nodes[name].close()
    node = trio.nodes["n0"]
    for lone in (node, trio.start("n1", trio.spare)):
        lone.set_places([])
        lone.rename({})
        gevent.sleep(0.3)
        lone.turn_times.clear()
        gevent.sleep(1.0)
        assert len(lone.turn_times) <= 12  # one ping each 0.1 s is all there is
