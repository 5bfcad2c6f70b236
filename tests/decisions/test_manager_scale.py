"""Number of engines that each of many brokers connects to; connections add up over a large fleet."""

from tests.decisions.manager_driver import LOOKUP, REPORT, STEP, ManagerDriver, settings


def engines_used(broker_index, seed=1):
    """Return the engines, of 30, that one of 40 brokers sends to in 20 s of light traffic.

    A lookup arrives every 100 ms and is answered 300 ms later.
    """
    config = settings(LOOKUP, REPORT, broker_count=40, broker_index=broker_index)
    driver = ManagerDriver(config, engines=30, seed=seed)
    unanswered = []  # pairs of the step of the answer and the request
    for step in range(1000):
        if step % 5 == 0:
            driver.arrive(step + 1, cost=100_000)
            unanswered.append((step + 15, step + 1))
        while unanswered and unanswered[0][0] <= step:
            driver.end(unanswered.pop(0)[1])
        driver.handle(after=STEP)
    assert len(driver.sends) == 200
    return {s.engine for s in driver.sends}


def test_each_of_many_brokers_uses_only_its_preferred_engines():
    # Each engine used costs a handshake and an open connection. Without load reports, random values in place
    # of the other brokers' load used to spread the attempts over 10 to 12 of the 30 engines.
    used = [engines_used(broker_index=7, seed=seed) for seed in range(1, 6)]
    assert all(len(engines) <= 8 for engines in used)
    assert all(engines == used[0] for engines in used)  # by the broker's order, not at random


def test_all_brokers_together_use_nearly_all_engines():
    # Each broker prefers different engines, so together they use nearly all.
    covered = set().union(*(engines_used(broker_index) for broker_index in range(0, 40, 4)))
    assert len(covered) >= 25
