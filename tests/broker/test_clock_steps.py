"""Steps of the wall clock and suspensions of the process: durations are measured in real time, and a decision
that has become too old is checked again before it takes effect.

A preloaded shim steps the clock from outside the program (wall_clock.py); the monotonic clock is unaffected.
"""

import signal
import time

import pytest

from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import answer_at_once, answer_with, never_answer
from tests.fakes.support import close_connection, wait_until
from tests.race_conditions.scenarios import site
from tests.wall_clock import WallClock

WINDOW_S = 2.0  # seconds; deduplication window of engines in these tests
CLOCK_STEPS_S = [-3600.0, -5.0, 5.0, 3600.0]


@pytest.fixture
def harness(tmp_path):
    """A harness that starts brokers under the wall clock `harness.clock`, and stops them after the test."""
    case = BrokerTestCase()
    case.clock = WallClock(tmp_path)
    case.addCleanup(case.clock.close)
    yield case
    case.doCleanups()


def start_broker(harness, *engines, change=None, env=None):
    """Start a broker under the harness's clock."""
    return harness.broker(*engines, change=change, env=harness.clock.env | (env or {}))


def drain(broker, engine, serial):
    """List an engine as draining in the directory, and wait until the broker has the list."""
    broker.dns.engines = {engine.name: (engine.port, 1)}
    broker.publish_list(serial)


def undrain(broker, engine, serial):
    """List the engine as ready again in the directory, and wait until the broker has the list."""
    broker.dns.engines = {engine.name: (engine.port, 0)}
    broker.publish_list(serial)


def keyed_request_whose_engine_drains(harness):
    """Send a request with a key, and drain its engine, so that no engine accepts a retry in the window."""
    engine = harness.engine(never_answer)
    broker = start_broker(harness, engine, change=site(keyed_class={"MemorySpan": round(WINDOW_S * 1e6)}))
    client = harness.client(broker)
    client.ask("order-load", wait=20_000, once="order-1")
    wait_until(lambda: engine.wants, "the first attempt")
    window_over = time.monotonic() + WINDOW_S
    drain(broker, engine, 2)
    return engine, broker, client, window_over


@pytest.mark.parametrize("step", CLOCK_STEPS_S)
def test_a_request_with_a_key_is_not_retried_after_its_deduplication_window(harness, step):
    """Regression: after a step back the broker's time did not advance, and a retry that waited for an engine
    was sent long after the window in which engines drop duplicates."""
    engine, broker, client, window_over = keyed_request_whose_engine_drains(harness)
    harness.clock.step(step)
    close_connection(engine.wants[0][0])
    broker.wait_for_log("outcome=reset")
    wait_until(lambda: time.monotonic() > window_over, "the window's end")
    engine.play = answer_at_once
    undrain(broker, engine, 3)
    answer = client.get()
    assert len(engine.wants) == 1, "retried after the deduplication window"
    assert "error" in answer


@pytest.mark.parametrize("step", CLOCK_STEPS_S)
def test_requests_received_after_a_step_are_served(harness, step):
    """Regression: after a step back by more than a request's wait, its deadline had passed on arrival. It was
    computed from the stepped clock, while the broker's time did not advance."""
    engine = harness.engine()
    broker = start_broker(harness, engine)
    client = harness.client(broker)
    client.ask()
    assert "result" in client.get()
    harness.clock.step(step)
    for _ in range(3):
        client.ask()
        assert "result" in client.get()
    assert "request-rejected" not in broker.log_text()


@pytest.mark.parametrize("step", CLOCK_STEPS_S)
def test_the_retry_budget_keeps_to_its_window(harness, step):
    """Requests from before the window, in real time, allow no retries, and recent retries still count."""
    window_s = 1.0
    engine = harness.engine()
    broker = start_broker(
        harness, engine, change=site(rules={"RatioSpan": round(window_s * 1e6), "MinExtra": 1.0})
    )
    client = harness.client(broker)
    for _ in range(60):  # one tenth of these would allow six retries
        client.ask("report", wait=20_000)
        assert "result" in client.get()
    all_taken = time.monotonic()
    harness.clock.step(step)
    wait_until(lambda: time.monotonic() > all_taken + window_s, "the window's end")
    engine.play = answer_with("500")
    began = time.monotonic()
    for _ in range(4):
        client.ask("report", wait=20_000)
        assert "error" in client.get()
    windows = 1 + (time.monotonic() - began) // window_s  # more than one only on a slow machine
    further = len(engine.wants) - 60 - 4
    assert further <= windows


def test_a_step_between_retries_allows_no_more_attempts(harness):
    """Regression: after a step forward, the retry budget did not count the most recent attempts."""
    engine = harness.engine(answer_with("500"))
    rules = {"RatioSpan": 5_000_000, "MinExtra": 2.0, "ResendRatio": 0.0}
    broker = start_broker(harness, engine, change=site(rules=rules))
    client = harness.client(broker)
    began = time.monotonic()
    for _ in range(3):
        for _ in range(2):
            client.ask()
            assert "error" in client.get()
        harness.clock.step(60.0)
    assert time.monotonic() - began < 5.0
    assert len(engine.wants) <= 6 + 2


