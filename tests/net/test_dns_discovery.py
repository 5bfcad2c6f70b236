"""Discovery of engines by polling the directory over DNS."""

from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import ROW
from tests.fakes.json_rpc_client import result_rows


class DnsDiscovery(BrokerTestCase):
    def test_a_valid_answer_is_accepted_after_invalid_ones(self):
        """The invalid answers are a failure, a truncated one, one with another id, and an older list."""
        first, second = self.engine(), self.engine(name="s-2")
        broker = self.broker(first)
        broker.dns.sends_invalid_answers = True
        broker.dns.engines = {"s-2": (second.port, 0)}
        broker.publish_list(5)
        client = self.client(broker)
        client.ask()
        assert result_rows(client.get()) == ROW
        assert len(second.wants) == 1
