"""The administration API: tenants and their limits."""

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine, stall_after_first_rows
from tests.fakes.support import wait_until
from tests.net.clickhouse.clickhouse_test_case import ClickHouseTestCase


class AdminApi(ClickHouseTestCase):
    def test_tenants_are_added_changed_listed_and_removed(self):
        self.start_service(self.engine(kind=FakeClickHouseEngine))
        login = {"X-ClickHouse-User": "hotel", "X-ClickHouse-Key": "a-key-of-the-hotel"}
        assert self.query(login=login)[0] == 403
        created = self.call_admin_api(
            "POST", "/v1/tenants", {"name": "hotel", "key": "a-key-of-the-hotel", "most_open": 2}
        )
        assert created == (201, {"name": "hotel", "most_open": 2, "enabled": True, "open": 0})
        assert self.query(login=login)[0] == 200
        duplicate = {"name": "hotel", "key": "another-long-key"}
        assert self.call_admin_api("POST", "/v1/tenants", duplicate)[0] == 409
        names = [tenant["name"] for tenant in self.call_admin_api("GET", "/v1/tenants")[1]["tenants"]]
        assert names == ["hotel", "sales"]
        assert self.call_admin_api("PATCH", "/v1/tenants/hotel", {"enabled": False})[0] == 200
        assert self.query(login=login)[0] == 403
        assert self.call_admin_api("PATCH", "/v1/tenants/hotel", {"enabled": True})[0] == 200
        assert self.query(login=login)[0] == 200
        assert self.call_admin_api("DELETE", "/v1/tenants/hotel") == (204, None)
        assert self.query(login=login)[0] == 403
        assert self.call_admin_api("GET", "/v1/tenants/hotel")[0] == 404

    def test_invalid_calls_are_answered_with_an_error(self):
        self.start_service(self.engine(kind=FakeClickHouseEngine))
        for status, *call in (
            (401, "GET", "/v1/tenants", None, "wrong"),
            (404, "GET", "/v1/nothing"),
            (405, "PUT", "/v1/tenants"),
            (422, "POST", "/v1/tenants", {"name": "x y", "key": "long-enough-key"}),
            (422, "POST", "/v1/tenants", {"name": "x"}),
            (400, "POST", "/v1/tenants", [1]),
            (422, "PATCH", "/v1/tenants/sales", {"most_open": -1}),
            (422, "PATCH", "/v1/tenants/sales", {"colour": "red"}),
        ):
            with self.subTest(call):
                answer = self.call_admin_api(*call)
                assert answer[0] == status
                assert answer[1]["error"]

    def test_requests_beyond_a_tenant_s_limit_are_rejected(self):
        engine = self.engine(stall_after_first_rows, kind=FakeClickHouseEngine)
        self.start_service(engine)
        self.call_admin_api("PATCH", "/v1/tenants/sales", {"most_open": 1})
        self.start_query("/?workload=report")
        wait_until(lambda: engine.asked, "the attempt")
        status, headers, _ = self.query()
        assert (status, headers["Retry-After"]) == (503, "1")
