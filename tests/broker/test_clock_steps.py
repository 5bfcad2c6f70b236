"""The machine's wall clock is stepped under a running broker, or the process stands still for a while: every
span stays one of real time, and what was judged a while ago is judged again before it has effect.

The clock is stepped from outside the program, by a preloaded shim (wall_clock.py); the monotonic one runs on.
"""

import signal
import time

import pytest

from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import answer_at_once, answer_with, never_answer
from tests.fakes.support import close_connection, wait_until
from tests.race_conditions.scenarios import site
from tests.wall_clock import WallClock

WINDOW_S = 2.0  # in which engines drop repeats of a keyed request, here
FAR_STEPS = [-3600.0, -5.0, 5.0, 3600.0]


@pytest.fixture
def stage(tmp_path):
    """Starts brokers whose wall clock is `stage.clock`, and ends all that the test started."""
    case = BrokerTestCase()
    case.clock = WallClock(tmp_path)
    case.addCleanup(case.clock.close)
    yield case
    case.doCleanups()


def broker_of(stage, *engines, change=None, env=None):
    """A broker under the stage's clock."""
    return stage.broker(*engines, change=change, env=stage.clock.env | (env or {}))


def drain(broker, engine, serial):
    """The directory lists an engine as draining; the broker has that list."""
    broker.dns.engines = {engine.name: (engine.port, 1)}
    broker.publish_list(serial)


def undrain(broker, engine, serial):
    """The directory lists the engine as ready again; the broker has that list."""
    broker.dns.engines = {engine.name: (engine.port, 0)}
    broker.publish_list(serial)


def keyed_request_whose_engine_drains(stage):
    """A request with a key has an attempt in flight, and no engine takes a retry within the window."""
    engine = stage.engine(never_answer)
    broker = broker_of(stage, engine, change=site(keyed_class={"MemorySpan": round(WINDOW_S * 1e6)}))
    client = stage.client(broker)
    client.ask("order-load", wait=20_000, once="order-1")
    wait_until(lambda: engine.wants, "the first attempt")
    window_over = time.monotonic() + WINDOW_S
    drain(broker, engine, 2)
    return engine, broker, client, window_over


@pytest.mark.parametrize("step", FAR_STEPS)
def test_a_request_with_a_key_is_not_retried_after_its_deduplication_window(stage, step):
    """The incident: after a step back the broker's time stood still, and the repeat that waited for an engine
    left long after the window in which engines drop it."""
    engine, broker, client, window_over = keyed_request_whose_engine_drains(stage)
    stage.clock.step(step)
    close_connection(engine.wants[0][0])
    broker.wait_for_log("outcome=reset")
    wait_until(lambda: time.monotonic() > window_over, "the window's end")
    engine.play = answer_at_once
    undrain(broker, engine, 3)
    answer = client.get()
    assert len(engine.wants) == 1, "sent again after its window"
    assert "error" in answer


@pytest.mark.parametrize("step", FAR_STEPS)
def test_requests_received_after_a_step_are_served(stage, step):
    """After a step back by more than a request's wait it was over as it came: its deadline was read off the
    stepped clock, the broker's time stood still at the former one."""
    engine = stage.engine()
    broker = broker_of(stage, engine)
    client = stage.client(broker)
    client.ask()
    assert "result" in client.get()
    stage.clock.step(step)
    for _ in range(3):
        client.ask()
        assert "result" in client.get()
    assert "request-rejected" not in broker.log_text()


@pytest.mark.parametrize("step", FAR_STEPS)
def test_the_retry_budget_keeps_to_its_window(stage, step):
    """Requests taken long ago, by real time, buy no further attempts; attempts made just now still count."""
    window_s = 1.0
    engine = stage.engine()
    broker = broker_of(
        stage, engine, change=site(rules={"RatioSpan": round(window_s * 1e6), "MinExtra": 1.0})
    )
    client = stage.client(broker)
    for _ in range(60):  # the tenth part of these would be six further attempts
        client.ask("report", wait=20_000)
        assert "result" in client.get()
    all_taken = time.monotonic()
    stage.clock.step(step)
    wait_until(lambda: time.monotonic() > all_taken + window_s, "the window's end")
    engine.play = answer_with("500")
    began = time.monotonic()
    for _ in range(4):
        client.ask("report", wait=20_000)
        assert "error" in client.get()
    windows = 1 + (time.monotonic() - began) // window_s  # more than one on a slow machine alone
    further = len(engine.wants) - 60 - 4
    assert further <= windows


def test_a_step_between_retries_allows_no_more_attempts(stage):
    """A step forward made the budget forget the attempts of a moment ago."""
    engine = stage.engine(answer_with("500"))
    rules = {"RatioSpan": 5_000_000, "MinExtra": 2.0, "ResendRatio": 0.0}
    broker = broker_of(stage, engine, change=site(rules=rules))
    client = stage.client(broker)
    began = time.monotonic()
    for _ in range(3):
        for _ in range(2):
            client.ask()
            assert "error" in client.get()
        stage.clock.step(60.0)
    assert time.monotonic() - began < 5.0
    assert len(engine.wants) <= 6 + 2


