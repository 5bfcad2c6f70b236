"""The machine's wall clock is stepped under a running broker: every span stays one of real time.

The clock is stepped from outside the program, by a preloaded shim (wall_clock.py); the monotonic one runs on.
"""

import copy
import time

import pytest

from tests.stands import SETTINGS, Case, failing, hang_up, silent, until, whole
from tests.wall_clock import WallClock

WINDOW_S = 2.0  # in which engines drop repeats of a keyed request, here
FAR_STEPS = [-3600.0, -5.0, 5.0, 3600.0]


@pytest.fixture
def stage(tmp_path):
    """Starts brokers whose wall clock is `stage.clock`, and ends all that the test started."""
    case = Case()
    case.clock = WallClock(tmp_path)
    case.addCleanup(case.clock.close)
    yield case
    case.doCleanups()


def site(rules=(), **order_load):
    """The plain site, with other rules, and other settings of its keyed class."""
    settings = copy.deepcopy(SETTINGS)
    settings["Rules"] |= dict(rules)
    settings["Classes"][2] |= order_load
    return {"settings": settings}


def broker_of(stage, *engines, change=None, env=None, **more):
    """A broker under the stage's clock."""
    return stage.broker(*engines, change=change, env=stage.clock.env | (env or {}), **more)


def take_out(broker, engine, serial):
    """The directory tells that an engine drains; the broker has heard."""
    broker.dns.engines = {engine.name: (engine.port, 1)}
    broker.relist(serial)


def put_back(broker, engine, serial):
    broker.dns.engines = {engine.name: (engine.port, 0)}
    broker.relist(serial)


def ask_keyed(client):
    client.ask("order-load", wait=20_000, once="order-1")


@pytest.mark.parametrize("step", FAR_STEPS)
def test_a_keyed_request_is_not_sent_again_after_its_window(stage, step):
    """The incident: after a step back the broker's time stood still, and the repeat that waited for an engine
    left long after the window in which engines drop it."""
    engine = stage.engine(silent)
    broker = broker_of(stage, engine, change=site(MemorySpan=round(WINDOW_S * 1e6)))
    client = stage.client(broker)
    ask_keyed(client)
    until(lambda: engine.wants, "the first attempt")
    first_sent = time.monotonic()
    take_out(broker, engine, 2)
    stage.clock.step(step)
    hang_up(engine.wants[0][0])
    broker.said("outcome=reset")
    window_over = first_sent + WINDOW_S
    until(lambda: time.monotonic() > window_over, "the window's end")
    engine.play = whole
    put_back(broker, engine, 3)
    answer = client.get()
    assert len(engine.wants) == 1, "sent again after its window"
    assert "error" in answer


@pytest.mark.parametrize("step", FAR_STEPS)
def test_the_retry_budget_keeps_to_its_window(stage, step):
    """Requests taken long ago, by real time, buy no further attempts; attempts made just now still count."""
    window_s = 1.0
    engine = stage.engine()
    broker = broker_of(stage, engine, change=site({"RatioSpan": round(window_s * 1e6), "MinExtra": 1.0}),
                       env={"ROUTER_FIGURES_S": "0.05"})
    client = stage.client(broker)
    for _ in range(60):  # the tenth part of these would be six further attempts
        client.ask("report", wait=20_000)
        assert "result" in client.get()
    all_taken = time.monotonic()
    stage.clock.step(step)
    until(lambda: time.monotonic() > all_taken + window_s, "the window's end")
    engine.play = failing("500")
    began = time.monotonic()
    for _ in range(4):
        client.ask("report", wait=20_000)
        assert "error" in client.get()
    if time.monotonic() - began < window_s:  # else a slow machine has begun another window
        further = len(engine.wants) - 60 - 4
        assert further <= 1
