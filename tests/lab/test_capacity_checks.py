"""The checks of a capacity run on constructed records: they report all errors and too little activity."""

import json

import pytest

from cypressledge.lab.capacity import checks
from cypressledge.lab.summary_statistics import quantile

US_PER_S = 1_000_000


def broker_record(at, name, event="in_force", version=0, run=1, epoch=1, digest=None):
    return {
        "at": int(at * US_PER_S),
        "broker": name,
        "run": run,
        "event": event,
        "epoch": epoch,
        "version": version,
        "digest": f"d{version}" if digest is None else digest,
    }


def control_record(at, event="committed", version=0, who="c1", request="", digest=None):
    return {
        "at": int(at * US_PER_S),
        "who": who,
        "event": event,
        "epoch": 1,
        "version": version,
        "request": request,
        "digest": f"d{version}" if digest is None else digest,
    }


def observations(acked, over=40.0, **more):
    observed = {"down": [], "faults": [], "losses": [], "ends": {}, **more}
    return checks.HarnessObservations(
        acked=[checks.AcknowledgedChange(int(at * US_PER_S), v, f"r{v}") for at, v in acked],
        over=int(over * US_PER_S),
        **observed,
    )


def span(begin, end, kind="cut", who=""):
    return checks.Span(int(begin * US_PER_S), int(end * US_PER_S), kind, who)


HISTORY = [
    control_record(0, "primary"),
    *(control_record(v, version=v, request=f"r{v}") for v in range(1, 6)),
]
COMPLETE = [broker_record(0, "a", "start"), *(broker_record(v + 0.5, "a", version=v) for v in range(1, 6))]
ACKNOWLEDGED = [(v, v) for v in range(1, 6)]


def test_a_complete_run_is_not_broken():
    verdict = checks.check(COMPLETE, HISTORY, observations(ACKNOWLEDGED))
    assert not verdict.broken
    assert verdict.changes == 5
    assert verdict.undisturbed == verdict.all_times == [0.5] * 5


def test_a_change_that_was_never_applied_is_lost():
    verdict = checks.check(COMPLETE[:-1], HISTORY, observations(ACKNOWLEDGED))
    assert len(verdict.lost) == 1
    assert "version 5" in verdict.lost[0]


def test_a_broker_that_is_cut_off_at_the_end_has_lost_nothing():
    verdict = checks.check(
        COMPLETE[:-1], HISTORY, observations(ACKNOWLEDGED, down=[span(4.9, 41, "cut", "a")])
    )
    assert not verdict.lost


def test_applying_a_later_version_applies_the_earlier_ones():
    verdict = checks.check([COMPLETE[0], COMPLETE[-1]], HISTORY, observations(ACKNOWLEDGED))
    assert not verdict.broken
    assert max(verdict.all_times) == 4.5


def test_a_broker_without_records_is_lost():
    verdict = checks.check(COMPLETE, HISTORY, observations(ACKNOWLEDGED, expected=frozenset("ab")))
    assert verdict.lost == ["b must be running at the end, but has no recorded run that was not killed"]
    assert not checks.check(
        COMPLETE, HISTORY, observations(ACKNOWLEDGED, expected=frozenset("ab"), removed=frozenset("b"))
    ).lost


def test_a_killed_broker_that_did_not_restart_is_lost():
    verdict = checks.check(
        COMPLETE, HISTORY, observations(ACKNOWLEDGED, ends={("a", 1): 30 * US_PER_S}, expected=frozenset("a"))
    )
    assert len(verdict.lost) == 1


def test_an_acknowledged_change_that_was_not_committed_is_lost():
    verdict = checks.check(COMPLETE, HISTORY, observations([*ACKNOWLEDGED, (5.1, 9)]))
    assert any("no control process committed it" in line for line in verdict.lost)


def test_an_acknowledged_change_whose_version_belongs_to_another_request_is_lost():
    history = [*HISTORY[:-1], control_record(5, version=5, request="another")]
    verdict = checks.check(COMPLETE, history, observations(ACKNOWLEDGED))
    assert any("but belongs to request another" in line for line in verdict.lost)


