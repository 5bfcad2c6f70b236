"""ClickHouse interface: authentication of a request's tenant."""

import base64

from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine
from tests.net.clickhouse.clickhouse_test_case import KEY, LOGIN, ClickHouseTestCase


class Authentication(ClickHouseTestCase):
    def test_headers_basic_authentication_and_parameters_authenticate_a_tenant(self):
        self.start_service(self.engine(kind=FakeClickHouseEngine))
        basic = {"Authorization": "Basic " + base64.b64encode(f"sales:{KEY}".encode()).decode()}
        assert self.query(login=basic)[0] == 200
        assert self.query(login={}, user="sales", password=KEY)[0] == 200
        for login in (
            {},
            {"X-ClickHouse-User": "sales"},
            LOGIN | {"X-ClickHouse-Key": "wrong"},
            LOGIN | basic,
            {"Authorization": "Bearer x"},
            {"X-ClickHouse-User": "sahel"},
        ):
            with self.subTest(login):
                assert self.query_error(login=login) == (403, 516)
