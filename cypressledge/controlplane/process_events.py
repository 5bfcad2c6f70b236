"""What the parts of a control process report: counted, logged under the operators' names, and passed on.

The parts know nothing of each other; whoever has to act on an event subscribes to it.
"""

from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

from cypressledge.broker.metrics import Counters

# Names in the log of events whose own name says too little without the part that reports them.
LOG_NAMES = {"primary": "leader_started", "stepped_down": "leader_stopped", "recovering": "leader_recovering"}


class EventLogger(Protocol):
    """What is needed of a structured logger."""

    def info(self, event: str, **fields: object) -> None:
        """Write one line."""


class ProcessEvents:
    """The events of one control process."""

    def __init__(self, counters: Counters, log: EventLogger) -> None:
        self._counters, self._log = counters, log
        self._subscribers: dict[str, list[Callable[[dict[str, object]], None]]] = defaultdict(list)

    def subscribe(self, event: str, subscriber: Callable[[dict[str, object]], None]) -> None:
        """Call `subscriber(fields)` at each such event, before it is logged."""
        self._subscribers[event].append(subscriber)

    def emit(self, event: str, **fields: object) -> None:
        """Count an event, pass it on, and log it."""
        self._counters.add(f"control.{event}")
        for subscriber in self._subscribers.get(event, ()):
            subscriber(fields)
        if "broker" in fields:  # the log's own field of that name is who writes
            fields["of"] = fields.pop("broker")
        self._log.info(LOG_NAMES.get(event, event), **fields)
