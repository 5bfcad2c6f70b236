"""Zones without sockets: evidence, judgement, the plan's machines, who follows what."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cypressledge.decisions.contract import Outcome
from cypressledge.fleet.messages import EngineObservation, EngineObservations, FailoverPlan, ZoneStatus
from cypressledge.fleet.zones import health
from cypressledge.fleet.zones.failover_plan import (
    FULL_SHARE,
    FailoverPace,
    ZoneLoad,
    ZoneStage,
    is_engine_open,
)
from cypressledge.fleet.zones.failover_planner import FailoverPlanner
from cypressledge.fleet.zones.health import BrokerObservations, Verdict, ZoneFinding, assess
from cypressledge.fleet.zones.load_shedding import (
    COUNT_SECONDS,
    TenantArrivals,
    is_shed,
    over_quota,
    over_quota_fraction,
    shed_parts,
)
from cypressledge.fleet.zones.observations import AttemptObservations
from cypressledge.fleet.zones.plan_follower import PlanFollower
from cypressledge.fleet.zones.recovery_ramp import recovery_share, usable_fraction

S = 1_000_000
ZONES = ("a", "b", "c")
ENGINES = {10 * i + n: z for i, z in enumerate(ZONES) for n in range(4)}
OF = {z: [e for e, of in ENGINES.items() if of == z] for z in ZONES}
PACE = FailoverPace()
IDLE = {z: ZoneLoad(4.0, 32.0) for z in ZONES}


def sight(bad=(), good=(), late=()):
    return EngineObservations(
        [EngineObservation(e, 0, 0, 0, 0, 3, 0, 3, 700) for e in bad]
        + [EngineObservation(e, 3, 0, 0, 0, 0, 0, 0, 100) for e in good]
        + [EngineObservation(e, 0, 3, 0, 0, 0, 0, 0, 100) for e in late]
    )


def told(*sights, age=0):
    return [BrokerObservations(f"n{i}", ZONES[i % 3], age, s) for i, s in enumerate(sights)]


def verdicts(*args, **more):
    return {z: f.verdict for z, f in assess(*args, **more).zones.items()}


def test_evidence_counts_each_quiet_attempt_once_and_forgets_in_time():
    e = AttemptObservations()
    for now in range(0, 2 * S, S // 4):
        e.record_open(now, [("x", 1, now, 100_000), ("y", 2, 10_000, 100_000)])
    assert e.snapshot(2 * S - 1) == [EngineObservation(1, 0, 0, 0, 0, 1, 0, 1)]
    e.record_end(2 * S, 1, "x", Outcome.CANCELLED, 2 * S, 100_000)
    e.record_end(2 * S, 2, "y", Outcome.OK, 100_000, 100_000, 70_000)
    e.record_end(2 * S, 2, "z", Outcome.OK, 3 * S, 100_000)
    e.record_end(2 * S, 3, "w", Outcome.CONNECT_FAILED, 1, 1)
    e.record_end(2 * S, 3, "v", Outcome.REJECTED, 1, 1)
    seen = {s.engine: s for s in e.snapshot(2 * S)}
    assert seen[2] == EngineObservation(2, 1, 1, 0, 0, 0, 70_000, 0, 0)
    assert seen[3] == EngineObservation(3, 0, 0, 1, 0, 0, 0, 1)
    assert e.snapshot(9 * S) == []


def test_a_lost_zone_is_told_from_a_slow_one_and_one_failing_in_part():
    rest = OF["b"] + OF["c"]
    assert verdicts(told(*[sight(OF["a"], rest)] * 3), ENGINES) == {
        "a": Verdict.LOST,
        "b": Verdict.HEALTHY,
        "c": Verdict.HEALTHY,
    }
    assert verdicts(told(*[sight((), rest, OF["a"])] * 3), ENGINES)["a"] is Verdict.SLOW
    assert verdicts(told(*[sight(OF["a"][:2], rest + OF["a"][2:])] * 3), ENGINES)["a"] is Verdict.DEGRADED
    assert verdicts(told(*[sight(OF["a"][:1], rest + OF["a"][1:])] * 3), ENGINES)["a"] is Verdict.HEALTHY


def test_a_cut_path_is_not_a_lost_zone():
    # Brokers in zone b alone can't reach zone a.
    views = told(
        sight((), OF["a"]),
        sight(OF["a"], OF["b"]),
        sight((), OF["a"] + OF["c"]),
        sight((), OF["a"]),
        sight(OF["a"], OF["b"]),
        sight((), OF["a"]),
    )
    found = assess(views, ENGINES).zones["a"]
    assert found.verdict is Verdict.PATH_CUT
    assert "brokers in b alone" in found.reason


def test_a_broker_that_fails_everywhere_is_not_listened_to():
    views = told(sight(list(ENGINES)), *[sight((), list(ENGINES))] * 3)
    found = assess(views, ENGINES)
    assert set(found.isolated) == {"n0"}
    assert all(f.verdict is Verdict.HEALTHY for f in found.zones.values())


def test_a_release_is_none_of_the_zones_fault():
    views = told(*[sight(OF["a"], OF["b"])] * 3)
    assert verdicts(views, ENGINES, changing=frozenset(OF["a"]))["a"] is Verdict.RELEASE


def test_few_and_old_reports_say_nothing():
    assert set(verdicts([], ENGINES).values()) == {Verdict.INSUFFICIENT_DATA}
    assert verdicts(told(sight(OF["a"]), age=4 * S), ENGINES)["a"] is Verdict.INSUFFICIENT_DATA
    assert (
        verdicts(told(EngineObservations([EngineObservation(0, 0, 0, 0, 0, 1)])), ENGINES)["a"]
        is Verdict.INSUFFICIENT_DATA
    )


class Play:
    """A planner, its clock, and what it said."""

    def __init__(self, zones=ZONES, pace=PACE, loads=None):
        self.now, self.said = 100 * S, []
        self.loads = loads or IDLE
        self.planner = FailoverPlanner(list(zones), pace, self.now, lambda *told: self.said.append(told[:2]))

    def run(self, span, **findings):
        for _ in range(0, span, 100_000):
            self.now += 100_000
            self.planner.step(
                self.now,
                {
                    z: ZoneFinding(findings.get(z, Verdict.HEALTHY), 1.0, "as drawn")
                    for z in self.planner.zones
                },
                self.loads,
            )
        return self

    def stage(self, zone="a"):
        return self.planner.zones[zone].stage

    def share(self, zone="a"):
        return self.planner.zones[zone].share


def test_a_lost_zone_is_left_within_the_second_and_returned_to_at_its_pace():
    play = Play().run(600_000, a=Verdict.LOST)
    assert play.stage() is ZoneStage.LEAVING
    assert play.share() == 0
    play.run(3 * S, a=Verdict.LOST)
    assert play.stage() is ZoneStage.OUT
    play.run(4 * S, a=Verdict.INSUFFICIENT_DATA)
    assert play.stage() is ZoneStage.RETURNING
    began, shares = play.planner.zones["a"].since, []
    while play.stage() is ZoneStage.RETURNING:
        play.run(100_000)
        shares.append((play.now - began, play.share()))
        can = PACE.cold_capacity + (1 - PACE.cold_capacity) * (play.now - began) / PACE.warm_up_time
        work = (
            play.share() / FULL_SHARE * play.planner.use
        )  # of its cores, while the fleet's work stays as it is
        assert play.now - began >= 1.25 * PACE.warm_up_time or work <= PACE.safety_margin * can + 1e-9
    assert shares[0][1] > 0
    assert shares[-1][1] == FULL_SHARE
    assert shares[-1][0] <= 1.5 * PACE.warm_up_time
    assert all(b - a <= FULL_SHARE / 16 + 1 for (_, a), (_, b) in itertools.pairwise(shares))
    assert [e for e, z in play.said] == [
        "zone_suspect",
        "zone_leaving",
        "zone_out",
        "zone_returning",
        "zone_serving",
    ]


def test_a_hiccup_is_not_a_loss():
    play = Play().run(300_000, a=Verdict.LOST).run(S)
    assert play.stage() is ZoneStage.SERVING
    assert play.share() == FULL_SHARE


def test_a_busy_zone_that_is_late_is_not_left_and_one_that_is_slow_for_no_work_is():
    busy = {z: ZoneLoad(20.0, 32.0) for z in ZONES}
    assert Play(loads=busy).run(5 * S, a=Verdict.SLOW).stage() is ZoneStage.SERVING
    assert Play().run(5 * S, **dict.fromkeys(ZONES, Verdict.SLOW)).stage() is ZoneStage.SERVING
    assert Play().run(S, a=Verdict.SLOW).stage() is ZoneStage.LEAVING


def test_what_is_called_off_after_a_silence_counts_as_silent():
    e = AttemptObservations()
    e.record_end(0, 1, "x", Outcome.CANCELLED, 350_000, 100_000, silent=True)
    e.record_end(0, 1, "y", Outcome.CANCELLED, 350_000, 100_000, silent=False)
    e.record_end(0, 1, "z", Outcome.CANCELLED, 250_000, 100_000, silent=True)
    assert e.snapshot(0) == [EngineObservation(1, 0, 0, 0, 0, 1, 0, 1)]


@pytest.mark.parametrize(
    "verdict", [Verdict.PATH_CUT, Verdict.DEGRADED, Verdict.RELEASE, Verdict.INSUFFICIENT_DATA]
)
def test_what_is_not_the_zones_fault_moves_nothing(verdict):
    assert Play().run(20 * S, a=verdict).stage() is ZoneStage.SERVING


def test_a_zone_that_falls_again_stays_out_twice_as_long_each_time():
    play, outs = Play(), []
    for _ in range(5):
        play.run(S, a=Verdict.LOST)
        began = play.now
        while play.stage() is not ZoneStage.RETURNING:
            play.run(100_000, a=Verdict.LOST)
        outs.append(play.now - began)
        play.run(3 * S)
        assert play.share() > 0
    assert all(b > 1.4 * a for a, b in itertools.pairwise(outs)), outs


def test_strain_halts_a_return_and_it_does_not_jump_after():
    play = Play().run(S, a=Verdict.LOST).run(8 * S, a=Verdict.INSUFFICIENT_DATA)
    while play.share() < 400:
        play.run(100_000)
    halted = play.share()
    play.run(10 * S, a=Verdict.DEGRADED)
    assert play.share() == halted
    assert play.stage() is ZoneStage.RETURNING
    play.run(500_000)
    assert play.share() <= halted + FULL_SHARE / 16 + 1


def test_the_last_zone_is_kept():
    play = Play().run(S, a=Verdict.LOST).run(2 * S, a=Verdict.LOST, b=Verdict.LOST)
    assert [play.share(z) for z in ZONES] == [0, 0, FULL_SHARE]
    play.run(5 * S, a=Verdict.LOST, b=Verdict.LOST, c=Verdict.LOST)
    assert play.share("c") == FULL_SHARE
    assert ("zone_kept", "c") in play.said
    both = Play(zones=("a", "b")).run(3 * S, a=Verdict.LOST, b=Verdict.LOST)
    assert [both.share(z) for z in "ab"] == [FULL_SHARE, FULL_SHARE]


def test_a_wrong_leave_by_hand_is_done_in_part_when_the_others_cannot_bear_it():
    heavy = {"a": ZoneLoad(20.0, 32.0), "b": ZoneLoad(22.0, 32.0), "c": ZoneLoad(24.0, 32.0)}
    play = Play(loads=heavy)
    play.planner.leave("a", play.now, play.now + 30 * S, "by hand: a mistake")
    play.run(S)
    moved = (1 - play.share() / FULL_SHARE) * 20
    spare = 2 * 0.9 * 32 - 22 - 24
    assert 0 < play.share() < FULL_SHARE
    assert moved <= spare
    full = Play(loads={z: ZoneLoad(30.0, 32.0) for z in ZONES})
    full.planner.leave("a", full.now, full.now + 30 * S, "by hand: a mistake")
    full.run(S)
    assert full.share() == FULL_SHARE
    assert ("zone_kept", "a") in full.said


def test_what_is_done_by_hand_ends_by_itself():
    play = Play()
    play.planner.leave("a", play.now, play.now + 20 * S, "practice")
    play.run(19 * S)
    assert play.stage() is ZoneStage.OUT
    assert play.share() == 0
    play.run(2 * S)
    assert play.stage() is ZoneStage.RETURNING
    held = Play()
    held.planner.hold("a", held.now, held.now + 10 * S, "leave it to me")
    held.run(9 * S, a=Verdict.LOST)
    assert held.share() == FULL_SHARE
    held.run(3 * S, a=Verdict.LOST)
    assert held.share() == 0


def test_a_successor_goes_on_without_a_jump():
    play = Play().run(S, a=Verdict.LOST).run(8 * S, a=Verdict.INSUFFICIENT_DATA)
    while play.share() < 500:
        play.run(100_000)
    stood = play.planner.statuses(play.now)
    heir = Play()
    heir.now = play.now + 700 * S  # its clock has nothing to do with the other's
    heir.planner.resume(play.planner.number, stood, False, heir.now)
    assert heir.stage() is ZoneStage.RETURNING
    assert heir.share() == play.share()
    assert heir.planner.statuses(heir.now) == stood
    assert heir.planner.number == play.planner.number
    heir.run(500_000)
    assert play.share() <= heir.share() <= play.share() + FULL_SHARE / 16 + 1


def stands(share, name="a"):
    return ZoneStatus(name, "out", share, 0, 0, "", 0, "")


def test_an_older_plan_is_rejected():
    f = PlanFollower("n1")
    assert f.accept(FailoverPlan(5, 1, 3, [stands(0)]), 0)
    assert f.share("a") == 0
    assert f.share("b") == FULL_SHARE
    assert not f.accept(FailoverPlan(4, 9, 9, [stands(FULL_SHARE)]), 1)
    assert not f.accept(FailoverPlan(5, 1, 2, [stands(FULL_SHARE)]), 1)
    assert not f.accept(FailoverPlan(5, 2, 9, [stands(FULL_SHARE)]), 1)
    assert f.accept(FailoverPlan(6, 2, 1, [stands(500)]), 1)
    assert f.share("a") == 500
    assert f.rejected_plans == 3


def test_alone_a_broker_leaves_on_strong_evidence_and_does_not_return():
    f = PlanFollower("n1")
    lost = {"a": ZoneFinding(Verdict.LOST, 1.0, ""), "b": ZoneFinding(Verdict.HEALTHY, 0.0, "")}
    all_lost = {z: ZoneFinding(Verdict.LOST, 1.0, "") for z in "ab"}
    assert not f.observe(S, lost)
    assert f.share("a") == FULL_SHARE
    assert not f.observe(4 * S, all_lost)
    assert f.share("a") == FULL_SHARE
    assert f.observe(4 * S, lost)
    assert f.share("a") == 0
    f.observe(5 * S, {z: ZoneFinding(Verdict.HEALTHY, 0.0, "") for z in "ab"})
    assert f.share("a") == 0
    f.accept(FailoverPlan(1, 1, 1, [stands(FULL_SHARE)]), 6 * S)
    assert f.share("a") == 0  # the planner has not heard of it yet
    f.accept(FailoverPlan(1, 1, 2, [stands(FULL_SHARE)]), 7 * S)
    assert f.share("a") == 0
    f.accept(FailoverPlan(1, 1, 3, [stands(125)]), 7 * S + 1)
    assert f.share("a") == 125
    assert not f.locally_evacuated


def test_who_alone_left_a_zone_that_the_planner_keeps_is_back_after_a_while():
    f = PlanFollower("n1")
    f.observe(4 * S, {"a": ZoneFinding(Verdict.LOST, 1.0, ""), "b": ZoneFinding(Verdict.HEALTHY, 0.0, "")})
    for number in range(5):
        f.accept(FailoverPlan(1, 1, number + 1, [stands(FULL_SHARE)]), (5 + number) * S)
        assert f.share("a") == (0 if number < 2 else FULL_SHARE)


@given(st.integers(1, FULL_SHARE - 1))
def test_the_fleets_sum_follows_the_share_and_grows_only(share):
    brokers = [f"n{i}" for i in range(200)]
    for engine in (3, 77):
        opened = {b for b in brokers if is_engine_open(engine, b, share)}
        assert abs(len(opened) / 200 - share / FULL_SHARE) < 0.13
        assert opened <= {b for b in brokers if is_engine_open(engine, b, share + 1)}
        assert not any(is_engine_open(engine, b, 0) for b in brokers)
        assert all(is_engine_open(engine, b, FULL_SHARE) for b in brokers)


def test_the_ramp_keeps_under_what_cold_engines_can_do():
    for age in range(0, round(1.25 * PACE.warm_up_time), 100_000):
        can = min(1.0, PACE.cold_capacity + (1 - PACE.cold_capacity) * age / PACE.warm_up_time)
        assert 0 < recovery_share(age, PACE) / FULL_SHARE <= PACE.safety_margin * can
    assert recovery_share(round(1.25 * PACE.warm_up_time), PACE) == FULL_SHARE


def test_what_was_answered_before_the_loss_hides_it_from_nobody():
    # Two seconds of good answers stand in the windows; the rows of failures since then tell.
    seen = EngineObservations(
        [EngineObservation(e, 20, 0, 0, 0, 2, 0, 2, 600) for e in OF["a"]]
        + [EngineObservation(e, 20, 0, 0, 0, 0, 0, 0, 50) for e in OF["b"] + OF["c"]]
    )
    assert verdicts(told(seen, seen, seen), ENGINES)["a"] is Verdict.LOST


def test_a_broker_that_has_just_had_answers_vouches_for_an_engine_for_a_while():
    bad, good = sight(OF["a"], OF["b"]), sight((), OF["a"] + OF["b"])
    views = [BrokerObservations("n0", "a", 0, bad), BrokerObservations("n3", "a", 0, bad)]
    assert verdicts([*views, BrokerObservations("n1", "a", S // 2, good)], ENGINES)["a"] is Verdict.HEALTHY
    assert verdicts([*views, BrokerObservations("n1", "a", S, good)], ENGINES)["a"] is Verdict.LOST


def test_one_engine_tried_of_four_says_nothing_of_its_zone():
    assert verdicts(told(*[sight(OF["a"][:1])] * 3), ENGINES)["a"] is Verdict.INSUFFICIENT_DATA


def test_a_practice_is_given_up_where_the_others_cannot_bear_it_or_another_fails():
    heavy = {z: ZoneLoad(24.0, 32.0) for z in ZONES}
    play = Play(loads=heavy)
    play.planner.leave("a", play.now, play.now + 30 * S, "practice", practice=True)
    play.run(S)
    assert play.share() == FULL_SHARE
    assert ("zone_practice_over", "a") in play.said
    play = Play()
    play.planner.leave("a", play.now, play.now + 60 * S, "practice", practice=True)
    play.run(5 * S)
    assert play.stage() is ZoneStage.OUT
    assert play.share() == 0
    play.run(S, b=Verdict.LOST)
    assert play.stage() is ZoneStage.RETURNING
    assert play.share() > 0
    assert ("zone_practice_over", "a") in play.said
    assert play.planner.zones["a"].failed_returns == 0


def test_what_is_over_its_share_goes_before_any_of_a_zone_stays():
    loads = {"a": ZoneLoad(20.0, 32.0), "b": ZoneLoad(20.0, 32.0), "c": ZoneLoad(20.0, 32.0)}
    play = Play(loads=loads)
    play.planner.leave("a", play.now, play.now + 30 * S, "works")
    play.planner.step(play.now, {}, loads, over_quota=0.1)  # 54 of 57.6 cores: all of it can go
    assert play.share() == 0
    assert play.planner.sheds_load
    play = Play(loads=loads)
    play.planner.leave("a", play.now, play.now + 30 * S, "works")
    play.planner.step(play.now, {}, loads)
    assert 0 < play.share() < FULL_SHARE
    assert play.planner.sheds_load
    play.run(60 * S)
    assert play.stage() is ZoneStage.SERVING
    assert not play.planner.sheds_load


def test_a_zone_left_in_part_that_is_lost_then_is_left_whole():
    heavy = {"a": ZoneLoad(20.0, 32.0), "b": ZoneLoad(22.0, 32.0), "c": ZoneLoad(24.0, 32.0)}
    play = Play(loads=heavy)
    play.planner.leave("a", play.now, play.now + 30 * S, "works")
    play.run(S)
    assert 0 < play.share() < FULL_SHARE
    play.run(S, a=Verdict.LOST)
    assert play.share() == 0
    assert ("zone_left_whole", "a") in play.said


def test_shares_of_tenants_are_of_the_whole_fleets_requests():
    arrivals = TenantArrivals()
    for n in range(200):
        arrivals.add(n * S // 100, "big")
        if n % 10 == 0:
            arrivals.add(n * S // 100, "small")
    counts = arrivals.counts(2 * S - 1)
    assert counts == {"big": 200, "small": 20}
    over = over_quota(counts, {"big": 60.0, "small": 50.0})
    assert over == {"big": 400}  # 100 a second, 60 are its share
    assert over_quota_fraction(counts, over) == pytest.approx(80 / 220)
    assert over_quota(counts, {}) == {}
    assert over_quota_fraction({}, {}) == 0.0
    shed = sum(is_shed(f"q{i}", 400) for i in range(2_000))
    assert 700 < shed < 900
    assert not any(is_shed(f"q{i}", 0) for i in range(200))
    assert COUNT_SECONDS == 2.0
    assert arrivals.counts(9 * S) == {}


def test_what_is_over_shares_is_refused_first_and_all_alike_beyond_that():
    counts, over = {"big": 200, "small": 100}, {"big": 300}  # 60 of 300 are over
    assert shed_parts(counts, over, 0.01) == {} == shed_parts(counts, over, 0.0)
    assert shed_parts(counts, over, 0.1) == {"big": 150}
    assert shed_parts(counts, over, 0.2) == {"big": 300}
    parts = shed_parts(counts, over, 0.6)
    assert parts == {"big": 650, "small": 500}
    gone = sum(counts[t] * part for t, part in parts.items()) / 1000
    assert gone == pytest.approx(0.6 * 300)
    assert shed_parts(counts, over, 1.0) == {"big": 1000, "small": 1000}


def test_a_return_reckons_with_the_work_there_is():
    for use in (0.4, 0.55, 0.8, 1.0):
        for age in range(0, PACE.warm_up_time, 100_000):
            can = PACE.cold_capacity + (1 - PACE.cold_capacity) * age / PACE.warm_up_time
            assert recovery_share(age, PACE, use) / FULL_SHARE * use <= PACE.safety_margin * can + 1e-9
    assert recovery_share(0, PACE, 0.4) > recovery_share(0, PACE, 1.0) > 0


def test_able_is_what_work_can_be_given_to():
    play = Play().run(S, a=Verdict.LOST)
    zone = play.planner.zones["a"]
    assert usable_fraction(zone, play.now, PACE) == 0
    assert usable_fraction(play.planner.zones["b"], play.now, PACE) == 1
    play.run(8 * S, a=Verdict.INSUFFICIENT_DATA)
    assert zone.stage is ZoneStage.RETURNING
    assert PACE.cold_capacity <= usable_fraction(zone, play.now, PACE) < 1


def test_what_is_done_between_two_steps_makes_a_new_plan():
    play = Play().run(S, a=Verdict.LOST)
    number = play.planner.number
    play.planner.bring_back("a", play.now, "by hand")
    assert play.planner.step(play.now, {}, IDLE)
    assert play.planner.number == number + 1
    assert not play.planner.step(play.now, {}, IDLE)
    play.planner.adopt("b", play.now, "3 of 5 brokers left it without a planner")
    assert play.planner.step(play.now, {}, IDLE)
    assert play.share("b") == 0


def test_a_zones_share_is_never_above_its_regions():
    f = PlanFollower("n1", {"a": "north", "b": "north"})
    f.accept(FailoverPlan(1, 1, 1, [stands(FULL_SHARE), stands(250, "b")], [stands(500, "north")]), 0)
    assert [f.share(z) for z in "abc"] == [500, 250, FULL_SHARE]


def test_without_the_guard_an_older_plan_is_taken():
    class Careless(PlanFollower):
        def is_older(self, plan, known):
            return False

    f = Careless("n1")
    f.accept(FailoverPlan(5, 1, 3, [stands(0)]), 0)
    assert f.accept(FailoverPlan(4, 9, 9, [stands(FULL_SHARE)]), 1)
    assert f.share("a") == FULL_SHARE


def test_each_guard_of_the_judgement_is_needed(monkeypatch):
    every = list(ENGINES)
    blind = [
        BrokerObservations("n0", "a", 0, sight(every)),
        *[BrokerObservations(f"n{i}", "a", S, sight((), every)) for i in (1, 2, 3)],
    ]
    cut = told(sight((), OF["a"]), sight(OF["a"]), sight((), OF["a"]))
    one = told(*[sight(OF["a"][:1])] * 3)
    release = told(*[sight(OF["a"], OF["b"])] * 3)

    def verdict(views, changing=frozenset()):
        return assess(views, ENGINES, changing).zones["a"].verdict

    assert Verdict.LOST not in (
        verdict(blind),
        verdict(cut),
        verdict(one),
        verdict(release, frozenset(OF["a"])),
    )
    assert verdict(release) is Verdict.LOST
    with monkeypatch.context() as patch:
        patch.setattr(health, "isolated_brokers", lambda views, engines: (yield) or {})
        assert verdict(blind) is Verdict.LOST
    with monkeypatch.context() as patch:
        patch.setattr(health, "vouches_for", lambda view, seen: False)
        assert verdict(cut) is Verdict.LOST
    with monkeypatch.context() as patch:
        patch.setattr(health, "MIN_ENGINES_TRIED", 0.0)
        assert verdict(one) is Verdict.LOST
