"""Candidates for leases, and one broker's participation: when it requests votes, and when it waits."""

from cypressledge.fleet.leases.candidate_order import candidate_order
from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.leases.lease import lease_slots
from cypressledge.fleet.leases.lease_manager import LeaseManager, LeaseSettings
from cypressledge.fleet.leases.participation import ParticipationPhase
from cypressledge.fleet.messages import (
    LeaseStatus,
    LeaseStatusRequest,
    VoteRejected,
)
from cypressledge.lab.virtual_fleet import SECOND_US as S


def test_leases_of_a_killed_broker_spread_over_those_alive():
    names = [f"n{i}" for i in range(10)]
    leases = [f"l{i}" for i in range(400)]
    firsts = {lease: candidate_order(lease, names)[0] for lease in leases}
    killed = max(names, key=list(firsts.values()).count)
    after = [
        candidate_order(lease, [n for n in names if n != killed])[0]
        for lease in leases
        if firsts[lease] == killed
    ]
    assert all(candidate_order(n, names)[0] == f for n, f in firsts.items())
    assert len(set(after)) == 9
    assert max(map(after.count, after)) < len(after) / 3


VOTERS = tuple(f"v{i}" for i in range(5))


# A broker that is the first candidate for lease "l", no matter which of these voters are alive.
FIRST = next(n for n in map("n{}".format, range(100)) if candidate_order("l", [n, *VOTERS])[0] == n)


def after_statuses(statuses, alive=5):
    """Return the first candidate's phase, and the seconds until it is due, after it has queried a lease's
    status and received `statuses`: (voter, holder, remaining, quarantine). `alive`: voters alive."""
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


def test_voter_in_quarantine_that_answers_first_does_not_delay_a_free_lease():
    quarantined, free = ("v0", "", 0, 2 * S), [(f"v{i}", "", 0, 0) for i in range(1, 4)]
    assert after_statuses([quarantined, *free])[0] is ParticipationPhase.REQUESTING_VOTES
    assert after_statuses(free)[0] is ParticipationPhase.REQUESTING_VOTES
    held = [(f"v{i}", "n1", 2 * S, 0) for i in range(4)]
    phase, due = after_statuses(held)  # the fifth voter's answer is still missing
    assert phase is ParticipationPhase.QUERYING_STATUS
    assert due <= 0.5
    phase, due = after_statuses(held, alive=4)
    assert phase is ParticipationPhase.IDLE
    assert 1 < due <= 2.1
    phase, due = after_statuses([*held, ("v4", "", 0, 0)])
    assert phase is ParticipationPhase.IDLE
    assert 1 < due <= 2.1


def test_attempt_without_a_possible_majority_of_living_voters_ends_at_once():
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


def test_votes_for_a_former_instance_are_waited_out():
    former = [(voter, FIRST, 2 * S, 0) for voter in VOTERS]
    assert after_statuses(former)[0] is ParticipationPhase.IDLE
