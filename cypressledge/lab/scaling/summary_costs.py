"""Processor time and datagram size of the fleet's summary, by the number of brokers and engines."""

from dataclasses import dataclass
from typing import Any

from cypressledge.broker.stable_hash import stable_hash
from cypressledge.fleet.messages import VERSION, BrokerMetrics, Envelope, encode
from cypressledge.fleet.tasks.fleet_summary import MAX_ENGINES, SummaryRound
from cypressledge.lab.scaling.measuring import HEADER_BYTES, median_cpu_ms


def datagram_bytes(*items: Any) -> int:
    """Return the size in bytes of a datagram that carries the items, including headers."""
    return len(encode(Envelope(VERSION, "n000", "n001", 1 << 61, 3, 1, 1, list(items)))) + HEADER_BYTES


def broker_metrics(engines: int, avoided: int) -> BrokerMetrics:
    """Return a broker's metrics in which it avoids `avoided` engines, at most `MAX_ENGINES`."""
    classes = {name: [40_000_000, 12_000, 3_000, 41_000_000] for name in ("lookup", "report", "order-load")}
    return BrokerMetrics(
        7,
        classes,
        [f"s-{stable_hash(f's-{i}', 4):08x}" for i in range(min(avoided, MAX_ENGINES))],
        engines,
        60,
    )


@dataclass(frozen=True, slots=True)
class SummaryCost:
    """Processor time (ms) of one summary, and the size (bytes) of its datagram."""

    ms: float
    size: int


def summary_cost(brokers: int, engines: int) -> SummaryCost:
    """Measure a summary from which a quarter of the brokers is missing, as after the loss of a zone."""
    names = [f"n{i:03d}" for i in range(brokers)]
    merge = SummaryRound(7, 1 << 61, names[0])
    for name in names[brokers // 4 :]:
        merge.add(name, broker_metrics(engines, engines // 4))
    ms = median_cpu_ms(lambda: merge.summary(names), 3)
    return SummaryCost(ms, datagram_bytes(merge.summary(names)))