def test_a_clock_that_jumps_between_any_two_reads_changes_nothing(stage):
    """An hour forth and back, from the program's start on: all is served, no connection is cut, nothing is
    sent twice, and a drain is heard of in time."""
    stage.clock.alternate(3600.0)
    engine, other = stage.engine(name="s-1"), stage.engine(name="s-2")
    broker = broker_of(stage, engine, other, env={"ROUTER_FIGURES_S": "0.05"})
    client = stage.client(broker)
    for number in range(60):
        client.ask(("lookup", "report")[number % 2], wait=3_000)
        assert "result" in client.get()
    assert len(engine.wants) + len(other.wants) == 60
    broker.dns.engines = {"s-1": (engine.port, 1), "s-2": (other.port, 0)}
    broker.publish_list(2)
    broker.wait_for_log("engine=s-1 from=ready to=draining")
    sent = len(engine.wants)
    for _ in range(20):
        client.ask()
        assert "result" in client.get()
    assert len(engine.wants) == sent
    assert broker.count("clients_closed.idle") == broker.count("clients.send_failed") == 0
    assert broker.count("attempts.retry") == 0


@pytest.mark.parametrize("step", FAR_STEPS)
def test_a_running_request_keeps_its_deadline(stage, step):
    """The final answer comes when the client's time is over: not before, and not after the step."""
    engine = stage.engine(never_answer)
    broker = broker_of(stage, engine)
    client = stage.client(broker)
    began = time.monotonic()
    client.ask("report", wait=2_000)
    wait_until(lambda: engine.wants, "the attempt")
    stage.clock.step(step)
    assert "error" in client.get()
    assert 1.5 < time.monotonic() - began < 2.4


@pytest.mark.parametrize("step", FAR_STEPS)
def test_a_shutdown_has_its_full_grace_period_and_no_more(stage, step):
    """What was taken is answered by its engine within the grace; what hangs is answered before the kill."""
    engine = stage.engine(never_answer)
    without_progress = site()
    without_progress["settings"]["FamilyInfo"]["TellsEvery"] = (
        0  # else silence tells of a lost answer earlier
    )
    broker = broker_of(stage, engine, change=without_progress)
    client = stage.client(broker)
    client.ask("report", wait=20_000)
    wait_until(lambda: engine.wants, "the attempt that hangs")
    engine.play = answer_later
    client.ask("report", wait=20_000)
    wait_until(lambda: len(engine.wants) == 2, "the attempt that is answered")
    began = time.monotonic()
    broker.process.terminate()
    broker.wait_for_log("stopping")
    stage.clock.step(step)
    answers = {answer["id"]: answer for answer in (client.get(), client.get())}
    assert "result" in answers[2]
    assert "error" in answers[1]
    client.close()
    broker.process.wait(10.0)
    assert 2.0 < time.monotonic() - began < 3.7  # SIGKILL comes no earlier than 3 s and 0.7 s after SIGTERM


def answer_later(engine, say, name, fields, statement):
    time.sleep(1.0)  # an engine's work, in real time
    answer_at_once(engine, say, name, fields, statement)


@pytest.mark.parametrize("ahead", [-3600.0, 0.0, 3600.0])
def test_an_engine_that_has_just_started_is_under_slow_start_whatever_the_clock_says(stage, ahead):
    """With a clock an hour ahead it passed for warm, and was given all at once."""
    stage.clock.step(ahead)
    engine, fresh = stage.engine(name="s-1"), stage.engine(name="s-2")
    broker = broker_of(stage, engine)
    broker.dns.engines_started_ms = round(time.time() * 1000)
    broker.dns.engines = {"s-2": (fresh.port, 0)}
    broker.publish_list(2)
    broker.wait_for_log("engine=s-2 from=unlisted to=ready")
    client = stage.client(broker)
    began = time.monotonic()
    for _ in range(30):
        client.ask("report", wait=20_000, cost=2_000.0)  # 60 s of work; cold, it may have 20 s of it in 2 s
    wait_until(lambda: time.monotonic() - began > 1.0, "a second of the cold engine's window")
    assert 1 <= len(fresh.wants) <= 10


def test_a_process_that_was_suspended_sends_no_retry_after_the_window(stage):
    """A place comes free while the process is stopped, and the window ends meanwhile."""
    engine, broker, client, window_over = keyed_request_whose_engine_drains(stage)
    close_connection(engine.wants[0][0])
    broker.wait_for_log("outcome=reset")
    broker.process.send_signal(signal.SIGSTOP)
    engine.play = answer_at_once
    broker.dns.engines, broker.dns.serial = {engine.name: (engine.port, 0)}, 3
    wait_until(lambda: time.monotonic() > window_over, "the window's end")
    broker.process.send_signal(signal.SIGCONT)
    assert "error" in client.get()
    assert len(engine.wants) == 1


def test_a_command_that_waited_to_be_sent_names_the_remaining_time(stage):
    """The deadline was worded as the command was queued, and left with it half a second later."""
    engine = stage.engine()
    broker = stage.broker(
        engine, hooks={"leaves": "cypressledge.net.line_protocol.connection:EngineConnection._may_send!"}
    )
    client = stage.client(broker)
    asked = time.monotonic()
    client.ask(wait=3_000)
    broker.wait_for_hook("leaves")
    wait_until(lambda: time.monotonic() > asked + 0.4, "a while at the write")
    broker.release_hook("leaves")
    assert "result" in client.get()
    assert int(engine.wants[0][2]["w"]) <= 3_000 - 400 + 50
