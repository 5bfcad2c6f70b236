"""Unit tests of voters, acquisitions and electorates, including the difficult sequences of messages."""

import pytest

from cypressledge.fleet.leases.acquisition import LeaseAcquisition, hold_duration
from cypressledge.fleet.leases.electorate import Electorate, VoterSetError
from cypressledge.fleet.leases.voter import Voter
from cypressledge.fleet.messages import (
    LeaseStatusRequest,
    ReleaseLease,
    VoteGranted,
    VoteRejected,
    VoteRequest,
)

TERM = 3_000_000  # µs
DRIFT_PPM = 10_000
VOTER_SETS = {1: ("a", "b", "c")}


def make_electorate(name="p", sets=VOTER_SETS, version=1, since=-100 * TERM):
    return Electorate(name, TERM, dict(sets), version, since)


def make_voter(name="a", now=-10 * TERM, base=0, **changed):
    return Voter(make_electorate(name, **changed), now, base)


def make_acquisition(run=1, **changed):
    return LeaseAcquisition("l", run, TERM, DRIFT_PPM, make_electorate(**changed))


def acquire(acquisition, voters, now):
    request = acquisition.start_round(now)
    for name, voter in voters.items():
        answer = voter.vote(now, "p", request)
        if isinstance(answer, VoteGranted):
            acquisition.record_vote(now, name, answer)
    return request


def three_voters():
    return {name: make_voter(name) for name in "abc"}


def test_majority_of_votes_holds_the_lease_and_half_does_not():
    voters, acquisition = three_voters(), make_acquisition()
    request = acquisition.start_round(0)
    acquisition.record_vote(0, "a", voters["a"].vote(0, "p", request))
    assert not acquisition.is_held(0)
    acquisition.record_vote(0, "b", voters["b"].vote(0, "p", request))
    assert acquisition.is_held(0)
    assert acquisition.remaining(0) == hold_duration(TERM, DRIFT_PPM) < TERM


@pytest.mark.parametrize("moment", [-7 * TERM, 0, 5 * TERM])
def test_without_votes_nothing_is_held_wherever_the_clock_begins(moment):
    assert not make_acquisition().is_held(moment)
    assert make_acquisition().remaining(moment) == 0


def test_term_counts_from_before_the_request():
    voters, acquisition = three_voters(), make_acquisition()
    request = acquisition.start_round(0)
    late = TERM // 2
    for name in "ab":
        acquisition.record_vote(late, name, voters[name].vote(late, "p", request))
    assert acquisition.expires_at() == hold_duration(TERM, DRIFT_PPM)


def test_vote_received_after_its_term_does_not_count():
    voters, acquisition = three_voters(), make_acquisition()
    request = acquisition.start_round(0)
    answers = {name: voter.vote(0, "p", request) for name, voter in voters.items()}
    for name, answer in answers.items():
        acquisition.record_vote(2 * TERM, name, answer)
    assert not acquisition.is_held(2 * TERM)


def test_request_delivered_after_its_term_blocks_the_lease_for_a_term_without_granting_it():
    voters, acquisition = three_voters(), make_acquisition()
    request = acquisition.start_round(0)
    for name, voter in voters.items():
        acquisition.record_vote(9 * TERM, name, voter.vote(9 * TERM, "p", request))
    assert not acquisition.is_held(9 * TERM)
    rival = make_acquisition(run=2)
    rival.observe_token(request.token)
    acquire(rival, voters, 9 * TERM + 1)
    assert not rival.is_held(9 * TERM + 1)
    assert rival.rejections == {}
    acquire(rival, voters, 10 * TERM)
    assert rival.is_held(10 * TERM)


