"""Engine lists of the directory, tested with the real broker process on sockets."""

from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import ROW
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import wait_until


class EngineLists(BrokerTestCase):
    def test_a_draining_engine_gets_no_new_attempts_and_older_lists_are_ignored(self):
        first, second = self.engine(), self.engine(name="s-2")
        broker = self.broker(first, second)
        client = self.client(broker)
        broker.dns.engines["s-1"] = (first.port, 1)
        broker.publish_list(7)
        broker.dns.engines["s-1"] = (first.port, 0)
        broker.publish_outdated_list(3)  # an older list, which would bring s-1 back
        for _ in range(20):
            client.ask()
            assert result_rows(client.get()) == ROW
        assert (len(first.wants), len(second.wants)) == (0, 20)

    def test_the_last_list_is_kept_while_the_directory_is_unreachable(self):
        broker = self.broker(self.engine())
        broker.dns.is_silent = True
        wait_until(lambda: "unreachable" in broker.log_text(), "the log line")
        client = self.client(broker)
        client.ask()
        assert result_rows(client.get()) == ROW
        broker.dns.is_silent = False
        wait_until(lambda: "reachable again" in broker.log_text(), "the log line")

    def test_not_healthy_without_engines(self):
        broker = self.broker()
        client = wait_until(lambda: self.connect_if_listening(broker), "the listener")
        client.send("status")
        assert not client.get()["result"]["healthy"]

    def connect_if_listening(self, broker):
        try:
            return self.client(broker)
        except OSError:
            return None

    def test_a_new_engine_at_a_removed_one_s_address_gets_a_new_connection(self):
        first = self.engine()
        broker = self.broker(first)
        client = self.client(broker)
        client.ask()
        client.get()
        del broker.dns.engines["s-1"]
        broker.dns.engines["s-9"] = (first.port, 0)
        broker.publish_list(2)
        client.ask()
        assert result_rows(client.get()) == ROW
        assert first.wants[0][0] is not first.wants[1][0]
