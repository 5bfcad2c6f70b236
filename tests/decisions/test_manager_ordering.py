"""Requests with the same ordering key run one after the other."""

from cypressledge.decisions.contract import FailRequest, Outcome
from tests.decisions.manager_driver import ORDERED, SECOND, ManagerDriver, final_answers, settings


def test_requests_of_a_key_run_one_after_the_other():
    driver = ManagerDriver(settings(ORDERED))
    for request in (1, 2, 3):
        driver.arrive(request, key=7)
    driver.arrive(4, key=8)
    assert [s.request for s in driver.sends] == [1, 4]
    driver.end(1)
    driver.end(2)
    assert [s.request for s in driver.sends] == [1, 4, 2, 3]


def test_a_reset_starts_the_cooldown_of_its_key():
    driver = ManagerDriver(settings(ORDERED, ordering_key_cooldown=SECOND // 2))
    driver.arrive(1, key=7)
    driver.arrive(2, key=7)
    assert final_answers(driver.end(1, Outcome.RESET)) == [FailRequest(1)]
    driver.arrive(3, key=7)
    assert [s.request for s in driver.sends] == [1]
    driver.run(SECOND // 2 - 20_000)
    assert [s.request for s in driver.sends] == [1]
    driver.run(100_000)
    assert [s.request for s in driver.sends] == [1, 2]


def test_an_attempt_in_flight_blocks_its_key_after_the_deadline():
    driver = ManagerDriver(settings(ORDERED))
    driver.arrive(1, key=7, time_limit=SECOND)
    driver.arrive(2, key=7)
    assert final_answers(driver.run(SECOND)) == [FailRequest(1)]
    assert [s.request for s in driver.sends] == [1]
    driver.end(1, Outcome.OK, final=True)
    assert [s.request for s in driver.sends] == [1, 2]


def test_a_retry_keeps_its_place_in_the_order():
    driver = ManagerDriver(settings(ORDERED))
    driver.arrive(1, key=7)
    driver.arrive(2, key=7)
    driver.end(1, Outcome.REJECTED)
    assert [s.request for s in driver.sends] == [1, 1]
