"""SIGHUP with a service file that cannot be used: the broker serves on with the old one."""

import signal
from pathlib import Path

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine
from tests.fakes.support import wait_until
from tests.net.clickhouse.clickhouse_test_case import SERVICE_TYPE, ClickHouseTestCase


class Reload(ClickHouseTestCase):
    def test_a_service_file_that_cannot_be_used_keeps_the_old_one_in_force(self):
        """Regression: SIGHUP with a file in Latin-1 ended the broker with all its open requests."""
        broker = self.start_service(self.engine(kind=FakeClickHouseEngine))
        file = Path(broker.dir.name) / "service.toml"
        content = file.read_bytes()
        for count, (changed, reason) in enumerate(
            (
                ("# D\u00e9p\u00f4t de Sfax\n".encode("latin-1") + content, "not UTF-8"),
                (content.replace(SERVICE_TYPE.encode(), b"_clickhouse-http._tcp..lan."), "no DNS name"),
                (content.replace(b'server = "127.0.0.1:', b'server = "127.0.0.1:\xc2\xb2'), "HOST:PORT"),
            )
        ):
            with self.subTest(reason):
                file.write_bytes(changed)
                broker.process.send_signal(signal.SIGHUP)
                wait_until(
                    lambda count=count: broker.log_text().count("reload:") > count
                    or broker.process.poll() is not None,
                    "the reload",
                )
                assert broker.process.poll() is None
                line = broker.log_text().splitlines()[-1]
                assert "the old configuration stays in force" in line
                assert reason in line
                assert self.query()[0] == 200
