"""The fleet's decisions without sockets: settings, messages, members, keeping of leases, budget, summary."""

import contextlib
import random
import time

import pytest
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from cypressledge.config import ConfigError
from cypressledge.fleet.leases.candidate_order import candidate_order
from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.leases.lease_manager import LeaseManager, LeaseSettings
from cypressledge.fleet.leases.participation import ParticipationPhase, lease_slots
from cypressledge.fleet.messages import (
    MAX_DATAGRAM_BYTES,
    VERSION,
    Ack,
    BrokerMetrics,
    Envelope,
    GossipUpdate,
    InvalidDatagramError,
    LeaseStatus,
    LeaseStatusRequest,
    VoteRejected,
    VoteRequest,
    decode,
    encode,
)
from cypressledge.fleet.settings import read_fleet_settings
from cypressledge.fleet.tasks.cpu_budget import CpuBudget, PriorityQueue
from cypressledge.fleet.tasks.fleet_summary import Fence, SummaryRound
from cypressledge.lab.virtual import S, World

GOOD = {
    "peers": [{"name": n, "address": f"127.0.0.1:{9700 + i}"} for i, n in enumerate("abcd")],
    "voters": [{"version": 1, "names": ["a", "b", "c"]}],
    "leases": [{"name": "l"}],
    "tasks": [{"kind": "summary", "lease": "l"}],
}
FOUR = {"version": 2, "names": ["a", "b", "c", "d"]}


def told(tmp_path, text):
    path = tmp_path / "fleet.yaml"
    path.write_text(text if isinstance(text, str) else yaml.safe_dump(text))
    return read_fleet_settings(str(path))


def test_a_good_file_is_taken(tmp_path):
    got = told(tmp_path, GOOD | {"voters": [*GOOD["voters"], FOUR]})
    assert got.voter_sets == {1: ("a", "b", "c"), 2: ("a", "b", "c", "d")}
    assert got.longest_term == 3 * S


@pytest.mark.parametrize(
    ("change", "word"),
    [
        ("peers: [", "is not YAML"),
        ("- 1", "Expected `object`"),
        ({"colour": 1}, "unknown field `colour`"),
        ({"peers": GOOD["peers"] * 2}, "named twice"),
        ({"peers": [{"name": "a b", "address": "x:1"}]}, "regex"),
        ({"peers": [{"name": "a"}]}, "missing required field `address`"),
        ({"voters": []}, "no voters"),
        ({"peers": [*GOOD["peers"], {"name": "e", "address": "nowhere"}]}, "no HOST:PORT"),
        ({"voters": [{"version": 1, "names": ["a", "b"]}]}, "3 to 7"),
        ({"voters": [{"version": 1, "names": ["a", "b", "z"]}]}, "voter z is not among the peers"),
        ({"voters": [*GOOD["voters"], {"version": 2, "names": ["a", "b", "d"]}]}, "more than one voter"),
        ({"voters": [*GOOD["voters"], FOUR | {"version": 3}]}, "version 2 is missing"),
        ({"leases": [{"name": "l", "term_s": 9}]}, "over longest_term_s"),
        ({"term_s": -1}, "> 0"),
        ({"tasks": [{"kind": "summary", "lease": "m"}]}, "no lease m"),
        ({"tasks": [{"kind": "dance", "lease": "l"}]}, "Invalid enum value"),
        ({"tasks": [{"kind": "call", "lease": "l", "at": "x"}]}, "no HOST:PORT"),
        ({"tasks": [{"kind": "summary", "lease": "l", "longest_s": 2}]}, "over half the term"),
        ({"leases": [{"name": "l", "places": 0}]}, ">= 1"),
        ({"drift_ppm": 10**6}, "<= 200000"),
    ],
)
def test_each_mistake_is_one_plain_line(tmp_path, change, word):
    with pytest.raises(ConfigError) as caught:
        told(tmp_path, change if isinstance(change, str) else GOOD | change)
    assert word in str(caught.value)
    assert "\n" not in str(caught.value)


