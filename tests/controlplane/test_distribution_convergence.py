"""Random schedules of publishers and brokers: no broker returns to an older state, and all converge.

Guards against lost, repeated or corrupted updates after resets, partitions, restarts and compaction.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.controlplane.distribution_harnesses import SECOND_US, position_of
from tests.controlplane.distribution_world import FAULTS, DistributionWorld

STEPS = st.lists(
    st.tuples(
        st.sampled_from(FAULTS),
        st.integers(0, 11),  # selects the publisher or broker that has the fault
        st.integers(0, 4),  # number of commits
        st.integers(0, 1),  # increment of the epoch
        st.integers(0, 2),  # the publisher that catches up
        st.integers(0, 3),  # the most changes that it catches up with
        st.integers(0, 4 * SECOND_US),  # µs that pass
    ),
    max_size=25,
)


@given(st.integers(0, 1 << 30), STEPS)
@settings(max_examples=60, derandomize=True, deadline=None)
def test_no_broker_goes_back_and_all_end_equal_to_the_history(seed, steps):
    world = DistributionWorld(seed)
    for kind, number, commits, epoch_step, publisher, max_changes, span in steps:
        world.commit(commits, epoch_step)
        world.catch_up(publisher, max_changes)
        world.fault(kind, number)
        world.run(span)
    world.messages_to_corrupt = 0
    world.commit(1, 1)
    for publisher in range(3):
        world.catch_up(publisher, len(world.log))
    world.run(40 * SECOND_US)
    expected = position_of(world.truth)
    assert [position_of(b.state) for b in world.brokers] == [expected] * 4
    assert all(b.state.snapshot() == world.truth.snapshot() for b in world.brokers)
    held = {
        name: version
        for publisher in world.publishers
        for name, (_, version) in publisher.subscriptions.applied_versions().items()
    }
    assert held == {f"b{i}": expected[1] for i in range(4)}
    assert not any(publisher.throttle.in_flight for publisher in world.publishers)
    assert max(b.stale_ms(world.now) for b in world.brokers) <= 42_000
