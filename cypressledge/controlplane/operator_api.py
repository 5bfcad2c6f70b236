"""What a control process shows operators: its status, who lags, the state and its history."""

from dataclasses import dataclass
from http import HTTPStatus

from cypressledge.broker.metrics import Counters
from cypressledge.controlplane.applied_versions import AppliedVersions
from cypressledge.controlplane.change_history import ChangeHistory
from cypressledge.controlplane.change_proposals import ChangeProposals, LeaderLocator
from cypressledge.controlplane.framing import TrafficCounters
from cypressledge.controlplane.leadership import Leadership
from cypressledge.controlplane.messages import Change
from cypressledge.controlplane.operator_calls import Answer, Call, read_version
from cypressledge.controlplane.peer_connections import PeerSender
from cypressledge.controlplane.publisher import Publisher
from cypressledge.controlplane.state_values import decode_value
from cypressledge.net.http_server import HttpRequest

MAX_CHANGES_SHOWN = 500


@dataclass(frozen=True, slots=True)
class ProcessCounts:
    """What a control process counts."""

    traffic: TrafficCounters
    counters: Counters
    publisher: Publisher
    sender: PeerSender
    proposals: ChangeProposals


@dataclass(frozen=True, slots=True)
class OperatorApi:
    """The calls that are answered at once. `run_id`: of this process."""

    run_id: int
    leadership: Leadership
    history: ChangeHistory
    applied: AppliedVersions
    locator: LeaderLocator
    counts: ProcessCounts

    def calls(self) -> dict[str, Call]:
        """By path."""
        return {
            "/control/status": self.status,
            "/control/lag": self.lag,
            "/control/state": self.state,
            "/control/history": self.changes,
        }

    def status(self, request: HttpRequest) -> Answer:
        """How this process stands."""
        now, state, counts = self.leadership.clock.now(), self.history.state, self.counts
        replica = self.leadership.replica.status(now)
        return Answer(
            HTTPStatus.OK,
            {
                "name": self.leadership.name,
                "run": f"{self.run_id:x}",
                "role": replica.role,
                "epoch": replica.epoch,
                "version": state.version,
                "digest": state.digest.hex(),
                "lineage": state.cluster_id,
                "last": replica.last,
                "commit": replica.commit,
                "match": replica.match,
                "silent_ms": replica.leader_silence_ms,
                "joining": replica.joining,
                "brokers": len(counts.publisher.subscriptions),
                "peers": sorted(counts.sender.reachable),
                "keys": len(state.entries),
                "bytes": state.size_bytes,
                "waiting": counts.proposals.waiting,
                "traffic": counts.traffic.show(),
                "counters": counts.counters.show(),
                "published": counts.publisher.counters.show(),
            }
            | self.locator.locate(),
        )

    def lag(self, request: HttpRequest) -> Answer:
        """Which brokers have not a version yet. Only the leader knows."""
        if not self.leadership.is_leader:
            return Answer(HTTPStatus.MISDIRECTED_REQUEST, {"answer": "not primary"} | self.locator.locate())
        state = self.history.state
        registered = [key.removeprefix("broker/") for key in state.entries if key.startswith("broker/")]
        version = read_version(request, "version", 0) or state.version
        lag = self.applied.lag(version, registered, self.leadership.node.alive())
        return Answer(HTTPStatus.OK, {"answer": "lag", "newest": state.version} | lag.to_json())

    def state(self, request: HttpRequest) -> Answer:
        """The committed state: the keys with a prefix."""
        prefix, state = request.params.get("prefix", ""), self.history.state
        entries = {
            key: {"value": decode_value(entry.value), "version": entry.version}
            for key, entry in sorted(state.entries.items())
            if key.startswith(prefix)
        }
        return Answer(
            HTTPStatus.OK,
            {
                "epoch": state.epoch,
                "version": state.version,
                "digest": state.digest.hex(),
                "lineage": state.cluster_id,
                "entries": entries,
            },
        )

    def changes(self, request: HttpRequest) -> Answer:
        """The changes that are kept, from a version on, oldest first."""
        first = read_version(request, "from", 0)
        kept = [change for change in self.history.changes if change.version >= first]
        return Answer(
            HTTPStatus.OK,
            {
                "from": self.history.base.version + 1,
                "to": self.history.state.version,
                "changes": [_shown_change(change) for change in kept[:MAX_CHANGES_SHOWN]],
            },
        )


def _shown_change(change: Change) -> dict[str, object]:
    return {
        "version": change.version,
        "epoch": change.epoch,
        "at": change.created_at_ms,
        "who": change.author,
        "why": change.reason,
        "request": change.request_id,
        "set": [op.key for op in change.ops if op.value is not None],
        "removed": [op.key for op in change.ops if op.value is None],
    }
