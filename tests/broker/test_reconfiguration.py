"""Reloads of the configuration on SIGHUP while the broker serves."""

from cypressledge.lab.site import SETTINGS
from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import ROW, answer_on_release
from tests.fakes.fake_name_server import FakeNameServer
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import wait_until


class Reload(BrokerTestCase):
    """The listener, connections, open requests and the serial of the engine list are kept on a reload."""

    def test_a_new_directory_is_polled_at_once_and_open_requests_continue(self):
        engine, other = self.engine(answer_on_release), self.engine(name="s-2")
        engine.released = False
        broker = self.broker(engine)
        client = self.client(broker)
        client.ask("report", wait=15000)
        wait_until(lambda: engine.wants, "the attempt")
        broker.dns.is_silent = True
        moved = FakeNameServer()
        self.addCleanup(moved.close)
        moved.serial, moved.engines = 2, {"s-1": (engine.port, 1), "s-2": (other.port, 0)}
        broker.reload(dns=f"127.0.0.1:{moved.port}")
        wait_until(lambda: moved.asked > 1, "the new directory")
        client.ask()  # on the connection opened before the reload; only s-2 is ready now
        assert client.get()["id"] == 2
        engine.released = True
        assert result_rows(client.get()) == ROW
        assert broker.process.poll() is None

    def test_the_serial_is_kept_over_a_reload(self):
        engine = self.engine()
        broker = self.broker(engine)
        broker.publish_list(7)
        moved = FakeNameServer()
        self.addCleanup(moved.close)
        moved.serial = 3  # an older list, without engines
        broker.reload(dns=f"127.0.0.1:{moved.port}")
        wait_until(lambda: moved.asked > 3, "the new directory")
        client = self.client(broker)
        client.ask()
        assert result_rows(client.get()) == ROW

    def test_an_invalid_file_keeps_the_old_configuration_in_force(self):
        broker = self.broker(self.engine())
        client = self.client(broker)
        for text, change, reason in (
            ("{half a fi", {}, "Expecting"),
            (None, {"dns": "nowhere"}, "HOST:PORT"),
            (None, {"listen": "127.0.0.1:1"}, "restart"),
            (None, {"settings": SETTINGS | {"Classes": SETTINGS["Classes"][:1]}}, "restart"),
            (None, {"settings": SETTINGS | {"Dcs": [{"Name": "room1"}]}}, "Dcs"),
            (None, {"settings": SETTINGS | {"Skus": [["node-8c"]]}}, "Skus"),
            (None, {"settings": SETTINGS | {"Step": float("inf")}}, "Infinity"),
            (None, {"dns": "127.0.0.1:\u00b2"}, "HOST:PORT"),
        ):
            with self.subTest(reason):
                before = dict(broker.config)
                line = broker.reload(text, **change)[-1]
                broker.config = before
                assert "the old configuration stays in force" in line
                assert reason in line
                client.ask()
                assert result_rows(client.get()) == ROW

    def test_other_changed_settings_apply_as_well(self):
        broker = self.broker(self.engine())
        client = self.client(broker)
        client.ask(tenant="sud")
        assert client.get()["error"]["code"] == -32602
        broker.reload(settings=SETTINGS | {"Customers": [{"Name": "sud"}]})
        client.ask(tenant="sud")
        assert result_rows(client.get()) == ROW