def envelope(**more):
    return Envelope(
        **{
            "version": VERSION,
            "sender": "a",
            "recipient": "b",
            "instance_id": 1,
            "incarnation": 1,
            "voters_version": 1,
            "oldest_voters_version": 1,
            "items": [VoteRequest("l", 1, 1, 1, 1, 1), Ack(1, "", [GossipUpdate("c", 2, 0)])],
        }
        | more
    )


def test_messages_come_back_as_they_went():
    assert decode(encode(envelope())) == envelope()


@pytest.mark.parametrize(
    ("raw", "why"),
    [
        (b"", "garbled"),
        (b"\xc1", "garbled"),
        (encode(envelope())[:-3], "garbled"),
        (b"x" * (MAX_DATAGRAM_BYTES + 1), "large"),
        (encode(envelope(version=VERSION + 1)), "version"),
        (encode(envelope(items=[VoteRequest("l", 1, 1, 1, 1, 1)] * 300)), "large"),
        (b"\x92\x09\xa3new", "version"),
        (b"\x91" * 8_000, "garbled"),
    ],
)
def test_what_cannot_be_read_is_named(raw, why):
    with pytest.raises(InvalidDatagramError, match=why):
        decode(raw)


@given(st.binary(max_size=300))
@settings(max_examples=300)
def test_no_bytes_raise_anything_else(raw):
    with contextlib.suppress(InvalidDatagramError):
        decode(raw)


def test_a_dead_brokers_leases_spread_over_the_living():
    names = [f"n{i}" for i in range(10)]
    leases = [f"l{i}" for i in range(400)]
    firsts = {lease: candidate_order(lease, names)[0] for lease in leases}
    dead = max(names, key=list(firsts.values()).count)
    after = [
        candidate_order(lease, [n for n in names if n != dead])[0]
        for lease in leases
        if firsts[lease] == dead
    ]
    assert all(candidate_order(n, names)[0] == f for n, f in firsts.items())
    assert len(set(after)) == 9
    assert max(map(after.count, after)) < len(after) / 3


def trio(seed=1, leases=1, brokers=5, voters=3, **more):
    names = [f"n{i}" for i in range(brokers)]
    world = World(names, names[:voters], leases, seed, **more)
    world.run(7 * S)
    return world


def test_members_see_a_death_a_return_and_a_former_self():
    world = trio()
    world.kill("n4")
    world.run(5 * S)
    assert all("n4" not in n.membership.alive() for n in world.nodes.values())
    old = world.nodes["n0"].membership.members["n4"].incarnation
    world.wall_step = -3_600 * S  # its clock says an hour less than it did
    world.start("n4")
    world.run(5 * S)
    for name, node in world.nodes.items():
        if name != "n4":
            member = node.membership.members["n4"]
            assert member.state == 0
            assert member.incarnation > old
            assert not node.membership.observe(node.now(), "n4", old)  # a late word of its former self


def test_a_leaver_is_gone_at_once_and_a_suspect_may_speak_up():
    world = trio()
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


def test_brokers_that_were_all_cut_off_from_each_other_find_each_other_again():
    world = trio(brokers=6)
    names = list(world.nodes)
    world.cut = {(a, b) for a in names for b in names if a != b}
    world.run(8 * S)
    assert all(n.membership.alive() == {n.name} for n in world.nodes.values())
    world.cut.clear()
    before = sum(n.sent for n in world.nodes.values())
    world.run(6 * S)
    assert all(n.membership.alive() == set(names) for n in world.nodes.values())
    sent = sum(n.sent for n in world.nodes.values()) - before
    assert sent < 6 * 6 * 60, "the news that somebody is not listened to must not be answered by the same"
    world.run(8 * S)
    assert len(world.holders("lease-0")) == 1


