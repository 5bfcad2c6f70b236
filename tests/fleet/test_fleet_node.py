"""Fleet nodes without a broker: leases, changes of peers, the loop's sleep, and a reload of the settings."""

import json
import time
from types import SimpleNamespace

import gevent
import pytest

from cypressledge.broker.metrics import Counters
from cypressledge.fleet.broker_integration import FleetIntegration
from cypressledge.fleet.clock import LeaseClock
from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.leases.lease import LeaseEvent, lease_slots
from cypressledge.fleet.messages import EngineObservations
from cypressledge.fleet.node import FleetNode, NodeHooks, NodeSettings
from cypressledge.lab.processes import until
from cypressledge.lab.site import free_udp_ports

TERM = 600_000  # µs


NAMES = ("n0", "n1", "n2")


class SilentLog:
    """A logger that discards all lines."""

    def info(self, event, **fields):
        pass


class ThreeNodes:
    """Three nodes in this process, with a lease that all request and the lease "wish" on demand."""

    def __init__(self):
        ports = free_udp_ports([*NAMES, "spare"])
        self.at = {n: ("127.0.0.1", p) for n, p in ports.items()}
        self.spare = self.at.pop("spare")
        self.events, self.changed, self.nodes, self.greenlets = [], [], {}, []
        for name in NAMES:
            self.start(name, self.at[name])

    def start(self, name, listen, end_work=lambda lease: True, **changed):
        clock = LeaseClock()
        settings = {
            "listen": listen,
            "addresses": self.at,
            "slots": [*lease_slots("one", 1, TERM, False), *lease_slots("wish", 1, TERM, True)],
            "drift_ppm": 10_000,
            "ping_s": 0.1,
        }
        hooks = NodeHooks(
            on_lease_event=lambda *details: self.events.append((name, *details)),
            on_member_change=lambda member, reason: self.changed.append((name, member.name, member.state)),
            end_work=end_work,
        )
        node = self.nodes[name] = FleetNode(
            name,
            NodeSettings(**(settings | changed)),
            Electorate(name, TERM, {1: NAMES}, 1, clock.now()),
            Counters(),
            clock,
            hooks,
            log=SilentLog(),
        )
        self.greenlets += map(gevent.spawn, node.loops)
        return node

    def holders(self, lease="one"):
        return [n for n, node in self.nodes.items() if node.held_lease(lease) is not None]

    def end(self):
        for node in self.nodes.values():
            node.close()
        gevent.joinall(self.greenlets, timeout=5, raise_error=True)
        assert all(greenlet.dead for greenlet in self.greenlets)


@pytest.fixture
def trio():
    made = ThreeNodes()
    yield made
    made.end()


def test_nodes_without_a_broker_acquire_a_lease_and_hand_it_over(trio):
    assert until(trio.holders, 10, 0.01)
    assert until(lambda: all(len(n.alive()) == 3 for n in trio.nodes.values()), 10, 0.01)
    first = trio.holders()[0]
    token = trio.nodes[first].held_lease("one").token
    trio.nodes[first].stop()
    began = time.monotonic()
    assert until(lambda: [n for n in trio.holders() if n != first], 10, 0.005)
    assert time.monotonic() - began < TERM / 1e6, "a released lease must be acquired within its term"
    second = trio.holders()[0]
    assert trio.nodes[second].held_lease("one").token > token
    events = [(n, event) for n, event, lease, *_ in trio.events if lease == "one"]
    assert (first, LeaseEvent.RELEASED) in events
    assert (second, LeaseEvent.ACQUIRED) in events
    assert until(lambda: first not in trio.nodes[second].alive(), 10, 0.01)
    assert (second, first, 2) in trio.changed


def test_lease_on_demand_is_acquired_and_released(trio):
    assert until(trio.holders, 10, 0.01)
    assert not trio.holders("wish")
    assert trio.nodes["n1"].request_lease("wish")
    assert not trio.nodes["n1"].request_lease("no such lease")
    assert until(lambda: trio.holders("wish") == ["n1"], 10, 0.01)
    assert trio.nodes["n1"].release("wish", "done")
    assert not trio.holders("wish")
    assert not trio.nodes["n1"].release("wish", "done")


