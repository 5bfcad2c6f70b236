"""The real broker on sockets: attempts, their outcomes, and answers."""

import signal
import time

from tests.stands import (
    ROW,
    SETTINGS,
    Case,
    content,
    failing,
    page,
    silent,
    until,
    whole,
)


class Serving(Case):
    def test_query_reaches_the_engine_unaltered_and_rows_come_back_byte_for_byte(self):
        engine = self.engine()
        client = self.client(self.broker(engine))
        statement = "SELECT 'é\r\n' FROM sales_17.orders -- x_9.y".encode()
        client.ask("order-load", statement, id="9b1f03aa5c7e2d41", once="5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
        assert content(client.get()) == ROW
        _, name, fields, sent = engine.wants[0]
        assert (name, sent) == ("9b1f03aa5c7e2d41", statement)
        assert (fields["c"], fields["i"]) == ("order-load", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
        assert 0 < int(fields["w"]) <= 3000
        assert int(fields["heap"]) >= 10
        assert fields["order"] in "0123"

    def test_pages_are_requested_together_and_joined_in_order(self):
        def paged(engine, say, name, fields, statement):
            say(name, "200", "count=4", page(0))

        engine = self.engine(paged)
        client = self.client(self.broker(engine))
        client.ask()
        assert content(client.get()) == b"".join(map(page, range(4)))
        assert [w[2] for w in engine.said("turn")] == ["1", "2", "3"]

    def test_a_lost_page_is_an_error_and_retried(self):
        """The other pages' answers still come: on one connection they would end the repeat as well."""

        def once(engine, say, name, fields, statement):
            if len(engine.wants) == 1:
                say(name, "200", "count=3", page(0))
                say(name, "500")
            else:
                whole(engine, say, name, fields, statement)

        engine = self.engine(once)
        client = self.client(self.broker(engine))
        client.ask()
        assert content(client.get()) == ROW
        assert len(engine.wants) == 2
        assert engine.wants[0][0] is not engine.wants[1][0]

    def test_connections_carry_32_attempts_each(self):
        engine = self.engine(silent)
        broker = self.broker(
            engine, change={"settings": SETTINGS | {"Limits": SETTINGS["Limits"] | {"StreamsPerConn": 2}}}
        )
        client = self.client(broker)
        for _ in range(5):
            client.ask()
        until(lambda: len(engine.wants) == 5)
        each = [sum(conn is c for c, *_ in engine.wants) for conn in {c for c, *_ in engine.wants}]
        assert sorted(each) == [1, 2, 2]

    def test_attempts_spread_over_connections_while_there_are_descriptors(self):
        """A connection that ends takes eight attempts along at most."""
        engine = self.engine(silent)
        client = self.client(self.broker(engine))
        for _ in range(12):
            client.ask()
        until(lambda: len(engine.wants) == 12)
        each = [sum(conn is c for c, *_ in engine.wants) for conn in {c for c, *_ in engine.wants}]
        assert sorted(each) == [4, 8]


class Outcomes(Case):
    def test_silent_engine_still_gets_the_client_an_answer_in_time(self):
        broker = self.broker(self.engine(silent))
        client = self.client(broker)
        began = time.monotonic()
        client.ask("report", wait=600)
        assert "error" in client.get()
        assert time.monotonic() - began < 5.0  # of the class's 25 s
        broker.process.send_signal(signal.SIGUSR1)
        until(lambda: "counters (asked):" in broker.words(), "the counters")
        assert "broken.overdue" not in broker.words()  # the module ended it, in time

    def test_a_rejection_names_when_to_retry(self):
        client = self.client(self.broker(self.engine(failing("503"))))
        client.ask(wait=900)
        error = client.get()["error"]
        assert (error["code"], error["data"]) == (-32066, {"after": 1000})

    def test_outcomes_that_prove_nothing_ran_allow_a_load_to_be_rejected(self):
        for word, refused in (("503", True), ("504", True), ("500", True)):
            with self.subTest(word):  # a load's key is known to all engines: it may be refused after 500 too
                client = self.client(self.broker(self.engine(failing(word))))
                client.ask("order-load", once="ab" * 16, wait=1500)
                assert (client.get()["error"]["code"] == -32066) == refused

    def test_at_most_three_attempts(self):
        engine = self.engine(failing("500"))
        client = self.client(self.broker(engine))
        client.ask()
        assert "error" in client.get()
        assert len(engine.wants) == 3

    def test_a_withdrawn_request_gets_no_answer_and_is_cancelled_at_the_engine(self):
        engine = self.engine(silent)
        client = self.client(self.broker(engine))
        client.ask(id="00000000000000aa")
        until(lambda: engine.wants, "the attempt")
        client.raw(b'{"jsonrpc":"2.0","method":"withdraw","params":{"id":"00000000000000aa"}}')
        until(lambda: engine.said("never_mind"), "the cancel")
        client.send("status")
        assert client.get()["id"] == 2

    def test_requests_of_a_client_that_disconnects_are_cancelled(self):
        engine = self.engine(silent)
        client = self.client(self.broker(engine))
        client.ask()
        until(lambda: engine.wants, "the attempt")
        client.close()
        until(lambda: engine.said("never_mind"), "the cancel")

    def test_a_retry_never_shares_a_connection_with_its_cancelled_attempt(self):
        """A cancelled attempt may still be answered: its repeat must not take that answer for its own."""

        def runaway(engine, say, name, fields, statement):
            if len(engine.wants) == 1:
                for _ in range(40):
                    say(name, "status", "note=done,reading=0.001")
                    if engine.said("never_mind"):
                        return say(name, "200", "count=1", b"late\n")
                    time.sleep(0.1)
                return None
            whole(engine, say, name, fields, statement)
            return None

        engine = self.engine(runaway)
        client = self.client(self.broker(engine))
        client.ask(cost=20.0)
        assert content(client.get()) == ROW
        assert engine.wants[0][0] is not engine.wants[1][0]

    def test_a_silent_connection_is_not_used_again(self):
        """A machine that vanished leaves its connections open; back again, it knows nothing of them."""

        def forgetful(engine, say, name, fields, statement):
            if engine.wants[-1][0] is not engine.wants[0][0]:
                whole(engine, say, name, fields, statement)

        engine = self.engine(forgetful)
        client = self.client(self.broker(engine))
        client.ask(wait=2900)
        assert "error" in client.get()
        client.ask()
        assert content(client.get()) == ROW

    def test_attempts_at_an_engine_that_dies_are_reset_and_retried_elsewhere(self):
        first = self.engine(silent)
        second = self.engine(name="s-2")
        broker = self.broker(first)
        client = self.client(broker)
        client.ask()
        until(lambda: first.wants, "the attempt")
        broker.dns.engines["s-2"] = (second.port, 0)
        broker.relist(2)
        first.close()
        assert content(client.get()) == ROW
