"""The lease's decisions one by one, and the hard cases by name."""

import pytest

from cypressledge.fleet.leases.acquisition import PARTS_PER_MILLION, LeaseAcquisition, hold_duration
from cypressledge.fleet.leases.electorate import Electorate, VoterSetError
from cypressledge.fleet.leases.voter import Voter
from cypressledge.fleet.messages import (
    LeaseStatusRequest,
    ReleaseLease,
    VoteGranted,
    VoteRejected,
    VoteRequest,
)

T = 3 * PARTS_PER_MILLION
DRIFT = 10_000
SETS = {1: ("a", "b", "c")}


def electorate(name="p", sets=SETS, version=1, since=-100 * T):
    return Electorate(name, T, dict(sets), version, since)


def voter(name="a", now=-10 * T, base=0, **more):
    return Voter(electorate(name, **more), now, base)


def claim(run=1, **more):
    return LeaseAcquisition("l", run, T, DRIFT, electorate(**more))


def win(c, voters, now):
    request = c.start_round(now)
    for name, v in voters.items():
        answer = v.vote(now, "p", request)
        if isinstance(answer, VoteGranted):
            c.record_vote(now, name, answer)
    return request


def trio():
    return {n: voter(n) for n in "abc"}


def test_a_majority_makes_a_holder_and_half_does_not():
    voters, c = trio(), claim()
    request = c.start_round(0)
    c.record_vote(0, "a", voters["a"].vote(0, "p", request))
    assert not c.is_held(0)
    c.record_vote(0, "b", voters["b"].vote(0, "p", request))
    assert c.is_held(0)
    assert c.remaining(0) == hold_duration(T, DRIFT) < T


@pytest.mark.parametrize("moment", [-7 * T, 0, 5 * T])
def test_without_votes_nothing_is_held_wherever_the_clock_begins(moment):
    assert not claim().is_held(moment)
    assert claim().remaining(moment) == 0


def test_the_term_counts_from_before_asking():
    voters, c = trio(), claim()
    request = c.start_round(0)
    late = T // 2
    for n in "ab":
        c.record_vote(late, n, voters[n].vote(late, "p", request))
    assert c.expires_at() == hold_duration(T, DRIFT)


def test_an_answer_after_its_term_makes_no_holder():
    voters, c = trio(), claim()
    request = c.start_round(0)
    answers = {n: v.vote(0, "p", request) for n, v in voters.items()}
    for n, answer in answers.items():
        c.record_vote(2 * T, n, answer)
    assert not c.is_held(2 * T)


def test_a_message_delivered_after_its_term_blocks_for_a_term_and_gives_nothing():
    voters, c = trio(), claim()
    request = c.start_round(0)
    for n, v in voters.items():
        c.record_vote(9 * T, n, v.vote(9 * T, "p", request))
    assert not c.is_held(9 * T)
    rival = claim(run=2)
    rival.observe_token(request.token)
    win(rival, voters, 9 * T + 1)
    assert not rival.is_held(9 * T + 1)
    assert rival.rejections == {}
    win(rival, voters, 10 * T)
    assert rival.is_held(10 * T)


