"""The administration API: tenants and their limits."""

from tests.fakes.fake_clickhouse_engine import (
    FakeClickHouseEngine,
    stall_after_first_rows,
)
from tests.fakes.support import wait_until
from tests.net.clickhouse.clickhouse_test_case import ClickHouseTestCase


class AdminApi(ClickHouseTestCase):
    def test_tenants_are_added_changed_listed_and_removed(self):
        self.service(self.engine(kind=FakeClickHouseEngine))
        login = {"X-ClickHouse-User": "hotel", "X-ClickHouse-Key": "a-key-of-the-hotel"}
        assert self.ask(login=login)[0] == 403
        made = self.api("POST", "/v1/tenants", {"name": "hotel", "key": "a-key-of-the-hotel", "most_open": 2})
        assert made == (201, {"name": "hotel", "most_open": 2, "enabled": True, "open": 0})
        assert self.ask(login=login)[0] == 200
        again = {"name": "hotel", "key": "another-long-key"}
        assert self.api("POST", "/v1/tenants", again)[0] == 409
        names = [t["name"] for t in self.api("GET", "/v1/tenants")[1]["tenants"]]
        assert names == ["hotel", "sales"]
        assert self.api("PATCH", "/v1/tenants/hotel", {"enabled": False})[0] == 200
        assert self.ask(login=login)[0] == 403
        assert self.api("PATCH", "/v1/tenants/hotel", {"enabled": True})[0] == 200
        assert self.ask(login=login)[0] == 200
        assert self.api("DELETE", "/v1/tenants/hotel") == (204, None)
        assert self.ask(login=login)[0] == 403
        assert self.api("GET", "/v1/tenants/hotel")[0] == 404

    def test_what_is_wrong_is_said(self):
        self.service(self.engine(kind=FakeClickHouseEngine))
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
                got = self.api(*call)
                assert got[0] == status
                assert got[1]["error"]

    def test_most_open_requests_of_a_tenant(self):
        engine = self.engine(stall_after_first_rows, kind=FakeClickHouseEngine)
        self.service(engine)
        self.api("PATCH", "/v1/tenants/sales", {"most_open": 1})
        self.begin("/?workload=report")
        wait_until(lambda: engine.asked, "the attempt")
        status, headers, _ = self.ask()
        assert (status, headers["Retry-After"]) == (503, "1")
