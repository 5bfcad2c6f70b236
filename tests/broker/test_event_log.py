"""Events in the log: retries, rejections, closed connections and engine states, with ids and reasons."""

import re

from cypressledge.broker.event_log import MAX_LINES_PER_SECOND, EventKind, EventLog
from cypressledge.broker.metrics import Counters
from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import FakeLineEngine, answer_at_once, answer_with
from tests.fakes.support import close_connection, wait_until


def fields(line):
    """Return the fields of an event's log line by name."""
    return dict(pair.split("=", 1) for pair in line.split()[1:] if "=" in pair)


class Events(BrokerTestCase):
    def events(self, broker, kind, min_count=1):
        """Wait for at least `min_count` events of a kind, and return the fields of each."""

        def found():
            lines = [fields(line) for line in broker.log_text().splitlines() if line.startswith(f"{kind} ")]
            return lines if len(lines) >= min_count else None

        return wait_until(found, f"{min_count} events {kind}")

    def test_a_retry_event_names_its_request_and_the_outcome_before(self):
        def play(engine, say, name, fields, statement):
            if len(first.wants) + len(second.wants) == 1:
                close_connection(engine.wants[0][0])
            else:
                answer_at_once(engine, say, name, fields, statement)

        first, second = self.engine(play, name="s-1"), self.engine(play, name="s-2")
        broker = self.broker(first, second)
        client = self.client(broker)
        client.ask("order-load", wait=20_000, once="k-1")
        assert "result" in client.get()
        name = (first.wants + second.wants)[0][1]
        (retry,) = self.events(broker, "retry")
        assert (retry["request"], retry["class"], retry["after"]) == (name, "order-load", "reset")
        assert int(retry["since_first_ms"]) >= 0
        (ended,) = self.events(broker, "attempt-ended")
        assert (ended["request"], ended["outcome"]) == (name, "reset")
        (closed,) = self.events(broker, "engine-connection-closed")
        assert (closed["reason"], closed["open"]) == ("closed_by_engine", "1")

    def test_a_rejection_event_names_its_request_and_the_reason(self):
        broker = self.broker(self.engine(answer_with("503")))
        client = self.client(broker)
        client.ask(wait=400)
        assert client.get()["error"]["code"] == -32066
        (rejection,) = self.events(broker, "request-rejected")
        assert re.search("\\A[0-9a-f]{16}\\Z", rejection["request"])
        assert rejection["reason"] in ("objective-missed", "no-capacity", "no-time-for-retry")

    def test_engines_that_are_added_or_draining_are_logged(self):
        engine, other = self.engine(), self.engine(kind=FakeLineEngine, name="s-2")
        broker = self.broker(engine)
        broker.dns.engines = {"s-1": (engine.port, 1), "s-2": (other.port, 0)}
        broker.publish_list(2)
        changes = {
            event["engine"]: (event["from"], event["to"]) for event in self.events(broker, "engine-state", 2)
        }
        assert changes == {"s-1": ("ready", "draining"), "s-2": ("unlisted", "ready")}


def test_a_burst_of_one_kind_is_suppressed_and_counted(capsys, monkeypatch):
    now = 5_000_000
    monkeypatch.setattr("cypressledge.broker.event_log.monotonic_us", lambda: now)
    counters = Counters()
    events = EventLog(counters)
    for number in range(3 * MAX_LINES_PER_SECOND):
        events.write(EventKind.RETRY, request=number)
    events.write(EventKind.REJECTED, request="other")
    now += 1_000_000
    events.write(EventKind.RETRY, request="later")
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == MAX_LINES_PER_SECOND + 2
    assert counters.counts["events.suppressed"] == 2 * MAX_LINES_PER_SECOND
    assert lines[-2] == "request-rejected at=0.000 request=other"
    assert lines[-1] == f"retry at=1.000 request=later suppressed={2 * MAX_LINES_PER_SECOND}"