def test_duplicate_request_does_not_extend_the_vote():
    voter, acquisition = make_voter(), make_acquisition()
    request = acquisition.start_round(0)
    voter.vote(0, "p", request)
    until = voter.leases["l"].vote.expires_at
    assert isinstance(voter.vote(TERM // 2, "p", request), VoteGranted)
    assert voter.leases["l"].vote.expires_at == until


def test_answer_to_an_old_round_does_not_count_for_the_new():
    voters, acquisition = three_voters(), make_acquisition()
    first = acquisition.start_round(0)
    old = voters["a"].vote(0, "p", first)
    acquisition.release()
    second = acquisition.start_round(TERM)
    assert not acquisition.record_vote(TERM, "a", old)
    assert second.round > first.round
    assert second.token > first.token


def test_late_release_frees_no_newer_vote():
    voter, acquisition = make_voter(), make_acquisition()
    acquisition.start_round(0)
    late_release = acquisition.release()
    second = acquisition.start_round(1)
    voter.vote(1, "p", second)
    voter.release(late_release)
    assert voter.leases["l"].vote is not None
    voter.release(ReleaseLease("l", 1, second.round))
    assert voter.leases["l"].vote is None
    assert voter.vote(2, "p", second) is None  # a duplicate of the released round's request


def test_restarted_voter_does_not_vote_for_the_longest_term():
    restarted = make_voter(now=0)
    answer = restarted.vote(TERM - 1, "p", VoteRequest("l", 1, 1, 1, TERM, 1))
    assert isinstance(answer, VoteRejected)
    assert answer.reason == "mute"
    assert answer.remaining == 1
    assert restarted.status(0, LeaseStatusRequest("l")).voting_quarantine == TERM
    assert isinstance(restarted.vote(TERM, "p", VoteRequest("l", 1, 1, 1, TERM, 1)), VoteGranted)


def test_tokens_grow_over_a_restart_of_all_voters():
    voters, acquisition = three_voters(), make_acquisition()
    first = acquire(acquisition, voters, 0)
    restarted = {name: make_voter(name, now=TERM, base=1_000 + index) for index, name in enumerate("abc")}
    rival = make_acquisition(run=2)
    acquire(rival, restarted, 3 * TERM)
    assert not rival.is_held(3 * TERM)
    for name, voter in restarted.items():
        rival.record_rejection(name, voter.vote(3 * TERM, "p", rival.start_round(3 * TERM)))
    second = acquire(rival, restarted, 3 * TERM)
    assert rival.is_held(3 * TERM)
    assert second.token > 1_000 > first.token


def test_holder_renews_though_a_rival_has_requested_a_higher_token():
    voters, acquisition = three_voters(), make_acquisition()
    request = acquire(acquisition, voters, 0)
    voters["c"].release(ReleaseLease("l", 1, request.round))
    assert isinstance(
        voters["c"].vote(1, "q", VoteRequest("l", 2, 1, request.token + 5, TERM, 1)), VoteGranted
    )
    voters["c"].release(ReleaseLease("l", 2, 1))
    acquire(acquisition, voters, 2)
    assert set(acquisition.vote_expirations) == {"a", "b", "c"}
    assert acquisition.token == request.token
    assert voters["c"].leases["l"].highest_token == request.token + 5


def test_renewal_answered_after_the_lease_has_expired_does_not_count():
    voters, acquisition = three_voters(), make_acquisition()
    acquire(acquisition, voters, 0)
    request = acquisition.start_round(hold_duration(TERM, DRIFT_PPM) - 1)
    late = hold_duration(TERM, DRIFT_PPM) + 1
    for name, voter in voters.items():
        acquisition.record_vote(late, name, voter.vote(late, "p", request))
    assert request.renewal
    assert not acquisition.is_held(late)


def test_term_over_the_longest_is_rejected():
    assert make_voter().vote(0, "p", VoteRequest("l", 1, 1, 1, TERM + 1, 1)).reason == "term"


def test_voter_set_changes_by_one_voter_at_a_time():
    electorate = make_electorate()
    with pytest.raises(VoterSetError, match="exactly one voter"):
        electorate.adopt(0, 2, {2: ("a", "d", "e")})
    with pytest.raises(VoterSetError, match="more than one change"):
        electorate.adopt(0, 3, {3: ("a", "b", "c", "d")})
    with pytest.raises(VoterSetError, match="with other voters"):
        electorate.adopt(0, 1, {1: ("a", "b", "d")})
    assert electorate.version == 1
    assert electorate.adopt(0, 2, {1: VOTER_SETS[1], 2: ("a", "b", "c", "d")})
    assert electorate.majority == 3
    with pytest.raises(VoterSetError, match="older"):
        electorate.adopt(0, 1, VOTER_SETS)
    with pytest.raises(VoterSetError, match="not settled"):
        electorate.adopt(1, 3, {3: ("b", "c", "d")})
    for name in "abc":
        electorate.observe(1, name, 2)
    with pytest.raises(VoterSetError, match="not settled"):
        electorate.adopt(TERM, 3, {3: ("b", "c", "d")})
    assert electorate.adopt(TERM + 1, 3, {3: ("b", "c", "d")})
    assert electorate.voters == ("b", "c", "d")


def test_voter_rejects_a_version_two_older_and_accepts_the_last_during_the_grace():
    voter = Voter(
        Electorate("a", TERM, {1: VOTER_SETS[1], 2: ("a", "b", "c", "d")}, 2, 0, grace=TERM), -10 * TERM, 0
    )
    assert isinstance(voter.vote(TERM - 1, "p", VoteRequest("l", 1, 1, 1, TERM, 1)), VoteGranted)
    assert voter.vote(TERM, "p", VoteRequest("l", 1, 2, 1, TERM, 1)).reason == "version"