def test_work_that_has_not_ended_keeps_its_lease(trio):
    trio.nodes["n2"].close()
    node = trio.start("n2", trio.at["n2"], end_work=lambda lease: False)
    node.request_lease("wish")
    assert until(lambda: trio.holders("wish") == ["n2"], 10, 0.01)
    assert not node.release("wish", "by hand")
    assert trio.holders("wish") == ["n2"]
    node.stop()
    assert trio.holders("wish") == ["n2"]  # `stop` does not release it either: it expires by itself


def test_peer_moves_and_another_is_removed_at_run_time(trio):
    assert until(lambda: all(len(n.alive()) == 3 for n in trio.nodes.values()), 10, 0.01)
    known = trio.nodes["n0"].membership.members["n1"]
    trio.nodes["n2"].close()
    trio.at["n2"] = trio.spare
    trio.start("n2", trio.spare)
    for node in trio.nodes.values():
        node.set_peers(trio.at)
    assert trio.nodes["n0"].membership.members["n1"] is known
    moved_at = trio.nodes["n2"].now()
    assert until(
        lambda: all(trio.nodes[n].membership.members["n2"].last_heard_at > moved_at for n in ("n0", "n1")), 10
    )
    assert until(lambda: all(len(n.alive()) == 3 for n in trio.nodes.values()), 10, 0.01)
    left = {n: a for n, a in trio.at.items() if n != "n1"}
    trio.nodes["n0"].set_peers(left)
    assert trio.nodes["n0"].alive() == {"n0", "n2"}
    gevent.sleep(0.5)
    assert trio.nodes["n0"].alive() == {"n0", "n2"}
    assert trio.nodes["n0"].counters.counts["fleet.misdirected"]


def test_item_without_a_handler_is_counted_and_stops_nothing(trio):
    assert until(lambda: all(len(n.alive()) == 3 for n in trio.nodes.values()), 10, 0.01)
    got = []
    trio.nodes["n1"].handlers[EngineObservations] = lambda sender, item: got.append(
        (sender, item.locally_evacuated_zones)
    )
    for peer in ("n1", "n2"):
        trio.nodes["n0"].send(peer, EngineObservations([], {}, ["z"]))
    assert until(lambda: got, 10, 0.01) == [("n0", ["z"])]
    assert until(lambda: trio.nodes["n2"].counters.counts["fleet.not_handled"], 10, 0.01)
    assert not trio.nodes["n2"].loop_greenlet.dead


def test_idle_node_wakes_once_a_second_and_sends_at_once(trio):
    trio.nodes["n1"].close()
    lone = trio.start("n1", trio.spare, addresses={}, slots=[], ping_s=2.0)
    gevent.sleep(0.3)
    lone.turn_times.clear()
    gevent.sleep(2.2)
    assert 1 <= len(lone.turn_times) <= 3  # the loop sleeps at most a second at a time
    lone.set_peers({"n0": trio.at["n0"]})
    gevent.sleep(0.3)
    for _ in range(5):
        sent = lone.counters.counts["fleet.sent"]
        lone.send("n0", EngineObservations([], {}, ["z"]))
        assert until(lambda sent=sent: lone.counters.counts["fleet.sent"] > sent, 0.3, 0.005)


def test_reload_keeps_what_is_known_of_peers_that_only_the_control_plane_names(tmp_path):
    file = tmp_path / "fleet.yaml"
    peers = [{"name": n, "address": f"127.0.0.1:{i}"} for i, n in enumerate("abc", 1)]
    file.write_text(
        json.dumps(
            {
                "listen": "127.0.0.1:0",
                "peers": peers,
                "leases": [{"name": "l"}],
                "voters": [{"version": 1, "names": ["a", "b", "c"]}],
            }
        )
    )
    part = FleetIntegration(str(file), SimpleNamespace(name="a", classes=(), zones=()), None, Counters())
    try:
        part.set_control_plane_peers({"b": ("127.0.0.1", 7), "d": ("127.0.0.1", 8)})
        for name in "bd":
            part.node.membership.observe(part.node.now(), name, 5)
        assert part.node.alive() == {"a", "b", "d"}
        part.reload()
        assert part.node.alive() == {"a", "b", "d"}
        assert part.node.transport.addresses["b"][1] == 7
        assert part.node.transport.addresses["c"][1] == 3
        part.set_control_plane_peers({})
        assert part.node.alive() == {"a", "b"}
        assert part.node.transport.addresses["b"][1] == 2
    finally:
        part.node.close()
