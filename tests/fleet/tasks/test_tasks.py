"""The processor budget, the priority queue, the fleet's summary and the fence of tokens."""

from cypressledge.fleet.messages import (
    BrokerMetrics,
)
from cypressledge.fleet.tasks.cpu_budget import CpuBudget, PriorityQueue
from cypressledge.fleet.tasks.fleet_summary import Fence, SummaryRound


def test_budget_holds_tasks_to_their_share():
    budget, now = CpuBudget(share=0.02), 0
    for _ in range(1000):
        now += budget.time_until_next_slice(now)
        budget.spend(now, 300)
        now += 300
    assert budget.spent / now < 0.0201
    assert budget.overruns == 0
    budget.spend(now, 5_000)
    assert budget.overruns == 1
    assert budget.longest_slice == 5_000


def test_lowest_number_goes_first_and_equals_in_order_of_arrival():
    queue = PriorityQueue()
    for priority, act in ((5, "a"), (1, "b"), (5, "c"), (0, "d")):
        queue.put(priority, act)
    assert [queue.take() for _ in range(5)] == ["d", "b", "a", "c", None]


def test_summary_adds_up_and_names_missing_brokers():
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


def test_fence_rejects_lower_tokens_and_the_same_token_of_another_instance():
    fence = Fence()
    assert fence.admits(5, 1)
    assert fence.admits(5, 1)
    assert not fence.admits(4, 1)
    assert not fence.admits(5, 2)
    assert fence.admits(6, 2)
    assert not fence.admits(5, 1)
