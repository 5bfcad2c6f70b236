"""For the laboratory: a file of what was done when, which a checker compares between processes.

One JSON object a line. `at` is on the machine's own clock (µs since boot), the common scale of all processes
on one machine, whatever rate their lease clocks run at.
"""

import json

from cypressledge.fleet.clock import LeaseClock


class ActivityRecord:
    """Appends lines to the file at `path`; does nothing where that is empty. `identity`: fields that name the
    process in each line."""

    def __init__(self, path: str, identity: dict[str, object]) -> None:
        self._file = open(path, "a", buffering=1, encoding="utf-8") if path else None
        self._identity = identity
        self._clock = LeaseClock()

    @property
    def is_open(self) -> bool:
        """Whether lines are kept at all."""
        return self._file is not None

    def write(self, event: str, **fields: object) -> None:
        """One event, now."""
        if self._file is not None:
            line = {"at": self._clock.now(), **self._identity, "event": event, **fields}
            self._file.write(json.dumps(line) + "\n")
