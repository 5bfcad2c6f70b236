"""Which requests are shed while the serving zones can't bear all: first what is over a tenant's quota. No
I/O.

Quotas are the site's (`QuotaRps`: requests a second of a tenant, over all brokers). Only the planner sees all
brokers' counts, so it works out which part of each tenant's requests goes; each broker sheds that part of
what it gets.
"""

from collections import Counter, deque
from collections.abc import Mapping
from hashlib import blake2b

from cypressledge.fleet.zones.failover_plan import PERMILLE

WINDOW = 250_000  # µs of one window of counts
WINDOW_COUNT = 8  # windows that counts cover: 2 s
COUNT_SECONDS = WINDOW * WINDOW_COUNT / 1e6
MAX_TENANTS = 32  # tenants that are reported, those with most requests: it has to fit into a datagram
MIN_EXCESS = 20  # permille under which nothing is shed: counts of two seconds scatter


class TenantArrivals:
    """How many requests each tenant has sent in the last two seconds."""

    def __init__(self) -> None:
        self.windows: deque[tuple[int, Counter[str]]] = deque(maxlen=WINDOW_COUNT)

    def add(self, now: int, tenant: str) -> None:
        """Count one more request, at `now` (µs)."""
        number = now // WINDOW
        if not self.windows or self.windows[-1][0] != number:
            self.windows.append((number, Counter()))
        self.windows[-1][1][tenant] += 1

    def counts(self, now: int) -> Mapping[str, int]:
        """Requests by tenant, of the `MAX_TENANTS` that sent most."""
        oldest = now // WINDOW - WINDOW_COUNT
        total: Counter[str] = Counter()
        for number, counts in self.windows:
            if number > oldest:
                total += counts
        return dict(total.most_common(MAX_TENANTS))


def over_quota(counts: Mapping[str, int], quotas: Mapping[str, float]) -> Mapping[str, int]:
    """By tenant: the part of its requests that is over its quota, permille; tenants within theirs are left
    out. `counts`: of all brokers together, in `COUNT_SECONDS`; `quotas`: requests a second."""
    parts = {
        tenant: round(PERMILLE * (1 - quotas[tenant] * COUNT_SECONDS / count))
        for tenant, count in counts.items()
        if count and quotas.get(tenant, 0) > 0
    }
    return {tenant: part for tenant, part in parts.items() if part >= MIN_EXCESS}


def over_quota_fraction(counts: Mapping[str, int], over: Mapping[str, int]) -> float:
    """The part of all requests that is over its tenant's quota, 0 to 1."""
    requests_over = sum(counts[tenant] * part for tenant, part in over.items())
    return requests_over / max(1, sum(counts.values())) / PERMILLE


def shed_permille_by_tenant(
    counts: Mapping[str, int], over: Mapping[str, int], excess: float
) -> Mapping[str, int]:
    """By tenant: the part of its requests that is shed, permille, so that `excess` of all (0 to 1) goes: of
    what is over quota first, beyond that of all tenants alike."""
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
    """Whether a request is one of the `part` permille of its tenant's that are shed. Goes by its id, so that
    a retry of it, at any broker, is treated alike."""
    digest = blake2b(request_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") * PERMILLE >> 32 < part
