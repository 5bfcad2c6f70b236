"""The lease's decisions one by one, and the hard cases by name."""

import pytest

from cypressledge.fleet.lease import MILLION, Claim, Electorate, Voter, VoterSetError, held_for
from cypressledge.fleet.messages import (
    LeaseStatusRequest,
    ReleaseLease,
    VoteGranted,
    VoteRejected,
    VoteRequest,
)

T = 3 * MILLION
DRIFT = 10_000
SETS = {1: ("a", "b", "c")}


def electorate(name="p", sets=SETS, version=1, since=-100 * T):
    return Electorate(name, T, dict(sets), version, since)


def voter(name="a", now=-10 * T, base=0, **more):
    return Voter(electorate(name, **more), now, base)


def claim(run=1, **more):
    return Claim("l", run, T, DRIFT, electorate(**more))


def win(c, voters, now):
    ask = c.ask(now)
    for name, v in voters.items():
        answer = v.ask(now, "p", ask)
        if isinstance(answer, VoteGranted):
            c.granted(now, name, answer)
    return ask


def trio():
    return {n: voter(n) for n in "abc"}


def test_a_majority_makes_a_holder_and_half_does_not():
    voters, c = trio(), claim()
    ask = c.ask(0)
    c.granted(0, "a", voters["a"].ask(0, "p", ask))
    assert not c.holds(0)
    c.granted(0, "b", voters["b"].ask(0, "p", ask))
    assert c.holds(0)
    assert c.left(0) == held_for(T, DRIFT) < T


@pytest.mark.parametrize("moment", [-7 * T, 0, 5 * T])
def test_without_votes_nothing_is_held_wherever_the_clock_begins(moment):
    assert not claim().holds(moment)
    assert claim().left(moment) == 0


def test_the_term_counts_from_before_asking():
    voters, c = trio(), claim()
    ask = c.ask(0)
    late = T // 2
    for n in "ab":
        c.granted(late, n, voters[n].ask(late, "p", ask))
    assert c.until() == held_for(T, DRIFT)


def test_an_answer_after_its_term_makes_no_holder():
    voters, c = trio(), claim()
    ask = c.ask(0)
    answers = {n: v.ask(0, "p", ask) for n, v in voters.items()}
    for n, answer in answers.items():
        c.granted(2 * T, n, answer)
    assert not c.holds(2 * T)


def test_a_message_delivered_after_its_term_blocks_for_a_term_and_gives_nothing():
    voters, c = trio(), claim()
    ask = c.ask(0)
    for n, v in voters.items():
        c.granted(9 * T, n, v.ask(9 * T, "p", ask))
    assert not c.holds(9 * T)
    rival = claim(run=2)
    rival.learn(ask.token)
    win(rival, voters, 9 * T + 1)
    assert not rival.holds(9 * T + 1)
    assert rival.refusals == {}
    win(rival, voters, 10 * T)
    assert rival.holds(10 * T)


