"""The brokers connected to one control process, and the reports about them to the leader. No I/O."""

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from cypressledge.controlplane.messages import AppliedReport, Op
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.subscription import Subscription

MAX_REASONS = 500  # rejections with a reason in one report; with more, the report might exceed a frame
# Names of changed brokers that are kept for the next report, as a multiple of the limit of subscribers.
MAX_CHANGES_PER_SUBSCRIBER = 4


class BrokerVersion(NamedTuple):
    """The version that a broker holds, and the instance id of its process."""

    instance_id: int
    version: int


NOT_CONNECTED = BrokerVersion(0, -1)  # in a report: the broker has disconnected


class SubscriptionTable:
    """The subscriptions by connection and by broker, and the changes since the last report to the leader."""

    def __init__(self, max_subscribers: int) -> None:
        self._by_connection: dict[int, Subscription] = {}
        self._by_name: dict[str, Subscription] = {}
        self._changed: set[str] = set()  # names of brokers that have changed since the last report
        self._max_named_changes = MAX_CHANGES_PER_SUBSCRIBER * max_subscribers
        self._is_complete_report_due = False  # set if too many brokers have changed to keep their names

    def __len__(self) -> int:
        return len(self._by_connection)

    def __contains__(self, connection: int) -> bool:
        return connection in self._by_connection

    def __iter__(self) -> Iterator[Subscription]:
        """Iterate over a copy, so that subscriptions may be added and removed meanwhile."""
        return iter(list(self._by_connection.values()))

    def __getitem__(self, connection: int) -> Subscription:
        return self._by_connection[connection]

    def get(self, connection: int) -> Subscription | None:
        """Return the subscription of a connection, or None."""
        return self._by_connection.get(connection)

    def by_broker(self, broker: str) -> Subscription | None:
        """Return the subscription of a broker, or None if it is not connected."""
        return self._by_name.get(broker)

    def add(self, subscription: Subscription) -> None:
        """Add the subscription of a broker that has connected."""
        self._by_connection[subscription.connection] = subscription
        self._by_name[subscription.name] = subscription
        self.mark_changed(subscription)

    def remove(self, subscription: Subscription) -> None:
        """Remove the subscription of a broker whose connection has ended."""
        del self._by_connection[subscription.connection], self._by_name[subscription.name]
        self.mark_changed(subscription)

    # Reports to the leader

    def mark_changed(self, subscription: Subscription) -> None:
        """Include a broker in the next report.

        The number of names is bounded, since there may be no request for a report for a long time; beyond the
        limit, the next report is a complete one.
        """
        self._changed.add(subscription.name)
        if len(self._changed) > self._max_named_changes:
            self._is_complete_report_due = True
            self._changed.clear()

    @property
    def changed_count(self) -> int:
        """The number of names that are kept for the next report."""
        return len(self._changed)

    def applied_versions(self) -> Mapping[str, BrokerVersion]:
        """Return the version at each broker, by name; it is in force there except for `rejections`."""
        return {s.name: BrokerVersion(s.instance_id, s.applied.version) for s in self._by_connection.values()}

    def rejections(self, names: Iterable[str]) -> dict[str, str]:
        """Return those of the named brokers that have rejected a part of their state, with the reason.

        After the first `MAX_REASONS` brokers the reason is only "refused".
        """
        found: dict[str, str] = {}
        for name in names:
            subscription = self._by_name.get(name)
            if subscription is not None and subscription.rejection_reason:
                found[name] = subscription.rejection_reason if len(found) < MAX_REASONS else "refused"
        return found

    def report(self, is_complete: bool) -> AppliedReport | None:
        """Return the changes of `applied_versions` and `rejections` since the last call, or all of them.

        Returns None if there is nothing to report.
        """
        is_complete = is_complete or self._is_complete_report_due
        applied = self.applied_versions()
        names = sorted(applied if is_complete else self._changed)
        brokers = [(name, *applied.get(name, NOT_CONNECTED)) for name in names]
        self._changed.clear()
        self._is_complete_report_due = False
        return AppliedReport(is_complete, brokers, self.rejections(names)) if brokers or is_complete else None

    def registrations(self, state: FleetState) -> list[Op]:
        """Return the registrations of connected brokers whose entry in the state differs or is missing.

        Each should be validated on its own: two brokers with the same address must not block the others.
        """
        ops = [s.registration for s in self._by_connection.values() if s.registration]
        return [op for op in ops if (entry := state.entries.get(op.key)) is None or entry.value != op.value]