def test_a_clock_that_jumps_between_any_two_reads_changes_nothing(harness):
    """The clock jumps an hour forward and back from the start of the program on: all requests are served, no
    connection is closed, nothing is sent twice, and a drain takes effect in time."""
    harness.clock.alternate(3600.0)
    engine, other = harness.engine(name="s-1"), harness.engine(name="s-2")
    broker = start_broker(harness, engine, other, env={"ROUTER_FIGURES_S": "0.05"})
    client = harness.client(broker)
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


@pytest.mark.parametrize("step", CLOCK_STEPS_S)
def test_a_running_request_keeps_its_deadline(harness, step):
    """The final answer is sent at the client's deadline in real time, neither earlier nor later."""
    engine = harness.engine(never_answer)
    broker = start_broker(harness, engine)
    client = harness.client(broker)
    began = time.monotonic()
    client.ask("report", wait=2_000)
    wait_until(lambda: engine.wants, "the attempt")
    harness.clock.step(step)
    assert "error" in client.get()
    assert 1.5 < time.monotonic() - began < 2.4


@pytest.mark.parametrize("step", CLOCK_STEPS_S)
def test_a_shutdown_has_its_full_grace_period_and_no_more(harness, step):
    """Accepted requests are answered by engines in the grace period, or by the broker if engines hang."""
    engine = harness.engine(never_answer)
    without_progress = site()
    without_progress["settings"]["FamilyInfo"]["TellsEvery"] = (
        0  # otherwise an answer counts as lost earlier, for lack of progress
    )
    broker = start_broker(harness, engine, change=without_progress)
    client = harness.client(broker)
    client.ask("report", wait=20_000)
    wait_until(lambda: engine.wants, "the attempt that hangs")
    engine.play = answer_later
    client.ask("report", wait=20_000)
    wait_until(lambda: len(engine.wants) == 2, "the attempt that is answered")
    began = time.monotonic()
    broker.process.terminate()
    broker.wait_for_log("stopping")
    harness.clock.step(step)
    answers = {answer["id"]: answer for answer in (client.get(), client.get())}
    assert "result" in answers[2]
    assert "error" in answers[1]
    client.close()
    broker.process.wait(10.0)
    assert 2.0 < time.monotonic() - began < 3.7  # SIGKILL is sent no earlier than 3.7 s after SIGTERM


def answer_later(engine, say, name, fields, statement):
    time.sleep(1.0)  # the engine's work, in real time
    answer_at_once(engine, say, name, fields, statement)


@pytest.mark.parametrize("ahead", [-3600.0, 0.0, 3600.0])
def test_an_engine_that_has_just_started_is_under_slow_start_whatever_the_clock_says(harness, ahead):
    """Regression: by a clock that was an hour ahead, the slow start of a new engine was over, and the engine
    got all requests at once."""
    harness.clock.step(ahead)
    engine, started_engine = harness.engine(name="s-1"), harness.engine(name="s-2")
    broker = start_broker(harness, engine)
    broker.dns.engines_started_ms = round(time.time() * 1000)
    broker.dns.engines = {"s-2": (started_engine.port, 0)}
    broker.publish_list(2)
    broker.wait_for_log("engine=s-2 from=unlisted to=ready")
    client = harness.client(broker)
    began = time.monotonic()
    for _ in range(30):
        client.ask("report", wait=20_000, cost=2_000.0)  # 60 s of work; slow start allows 20 s of it in 2 s
    wait_until(lambda: time.monotonic() - began > 1.0, "one second of the slow start")
    assert 1 <= len(started_engine.wants) <= 10


def test_a_process_that_was_suspended_sends_no_retry_after_the_window(harness):
    """While the process is stopped, an engine becomes ready and the deduplication window ends."""
    engine, broker, client, window_over = keyed_request_whose_engine_drains(harness)
    close_connection(engine.wants[0][0])
    broker.wait_for_log("outcome=reset")
    broker.process.send_signal(signal.SIGSTOP)
    engine.play = answer_at_once
    broker.dns.engines, broker.dns.serial = {engine.name: (engine.port, 0)}, 3
    wait_until(lambda: time.monotonic() > window_over, "the window's end")
    broker.process.send_signal(signal.SIGCONT)
    assert "error" in client.get()
    assert len(engine.wants) == 1


def test_a_command_that_waited_to_be_sent_names_the_remaining_time(harness):
    """Regression: the remaining time was computed when the command was queued, half a second too early."""
    engine = harness.engine()
    broker = harness.broker(
        engine, hooks={"leaves": "cypressledge.net.line_protocol.connection:EngineConnection._may_send!"}
    )
    client = harness.client(broker)
    asked = time.monotonic()
    client.ask(wait=3_000)
    broker.wait_for_hook("leaves")
    wait_until(lambda: time.monotonic() > asked + 0.4, "a delay before the write")
    broker.release_hook("leaves")
    assert "result" in client.get()
    assert int(engine.wants[0][2]["w"]) <= 3_000 - 400 + 50
