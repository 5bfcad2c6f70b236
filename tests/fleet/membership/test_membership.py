"""States of members: tests of a fleet in virtual time, and of one broker's membership by itself."""

from cypressledge.fleet.membership import ALIVE, GONE, SUSPECT, Membership
from cypressledge.fleet.messages import (
    GossipUpdate,
    Ping,
)
from cypressledge.lab.virtual_fleet import SECOND_US as S
from tests.fakes.virtual_fleet import settled_world


def test_members_detect_a_killed_and_a_restarted_broker_and_ignore_its_former_instance():
    world = settled_world()
    world.kill("n4")
    world.run(5 * S)
    assert all("n4" not in n.membership.alive() for n in world.nodes.values())
    old = world.nodes["n0"].membership.members["n4"].incarnation
    world.wall_step = -3_600 * S  # the restarted broker's wall clock is an hour behind
    world.start("n4")
    world.run(5 * S)
    for name, node in world.nodes.items():
        if name != "n4":
            member = node.membership.members["n4"]
            assert member.state == 0
            assert member.incarnation > old
            assert not node.membership.observe(node.now(), "n4", old)  # a late message of its former instance


def test_member_that_leaves_is_gone_at_once_and_a_suspect_may_refute():
    world = settled_world()
    world.nodes["n4"].membership.leave()
    world.nodes["n4"].turn()
    world.kill("n4")
    world.run(S)
    assert all("n4" not in n.membership.alive() for n in world.nodes.values())
    for other in ("n0", "n1", "n2"):
        world.cut |= {("n3", other), (other, "n3")}
    world.run(4 * S)
    assert world.nodes["n0"].membership.members["n3"].state != 0
    world.cut.clear()
    world.run(4 * S)
    assert world.nodes["n0"].membership.members["n3"].state == 0


def test_brokers_all_partitioned_from_each_other_rejoin():
    world = settled_world(brokers=6)
    names = list(world.nodes)
    world.cut = {(a, b) for a in names for b in names if a != b}
    world.run(8 * S)
    assert all(n.membership.alive() == {n.name} for n in world.nodes.values())
    world.cut.clear()
    before = sum(n.datagrams_sent for n in world.nodes.values())
    world.run(6 * S)
    assert all(n.membership.alive() == set(names) for n in world.nodes.values())
    sent = sum(n.datagrams_sent for n in world.nodes.values()) - before
    assert sent < 6 * 6 * 60, "notifications of ignored messages were answered by notifications"
    world.run(8 * S)
    assert len(world.holders("lease-0")) == 1


def test_suspects_time_out_and_removed_peers_are_dropped():
    changed, sent = [], []
    members = Membership(
        "a",
        ["a", *"bcdef"],
        1,
        100,
        1,
        lambda to, item: sent.append(to),
        lambda member, why: changed.append((member.name, member.state)),
    )
    for name in "bcdef":
        assert members.observe(1_000, name, 5)
    members.receive(1_200, "b", Ping(1, [GossipUpdate(name, 5, SUSPECT) for name in "cde"]))
    members.observe(1_210, "e", 6)  # its own message refutes the suspicion
    assert set(members.suspects) == {"c", "d"}
    members.set_peers([*"abceg"])
    assert set(members.suspects) == {"c"}
    assert members.transmissions_left.keys() <= members.members.keys()
    assert "g" in members.ping_round or not members.ping_round
    changed.clear()
    members.tick(1_200 + members.suspicion_timeout() - 1)
    assert not members.suspects.keys() - {"c"}
    assert ("c", GONE) not in changed
    members.tick(1_200 + members.suspicion_timeout())
    assert ("c", GONE) in changed
    assert not members.suspects
    assert members.members["e"].state == ALIVE
    assert "d" not in members.alive()


def test_start_is_announced_to_more_peers_in_larger_fleets():
    sent = []
    for peers, announced_to in ((5, 5), (100, 8), (200, 8), (455, 18), (1_000, 40)):
        sent.clear()
        Membership(
            "x", [f"n{i}" for i in range(peers)], 1, 100, 1, lambda to, item: sent.append(to), lambda *a: None
        ).announce()
        assert len(set(sent)) == len(sent) == announced_to
