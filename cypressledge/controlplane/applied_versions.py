"""Which broker has what in force, as the control processes tell the primary. No I/O.

Only what was said is counted: a broker whose control process has gone silent is not taken for one that has
the newest.
"""

from collections.abc import Collection
from dataclasses import dataclass
from itertools import islice

from cypressledge.controlplane.messages import AppliedReport

NAMES_MOST = 50  # that an answer names


@dataclass(slots=True)
class Sight:
    """What one broker holds, said at a moment (µs); `refused`: why some of it is not in force there."""

    instance_id: int
    version: int
    at: int
    refused: str = ""


class InForce:
    """The newest words of all control processes about their brokers."""

    def __init__(self) -> None:
        self.told: dict[str, dict[str, Sight]] = {}  # by control process, by broker

    def report(self, now: int, sender: str, seen: AppliedReport) -> None:
        """Take what one control process says. Changes alone tell nothing: what they change isn't known."""
        if seen.is_complete:
            self.told[sender] = {}
        brokers = self.told.get(sender)
        if brokers is None:
            return
        for name, run, version in seen.brokers:
            if version < 0:
                brokers.pop(name, None)
            else:
                brokers[name] = Sight(run, version, now, seen.rejections.get(name, ""))

    def drop(self, sender: str) -> None:
        """A control process can't be heard: what it said may no longer be so."""
        self.told.pop(sender, None)

    def clear(self) -> None:
        """This process is not the primary any more."""
        self.told.clear()

    def newest(self) -> dict[str, Sight]:
        """Each connected broker, as last spoken of."""
        found: dict[str, Sight] = {}
        for brokers in self.told.values():
            for name, sight in brokers.items():
                if name not in found or found[name].at < sight.at:
                    found[name] = sight
        return found

    def connected(self, listed: Collection[str], linked: Collection[str]) -> set[str] | None:
        """Names of all connected brokers; none unless each listed control process is linked and has spoken:
        nobody else knows who is connected to it."""
        if not set(listed) <= set(linked) or not set(listed) <= set(self.told):
            return None
        return set(self.newest())

    def lag(self, version: int, registered: Collection[str], alive: Collection[str]) -> dict:
        """How many connected brokers have not that version yet, and their names, `NAMES_MOST` at most; apart
        from them those that hold it but have turned some of it down, and why, and those that are registered
        but connected nowhere. `unheard`: control processes that are alive but have not yet said who is
        connected to them: until they have, nobody knows who lags."""
        newest = self.newest()
        behind = sorted(name for name, sight in newest.items() if sight.version < version)
        refused = {
            name: sight.refused
            for name, sight in sorted(newest.items())
            if sight.refused and sight.version >= version
        }
        away = sorted(name for name in registered if name not in newest)
        return {
            "version": version,
            "connected": len(newest),
            "in_force": len(newest) - len(behind) - len(refused),
            "refused": len(refused),
            "refused_by": dict(islice(refused.items(), NAMES_MOST)),
            "lagging": len(behind),
            "names": behind[:NAMES_MOST],
            "registered": len(registered),
            "unreachable": len(away),
            "unreachable_names": away[:NAMES_MOST],
            "unheard": sorted(set(alive) - set(self.told)),
        }
