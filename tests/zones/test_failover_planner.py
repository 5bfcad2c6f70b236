"""The planner's state machines: evacuation, recovery, overrides, and a successor that resumes the plan."""

import itertools

import pytest

from cypressledge.fleet.messages import ZoneStatus
from cypressledge.fleet.zones.failover_plan import (
    FULL_SHARE,
    FailoverPace,
    ZoneLoad,
    ZoneStage,
)
from cypressledge.fleet.zones.failover_planner import FailoverPlanner
from cypressledge.fleet.zones.health import Verdict, ZoneFinding
from cypressledge.fleet.zones.recovery_ramp import recovery_share, usable_fraction

S = 1_000_000
ZONES = ("a", "b", "c")
PACE = FailoverPace()
IDLE = {z: ZoneLoad(4.0, 32.0) for z in ZONES}


class PlannerRun:
    """A planner with a virtual clock; records the events that it logs."""

    def __init__(self, zones=ZONES, pace=PACE, loads=None):
        self.now, self.events = 100 * S, []
        self.loads = loads or IDLE
        self.planner = FailoverPlanner(
            list(zones), pace, self.now, lambda event, zone, _: self.events.append((event, zone))
        )

    def run(self, span, **findings):
        for _ in range(0, span, 100_000):
            self.now += 100_000
            self.planner.step(
                self.now,
                {
                    z: ZoneFinding(findings.get(z, Verdict.HEALTHY), 1.0, "a test finding")
                    for z in self.planner.zones
                },
                self.loads,
            )
        return self

    def stage(self, zone="a"):
        return self.planner.zones[zone].stage

    def share(self, zone="a"):
        return self.planner.zones[zone].share


def test_a_lost_zone_is_evacuated_within_one_second_and_recovers_in_paced_steps():
    planner_run = PlannerRun().run(600_000, a=Verdict.LOST)
    assert planner_run.stage() is ZoneStage.LEAVING
    assert planner_run.share() == 0
    planner_run.run(3 * S, a=Verdict.LOST)
    assert planner_run.stage() is ZoneStage.OUT
    planner_run.run(4 * S, a=Verdict.INSUFFICIENT_DATA)
    assert planner_run.stage() is ZoneStage.RETURNING
    began_at, shares = planner_run.planner.zones["a"].since, []
    while planner_run.stage() is ZoneStage.RETURNING:
        planner_run.run(100_000)
        shares.append((planner_run.now - began_at, planner_run.share()))
        capacity = (
            PACE.cold_capacity + (1 - PACE.cold_capacity) * (planner_run.now - began_at) / PACE.warm_up_time
        )
        # fraction of the zone's cores in use, if the fleet's load stays constant
        work = planner_run.share() / FULL_SHARE * planner_run.planner.machines.utilization
        assert (
            planner_run.now - began_at >= 1.25 * PACE.warm_up_time
            or work <= PACE.safety_margin * capacity + 1e-9
        )
    assert shares[0][1] > 0
    assert shares[-1][1] == FULL_SHARE
    assert shares[-1][0] <= 1.5 * PACE.warm_up_time
    assert all(b - a <= FULL_SHARE / 16 + 1 for (_, a), (_, b) in itertools.pairwise(shares))
    assert [e for e, z in planner_run.events] == [
        "zone_suspect",
        "zone_leaving",
        "zone_out",
        "zone_returning",
        "zone_serving",
    ]


def test_a_short_failure_is_not_a_loss():
    planner_run = PlannerRun().run(300_000, a=Verdict.LOST).run(S)
    assert planner_run.stage() is ZoneStage.SERVING
    assert planner_run.share() == FULL_SHARE


def test_a_slow_zone_is_evacuated_only_if_it_is_idle_and_another_zone_is_healthy():
    busy = {z: ZoneLoad(20.0, 32.0) for z in ZONES}
    assert PlannerRun(loads=busy).run(5 * S, a=Verdict.SLOW).stage() is ZoneStage.SERVING
    assert PlannerRun().run(5 * S, **dict.fromkeys(ZONES, Verdict.SLOW)).stage() is ZoneStage.SERVING
    assert PlannerRun().run(S, a=Verdict.SLOW).stage() is ZoneStage.LEAVING


