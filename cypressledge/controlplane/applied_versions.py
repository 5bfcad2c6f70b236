"""Which version each broker has applied, as the control processes report it to the leader. No I/O.

Only what was reported counts: a broker whose control process has gone silent is not taken for one that has
the newest version.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from cypressledge.controlplane.messages import AppliedReport

MAX_NAMES = 50  # of brokers that an answer or event lists


@dataclass(frozen=True, slots=True)
class AppliedVersion:
    """What one broker holds, reported at a moment (µs); `rejection`: why some of it is not applied there."""

    instance_id: int
    version: int
    at: int
    rejection: str = ""


@dataclass(frozen=True, slots=True)
class LagReport:
    """Which connected brokers have not a version in force.

    `lagging`: those that have not reached it; `rejections`: those that hold it but have rejected some of it,
    and why; `unreachable`: those that are registered but connected nowhere; `unheard`: control processes that
    are alive but have not reported yet: until they have, nobody knows who lags.
    """

    version: int
    connected: int
    lagging: list[str]
    rejections: dict[str, str]
    registered: int
    unreachable: list[str]
    unheard: list[str]


class AppliedVersions:
    """The newest reports of all control processes about their brokers."""

    def __init__(self) -> None:
        self._reports: dict[str, dict[str, AppliedVersion]] = {}  # by control process, by broker

    def report(self, now: int, sender: str, report: AppliedReport) -> None:
        """Take a report. One of changes alone says nothing without a complete one before it."""
        if report.is_complete:
            self._reports[sender] = {}
        brokers = self._reports.get(sender)
        if brokers is None:
            return
        for name, instance_id, version in report.brokers:
            if version < 0:
                brokers.pop(name, None)
            else:
                rejection = report.rejections.get(name, "")
                brokers[name] = AppliedVersion(instance_id, version, now, rejection)

    def drop(self, sender: str) -> None:
        """A control process can't be heard: what it reported may no longer be so."""
        self._reports.pop(sender, None)

    def clear(self) -> None:
        """This process leads no more."""
        self._reports.clear()

    def latest(self) -> Mapping[str, AppliedVersion]:
        """Each connected broker, by name, as last reported."""
        latest: dict[str, AppliedVersion] = {}
        for brokers in self._reports.values():
            for name, applied in brokers.items():
                if name not in latest or latest[name].at < applied.at:
                    latest[name] = applied
        return latest

    def connected(self, listed: Collection[str], linked: Collection[str]) -> set[str] | None:
        """Names of all connected brokers; none unless each listed control process is linked and has reported.

        Nobody else knows who is connected to it.
        """
        if not set(listed) <= set(linked) or not set(listed) <= set(self._reports):
            return None
        return set(self.latest())

    def lag(self, version: int, registered: Collection[str], alive: Collection[str]) -> LagReport:
        """Which connected brokers have not applied a version.

        `registered`: names of all registered brokers; `alive`: names of the control processes that are alive.
        """
        latest = self.latest()
        return LagReport(
            version=version,
            connected=len(latest),
            lagging=sorted(name for name, applied in latest.items() if applied.version < version),
            rejections={
                name: applied.rejection
                for name, applied in sorted(latest.items())
                if applied.rejection and applied.version >= version
            },
            registered=len(registered),
            unreachable=sorted(name for name in registered if name not in latest),
            unheard=sorted(set(alive) - set(self._reports)),
        )
