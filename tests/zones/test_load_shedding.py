"""The part of each tenant's requests that is shed while the zones lack capacity."""

import pytest

from cypressledge.fleet.zones.load_shedding import (
    COUNT_SECONDS,
    TenantArrivals,
    is_shed,
    over_quota,
    over_quota_fraction,
    shed_permille_by_tenant,
)

S = 1_000_000


def test_quotas_apply_to_the_requests_of_the_whole_fleet():
    arrivals = TenantArrivals()
    for number in range(200):
        arrivals.add(number * S // 100, "big")
        if number % 10 == 0:
            arrivals.add(number * S // 100, "small")
    counts = arrivals.counts(2 * S - 1)
    assert counts == {"big": 200, "small": 20}
    over = over_quota(counts, {"big": 60.0, "small": 50.0})
    assert over == {"big": 400}  # 100 per second with a quota of 60
    assert over_quota_fraction(counts, over) == pytest.approx(80 / 220)
    assert over_quota(counts, {}) == {}
    assert over_quota_fraction({}, {}) == 0.0
    shed = sum(is_shed(f"q{i}", 400) for i in range(2_000))
    assert 700 < shed < 900
    assert not any(is_shed(f"q{i}", 0) for i in range(200))
    assert COUNT_SECONDS == 2.0
    assert arrivals.counts(9 * S) == {}


def test_requests_over_quota_are_shed_first_and_then_the_same_part_of_all_tenants():
    counts, over = {"big": 200, "small": 100}, {"big": 300}  # 60 of 300 are over quota
    assert shed_permille_by_tenant(counts, over, 0.01) == {} == shed_permille_by_tenant(counts, over, 0.0)
    assert shed_permille_by_tenant(counts, over, 0.1) == {"big": 150}
    assert shed_permille_by_tenant(counts, over, 0.2) == {"big": 300}
    parts = shed_permille_by_tenant(counts, over, 0.6)
    assert parts == {"big": 650, "small": 500}
    shed_requests = sum(counts[t] * part for t, part in parts.items()) / 1000
    assert shed_requests == pytest.approx(0.6 * 300)
    assert shed_permille_by_tenant(counts, over, 1.0) == {"big": 1000, "small": 1000}
