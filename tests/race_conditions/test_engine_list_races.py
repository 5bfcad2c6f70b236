"""Engine lists that change while attempts or polls are in flight.

Each test forces an order of events on real connections: with a fake that controls when bytes arrive, or with
a hook that stops the program at a certain point (tests/fakes/program_with_breakpoints.py).
"""

import time

from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_name_server import FakeNameServer
from tests.fakes.support import wait_until
from tests.race_conditions.scenarios import CONNECT, site


class EngineListRaces(BrokerTestCase):
    """A new engine list takes effect at once, also for attempts and polls in flight."""

    def test_a_drain_listed_while_the_connection_comes_up_applies(self):
        """The engine's state is checked when the attempt is written, not only when it is decided."""
        draining, staying = self.engine(name="s-1"), self.engine(name="s-2")
        broker = self.broker(draining, change=site(ConnectTimeout=5_000_000), hooks={"connect": CONNECT})
        client = self.client(broker)
        client.ask()
        broker.wait_for_hook("connect")
        broker.dns.engines = {draining.name: (draining.port, 1), staying.name: (staying.port, 0)}
        broker.publish_list(2)
        broker.release_hook("connect")
        assert "result" in client.get()
        assert [len(draining.wants), len(staying.wants)] == [0, 1]

    def test_a_drain_listed_as_an_unreachable_directory_returns_applies(self):
        """A poll without a response is repeated within the poll interval, on a new socket."""
        draining, staying = self.engine(name="s-1"), self.engine(name="s-2")
        broker = self.broker(draining, staying)
        broker.dns.is_silent = True
        broker.wait_for_log("directory: unreachable")
        broker.dns.engines[draining.name] = (draining.port, 1)
        broker.dns.serial, broker.dns.is_silent = 2, False
        published_at = time.monotonic()
        broker.wait_for_list()
        sent, client = len(draining.wants), self.client(broker)
        for _ in range(8):
            client.ask()
            assert "result" in client.get()
        assert time.monotonic() - published_at < 2.0
        assert len(draining.wants) == sent

    def test_a_response_of_the_former_directory_in_flight_is_ignored(self):
        """Regression: the response was applied, and because of its higher serial all lists of the new
        directory counted as outdated."""
        one, two = self.engine(name="s-1"), self.engine(name="s-2")
        broker = self.broker(one, two, hooks={"answer": "cypressledge.net.dns_discovery:_receive_datagram#8"})
        broker.dns.is_silent = True
        broker.wait_for_hook("answer")  # the poll has been sent, and its answer is not read yet
        wait_until(lambda: broker.dns.asked >= 8, "the query")
        broker.dns.engines[one.name] = (one.port, 1)
        broker.dns.serial = 9
        broker.dns.answer_last_query()
        other = FakeNameServer()
        self.addCleanup(other.close)
        other.engines, other.serial = {one.name: (one.port, 0), two.name: (two.port, 1)}, 2
        broker.reload(dns=f"127.0.0.1:{other.port}")
        broker.release_hook("answer")
        wait_until(lambda: other.asked > 1, "a poll of the new directory")
        client = self.client(broker)
        for _ in range(4):
            client.ask()
            assert "result" in client.get()
        assert [len(one.wants), len(two.wants)] == [4, 0]
