"""Which broker has what in force, as the control processes tell the primary. No I/O.

Only what was said is counted: a broker whose control process has gone silent is not taken for one that has
the newest.
"""

from collections.abc import Collection
from dataclasses import dataclass
from itertools import islice

from cypressledge.controlplane.messages import AppliedReport

MAX_NAMES = 50  # that an answer names


@dataclass(slots=True)
class AppliedVersion:
    """What one broker holds, said at a moment (µs); `refused`: why some of it is not in force there."""

    instance_id: int
    version: int
    at: int
    refused: str = ""


class AppliedVersions:
    """The newest words of all control processes about their brokers."""

    def __init__(self) -> None:
        self.reports: dict[str, dict[str, AppliedVersion]] = {}  # by control process, by broker

    def report(self, now: int, sender: str, seen: AppliedReport) -> None:
        """Take what one control process says. Changes alone tell nothing: what they change isn't known."""
        if seen.is_complete:
            self.reports[sender] = {}
        brokers = self.reports.get(sender)
        if brokers is None:
            return
        for name, run, version in seen.brokers:
            if version < 0:
                brokers.pop(name, None)
            else:
                brokers[name] = AppliedVersion(run, version, now, seen.rejections.get(name, ""))

    def drop(self, sender: str) -> None:
        """A control process can't be heard: what it said may no longer be so."""
        self.reports.pop(sender, None)

    def clear(self) -> None:
        """This process is not the primary any more."""
        self.reports.clear()

    def latest(self) -> dict[str, AppliedVersion]:
        """Each connected broker, as last spoken of."""
        found: dict[str, AppliedVersion] = {}
        for brokers in self.reports.values():
            for name, sight in brokers.items():
                if name not in found or found[name].at < sight.at:
                    found[name] = sight
        return found

    def connected(self, listed: Collection[str], linked: Collection[str]) -> set[str] | None:
        """Names of all connected brokers; none unless each listed control process is linked and has spoken:
        nobody else knows who is connected to it."""
        if not set(listed) <= set(linked) or not set(listed) <= set(self.reports):
            return None
        return set(self.latest())

    def lag(self, version: int, registered: Collection[str], alive: Collection[str]) -> dict:
        """How many connected brokers have not that version yet, and their names, `NAMES_MOST` at most; apart
        from them those that hold it but have turned some of it down, and why, and those that are registered
        but connected nowhere. `unheard`: control processes that are alive but have not yet said who is
        connected to them: until they have, nobody knows who lags."""
        newest = self.latest()
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
            "refused_by": dict(islice(refused.items(), MAX_NAMES)),
            "lagging": len(behind),
            "names": behind[:MAX_NAMES],
            "registered": len(registered),
            "unreachable": len(away),
            "unreachable_names": away[:MAX_NAMES],
            "unheard": sorted(set(alive) - set(self.reports)),
        }
