"""A record of events for test runs: a file that a checker compares between processes.

Each line is one JSON object. `at` is the machine's own clock (µs since boot): it is common to all processes
on one machine, even if their lease clocks run at different rates.
"""

import json

from cypressledge.fleet.clock import LeaseClock


class ActivityRecord:
    """Appends events to the file at `path`; does nothing if `path` is empty.

    `identity`: fields that identify the process in each line.
    """

    def __init__(self, path: str, identity: dict[str, object]) -> None:
        self._file = open(path, "a", buffering=1, encoding="utf-8") if path else None
        self._identity = identity
        self._clock = LeaseClock()

    @property
    def is_open(self) -> bool:
        """Whether events are recorded."""
        return self._file is not None

    def write(self, event: str, **fields: object) -> None:
        """Append one event with the current time."""
        if self._file is not None:
            line = {"at": self._clock.now(), **self._identity, "event": event, **fields}
            self._file.write(json.dumps(line) + "\n")
