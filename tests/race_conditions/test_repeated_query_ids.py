"""The id of a query that may have been executed comes again: it is not executed a second time."""

import signal
import socket

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine, stall_after_first_rows
from tests.fakes.fake_engines import never_answer
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import close_connection, wait_until
from tests.net.clickhouse.clickhouse_test_case import ClickHouseTestCase
from tests.race_conditions.scenarios import METRICS_OFTEN

QUERY_ID = "00000000000000aa"
ID_IS_USED = -32602


class RepeatedQueryIds(ClickHouseTestCase):
    def ask(self, broker, **params):
        """Send a query under the id on a new connection, and return its client."""
        client = self.client(broker)
        client.ask("report", id=QUERY_ID, wait=20_000, **params)
        return client

    def test_a_json_rpc_id_that_comes_again_after_its_client_has_left(self):
        """Regression: the id was forgotten with the connection, and the query ran twice."""
        for leave in (lambda client: client.close(), self.withdraw):
            engine = self.engine(never_answer)
            broker = self.broker(engine)
            client = self.ask(broker)
            wait_until(lambda engine=engine: engine.wants, "the query at the engine")
            leave(client)
            wait_until(lambda engine=engine: engine.commands("never_mind"), "the cancellation")
            assert self.ask(broker).get()["error"]["code"] == ID_IS_USED
            assert len(engine.wants) == 1

    @staticmethod
    def withdraw(client):
        client.raw(b'{"jsonrpc":"2.0","method":"withdraw","params":{"id":"%s"}}' % QUERY_ID.encode())

    def test_an_http_id_that_comes_again_after_its_client_has_left(self):
        """Regression: as above."""
        engine = self.engine(stall_after_first_rows, kind=FakeClickHouseEngine)
        self.start_service(engine)
        conn = self.start_query(f"/?query_id={QUERY_ID}&workload=report")
        wait_until(lambda: engine.asked, "the query at the engine")
        close_connection(conn.sock)
        wait_until(engine.closed.is_set, "the cancellation")
        assert self.query_error(query_id=QUERY_ID) == (500, 216)
        assert len(engine.asked) == 1

    def test_an_id_whose_query_never_ran_may_come_again(self):
        engine = self.engine()
        broker = self.broker(engine)
        for _ in range(3):
            client = self.ask(broker)
            assert result_rows(client.get())
            client.close()
        assert len(engine.wants) == 3  # each has been answered

    def start_upgrade(self, engine):
        """Start two processes that share a listening socket; return them, and the function to end the first.

        Until then, only the first one accepts: the second is started later by the caller."""
        listening = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.addCleanup(listening.close)
        return lambda: self.broker(
            engine,
            port=listening.getsockname()[1],
            env=METRICS_OFTEN | {"ROUTER_SOCKET_FD": str(listening.fileno())},
            inherited_fds=(listening.fileno(),),
        )

    def check_id_at_the_next_process(self, leaves_before):
        engine = self.engine(never_answer)
        start = self.start_upgrade(engine)
        old = start()
        client = self.ask(old)
        wait_until(lambda: engine.wants, "the query at the engine")
        if leaves_before:
            client.close()
            wait_until(lambda: engine.commands("never_mind"), "the cancellation")
        new = start()
        old.process.send_signal(signal.SIGTERM)
        old.wait_for_log("stopping")
        answer = self.ask(new).get()
        assert answer["error"]["code"] == ID_IS_USED
        assert len(engine.wants) == 1

    def test_an_id_that_runs_at_the_other_process_of_an_upgrade(self):
        """Regression: the processes shared nothing about ids, and the query ran at both."""
        self.check_id_at_the_next_process(leaves_before=False)

    def test_an_id_whose_client_has_left_the_other_process_of_an_upgrade(self):
        """Regression: as above."""
        self.check_id_at_the_next_process(leaves_before=True)
