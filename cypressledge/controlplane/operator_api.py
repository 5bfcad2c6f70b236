"""Operators' read-only calls of a control process: its status, lagging brokers, the state and its history."""

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus

from cypressledge.broker.metrics import Counters
from cypressledge.controlplane.applied_versions import AppliedVersions
from cypressledge.controlplane.change_history import ChangeHistory
from cypressledge.controlplane.change_proposals import ChangeProposals, LeaderLocator
from cypressledge.controlplane.leadership import Leadership
from cypressledge.controlplane.messages import Change
from cypressledge.controlplane.operator_calls import Call, read_version
from cypressledge.controlplane.operator_messages import (
    Answer,
    ChangeSummary,
    HistoryAnswer,
    KeyAnswer,
    LagAnswer,
    NotLeaderAnswer,
    StateAnswer,
    StatusAnswer,
)
from cypressledge.controlplane.peer_connections import PeerSender
from cypressledge.controlplane.publisher import Publisher
from cypressledge.controlplane.state_values import BROKER_PREFIX, decode_value
from cypressledge.controlplane.traffic_counters import TrafficCounters
from cypressledge.net.http_exchange import HttpRequest

MAX_CHANGES_SHOWN = 500  # changes in one answer of `/control/history`


@dataclass(frozen=True, slots=True)
class ProcessCounts:
    """The sources of the counts in a control process's status."""

    traffic: TrafficCounters
    counters: Counters
    publisher: Publisher
    sender: PeerSender
    proposals: ChangeProposals


@dataclass(frozen=True, slots=True)
class OperatorApi:
    """The calls that are answered without waiting. `instance_id`: of this process."""

    instance_id: int
    leadership: Leadership
    history: ChangeHistory
    applied: AppliedVersions
    locator: LeaderLocator
    counts: ProcessCounts

    def calls(self) -> Mapping[str, Call]:
        """Return the calls by URL path."""
        return {
            "/control/status": self.status,
            "/control/lag": self.lag,
            "/control/state": self.state,
            "/control/history": self.changes,
        }

    def status(self, request: HttpRequest) -> Answer:
        """Answer `/control/status`: the role, positions and counts of this process."""
        replica = self.leadership.replica.status(self.leadership.clock.now())
        state, counts = self.history.state, self.counts
        status = StatusAnswer(
            name=self.leadership.name,
            instance_id=f"{self.instance_id:x}",
            role=replica.role,
            epoch=replica.epoch,
            version=state.version,
            digest=state.digest.hex(),
            cluster_id=state.cluster_id,
            last=replica.last,
            commit=replica.commit,
            match=replica.match,
            leader_silence_ms=replica.leader_silence_ms,
            joining=replica.joining,
            brokers=len(counts.publisher.subscriptions),
            peers=sorted(counts.sender.reachable),
            key_count=len(state.entries),
            size_bytes=state.size_bytes,
            waiting=counts.proposals.waiting,
            traffic=counts.traffic.show(),
            counters=counts.counters.show(),
            published=counts.publisher.counters.show(),
        )
        return Answer(HTTPStatus.OK, status, self.locator.locate())

    def lag(self, request: HttpRequest) -> Answer:
        """Answer `/control/lag`: the brokers that don't have a version yet; only the leader can answer it."""
        if not self.leadership.is_leader:
            return Answer(HTTPStatus.MISDIRECTED_REQUEST, NotLeaderAnswer(), self.locator.locate())
        state = self.history.state
        registered = [
            key.removeprefix(BROKER_PREFIX) for key in state.entries if key.startswith(BROKER_PREFIX)
        ]
        version = read_version(request, "version", 0) or state.version
        report = self.applied.lag(version, registered, self.leadership.node.alive())
        return Answer(HTTPStatus.OK, LagAnswer.from_report(report, newest=state.version))

    def state(self, request: HttpRequest) -> Answer:
        """Answer `/control/state`: the committed state, limited to the keys with a prefix."""
        prefix, state = request.params.get("prefix", ""), self.history.state
        entries = {
            key: KeyAnswer(decode_value(entry.value), entry.version)
            for key, entry in sorted(state.entries.items())
            if key.startswith(prefix)
        }
        shown = StateAnswer(state.epoch, state.version, state.digest.hex(), state.cluster_id, entries)
        return Answer(HTTPStatus.OK, shown)

    def changes(self, request: HttpRequest) -> Answer:
        """Answer `/control/history`: the retained changes from a version on, oldest first."""
        first = read_version(request, "from", 0)
        kept = [change for change in self.history.changes if change.version >= first]
        history = HistoryAnswer(
            first_kept=self.history.base.version + 1,
            newest=self.history.state.version,
            changes=[_summarize(change) for change in kept[:MAX_CHANGES_SHOWN]],
        )
        return Answer(HTTPStatus.OK, history)


def _summarize(change: Change) -> ChangeSummary:
    return ChangeSummary(
        version=change.version,
        epoch=change.epoch,
        created_at_ms=change.created_at_ms,
        author=change.author,
        reason=change.reason,
        request_id=change.request_id,
        assigned=[op.key for op in change.ops if op.value is not None],
        removed=[op.key for op in change.ops if op.value is None],
    )
