"""The plan that a broker follows, the engines that it opens, and local evacuations without a planner."""

from hypothesis import given
from hypothesis import strategies as st

from cypressledge.fleet.messages import FailoverPlan, ZoneStatus
from cypressledge.fleet.zones.failover_plan import (
    FULL_SHARE,
    is_engine_open,
)
from cypressledge.fleet.zones.health import Verdict, ZoneFinding
from cypressledge.fleet.zones.plan_follower import PlanFollower

S = 1_000_000


def status(share, name="a"):
    return ZoneStatus(name, "out", share, 0, 0, "", 0, "")


def test_an_older_plan_is_rejected():
    follower = PlanFollower("n1")
    assert follower.accept(FailoverPlan(5, 1, 3, [status(0)]), 0)
    assert follower.share("a") == 0
    assert follower.share("b") == FULL_SHARE
    assert not follower.accept(FailoverPlan(4, 9, 9, [status(FULL_SHARE)]), 1)
    assert not follower.accept(FailoverPlan(5, 1, 2, [status(FULL_SHARE)]), 1)
    assert not follower.accept(FailoverPlan(5, 2, 9, [status(FULL_SHARE)]), 1)
    assert follower.accept(FailoverPlan(6, 2, 1, [status(500)]), 1)
    assert follower.share("a") == 500
    assert follower.rejected_plans == 3


def test_without_a_planner_a_broker_evacuates_a_lost_zone_and_does_not_return():
    follower = PlanFollower("n1")
    lost = {"a": ZoneFinding(Verdict.LOST, 1.0, ""), "b": ZoneFinding(Verdict.HEALTHY, 0.0, "")}
    all_lost = {z: ZoneFinding(Verdict.LOST, 1.0, "") for z in "ab"}
    assert not follower.evacuate_lost_zones(S, lost)
    assert follower.share("a") == FULL_SHARE
    assert not follower.evacuate_lost_zones(4 * S, all_lost)
    assert follower.share("a") == FULL_SHARE
    assert follower.evacuate_lost_zones(4 * S, lost)
    assert follower.share("a") == 0
    follower.evacuate_lost_zones(5 * S, {z: ZoneFinding(Verdict.HEALTHY, 0.0, "") for z in "ab"})
    assert follower.share("a") == 0
    follower.accept(FailoverPlan(1, 1, 1, [status(FULL_SHARE)]), 6 * S)
    assert follower.share("a") == 0  # the planner has not received the report on the evacuation yet
    follower.accept(FailoverPlan(1, 1, 2, [status(FULL_SHARE)]), 7 * S)
    assert follower.share("a") == 0
    follower.accept(FailoverPlan(1, 1, 3, [status(125)]), 7 * S + 1)
    assert follower.share("a") == 125
    assert not follower.locally_evacuated


def test_a_local_evacuation_that_the_planner_does_not_adopt_ends_after_a_delay():
    follower = PlanFollower("n1")
    follower.evacuate_lost_zones(
        4 * S, {"a": ZoneFinding(Verdict.LOST, 1.0, ""), "b": ZoneFinding(Verdict.HEALTHY, 0.0, "")}
    )
    for number in range(5):
        follower.accept(FailoverPlan(1, 1, number + 1, [status(FULL_SHARE)]), (5 + number) * S)
        assert follower.share("a") == (0 if number < 2 else FULL_SHARE)


@given(st.integers(1, FULL_SHARE - 1))
def test_the_number_of_brokers_open_to_an_engine_follows_the_share_monotonically(share):
    brokers = [f"n{i}" for i in range(200)]
    for engine in (3, 77):
        opened = {b for b in brokers if is_engine_open(engine, b, share)}
        assert abs(len(opened) / 200 - share / FULL_SHARE) < 0.13
        assert opened <= {b for b in brokers if is_engine_open(engine, b, share + 1)}
        assert not any(is_engine_open(engine, b, 0) for b in brokers)
        assert all(is_engine_open(engine, b, FULL_SHARE) for b in brokers)


def test_a_zones_share_is_never_above_its_regions():
    follower = PlanFollower("n1", {"a": "north", "b": "north"})
    follower.accept(FailoverPlan(1, 1, 1, [status(FULL_SHARE), status(250, "b")], [status(500, "north")]), 0)
    assert [follower.share(z) for z in "abc"] == [500, 250, FULL_SHARE]


def test_without_the_check_for_older_plans_an_older_plan_is_accepted():
    class UnguardedFollower(PlanFollower):
        def is_older(self, plan, known):
            return False

    follower = UnguardedFollower("n1")
    follower.accept(FailoverPlan(5, 1, 3, [status(0)]), 0)
    assert follower.accept(FailoverPlan(4, 9, 9, [status(FULL_SHARE)]), 1)
    assert follower.share("a") == FULL_SHARE