@pytest.mark.parametrize(
    "verdict", [Verdict.PATH_CUT, Verdict.DEGRADED, Verdict.RELEASE, Verdict.INSUFFICIENT_DATA]
)
def test_verdicts_other_than_lost_or_slow_evacuate_nothing(verdict):
    assert PlannerRun().run(20 * S, a=verdict).stage() is ZoneStage.SERVING


def test_the_time_out_doubles_with_each_failed_return():
    planner_run, times_out = PlannerRun(), []
    for _ in range(5):
        planner_run.run(S, a=Verdict.LOST)
        began_at = planner_run.now
        while planner_run.stage() is not ZoneStage.RETURNING:
            planner_run.run(100_000, a=Verdict.LOST)
        times_out.append(planner_run.now - began_at)
        planner_run.run(3 * S)
        assert planner_run.share() > 0
    assert all(b > 1.4 * a for a, b in itertools.pairwise(times_out)), times_out


def test_a_partial_failure_pauses_a_return_and_the_share_does_not_jump_afterwards():
    planner_run = PlannerRun().run(S, a=Verdict.LOST).run(8 * S, a=Verdict.INSUFFICIENT_DATA)
    while planner_run.share() < 400:
        planner_run.run(100_000)
    halted = planner_run.share()
    planner_run.run(10 * S, a=Verdict.DEGRADED)
    assert planner_run.share() == halted
    assert planner_run.stage() is ZoneStage.RETURNING
    planner_run.run(500_000)
    assert planner_run.share() <= halted + FULL_SHARE / 16 + 1


def test_the_last_serving_zone_is_never_evacuated():
    planner_run = PlannerRun().run(S, a=Verdict.LOST).run(2 * S, a=Verdict.LOST, b=Verdict.LOST)
    assert [planner_run.share(z) for z in ZONES] == [0, 0, FULL_SHARE]
    planner_run.run(5 * S, a=Verdict.LOST, b=Verdict.LOST, c=Verdict.LOST)
    assert planner_run.share("c") == FULL_SHARE
    assert ("zone_kept", "c") in planner_run.events
    both = PlannerRun(zones=("a", "b")).run(3 * S, a=Verdict.LOST, b=Verdict.LOST)
    assert [both.share(z) for z in "ab"] == [FULL_SHARE, FULL_SHARE]


def test_an_operators_evacuation_is_partial_if_the_others_lack_capacity():
    heavy = {"a": ZoneLoad(20.0, 32.0), "b": ZoneLoad(22.0, 32.0), "c": ZoneLoad(24.0, 32.0)}
    planner_run = PlannerRun(loads=heavy)
    planner_run.planner.leave("a", planner_run.now, planner_run.now + 30 * S, "by hand: a mistake")
    planner_run.run(S)
    moved = (1 - planner_run.share() / FULL_SHARE) * 20
    spare = 2 * 0.9 * 32 - 22 - 24
    assert 0 < planner_run.share() < FULL_SHARE
    assert moved <= spare
    full = PlannerRun(loads={z: ZoneLoad(30.0, 32.0) for z in ZONES})
    full.planner.leave("a", full.now, full.now + 30 * S, "by hand: a mistake")
    full.run(S)
    assert full.share() == FULL_SHARE
    assert ("zone_kept", "a") in full.events


def test_an_operator_override_expires():
    planner_run = PlannerRun()
    planner_run.planner.leave("a", planner_run.now, planner_run.now + 20 * S, "practice")
    planner_run.run(19 * S)
    assert planner_run.stage() is ZoneStage.OUT
    assert planner_run.share() == 0
    planner_run.run(2 * S)
    assert planner_run.stage() is ZoneStage.RETURNING
    held = PlannerRun()
    held.planner.hold("a", held.now, held.now + 10 * S, "leave it to me")
    held.run(9 * S, a=Verdict.LOST)
    assert held.share() == FULL_SHARE
    held.run(3 * S, a=Verdict.LOST)
    assert held.share() == 0


