"""The version that each broker has applied, as the control processes report it to the leader. No I/O.

Only reported versions count: a broker whose control process stopped reporting is not assumed to have the
newest version.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from cypressledge.controlplane.messages import AppliedReport

MAX_NAMES = 50  # brokers that an answer or event lists by name


@dataclass(frozen=True, slots=True)
class AppliedVersion:
    """The version that one broker holds.

    `at`: when it was reported, µs; `rejection`: why the broker has not applied a part of it, or empty.
    """

    instance_id: int
    version: int
    at: int
    rejection: str = ""


@dataclass(frozen=True, slots=True)
class LagReport:
    """The connected brokers where a version is not in force.

    `lagging`: brokers that have not reached the version; `rejections`: brokers that hold it but rejected a
    part of it, and the reason; `unreachable`: brokers that are registered but not connected to any control
    process; `unheard`: control processes that are alive but have not reported yet. Until they have, it is
    unknown which of their brokers lag.
    """

    version: int
    connected: int
    lagging: list[str]
    rejections: dict[str, str]
    registered: int
    unreachable: list[str]
    unheard: list[str]


class AppliedVersions:
    """The latest reports of all control processes about their brokers."""

    def __init__(self) -> None:
        self._reports: dict[str, dict[str, AppliedVersion]] = {}  # by control process, by broker

    def report(self, now: int, sender: str, report: AppliedReport) -> None:
        """Store a report. An incremental report is ignored if no complete one preceded it."""
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
        """Discard the reports of a control process that can't be reached; they may be outdated."""
        self._reports.pop(sender, None)

    def clear(self) -> None:
        """Discard all reports, because this process has begun or ceased to lead."""
        self._reports.clear()

    def latest(self) -> Mapping[str, AppliedVersion]:
        """Return the last report about each connected broker, by the broker's name."""
        latest: dict[str, AppliedVersion] = {}
        for brokers in self._reports.values():
            for name, applied in brokers.items():
                if name not in latest or latest[name].at < applied.at:
                    latest[name] = applied
        return latest

    def connected(self, listed: Collection[str], linked: Collection[str]) -> set[str] | None:
        """Return the names of all connected brokers.

        Returns None unless each of the `listed` control processes is among the `linked` ones and has
        reported: only a control process itself knows which brokers are connected to it.
        """
        if not set(listed) <= set(linked) or not set(listed) <= set(self._reports):
            return None
        return set(self.latest())

    def lag(self, version: int, registered: Collection[str], alive: Collection[str]) -> LagReport:
        """Return which connected brokers have not applied a version.

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
