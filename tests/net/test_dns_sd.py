"""Discovery of ClickHouse engines by DNS-SD."""

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine
from tests.fakes.support import wait_until
from tests.net.clickhouse.clickhouse_test_case import SERVICE_TYPE, ClickHouseTestCase


class DnsSdDiscovery(ClickHouseTestCase):
    def test_engines_are_added_and_drained_as_dns_sd_lists_them(self):
        engine = self.engine(kind=FakeClickHouseEngine)
        broker = self.start_service(engine)
        listed = self.call_admin_api("GET", "/v1/engines")[1]["engines"]
        assert listed == [
            {
                "name": "ch-0",
                "address": f"127.0.0.1:{engine.port}",
                "wire": "clickhouse",
                "state": "ready",
                "attempts": 0,
            }
        ]
        broker.dns.instances[f"ch-0.{SERVICE_TYPE}"] = (engine.port, "draining")
        wait_until(
            lambda: self.call_admin_api("GET", "/v1/engines")[1]["engines"][0]["state"] == "draining",
            "the drain",
        )
        status, _, _ = self.query(max_execution_time="0.5")
        assert (status, engine.asked) == (503, [])