def test_a_second_copy_of_an_ask_lengthens_nothing():
    v, c = voter(), claim()
    request = c.start_round(0)
    v.vote(0, "p", request)
    until = v.leases["l"].vote.expires_at
    assert isinstance(v.vote(T // 2, "p", request), VoteGranted)
    assert v.leases["l"].vote.expires_at == until


def test_an_answer_to_an_old_round_is_not_one_to_the_new():
    voters, c = trio(), claim()
    first = c.start_round(0)
    old = voters["a"].vote(0, "p", first)
    c.release()
    second = c.start_round(T)
    assert not c.record_vote(T, "a", old)
    assert second.round > first.round
    assert second.token > first.token


def test_a_give_back_that_comes_late_frees_no_newer_vote():
    v, c = voter(), claim()
    c.start_round(0)
    back = c.release()
    again = c.start_round(1)
    v.vote(1, "p", again)
    v.release(back)
    assert v.leases["l"].vote is not None
    v.release(ReleaseLease("l", 1, again.round))
    assert v.leases["l"].vote is None
    assert v.vote(2, "p", again) is None  # nor does a copy of the request bring the vote back


def test_a_restarted_voter_is_mute_for_the_longest_term():
    fresh = voter(now=0)
    answer = fresh.vote(T - 1, "p", VoteRequest("l", 1, 1, 1, T, 1))
    assert isinstance(answer, VoteRejected)
    assert answer.reason == "mute"
    assert answer.remaining == 1
    assert fresh.status(0, LeaseStatusRequest("l")).voting_quarantine == T
    assert isinstance(fresh.vote(T, "p", VoteRequest("l", 1, 1, 1, T, 1)), VoteGranted)


def test_tokens_grow_over_a_restart_of_all_voters():
    voters, c = trio(), claim()
    first = win(c, voters, 0)
    restarted = {n: voter(n, now=T, base=1_000 + n_) for n_, n in enumerate("abc")}
    rival = claim(run=2)
    win(rival, restarted, 3 * T)
    assert not rival.is_held(3 * T)
    for n, v in restarted.items():
        rival.record_rejection(n, v.vote(3 * T, "p", rival.start_round(3 * T)))
    second = win(rival, restarted, 3 * T)
    assert rival.is_held(3 * T)
    assert second.token > 1_000 > first.token


def test_a_holder_renews_though_a_rival_has_tried_a_higher_token():
    voters, c = trio(), claim()
    request = win(c, voters, 0)
    voters["c"].release(ReleaseLease("l", 1, request.round))
    assert isinstance(voters["c"].vote(1, "q", VoteRequest("l", 2, 1, request.token + 5, T, 1)), VoteGranted)
    voters["c"].release(ReleaseLease("l", 2, 1))
    win(c, voters, 2)
    assert set(c.vote_expirations) == {"a", "b", "c"}
    assert c.token == request.token
    assert voters["c"].leases["l"].highest_token == request.token + 5


def test_a_renewal_that_is_answered_after_the_lease_has_ended_counts_for_nothing():
    voters, c = trio(), claim()
    win(c, voters, 0)
    request = c.start_round(hold_duration(T, DRIFT) - 1)
    late = hold_duration(T, DRIFT) + 1
    for n, v in voters.items():
        c.record_vote(late, n, v.vote(late, "p", request))
    assert request.renewal
    assert not c.is_held(late)


def test_a_term_over_the_longest_is_refused():
    assert voter().vote(0, "p", VoteRequest("l", 1, 1, 1, T + 1, 1)).reason == "term"


def test_one_voter_more_or_fewer_at_a_time():
    e = electorate()
    with pytest.raises(VoterSetError, match="more than one voter"):
        e.adopt(0, 2, {2: ("a", "d", "e")})
    with pytest.raises(VoterSetError, match="more than one change"):
        e.adopt(0, 3, {3: ("a", "b", "c", "d")})
    with pytest.raises(VoterSetError, match="with other voters"):
        e.adopt(0, 1, {1: ("a", "b", "d")})
    assert e.version == 1
    assert e.adopt(0, 2, {1: SETS[1], 2: ("a", "b", "c", "d")})
    assert e.majority == 3
    with pytest.raises(VoterSetError, match="older"):
        e.adopt(0, 1, SETS)
    with pytest.raises(VoterSetError, match="not settled"):
        e.adopt(1, 3, {3: ("b", "c", "d")})
    for name in "abc":
        e.observe(1, name, 2)
    with pytest.raises(VoterSetError, match="not settled"):
        e.adopt(T, 3, {3: ("b", "c", "d")})
    assert e.adopt(T + 1, 3, {3: ("b", "c", "d")})
    assert e.voters == ("b", "c", "d")


def test_a_voter_of_the_new_set_refuses_what_is_two_versions_old_and_serves_during_the_grace():
    v = Voter(Electorate("a", T, {1: SETS[1], 2: ("a", "b", "c", "d")}, 2, 0, grace=T), -10 * T, 0)
    assert isinstance(v.vote(T - 1, "p", VoteRequest("l", 1, 1, 1, T, 1)), VoteGranted)
    assert v.vote(T, "p", VoteRequest("l", 1, 2, 1, T, 1)).reason == "version"