def test_a_successor_resumes_without_a_jump_of_shares():
    planner_run = PlannerRun().run(S, a=Verdict.LOST).run(8 * S, a=Verdict.INSUFFICIENT_DATA)
    while planner_run.share() < 500:
        planner_run.run(100_000)
    statuses_before = planner_run.planner.statuses(planner_run.now)
    successor = PlannerRun()
    successor.now = planner_run.now + 700 * S  # the clocks of two brokers are unrelated
    successor.planner.resume(planner_run.planner.number, statuses_before, False, successor.now)
    assert successor.stage() is ZoneStage.RETURNING
    assert successor.share() == planner_run.share()
    assert successor.planner.statuses(successor.now) == statuses_before
    assert successor.planner.number == planner_run.planner.number
    successor.run(500_000)
    assert planner_run.share() <= successor.share() <= planner_run.share() + FULL_SHARE / 16 + 1


def test_an_override_of_a_later_version_is_passed_on_and_expires():
    status = ZoneStatus("a", "serving", FULL_SHARE, 5 * S, 1, "canary", 2 * S, "by hand: a trial")
    planner_run = PlannerRun()
    planner_run.planner.resume(7, [status], False, planner_run.now)
    assert planner_run.planner.statuses(planner_run.now) == [
        status,
        ZoneStatus("b", "serving", FULL_SHARE, 0, 0, "", 0, ""),
        ZoneStatus("c", "serving", FULL_SHARE, 0, 0, "", 0, ""),
    ]
    planner_run.run(S)
    assert planner_run.planner.number == 7
    assert planner_run.planner.statuses(planner_run.now)[0] == ZoneStatus(
        "a", "serving", FULL_SHARE, 6 * S, 1, "canary", S, "by hand: a trial"
    )
    planner_run.run(S)
    assert planner_run.events == [("zone_hand_over", "a")]
    assert planner_run.planner.number == 8
    assert planner_run.planner.statuses(planner_run.now)[0].operator_override == ""


@pytest.mark.parametrize(
    ("override", "reason"), [("canary", "by hand: a trial"), ("", "it failed again: a test finding")]
)
def test_an_override_of_a_later_version_does_not_hold_a_zone_in_its_stage(override, reason):
    status = ZoneStatus("a", "returning", 500, 5 * S, 0, override, 60 * S, "by hand: a trial")
    planner_run = PlannerRun()
    planner_run.planner.resume(7, [status], False, planner_run.now)
    planner_run.run(S, a=Verdict.LOST)
    out = planner_run.planner.statuses(planner_run.now)[0]
    assert (out.stage, out.share, out.flaps, out.operator_override) == ("out", 0, 1, override)
    assert out.reason == reason


def test_a_practice_ends_if_the_others_lack_capacity_or_another_zone_fails():
    heavy = {z: ZoneLoad(24.0, 32.0) for z in ZONES}
    planner_run = PlannerRun(loads=heavy)
    planner_run.planner.leave("a", planner_run.now, planner_run.now + 30 * S, "practice", practice=True)
    planner_run.run(S)
    assert planner_run.share() == FULL_SHARE
    assert ("zone_practice_over", "a") in planner_run.events
    planner_run = PlannerRun()
    planner_run.planner.leave("a", planner_run.now, planner_run.now + 60 * S, "practice", practice=True)
    planner_run.run(5 * S)
    assert planner_run.stage() is ZoneStage.OUT
    assert planner_run.share() == 0
    planner_run.run(S, b=Verdict.LOST)
    assert planner_run.stage() is ZoneStage.RETURNING
    assert planner_run.share() > 0
    assert ("zone_practice_over", "a") in planner_run.events
    assert planner_run.planner.zones["a"].failed_returns == 0