def test_a_dead_holder_is_followed_within_a_term_and_a_half():
    waits = []
    for seed in range(20):
        world = trio(seed, leases=4, brokers=8, voters=5)
        victim = world.holders("lease-0")[0]
        world.kill(victim)
        died = world.at
        while not world.holders("lease-0"):
            world.run(S // 100)
        waits.append((world.at - died) / world.term)
    print(f"terms: {sorted(waits)}")
    assert max(waits) < 1.5


VOTERS = tuple(f"v{i}" for i in range(5))
# A broker that is the first candidate for lease "l", whichever of these voters are alive.
FIRST = next(n for n in map("n{}".format, range(100)) if candidate_order("l", [n, *VOTERS])[0] == n)


def after_statuses(statuses, alive=5):
    """The first candidate's phase, and how long it rests (s), after it has queried a lease and got these
    answers."""
    sent = []
    manager = LeaseManager(
        FIRST,
        9,
        Electorate(FIRST, 3 * S, {1: VOTERS}, 1, 0),
        LeaseSettings(lease_slots("l", 1, 3 * S, False), drift_ppm=0, base_token=0, seed=1),
        0,
        lambda to, item: sent.append((to, item)),
        lambda *a: None,
    )
    manager.set_alive(frozenset(VOTERS[:alive]) | {FIRST}, 4 * S)
    manager.tick(5 * S)
    assert {to for to, item in sent if isinstance(item, LeaseStatusRequest)} == set(VOTERS)
    for voter, holder, remaining, quarantine in statuses:
        manager.receive(5 * S, voter, LeaseStatus("l", holder, remaining, 7, quarantine))
    participation = manager.participations["l"]
    return participation.phase, (participation.due_at - 5 * S) / S


def test_a_mute_voter_that_answers_first_does_not_put_a_free_lease_off():
    mute, free = ("v0", "", 0, 2 * S), [(f"v{i}", "", 0, 0) for i in range(1, 4)]
    assert after_statuses([mute, *free])[0] is ParticipationPhase.REQUESTING_VOTES
    assert after_statuses(free)[0] is ParticipationPhase.REQUESTING_VOTES
    held = [(f"v{i}", "n1", 2 * S, 0) for i in range(4)]
    phase, due = after_statuses(held)  # a fifth answer is still out
    assert phase is ParticipationPhase.QUERYING_STATUS
    assert due <= 0.5
    phase, due = after_statuses(held, alive=4)
    assert phase is ParticipationPhase.IDLE
    assert 1 < due <= 2.1
    phase, due = after_statuses([*held, ("v4", "", 0, 0)])
    assert phase is ParticipationPhase.IDLE
    assert 1 < due <= 2.1


def test_a_try_that_cannot_win_without_the_dead_is_given_up_at_once():
    for alive, given_up in ((VOTERS, False), (VOTERS[:4], True)):
        manager = LeaseManager(
            "n9",
            9,
            Electorate("n9", 3 * S, {1: VOTERS}, 1, 0),
            LeaseSettings(lease_slots("l", 1, 3 * S, True), drift_ppm=0, base_token=0, seed=1),
            0,
            lambda *a: None,
            lambda *a: None,
        )
        manager.set_alive(frozenset(alive) | {"n9"}, 4 * S)
        participation = manager.participations["l"]
        manager.request("l", 4 * S)
        participation.fast_retries = 5
        manager.tick(5 * S)
        assert participation.phase is ParticipationPhase.REQUESTING_VOTES
        for voter in ("v0", "v1"):
            manager.receive(
                5 * S, voter, VoteRejected("l", 9, participation.acquisition.round, "held", "n1", S, 1)
            )
        assert (participation.phase is not ParticipationPhase.REQUESTING_VOTES) is given_up
        assert not given_up or participation.due_at - 5 * S < S // 5


def test_what_a_process_held_before_it_started_anew_is_not_its_own():
    former = [(voter, FIRST, 2 * S, 0) for voter in VOTERS]
    assert after_statuses(former)[0] is ParticipationPhase.IDLE


def test_a_give_back_hands_over_at_once():
    for seed in range(10):
        world = trio(seed)
        node = world.nodes[world.holders("lease-0")[0]]
        node.lease_manager.release("lease-0", node.now(), "by hand", rest=9 * S)
        node.turn()
        world.run(S // 5)
        assert world.holders("lease-0") not in ([], [node.name])


def test_two_of_five_voters_dead_cost_nothing_but_time():
    world = trio(brokers=7, voters=5, leases=10)
    world.kill("n0")
    world.kill("n1")
    world.run(8 * S)
    assert all(len(world.holders(f"lease-{i}")) == 1 for i in range(10))
    world.kill("n2")
    world.run(8 * S)
    assert not any(world.holders(f"lease-{i}") for i in range(10))


def test_a_holder_keeps_its_lease_while_voters_restart_one_after_the_other():
    world = trio(voters=5, brokers=6)
    holder, lost = world.holders("lease-0")[0], []
    world.told_most = lambda w, node, event, *told: event == "lost" and lost.append(node.name)
    for name in [f"n{i}" for i in range(5) if f"n{i}" != holder]:
        world.kill(name)
        world.run(S // 2)
        world.start(name)
        world.run(4 * S)
    assert world.holders("lease-0") == [holder]
    assert not lost


class Watch:
    """Holders and tokens as they come up, over a whole run."""

    def __init__(self, world):
        self.world, self.tokens, self.faults, self.acquired = world, {}, [], 0
        world.told_most = self.told

    def told(self, world, node, event, lease, token, why):
        if event == "acquired":
            self.acquired += 1
            if token <= self.tokens.get(lease, 0):
                self.faults.append(f"{lease}: {node.name} got {token} after {self.tokens[lease]}")
            self.tokens[lease] = max(token, self.tokens.get(lease, 0))

    def look(self):
        for lease in self.world.places:
            if len(holders := self.world.holders(lease.lease)) > 1:
                self.faults.append(f"{lease.lease}: {holders} at {self.world.at}")


def shake(world, rng):
    """One fault or mending, drawn."""
    name, kind = rng.choice(world.names), rng.randrange(8)
    if kind == 0 and name in world.nodes:
        world.kill(name)
    elif kind == 1 and name not in world.nodes:
        world.wall_step += rng.randint(-5, 5) * S
        world.start(name)
    elif kind == 2 and name in world.nodes:
        world.nodes[name].paused_until = world.at + rng.randrange(6 * S)
    elif kind == 3:
        some = set(rng.sample(world.names, 3))
        world.cut = {(a, b) for a in world.names for b in world.names if a in some and b not in some}
        if rng.random() < 0.5:
            world.cut |= {(b, a) for a, b in world.cut}
    elif kind == 4:
        world.loss, world.copies, world.delay = (
            rng.random() / 2,
            rng.random() / 2,
            (100, rng.choice((2_000, 500_000, 6 * S))),
        )
    elif kind == 5:
        world.loss, world.copies, world.delay, world.cut = 0, 0, (100, 2_000), set()
    elif kind == 6 and name in world.nodes:
        node = world.nodes[name]
        for lease in world.places:
            node.lease_manager.release(lease.lease, node.now(), "drawn")
        node.turn()
    elif kind == 7:
        for voter in rng.sample(world.sets[1], 2):
            if voter in world.nodes:
                world.start(voter)


@given(st.integers(0, 2**32))
@settings(max_examples=25)
def test_long_random_schedules_never_have_two_holders(seed):
    print(f"seed {seed}")
    rng = random.Random(seed)
    names = [f"n{i}" for i in range(6)]
    rates = {n: rng.choice((0.99, 1.0, 1.01)) for n in names}
    world = World(names, names[:3], 2, seed, rates=rates)
    world.places += lease_slots("pool", 2, world.term, False)
    for name in names:
        world.start(name)
    watch = Watch(world)
    for _ in range(60):
        shake(world, rng)
        for _ in range(rng.randrange(1, 12)):
            world.run(rng.randrange(S // 5))
            watch.look()
    assert not watch.faults
    for name in names:
        if name not in world.nodes:
            world.start(name)
        world.nodes[name].paused_until = 0
    world.loss, world.copies, world.delay, world.cut = 0, 0, (100, 2_000), set()
    world.run(20 * S)  # all is well again: each lease finds its holder
    assert all(len(world.holders(f"lease-{i}")) == 1 for i in range(2))
    assert watch.acquired >= 2


def test_drift_beyond_the_bound_is_found_by_the_same_watch():
    found = 0
    for seed in range(40):
        names = [f"n{i}" for i in range(5)]
        world = World(names, names[:3], 2, seed, rates={"n0": 2.0, "n1": 2.0, "n3": 0.5, "n4": 0.5})
        watch, rng = Watch(world), random.Random(seed)
        for _ in range(40):
            shake(world, rng)
            for _ in range(6):
                world.run(rng.randrange(S // 5))
                watch.look()
        found += bool(watch.faults)
    assert found


def test_a_budget_holds_tasks_to_their_share():
    budget, now = CpuBudget(share=0.02), 0
    for _ in range(1000):
        now += budget.wait(now)
        budget.spend(now, 300)
        now += 300
    assert budget.spent / now < 0.0201
    assert budget.overruns == 0
    budget.spend(now, 5_000)
    assert budget.overruns == 1
    assert budget.longest == 5_000


def test_the_important_go_first_and_equals_in_turn():
    queue = PriorityQueue()
    for priority, act in ((5, "a"), (1, "b"), (5, "c"), (0, "d")):
        queue.put(priority, act)
    assert [queue.take() for _ in range(5)] == ["d", "b", "a", "c", None]


def test_a_summary_adds_up_and_names_who_is_missing():
    merge = SummaryRound(7, 1, "a")
    assert merge.add("a", BrokerMetrics(7, {"lookup": [1, 2, 3, 4]}, ["s-1"], 3, 0))
    assert merge.add("b", BrokerMetrics(7, {"lookup": [10, 20, 30, 40], "odd": [1]}, ["s-1", "s-2"], 3, 0))
    assert not merge.add("c", BrokerMetrics(6, {"lookup": [9, 9, 9, 9]}, [], 3, 0))
    got = merge.summary(["a", "b", "c"])
    assert (got.counts_by_class, got.missing_brokers, got.broker_count) == (
        {"lookup": [11, 22, 33, 44]},
        ["c"],
        2,
    )
    assert got.avoided_engines == {"s-1": 2, "s-2": 1}


def test_a_fence_turns_down_lower_tokens_and_a_twin():
    fence = Fence()
    assert fence.admits(5, 1)
    assert fence.admits(5, 1)
    assert not fence.admits(4, 1)
    assert not fence.admits(5, 2)
    assert fence.admits(6, 2)
    assert not fence.admits(5, 1)


def test_two_hundred_brokers_and_fifty_leases_cost_under_a_hundredth_of_a_core_each():
    names = [f"n{i}" for i in range(200)]
    world = World(names, names[:5], 50, 1)
    world.run(8 * S)
    before = {n: (x.cpu, x.sent) for n, x in world.nodes.items()}
    began = time.monotonic()
    world.run(5 * S)
    shares = [(x.cpu - before[n][0]) / 5e9 for n, x in world.nodes.items()]
    sent = [(x.sent - before[n][1]) / 5 for n, x in world.nodes.items()]
    took = time.monotonic() - began
    print(f"{max(shares):.4f} of a core, {max(sent):.0f} datagrams a second; took {took:.1f} s")
    assert sum(shares) / 200 < 0.01
    assert max(sent) < 300
    assert sum(len(world.holders(f"lease-{i}")) for i in range(50)) == 50
