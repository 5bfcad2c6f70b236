"""The fleet's summary: all brokers' metrics, gathered by the holder of a lease, sent to all, served by each.

No sockets: messages go through the functions given.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from cypressledge.fleet.leases.lease import HeldLease
from cypressledge.fleet.messages import AnyItem, BrokerMetrics, FleetSummary, MetricsRequest
from cypressledge.fleet.operator_answers import SummaryAnswer
from cypressledge.fleet.tasks.task_runner import TaskSteps

COLLECTION_WINDOW_S = 0.4  # seconds that brokers have to send their metrics
PEERS_PER_STEP = 16  # that are sent a message in one step
COUNT_NAMES = ("success", "overload", "error", "dispatches")  # of a class, in this order
MAX_ENGINES = 128  # engines that a summary names: those that most brokers avoid


def broker_metrics(
    token: int,
    counts: dict[str, int],
    classes: tuple[str, ...],
    avoided_engines: list[str],
    ready_engines: int,
    open_requests: int,
) -> BrokerMetrics:
    """A broker's own metrics, from its counters."""
    counts_by_class = {
        cls: [counts.get(f"replies.{cls}.{name}", 0) for name in COUNT_NAMES] for cls in classes
    }
    avoided = sorted(avoided_engines)[:MAX_ENGINES]
    return BrokerMetrics(token, counts_by_class, avoided, ready_engines, open_requests)


@dataclass(slots=True)
class SummaryRound:
    """One round of a summary: metrics as they are received, under one token."""

    token: int
    instance_id: int
    holder: str
    received: dict[str, BrokerMetrics] = field(default_factory=dict)

    def add(self, broker: str, metrics: BrokerMetrics) -> bool:
        """Add a broker's metrics; whether they are of this round's token."""
        if metrics.token != self.token:
            return False
        self.received[broker] = metrics
        return True

    def summary(self, brokers: list[str]) -> FleetSummary:
        """All of them merged; those of `brokers` that sent none are named as missing."""
        counts_by_class: dict[str, list[int]] = {}
        avoided: dict[str, int] = {}
        for metrics in self.received.values():
            for cls, values in metrics.counts_by_class.items():
                if len(values) == len(COUNT_NAMES):
                    sums = counts_by_class.setdefault(cls, [0] * len(COUNT_NAMES))
                    counts_by_class[cls] = [a + b for a, b in zip(sums, values, strict=True)]
            for engine in metrics.avoided_engines:
                avoided[engine] = avoided.get(engine, 0) + 1
        most_avoided = sorted(avoided.items(), key=lambda e: (-e[1], e[0]))[:MAX_ENGINES]
        missing = sorted(set(brokers) - set(self.received))
        return FleetSummary(
            self.token,
            self.instance_id,
            self.holder,
            len(self.received),
            missing,
            counts_by_class,
            dict(most_avoided),
        )


@dataclass(slots=True)
class Fence:
    """What any resource that is acted on keeps: the highest token yet. A lower one is rejected, and so is the
    same one from another process."""

    token: int = 0
    instance_id: int = 0

    def admits(self, token: int, instance_id: int) -> bool:
        """Whether an act under this token may take place; it counts from here on."""
        if token < self.token or (token == self.token and instance_id != self.instance_id):
            return False
        self.token, self.instance_id = token, instance_id
        return True


class FleetSummaries:
    """The summary at one broker, as holder of the lease or not. `own_metrics` gets a token; `peers` gives
    those alive, `all_brokers` all that are configured, alive or not; `send` gets (peer, item)."""

    def __init__(
        self,
        name: str,
        own_metrics: Callable[[int], BrokerMetrics],
        peers: Callable[[], list[str]],
        all_brokers: Callable[[], list[str]],
        send: Callable[[str, AnyItem], None],
        now: Callable[[], int],
    ) -> None:
        self.name, self.own_metrics, self.peers, self.send, self.now = name, own_metrics, peers, send, now
        self.all_brokers = all_brokers
        self.round: SummaryRound | None = None
        self.fences: dict[str, Fence] = {}
        self.latest: FleetSummary | None = None
        self.received_at = 0
        self.rejected = 0

    def run(self, held: HeldLease) -> TaskSteps:
        """One round, under a held lease."""
        peers = self.peers()
        round_ = self.round = SummaryRound(held.token, held.instance_id, self.name)
        round_.add(self.name, self.own_metrics(held.token))
        yield from self._send_to_all(peers, MetricsRequest(held.lease, held.token, held.instance_id))
        yield COLLECTION_WINDOW_S
        summary = round_.summary(self.all_brokers())
        yield None
        yield from self._send_to_all(peers, summary)
        self._store_summary(summary)

    def _send_to_all(self, peers: list[str], item: AnyItem) -> TaskSteps:
        for at in range(0, len(peers), PEERS_PER_STEP):
            for peer in peers[at : at + PEERS_PER_STEP]:
                self.send(peer, item)
            yield None

    def receive(self, sender: str, item: MetricsRequest | BrokerMetrics | FleetSummary) -> None:
        """Handle a peer's message about summaries. One of an older holder is rejected."""
        if isinstance(item, MetricsRequest):
            if self._admits(item.lease, item):
                self.send(sender, self.own_metrics(item.token))
        elif isinstance(item, BrokerMetrics):
            if self.round is not None:
                self.round.add(sender, item)
        elif self._admits("", item):
            self._store_summary(item)

    def _admits(self, resource: str, item: MetricsRequest | FleetSummary) -> bool:
        admitted = self.fences.setdefault(resource, Fence()).admits(item.token, item.instance_id)
        self.rejected += not admitted
        return admitted

    def _store_summary(self, summary: FleetSummary) -> None:
        self.latest, self.received_at = summary, self.now()

    def answer(self) -> SummaryAnswer | None:
        """The latest summary and its age (s), as operators see it."""
        summary = self.latest
        if summary is None:
            return None
        return SummaryAnswer(
            holder=summary.holder,
            token=summary.token,
            age_s=round((self.now() - self.received_at) / 1e6, 2),
            broker_count=summary.broker_count,
            missing=summary.missing_brokers,
            counts_by_class=summary.counts_by_class,
            avoided_engines=summary.avoided_engines,
        )
