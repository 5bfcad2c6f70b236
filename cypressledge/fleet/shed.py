"""Which requests are refused while the zones that serve can't bear all: what is over a share. No I/O.

Shares are the site's (`QuotaRps`: requests a second of a tenant, over all brokers). Only the planner sees all
brokers' counts, so it reckons each tenant's part that is over; each broker refuses that part of what it gets.
"""

from collections import Counter, deque
from hashlib import blake2b

FULL = 1_000  # permille
WINDOW = 250_000  # µs
WINDOWS = 8  # that counts cover: 2 s
SPAN_S = WINDOW * WINDOWS / 1e6
TENANTS_MOST = 32  # that a sight names: those that ask most
LEAST = 20  # permille under which nothing is refused: counts of two seconds scatter


class Arrivals:
    """How many requests each tenant has sent in the last two seconds."""

    def __init__(self) -> None:
        self.windows: deque[tuple[int, Counter[str]]] = deque(maxlen=WINDOWS)

    def add(self, now: int, tenant: str) -> None:
        """One more, at `now` (µs)."""
        number = now // WINDOW
        if not self.windows or self.windows[-1][0] != number:
            self.windows.append((number, Counter()))
        self.windows[-1][1][tenant] += 1

    def counts(self, now: int) -> dict[str, int]:
        """By tenant, those that ask most."""
        oldest = now // WINDOW - WINDOWS
        total: Counter[str] = Counter()
        for number, counts in self.windows:
            if number > oldest:
                total += counts
        return dict(total.most_common(TENANTS_MOST))


def over_shares(counts: dict[str, int], quotas: dict[str, float]) -> dict[str, int]:
    """Each tenant's part that is over its share, permille. `counts`: of all brokers together, in `SPAN_S`."""
    parts = {
        t: round(FULL * (1 - quotas[t] * SPAN_S / n)) for t, n in counts.items() if n and quotas.get(t, 0) > 0
    }
    return {t: part for t, part in parts.items() if part >= LEAST}


def over_part(counts: dict[str, int], over: dict[str, int]) -> float:
    """The part of all requests that is over its tenant's share, 0 to 1."""
    return sum(counts[t] * part for t, part in over.items()) / max(1, sum(counts.values())) / FULL


def refused(counts: dict[str, int], over: dict[str, int], excess: float) -> dict[str, int]:
    """The part of each tenant's requests that is refused, permille, so that `excess` of all (0 to 1) goes: of
    what is over shares first, of all tenants alike beyond that."""
    if excess * FULL < LEAST:
        return {}
    worthless = over_part(counts, over)
    if excess <= worthless:
        return {t: round(part * excess / worthless) for t, part in over.items()}
    rest = (excess - worthless) / (1 - worthless)
    return {t: min(FULL, round((FULL - over.get(t, 0)) * rest) + over.get(t, 0)) for t in counts}


def is_shed(query: str, part: int) -> bool:
    """Whether a request is one of the `part` permille of its tenant's that are refused: by its id, so that
    one that comes again, anywhere, is treated alike."""
    return int.from_bytes(blake2b(query.encode(), digest_size=4).digest(), "big") * FULL >> 32 < part