def test_an_older_version_is_reported_within_one_run_of_a_broker_but_not_across_runs():
    reverted = [*COMPLETE, broker_record(7, "a", version=3), broker_record(8, "a", version=5)]
    assert len(checks.check(reverted, HISTORY, observations(ACKNOWLEDGED)).reverted) == 1
    other = [*COMPLETE, broker_record(7, "a", version=3, run=2), broker_record(8, "a", version=5, run=2)]
    assert not checks.check(
        other, HISTORY, observations(ACKNOWLEDGED, ends={("a", 1): 6 * US_PER_S})
    ).reverted


def test_an_older_epoch_is_reported():
    reverted = [*COMPLETE, broker_record(7, "a", version=6, epoch=0)]
    assert checks.check(
        reverted, [*HISTORY, control_record(6, version=6)], observations(ACKNOWLEDGED)
    ).reverted


def test_a_digest_that_differs_from_the_committed_one_is_wrong():
    verdict = checks.check(
        [*COMPLETE[:-1], broker_record(5.5, "a", version=5, digest="x")], HISTORY, observations(ACKNOWLEDGED)
    )
    assert len(verdict.wrong) == 1
    assert "committed is d5" in verdict.wrong[0]


def test_an_applied_version_that_was_not_committed_is_wrong():
    assert checks.check(
        [*COMPLETE, broker_record(6, "a", version=6)], HISTORY, observations(ACKNOWLEDGED)
    ).wrong


def test_one_version_committed_with_two_digests_is_wrong():
    verdict = checks.check(
        COMPLETE, [*HISTORY, control_record(6, version=3, who="c2", digest="y")], observations(ACKNOWLEDGED)
    )
    assert len(verdict.wrong) == 1


def test_a_repeated_request_that_became_another_version_is_wrong():
    observed = observations(ACKNOWLEDGED)
    observed.acked.append(checks.AcknowledgedChange(6 * US_PER_S, 5, "r4"))
    assert any("became versions 4 and 5" in line for line in checks.check(COMPLETE, HISTORY, observed).wrong)


def test_an_incorrect_answer_is_wrong():
    assert checks.check(
        COMPLETE, HISTORY, observations(ACKNOWLEDGED, wrongs=["an invalid change was accepted"])
    ).wrong


def test_a_change_during_a_cut_is_due_from_the_heal():
    late = [*COMPLETE[:-1], broker_record(20.5, "a", version=5)]
    observed = observations(ACKNOWLEDGED, down=[span(4.8, 20, "cut", "a")], faults=[span(4.8, 20, "cut")])
    verdict = checks.check(late, HISTORY, observed)
    assert not verdict.broken
    assert max(verdict.all_times) == pytest.approx(0.5)


def test_a_change_before_a_cut_that_was_not_applied_is_due_from_the_heal():
    late = [*COMPLETE[:-1], broker_record(20.5, "a", version=5)]
    observed = observations(ACKNOWLEDGED, down=[span(5.2, 20, "cut", "a")], faults=[span(5.2, 20, "cut")])
    assert max(checks.check(late, HISTORY, observed).all_times) == pytest.approx(0.5)


def test_changes_before_a_start_are_due_once_from_the_start():
    other = [broker_record(30, "a", "start", run=2), broker_record(30.4, "a", version=5, run=2)]
    verdict = checks.check(
        [*COMPLETE, *other], HISTORY, observations(ACKNOWLEDGED, ends={("a", 1): 10 * US_PER_S})
    )
    assert not verdict.broken
    assert verdict.all_times.count(pytest.approx(0.4)) == 1
    assert len(verdict.all_times) == 6


def test_a_broker_killed_before_the_limit_without_the_change_has_lost_nothing():
    observed = observations(ACKNOWLEDGED, ends={("a", 1): round(5.2 * US_PER_S)}, removed=frozenset("a"))
    assert not checks.check(COMPLETE[:-1], HISTORY, observed).broken