def test_shedding_requests_over_quota_takes_precedence_over_a_partial_evacuation():
    loads = {"a": ZoneLoad(20.0, 32.0), "b": ZoneLoad(20.0, 32.0), "c": ZoneLoad(20.0, 32.0)}
    planner_run = PlannerRun(loads=loads)
    planner_run.planner.leave("a", planner_run.now, planner_run.now + 30 * S, "works")
    # 54 cores in use of 57.6 usable: the zone can be evacuated fully
    planner_run.planner.step(planner_run.now, {}, loads, over_quota=0.1)
    assert planner_run.share() == 0
    assert planner_run.planner.sheds_load
    planner_run = PlannerRun(loads=loads)
    planner_run.planner.leave("a", planner_run.now, planner_run.now + 30 * S, "works")
    planner_run.planner.step(planner_run.now, {}, loads)
    assert 0 < planner_run.share() < FULL_SHARE
    assert planner_run.planner.sheds_load
    planner_run.run(60 * S)
    assert planner_run.stage() is ZoneStage.SERVING
    assert not planner_run.planner.sheds_load


def test_a_partly_evacuated_zone_that_is_then_lost_is_evacuated_fully():
    heavy = {"a": ZoneLoad(20.0, 32.0), "b": ZoneLoad(22.0, 32.0), "c": ZoneLoad(24.0, 32.0)}
    planner_run = PlannerRun(loads=heavy)
    planner_run.planner.leave("a", planner_run.now, planner_run.now + 30 * S, "works")
    planner_run.run(S)
    assert 0 < planner_run.share() < FULL_SHARE
    planner_run.run(S, a=Verdict.LOST)
    assert planner_run.share() == 0
    assert ("zone_left_whole", "a") in planner_run.events


def test_the_usable_fraction_depends_on_the_stage_and_the_warm_up():
    planner_run = PlannerRun().run(S, a=Verdict.LOST)
    zone = planner_run.planner.zones["a"]
    assert usable_fraction(zone, planner_run.now, PACE) == 0
    assert usable_fraction(planner_run.planner.zones["b"], planner_run.now, PACE) == 1
    planner_run.run(8 * S, a=Verdict.INSUFFICIENT_DATA)
    assert zone.stage is ZoneStage.RETURNING
    assert PACE.cold_capacity <= usable_fraction(zone, planner_run.now, PACE) < 1


def test_commands_between_two_steps_make_a_new_plan():
    planner_run = PlannerRun().run(S, a=Verdict.LOST)
    number = planner_run.planner.number
    planner_run.planner.bring_back("a", planner_run.now, "by hand")
    assert planner_run.planner.step(planner_run.now, {}, IDLE)
    assert planner_run.planner.number == number + 1
    assert not planner_run.planner.step(planner_run.now, {}, IDLE)
    planner_run.planner.adopt("b", planner_run.now, "3 of 5 brokers left it without a planner")
    assert planner_run.planner.step(planner_run.now, {}, IDLE)
    assert planner_run.share("b") == 0


def test_the_recovery_ramp_stays_below_the_capacity_of_cold_engines():
    for age in range(0, round(1.25 * PACE.warm_up_time), 100_000):
        capacity = min(1.0, PACE.cold_capacity + (1 - PACE.cold_capacity) * age / PACE.warm_up_time)
        assert 0 < recovery_share(age, PACE) / FULL_SHARE <= PACE.safety_margin * capacity
    assert recovery_share(round(1.25 * PACE.warm_up_time), PACE) == FULL_SHARE


def test_the_recovery_ramp_is_scaled_by_the_utilization():
    for utilization in (0.4, 0.55, 0.8, 1.0):
        for age in range(0, PACE.warm_up_time, 100_000):
            capacity = PACE.cold_capacity + (1 - PACE.cold_capacity) * age / PACE.warm_up_time
            assert (
                recovery_share(age, PACE, utilization) / FULL_SHARE * utilization
                <= PACE.safety_margin * capacity + 1e-9
            )
    assert recovery_share(0, PACE, 0.4) > recovery_share(0, PACE, 1.0) > 0
