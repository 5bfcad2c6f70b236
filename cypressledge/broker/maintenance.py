"""Engines that operators have taken out of service, and the effect on their list entries. Performs no I/O.

An engine out of service is treated as draining, even if it is listed as ready, until it is put back. One call
puts an engine back even if it was taken out twice. Operators restart engines while they are out of service,
so an engine counts as started at the time at which it is put back, and the module applies slow start to it.
"""

import json
from dataclasses import dataclass, field, replace

from cypressledge.decisions.contract import EngineListEntry, EngineState

MAX_ID_LENGTH = 128  # characters
STATUS_BAD_REQUEST = 400  # HTTP status
STATUS_NOT_FOUND = 404  # HTTP status


class MaintenanceError(Exception):
    """A rejected maintenance call; `status` is the HTTP status of the response."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Maintenance:
    """The engines out of service, and the times (µs of the monotonic clock) when engines were put back."""

    out_of_service: set[str] = field(default_factory=set)
    returned_at: dict[str, int] = field(default_factory=dict)

    def take_out(self, name: str, is_listed: bool) -> bool:
        """Take an engine out of service, and return whether it was in service. Raises `MaintenanceError`."""
        self._check(name, is_listed)
        changed = name not in self.out_of_service
        self.out_of_service.add(name)
        self.returned_at.pop(name, None)
        return changed

    def put_back(self, name: str, is_listed: bool, now: int) -> bool:
        """Put an engine back in service, and return whether it was out of service.

        `now`: µs of the monotonic clock. Raises `MaintenanceError`."""
        self._check(name, is_listed)
        if name not in self.out_of_service:
            return False
        self.out_of_service.discard(name)
        self.returned_at[name] = now
        return True

    def _check(self, name: str, is_listed: bool) -> None:
        if not name or len(name) > MAX_ID_LENGTH or not name.isprintable() or " " in name:
            raise MaintenanceError(STATUS_BAD_REQUEST, "no engine id")
        if not is_listed and name not in self.out_of_service:
            raise MaintenanceError(STATUS_NOT_FOUND, f"no engine {name}")

    def effective_entry(self, name: str, entry: EngineListEntry) -> EngineListEntry:
        """Return a list entry as the module gets it: draining if out of service, just started if put back."""
        if name in self.out_of_service:
            is_ready = entry.state is EngineState.READY
            return replace(entry, state=EngineState.DRAINING) if is_ready else entry
        returned_at = self.returned_at.get(name, 0)
        return replace(entry, started_at=returned_at) if returned_at > entry.started_at else entry

    def to_json(self) -> bytes:
        """Return the content of the maintenance file."""
        return json.dumps({"out": sorted(self.out_of_service), "back": self.returned_at}).encode()

    @classmethod
    def from_json(cls, raw: bytes, now: int) -> "Maintenance":
        """Read the content of the maintenance file; invalid content yields an empty state.

        `now`: µs of the monotonic clock. A return time in the future was saved before the last boot of the
        machine or on another clock, and is replaced by `now`."""
        try:
            kept = json.loads(raw)
            returned_at = {str(name): min(int(at), now) for name, at in kept["back"].items()}
            return cls({str(name) for name in kept["out"]}, returned_at)
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            return cls()
