"""Selection of the requests to shed while the serving zones lack the capacity for all of them. No I/O.

Requests over their tenant's quota are shed first. Quotas are part of the site's settings (`QuotaRps`:
requests per second of a tenant over all brokers). Only the planner receives all brokers' counts, so it
computes the part of each tenant's requests to shed; each broker sheds that part of its own requests.
"""

from collections import Counter, deque
from collections.abc import Mapping
from hashlib import blake2b

from cypressledge.fleet.zones.failover_plan import PERMILLE

WINDOW = 250_000  # µs; length of one window of counts
WINDOW_COUNT = 8  # number of windows that counts cover: 2 s
COUNT_SECONDS = WINDOW * WINDOW_COUNT / 1e6
MAX_TENANTS = 32  # tenants reported, those with most requests; a report must fit into a datagram
MIN_EXCESS = 20  # permille under which nothing is shed, because counts over 2 s fluctuate


class TenantArrivals:
    """Counts of each tenant's requests at this broker in the last two seconds."""

    def __init__(self) -> None:
        self.windows: deque[tuple[int, Counter[str]]] = deque(maxlen=WINDOW_COUNT)

    def add(self, now: int, tenant: str) -> None:
        """Count one more request, at `now` (µs)."""
        number = now // WINDOW
        if not self.windows or self.windows[-1][0] != number:
            self.windows.append((number, Counter()))
        self.windows[-1][1][tenant] += 1

    def counts(self, now: int) -> Mapping[str, int]:
        """Return the number of requests by tenant, for the `MAX_TENANTS` tenants with most requests."""
        oldest = now // WINDOW - WINDOW_COUNT
        total: Counter[str] = Counter()
        for number, counts in self.windows:
            if number > oldest:
                total += counts
        return dict(total.most_common(MAX_TENANTS))


def over_quota(counts: Mapping[str, int], quotas: Mapping[str, float]) -> Mapping[str, int]:
    """Return by tenant the part of its requests that is over its quota, permille.

    Tenants within their quota are left out. `counts`: requests at all brokers within `COUNT_SECONDS`;
    `quotas`: requests per second.
    """
    parts = {
        tenant: round(PERMILLE * (1 - quotas[tenant] * COUNT_SECONDS / count))
        for tenant, count in counts.items()
        if count and quotas.get(tenant, 0) > 0
    }
    return {tenant: part for tenant, part in parts.items() if part >= MIN_EXCESS}


def over_quota_fraction(counts: Mapping[str, int], over: Mapping[str, int]) -> float:
    """Return the fraction of all requests that is over its tenant's quota, 0 to 1."""
    requests_over = sum(counts[tenant] * part for tenant, part in over.items())
    return requests_over / max(1, sum(counts.values())) / PERMILLE


def shed_permille_by_tenant(
    counts: Mapping[str, int], over: Mapping[str, int], excess: float
) -> Mapping[str, int]:
    """Return by tenant the part of its requests to shed, permille.

    Together they make up `excess`, a fraction of all requests (0 to 1). Requests over quota are shed first,
    then the same part of all tenants' remaining requests.
    """
    if excess * PERMILLE < MIN_EXCESS:
        return {}
    all_over = over_quota_fraction(counts, over)
    if excess <= all_over:
        return {tenant: round(part * excess / all_over) for tenant, part in over.items()}
    rest = (excess - all_over) / (1 - all_over)
    return {
        tenant: min(PERMILLE, round((PERMILLE - over.get(tenant, 0)) * rest) + over.get(tenant, 0))
        for tenant in counts
    }


def is_shed(request_id: str, part: int) -> bool:
    """Return whether a request is among the `part` permille of its tenant's requests that are shed.

    Depends on the request's id only, so that a retry at any broker gets the same result.
    """
    digest = blake2b(request_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") * PERMILLE >> 32 < part
