"""Engines discovered by DNS-SD."""

from tests.fakes.fake_clickhouse_engine import (
    FakeClickHouseEngine,
)
from tests.fakes.support import wait_until
from tests.net.clickhouse.clickhouse_test_case import TYPE, ClickHouseTestCase


class DnsSdDiscovery(ClickHouseTestCase):
    def test_engines_come_and_go_by_dns_sd(self):
        engine = self.engine(kind=FakeClickHouseEngine)
        broker = self.service(engine)
        listed = self.api("GET", "/v1/engines")[1]["engines"]
        assert listed == [
            {
                "name": "ch-0",
                "address": f"127.0.0.1:{engine.port}",
                "wire": "clickhouse",
                "state": "ready",
                "attempts": 0,
            }
        ]
        broker.dns.instances[f"ch-0.{TYPE}"] = (engine.port, "draining")
        wait_until(
            lambda: self.api("GET", "/v1/engines")[1]["engines"][0]["state"] == "draining", "the drain"
        )
        status, _, _ = self.ask(max_execution_time="0.5")
        assert (status, engine.asked) == (503, [])
