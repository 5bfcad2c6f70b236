"""Interfaces of the broker core and the fleet that zone failover depends on."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from cypressledge.broker.requests import AttemptObserver, ListedEngine, Query, Request
from cypressledge.decisions import contract as c
from cypressledge.decisions.manager import WorkloadManager
from cypressledge.fleet.messages import AnyItem


class ZoneLedger(Protocol):
    """The part of the request ledger that zone failover uses."""

    requests: dict[int, Request]
    observer: AttemptObserver | None
    admission_filter: Callable[[Query], bool] | None


class ZoneEngines(Protocol):
    """The part of the engine registry that zone failover uses. `engine_lists`: by source, unmodified."""

    engine_lists: dict[str, list[ListedEngine]]
    is_closed: Callable[[c.EngineListEntry], bool] | None

    def refresh(self) -> None:
        """Pass the engine lists to the decision module again, after the set of closed engines has changed."""


class ZoneLoop(Protocol):
    """The part of the event loop that zone failover uses."""

    manager: WorkloadManager

    def now(self) -> int:
        """Return the core's time, µs. This is not the clock that leases use."""


class ZoneCore(Protocol):
    """The part of a broker's core that zone failover uses."""

    @property
    def settings(self) -> c.Settings:
        """The current settings of the site."""

    @property
    def ledger(self) -> ZoneLedger:
        """The ledger of open requests."""

    @property
    def engines(self) -> ZoneEngines:
        """The registry of engines."""

    @property
    def loop(self) -> ZoneLoop:
        """The event loop that runs the decision module."""


class LogEvent(Protocol):
    """A callable that counts and logs an event with its fields."""

    def __call__(self, event: str, **fields: object) -> None:
        """Count and log one event."""


@dataclass(frozen=True, slots=True)
class FleetLinks:
    """Callables that connect one broker's zone failover to the fleet.

    `now`: µs of the clock that leases use; `send`: queues a message for a peer; `living_peers`: the names of
    all other brokers that are considered available; `likely_planners`: the first candidates for the
    planner's lease.
    """

    now: Callable[[], int]
    send: Callable[[str, AnyItem], None]
    living_peers: Callable[[], list[str]]
    likely_planners: Callable[[], list[str]]
    log_event: LogEvent
