"""Events that the parts of a control process emit: they are counted, logged and passed to subscribers.

The parts don't depend on each other; a part that has to act on an event subscribes to it.
"""

from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

from cypressledge.broker.metrics import Counters

# Log names of events whose own names would be unclear in the log, which does not show the part that emits
# them.
LOG_NAMES = {"primary": "leader_started", "stepped_down": "leader_stopped", "recovering": "leader_recovering"}


class EventLogger(Protocol):
    """The interface of a structured logger that events need."""

    def info(self, event: str, **fields: object) -> None:
        """Write one log line with an event and its fields."""


class ProcessEvents:
    """Counts, logs and dispatches the events of one control process."""

    def __init__(self, counters: Counters, log: EventLogger) -> None:
        self._counters, self._log = counters, log
        self._subscribers: dict[str, list[Callable[[dict[str, object]], None]]] = defaultdict(list)

    def subscribe(self, event: str, subscriber: Callable[[dict[str, object]], None]) -> None:
        """Call `subscriber(fields)` for each event of that name, before it is logged."""
        self._subscribers[event].append(subscriber)

    def emit(self, event: str, **fields: object) -> None:
        """Count an event, pass it to its subscribers, and log it."""
        self._counters.add(f"control.{event}")
        for subscriber in self._subscribers.get(event, ()):
            subscriber(fields)
        if "broker" in fields:  # the log uses that field for the name of the process that writes the line
            fields["of"] = fields.pop("broker")
        self._log.info(LOG_NAMES.get(event, event), **fields)