def test_a_broker_killed_after_the_limit_without_the_change_counts_with_its_time():
    observed = observations(ACKNOWLEDGED, ends={("a", 1): 30 * US_PER_S}, removed=frozenset("a"))
    assert max(checks.check(COMPLETE[:-1], HISTORY, observed).undisturbed) == 25


def test_times_during_faults_are_separate_from_undisturbed_times():
    verdict = checks.check(
        COMPLETE, HISTORY, observations(ACKNOWLEDGED, faults=[span(2.9, 3.1, "a primary killed")])
    )
    assert len(verdict.undisturbed) == 4
    assert verdict.by_fault == {"a primary killed": [0.5]}


def test_leaderless_time_ends_with_another_leader():
    records = [
        *HISTORY,
        control_record(10.5, "acknowledged", 5, who="c1"),
        control_record(13, "primary", who="c2"),
    ]
    observed = observations(ACKNOWLEDGED, losses=[checks.LeaderLoss(10 * US_PER_S, "c1", "killed")])
    assert checks.check(COMPLETE, records, observed).leaderless == [(3.0, "killed")]
    observed.losses = [checks.LeaderLoss(20 * US_PER_S, "c2", "killed")]
    assert checks.check(COMPLETE, records, observed).leaderless == [(20.0, "killed")]


def test_leaderless_time_after_a_restart_of_all_ends_with_any_leader():
    observed = observations(ACKNOWLEDGED, losses=[checks.LeaderLoss(10 * US_PER_S, "", "all")])
    assert checks.check(COMPLETE, [*HISTORY, control_record(12, "primary")], observed).leaderless == [
        (2.0, "all")
    ]


def test_an_event_before_all_control_processes_have_stopped_does_not_show_a_leader():
    observed = observations(
        ACKNOWLEDGED, losses=[checks.LeaderLoss(10 * US_PER_S, "", "all", round(10.2 * US_PER_S))]
    )
    records = [*HISTORY, control_record(10.1, "acknowledged", 5), control_record(12, "primary")]
    assert checks.check(COMPLETE, records, observed).leaderless == [(2.0, "all")]


def test_too_little_activity_is_reported():
    found = checks.insufficient_activity(checks.check([], [], observations([])), observations([]), 10, 30)
    reasons = " ".join(found)
    for part in ("0 changes", "quiet times", "no primary was lost", "no broker restarted", "0 kinds"):
        assert part in reasons


def test_a_run_without_faults_needs_changes_and_no_fault():
    observed = observations([])
    found = checks.insufficient_activity(
        checks.check([], [], observed), observed, 10, 60, without_faults=True
    )
    assert len(found) == 2
    assert "0 changes" in found[0]
    observed.losses.append(checks.LeaderLoss(1, "c1", "killed"))
    assert "a fault was injected into a run without faults" in checks.insufficient_activity(
        checks.check([], [], observed), observed, 10, 60, without_faults=True
    )


def test_exceeded_limits_are_reported():
    verdict = checks.Verdict(undisturbed=[12.5], leaderless=[checks.LeaderlessTime(8.5, "killed")])
    assert len(checks.exceeded_limits(verdict, 3.3, 31, 257)) == 5
    assert not checks.exceeded_limits(
        checks.Verdict(undisturbed=[11.0], leaderless=[checks.LeaderlessTime(7.0, "")]), 3.2, 30, 256
    )


def test_incomplete_lines_of_killed_processes_are_skipped(tmp_path):
    path = tmp_path / "a.jsonl"
    path.write_text('{"at": 1}\n{"at": 2, "x{"at": 3}\n{"at"')
    assert checks.read_records([path]) == [{"at": 1}, {"at": 3}]
    path.write_text('nonsense\n{"at": 1}\n')
    with pytest.raises(ValueError, match="nonsense|JSON|malformed"):
        checks.read_records([path])


def test_quantile():
    assert quantile([], 0.99) == 0
    assert quantile([float(n) for n in range(100)], 0.99) == 99
    assert json.dumps(quantile([1.0], 0.99)) == "1.0"
