"""Engines that operators hold out of service, and how list entries look under that. Free of I/O.

An engine out of service counts as draining whatever its list says, until it is put back; two calls out
need one back. Operators restart an engine while it is out, so one put back counts as started at its return:
it is under the module's slow start.
"""

import json
from dataclasses import dataclass, field, replace

from cypressledge.decisions.contract import EngineListEntry, EngineState

MAX_ID_LENGTH = 128  # characters
STATUS_BAD_REQUEST = 400  # of HTTP
STATUS_NOT_FOUND = 404


class MaintenanceError(Exception):
    """A call that is rejected; `status` is the HTTP status that answers it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Maintenance:
    """Engines out of service, by name; and those put back, with when (µs of the monotonic clock)."""

    out_of_service: set[str] = field(default_factory=set)
    returned_at: dict[str, int] = field(default_factory=dict)

    def take_out(self, name: str, is_listed: bool) -> bool:
        """Take an engine out, and answer whether that changed anything. Raises `MaintenanceError`."""
        self._check(name, is_listed)
        changed = name not in self.out_of_service
        self.out_of_service.add(name)
        self.returned_at.pop(name, None)
        return changed

    def put_back(self, name: str, is_listed: bool, now: int) -> bool:
        """Put an engine back, and answer whether that changed anything. Raises `MaintenanceError`."""
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
        """How the module is to see an engine that a list names."""
        if name in self.out_of_service:
            is_ready = entry.state is EngineState.READY
            return replace(entry, state=EngineState.DRAINING) if is_ready else entry
        returned_at = self.returned_at.get(name, 0)
        return replace(entry, started_at=returned_at) if returned_at > entry.started_at else entry

    def to_json(self) -> bytes:
        """As the maintenance file keeps it."""
        return json.dumps({"out": sorted(self.out_of_service), "back": self.returned_at}).encode()

    @classmethod
    def from_json(cls, raw: bytes, now: int) -> "Maintenance":
        """From the maintenance file; what can't be read is empty. `now`: µs of the monotonic clock.

        A return that is still to come was kept before the machine booted, or on another clock, and counts as
        just now."""
        try:
            kept = json.loads(raw)
            returned_at = {str(name): min(int(at), now) for name, at in kept["back"].items()}
            return cls({str(name) for name in kept["out"]}, returned_at)
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            return cls()
