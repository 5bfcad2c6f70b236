"""The fleet's summary: all brokers' metrics, collected by the holder of a lease and sent to all brokers.

Every broker serves the latest summary to operators. No sockets: messages go through the functions passed in.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from cypressledge.fleet.leases.lease import HeldLease
from cypressledge.fleet.messages import AnyItem, BrokerMetrics, FleetSummary, MetricsRequest
from cypressledge.fleet.operator_answers import SummaryAnswer
from cypressledge.fleet.tasks.task_runner import TaskSteps

COLLECTION_WINDOW_S = 0.4  # seconds that brokers have to send their metrics
PEERS_PER_STEP = 16  # peers; one step of the task sends messages to this many
COUNT_NAMES = ("success", "overload", "error", "dispatches")  # counts of a class, in the order of messages
MAX_ENGINES = 128  # engines named in a summary: those that most brokers avoid


def broker_metrics(
    token: int,
    counts: dict[str, int],
    classes: tuple[str, ...],
    avoided_engines: list[str],
    ready_engines: int,
    open_requests: int,
) -> BrokerMetrics:
    """Return a broker's metrics, from its counters `counts`."""
    counts_by_class = {
        cls: [counts.get(f"replies.{cls}.{name}", 0) for name in COUNT_NAMES] for cls in classes
    }
    avoided = sorted(avoided_engines)[:MAX_ENGINES]
    return BrokerMetrics(token, counts_by_class, avoided, ready_engines, open_requests)


@dataclass(slots=True)
class SummaryRound:
    """One round of the summary: the brokers' metrics received under one token."""

    token: int
    instance_id: int
    holder: str
    received: dict[str, BrokerMetrics] = field(default_factory=dict)

    def add(self, broker: str, metrics: BrokerMetrics) -> bool:
        """Add a broker's metrics; return False, and ignore them, if they are not of this round's token."""
        if metrics.token != self.token:
            return False
        self.received[broker] = metrics
        return True

    def summary(self, brokers: list[str]) -> FleetSummary:
        """Return the merged metrics. Those of `brokers` that have sent none are named as missing."""
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
    """The check of tokens at a resource that tasks act on. It keeps the highest token so far, and rejects a
    lower one, or the same one from another process."""

    token: int = 0
    instance_id: int = 0

    def admits(self, token: int, instance_id: int) -> bool:
        """Return whether an act under this token may take place; if so, keep the token as the highest."""
        if token < self.token or (token == self.token and instance_id != self.instance_id):
            return False
        self.token, self.instance_id = token, instance_id
        return True


class FleetSummaries:
    """The summary at one broker, whether it holds the lease or not.

    `own_metrics` gets a token and returns this broker's metrics; `peers` returns the other brokers alive,
    `all_brokers` all that are configured, alive or not; `send` gets (peer, item); `now` returns µs.
    """

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
        """Run one round under a held lease: collect all brokers' metrics, then send the summary to all."""
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
        """Handle a peer's message about summaries. Messages of an older holder are rejected."""
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
        """Return the operators' answer with the latest summary and its age; None if there is none yet."""
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
