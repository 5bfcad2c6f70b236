"""The brokers connected to one control process, and what the leader is told of them. No I/O."""

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from cypressledge.controlplane.messages import AppliedReport, Op
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.subscription import Subscription

MAX_REASONS = 500  # rejections in one report that say why: guards against more than a frame holds
MAX_CHANGES_PER_SUBSCRIBER = (
    4  # times the subscribers: names of changed ones that are kept for the next report
)


class BrokerVersion(NamedTuple):
    """Which version a broker holds, and which instance of it."""

    instance_id: int
    version: int


NOT_CONNECTED = BrokerVersion(0, -1)  # in a report: the broker has left


class SubscriptionTable:
    """The subscriptions by connection and by broker, and whose position has changed since the last report."""

    def __init__(self, max_subscribers: int) -> None:
        self._by_connection: dict[int, Subscription] = {}
        self._by_name: dict[str, Subscription] = {}
        self._changed: set[str] = set()  # names since the last report
        self._max_named_changes = MAX_CHANGES_PER_SUBSCRIBER * max_subscribers
        self._is_complete_report_due = False  # too many to name

    def __len__(self) -> int:
        return len(self._by_connection)

    def __contains__(self, connection: int) -> bool:
        return connection in self._by_connection

    def __iter__(self) -> Iterator[Subscription]:
        """All of them; they may be added and removed meanwhile."""
        return iter(list(self._by_connection.values()))

    def __getitem__(self, connection: int) -> Subscription:
        return self._by_connection[connection]

    def get(self, connection: int) -> Subscription | None:
        """The one of a connection, if there is one."""
        return self._by_connection.get(connection)

    def by_broker(self, broker: str) -> Subscription | None:
        """The one of a broker, if it is connected."""
        return self._by_name.get(broker)

    def add(self, subscription: Subscription) -> None:
        """A broker is connected."""
        self._by_connection[subscription.connection] = subscription
        self._by_name[subscription.name] = subscription
        self.mark_changed(subscription)

    def remove(self, subscription: Subscription) -> None:
        """A broker's connection has ended."""
        del self._by_connection[subscription.connection], self._by_name[subscription.name]
        self.mark_changed(subscription)

    # Reports to the leader

    def mark_changed(self, subscription: Subscription) -> None:
        """The next report names this one. Guards against names without end where nobody asks for a report."""
        self._changed.add(subscription.name)
        if len(self._changed) > self._max_named_changes:
            self._is_complete_report_due = True
            self._changed.clear()

    @property
    def changed_count(self) -> int:
        """How many names are kept for the next report."""
        return len(self._changed)

    def applied_versions(self) -> Mapping[str, BrokerVersion]:
        """By name of a broker: in force there but for what `rejections` says."""
        return {s.name: BrokerVersion(s.instance_id, s.applied.version) for s in self._by_connection.values()}

    def rejections(self, names: Iterable[str]) -> dict[str, str]:
        """By name, who of them has rejected some of what it holds, and why, the latter for `MAX_REASONS`."""
        found: dict[str, str] = {}
        for name in names:
            subscription = self._by_name.get(name)
            if subscription is not None and subscription.rejection_reason:
                found[name] = subscription.rejection_reason if len(found) < MAX_REASONS else "refused"
        return found

    def report(self, is_complete: bool) -> AppliedReport | None:
        """What has changed of `applied_versions` and `rejections` since the last call, or all of it; None:
        nothing."""
        is_complete = is_complete or self._is_complete_report_due
        applied = self.applied_versions()
        names = sorted(applied if is_complete else self._changed)
        brokers = [(name, *applied.get(name, NOT_CONNECTED)) for name in names]
        self._changed.clear()
        self._is_complete_report_due = False
        return AppliedReport(is_complete, brokers, self.rejections(names)) if brokers or is_complete else None

    def registrations(self, state: FleetState) -> list[Op]:
        """Changes for connected brokers that the state has at another place, or not at all. Each should be
        tried alone: two brokers that say one address must not hold up the others."""
        ops = [s.registration for s in self._by_connection.values() if s.registration]
        return [op for op in ops if (entry := state.entries.get(op.key)) is None or entry.value != op.value]
