"""Attempts, their outcomes, and answers, tested with the real broker process on sockets."""

import signal
import time
from collections import Counter

from cypressledge.lab.site import SETTINGS
from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import ROW, answer_at_once, answer_with, never_answer, page_rows
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import wait_until


def attempts_by_connection(engine):
    """Return the number of attempts on each connection of the engine, sorted in ascending order."""
    return sorted(Counter(connection for connection, *_ in engine.wants).values())


class Serving(BrokerTestCase):
    def test_a_query_and_its_rows_are_passed_on_byte_for_byte(self):
        engine = self.engine()
        client = self.client(self.broker(engine))
        statement = "SELECT 'é\r\n' FROM sales_17.orders -- x_9.y".encode()
        client.ask("order-load", statement, id="9b1f03aa5c7e2d41", once="5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
        assert result_rows(client.get()) == ROW
        _, name, fields, sent = engine.wants[0]
        assert (name, sent) == ("9b1f03aa5c7e2d41", statement)
        assert (fields["c"], fields["i"]) == ("order-load", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
        assert 0 < int(fields["w"]) <= 3000
        assert int(fields["heap"]) >= 10
        assert fields["order"] in "0123"

    def test_pages_are_requested_together_and_joined_in_order(self):
        def paged(engine, say, name, fields, statement):
            say(name, "200", "count=4", page_rows(0))

        engine = self.engine(paged)
        client = self.client(self.broker(engine))
        client.ask()
        assert result_rows(client.get()) == b"".join(map(page_rows, range(4)))
        assert [command[2] for command in engine.commands("turn")] == ["1", "2", "3"]

    def test_a_lost_page_is_an_error_and_retried(self):
        """The remaining pages still arrive; on the retry's connection they would end the retry as well."""

        def lose_a_page_once(engine, say, name, fields, statement):
            if len(engine.wants) == 1:
                say(name, "200", "count=3", page_rows(0))
                say(name, "500")
            else:
                answer_at_once(engine, say, name, fields, statement)

        engine = self.engine(lose_a_page_once)
        client = self.client(self.broker(engine))
        client.ask()
        assert result_rows(client.get()) == ROW
        assert len(engine.wants) == 2
        assert engine.wants[0][0] is not engine.wants[1][0]

    def test_connections_carry_at_most_the_configured_number_of_attempts(self):
        engine = self.engine(never_answer)
        broker = self.broker(
            engine, change={"settings": SETTINGS | {"Limits": SETTINGS["Limits"] | {"StreamsPerConn": 2}}}
        )
        client = self.client(broker)
        for _ in range(5):
            client.ask()
        wait_until(lambda: len(engine.wants) == 5)
        assert attempts_by_connection(engine) == [1, 2, 2]

    def test_attempts_spread_over_connections_while_there_are_descriptors(self):
        """A connection that ends makes at most eight attempts fail."""
        engine = self.engine(never_answer)
        client = self.client(self.broker(engine))
        for _ in range(12):
            client.ask()
        wait_until(lambda: len(engine.wants) == 12)
        assert attempts_by_connection(engine) == [4, 8]


class Outcomes(BrokerTestCase):
    def test_a_client_of_a_silent_engine_is_answered_in_time(self):
        broker = self.broker(self.engine(never_answer))
        client = self.client(broker)
        began = time.monotonic()
        client.ask("report", wait=600)
        assert "error" in client.get()
        assert time.monotonic() - began < 5.0  # the class's own deadline is 25 s
        broker.process.send_signal(signal.SIGUSR1)
        wait_until(lambda: "counters (asked):" in broker.log_text(), "the counters")
        assert "broken.overdue" not in broker.log_text()  # the decision module ended the request in time

    def test_a_rejection_names_when_to_retry(self):
        client = self.client(self.broker(self.engine(answer_with("503"))))
        client.ask(wait=900)
        error = client.get()["error"]
        assert (error["code"], error["data"]) == (-32066, {"after": 1000})

    def test_a_load_with_its_key_is_rejected_after_any_failure(self):
        for word, is_rejected in (("503", True), ("504", True), ("500", True)):
            with self.subTest(word):  # all engines know a load's key, so it may be rejected even after 500
                client = self.client(self.broker(self.engine(answer_with(word))))
                client.ask("order-load", once="ab" * 16, wait=1500)
                assert (client.get()["error"]["code"] == -32066) == is_rejected

    def test_at_most_three_attempts(self):
        engine = self.engine(answer_with("500"))
        client = self.client(self.broker(engine))
        client.ask()
        assert "error" in client.get()
        assert len(engine.wants) == 3

    def test_a_withdrawn_request_gets_no_answer_and_is_cancelled_at_the_engine(self):
        engine = self.engine(never_answer)
        client = self.client(self.broker(engine))
        client.ask(id="00000000000000aa")
        wait_until(lambda: engine.wants, "the attempt")
        client.raw(b'{"jsonrpc":"2.0","method":"withdraw","params":{"id":"00000000000000aa"}}')
        wait_until(lambda: engine.commands("never_mind"), "the cancel")
        client.send("status")
        assert client.get()["id"] == 2

    def test_requests_of_a_client_that_disconnects_are_cancelled(self):
        engine = self.engine(never_answer)
        client = self.client(self.broker(engine))
        client.ask()
        wait_until(lambda: engine.wants, "the attempt")
        client.close()
        wait_until(lambda: engine.commands("never_mind"), "the cancel")

    def test_a_retry_never_shares_a_connection_with_its_cancelled_attempt(self):
        """A cancelled attempt may still be answered; the answer must not be taken for the retry's."""

        def answer_once_cancelled(engine, say, name, fields, statement):
            if len(engine.wants) == 1:
                for _ in range(40):
                    say(name, "status", "note=done,reading=0.001")
                    if engine.commands("never_mind"):
                        return say(name, "200", "count=1", b"late\n")
                    time.sleep(0.1)
                return None
            answer_at_once(engine, say, name, fields, statement)
            return None

        engine = self.engine(answer_once_cancelled)
        client = self.client(self.broker(engine))
        client.ask(cost=20.0)
        assert result_rows(client.get()) == ROW
        assert engine.wants[0][0] is not engine.wants[1][0]

    def test_a_silent_connection_is_not_used_again(self):
        """Connections to an unreachable machine stay open, but the machine does not know them afterwards."""

        def answer_on_later_connections(engine, say, name, fields, statement):
            if engine.wants[-1][0] is not engine.wants[0][0]:
                answer_at_once(engine, say, name, fields, statement)

        engine = self.engine(answer_on_later_connections)
        client = self.client(self.broker(engine))
        client.ask(wait=2900)
        assert "error" in client.get()
        client.ask()
        assert result_rows(client.get()) == ROW

    def test_attempts_at_an_engine_that_exits_are_reset_and_retried_elsewhere(self):
        first = self.engine(never_answer)
        second = self.engine(name="s-2")
        broker = self.broker(first)
        client = self.client(broker)
        client.ask()
        wait_until(lambda: first.wants, "the attempt")
        broker.dns.engines["s-2"] = (second.port, 0)
        broker.publish_list(2)
        first.close()
        assert result_rows(client.get()) == ROW
