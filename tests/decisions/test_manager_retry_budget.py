"""Retry budget over a sliding window."""

from cypressledge.decisions.contract import ClientDisconnected, Outcome, RequestReceived
from tests.decisions.manager_driver import LOOKUP, SECOND, ManagerDriver, settings


def test_retries_stay_within_the_budget_of_the_sliding_window():
    driver = ManagerDriver(
        settings(
            LOOKUP,
            retry_budget_ratio=0.2,
            retry_budget_floor=2,
            retry_budget_window=10 * SECOND,
            max_attempts=1000,
        )
    )
    arrivals, retries = [], []  # times, µs
    for request in range(60):
        driver.arrive(request)
        arrivals.append(driver.now)
        before = len(driver.sends)
        while (
            request in driver.manager.requests and driver.manager.requests[request].engine and before < 1000
        ):
            driver.end(request, Outcome.ERROR)
            if len(driver.sends) == before:
                break
            retries += [driver.now] * (len(driver.sends) - before)
            before = len(driver.sends)
        recent_arrivals = [t for t in arrivals if t > driver.now - 10 * SECOND]
        assert len([t for t in retries if t > driver.now - 10 * SECOND]) <= 2 + 0.2 * len(recent_arrivals)
        driver.now += 100_000
    assert len(retries) >= 10


def test_requests_withdrawn_unsent_do_not_enlarge_the_budget():
    """A client that withdraws hundreds of requests at once must not enlarge the budget."""
    driver = ManagerDriver(
        settings(
            LOOKUP,
            retry_budget_ratio=0.1,
            retry_budget_floor=0,
            retry_budget_window=10 * SECOND,
            max_attempts=1000,
        )
    )
    driver.handle(
        *(RequestReceived(n, 0, driver.now + SECOND, cost=100_000) for n in range(100, 300)),
        *(ClientDisconnected(n) for n in range(100, 300)),
    )
    driver.arrive(1)
    driver.end(1, Outcome.ERROR)
    assert len(driver.sends) == 1
