"""Engines out by hand: which they are, and how a list's entries look under that. Free of I/O.

An engine out counts as draining whatever its list says, until it is put back; two calls out need one
back. Operators restart an engine while it is out, so one put back is taken as born at its return:
cold, under the module's warm-up."""

import json
from dataclasses import dataclass, field, replace

from cypressledge.decisions.contract import EngineListEntry, EngineState

MAX_ID_LENGTH = 128


class MaintenanceError(Exception):
    """A call that can't be heeded; its first argument is the HTTP status."""


@dataclass(slots=True)
class Maintenance:
    """Engines out by hand, by name; and those put back, with when (µs of the monotonic clock)."""

    out_of_service: set[str] = field(default_factory=set)
    returned_at: dict[str, int] = field(default_factory=dict)

    def take_out(self, name: str, known: bool) -> bool:
        """Take an engine out; whether that changed anything."""
        self._check(name, known)
        changed = name not in self.out_of_service
        self.out_of_service.add(name)
        self.returned_at.pop(name, None)
        return changed

    def put_back(self, name: str, known: bool, now: int) -> bool:
        """Put an engine back; whether that changed anything."""
        self._check(name, known)
        if name not in self.out_of_service:
            return False
        self.out_of_service.discard(name)
        self.returned_at[name] = now
        return True

    def _check(self, name: str, known: bool) -> None:
        if not name or len(name) > MAX_ID_LENGTH or not name.isprintable() or " " in name:
            raise MaintenanceError(400, "no engine id")
        if not known and name not in self.out_of_service:
            raise MaintenanceError(404, f"no engine {name}")

    def effective_entry(self, name: str, entry: EngineListEntry) -> EngineListEntry:
        """How the module is to see an engine that a list names."""
        if name in self.out_of_service:
            return replace(entry, state=EngineState.DRAINING) if entry.state is EngineState.READY else entry
        born = self.returned_at.get(name, 0)
        return replace(entry, started_at=born) if born > entry.started_at else entry

    def to_json(self) -> bytes:
        """As it is kept."""
        return json.dumps({"out": sorted(self.out_of_service), "back": self.returned_at}).encode()

    @classmethod
    def from_json(cls, raw: bytes, now: int) -> "Maintenance":
        """As it was kept; what can't be read is an empty set. `now` is the monotonic clock, µs: a return that
        is still to come was kept before the machine booted, or on another clock, and counts as just now."""
        try:
            kept = json.loads(raw)
            back = {str(n): min(int(t), now) for n, t in kept["back"].items()}
            return cls({str(n) for n in kept["out"]}, back)
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            return cls()