def test_a_second_copy_of_an_ask_lengthens_nothing():
    v, c = voter(), claim()
    ask = c.ask(0)
    v.ask(0, "p", ask)
    until = v.leases["l"].vote.until
    assert isinstance(v.ask(T // 2, "p", ask), VoteGranted)
    assert v.leases["l"].vote.until == until


def test_an_answer_to_an_old_round_is_not_one_to_the_new():
    voters, c = trio(), claim()
    first = c.ask(0)
    old = voters["a"].ask(0, "p", first)
    c.give_back()
    second = c.ask(T)
    assert not c.granted(T, "a", old)
    assert second.round > first.round
    assert second.token > first.token


def test_a_give_back_that_comes_late_frees_no_newer_vote():
    v, c = voter(), claim()
    c.ask(0)
    back = c.give_back()
    again = c.ask(1)
    v.ask(1, "p", again)
    v.give_back(back)
    assert v.leases["l"].vote is not None
    v.give_back(ReleaseLease("l", 1, again.round))
    assert v.leases["l"].vote is None
    assert v.ask(2, "p", again) is None  # nor does a copy of the Ask bring the vote back


def test_a_restarted_voter_is_mute_for_the_longest_term():
    fresh = voter(now=0)
    answer = fresh.ask(T - 1, "p", VoteRequest("l", 1, 1, 1, T, 1))
    assert isinstance(answer, VoteRejected)
    assert answer.reason == "mute"
    assert answer.remaining == 1
    assert fresh.look(0, LeaseStatusRequest("l")).voting_quarantine == T
    assert isinstance(fresh.ask(T, "p", VoteRequest("l", 1, 1, 1, T, 1)), VoteGranted)


def test_tokens_grow_over_a_restart_of_all_voters():
    voters, c = trio(), claim()
    first = win(c, voters, 0)
    restarted = {n: voter(n, now=T, base=1_000 + n_) for n_, n in enumerate("abc")}
    rival = claim(run=2)
    win(rival, restarted, 3 * T)
    assert not rival.holds(3 * T)
    for n, v in restarted.items():
        rival.refused(n, v.ask(3 * T, "p", rival.ask(3 * T)))
    second = win(rival, restarted, 3 * T)
    assert rival.holds(3 * T)
    assert second.token > 1_000 > first.token


def test_a_holder_renews_though_a_rival_has_tried_a_higher_token():
    voters, c = trio(), claim()
    ask = win(c, voters, 0)
    voters["c"].give_back(ReleaseLease("l", 1, ask.round))
    assert isinstance(voters["c"].ask(1, "q", VoteRequest("l", 2, 1, ask.token + 5, T, 1)), VoteGranted)
    voters["c"].give_back(ReleaseLease("l", 2, 1))
    win(c, voters, 2)
    assert set(c.grants) == {"a", "b", "c"}
    assert c.token == ask.token
    assert voters["c"].leases["l"].seen == ask.token + 5


def test_a_renewal_that_is_answered_after_the_lease_has_ended_counts_for_nothing():
    voters, c = trio(), claim()
    win(c, voters, 0)
    ask = c.ask(held_for(T, DRIFT) - 1)
    late = held_for(T, DRIFT) + 1
    for n, v in voters.items():
        c.granted(late, n, v.ask(late, "p", ask))
    assert ask.renewal
    assert not c.holds(late)


def test_a_term_over_the_longest_is_refused():
    assert voter().ask(0, "p", VoteRequest("l", 1, 1, 1, T + 1, 1)).reason == "term"


def test_one_voter_more_or_fewer_at_a_time():
    e = electorate()
    with pytest.raises(VoterSetError, match="more than one voter"):
        e.take(0, 2, {2: ("a", "d", "e")})
    with pytest.raises(VoterSetError, match="more than one change"):
        e.take(0, 3, {3: ("a", "b", "c", "d")})
    with pytest.raises(VoterSetError, match="with other voters"):
        e.take(0, 1, {1: ("a", "b", "d")})
    assert e.version == 1
    assert e.take(0, 2, {1: SETS[1], 2: ("a", "b", "c", "d")})
    assert e.majority == 3
    with pytest.raises(VoterSetError, match="older"):
        e.take(0, 1, SETS)
    with pytest.raises(VoterSetError, match="not settled"):
        e.take(1, 3, {3: ("b", "c", "d")})
    for name in "abc":
        e.hear(1, name, 2)
    with pytest.raises(VoterSetError, match="not settled"):
        e.take(T, 3, {3: ("b", "c", "d")})
    assert e.take(T + 1, 3, {3: ("b", "c", "d")})
    assert e.voters == ("b", "c", "d")


def test_a_voter_of_the_new_set_refuses_what_is_two_versions_old_and_serves_during_the_grace():
    v = Voter(Electorate("a", T, {1: SETS[1], 2: ("a", "b", "c", "d")}, 2, 0, grace=T), -10 * T, 0)
    assert isinstance(v.ask(T - 1, "p", VoteRequest("l", 1, 1, 1, T, 1)), VoteGranted)
    assert v.ask(T, "p", VoteRequest("l", 1, 2, 1, T, 1)).reason == "version"
