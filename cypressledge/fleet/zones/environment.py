"""What zone failover needs of its broker's core, and of the fleet."""

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
    """The part of the engine registry that zone failover uses. `engine_lists`: by source, as it gave them."""

    engine_lists: dict[str, list[ListedEngine]]
    is_closed: Callable[[c.EngineListEntry], bool] | None

    def refresh(self) -> None:
        """What is closed has changed: have the decision module see the lists anew."""


class ZoneLoop(Protocol):
    """The part of the event loop that zone failover uses."""

    manager: WorkloadManager

    def now(self) -> int:
        """The core's time, µs: another clock than that of leases."""


class ZoneCore(Protocol):
    """The part of a broker's core that zone failover uses."""

    @property
    def settings(self) -> c.Settings:
        """The site's settings."""

    @property
    def ledger(self) -> ZoneLedger:
        """The requests."""

    @property
    def engines(self) -> ZoneEngines:
        """The engines."""

    @property
    def loop(self) -> ZoneLoop:
        """The loop that owns the decisions."""


class LogEvent(Protocol):
    """Counts and logs an event with its fields."""

    def __call__(self, event: str, **fields: object) -> None:
        """Log one event."""


@dataclass(frozen=True, slots=True)
class FleetLinks:
    """How one broker reaches the fleet. `now`: µs of the clock that leases use; `send`: queues a message for
    a peer; `living_peers`: all others that can be counted on; `likely_planners`: the first in line for the
    planner's lease."""

    now: Callable[[], int]
    send: Callable[[str, AnyItem], None]
    living_peers: Callable[[], list[str]]
    likely_planners: Callable[[], list[str]]
    log_event: LogEvent
