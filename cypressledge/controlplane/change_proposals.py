"""Changes requested by operators, from the call to the answer: the leader proposes them to a majority."""

import time
from dataclasses import dataclass, field
from http import HTTPStatus

from msgspec import UNSET

from cypressledge.controlplane.activity_record import ActivityRecord
from cypressledge.controlplane.errors import NotLeaderError, VersionConflictError
from cypressledge.controlplane.faults import FaultInjection
from cypressledge.controlplane.inbox import Inbox, InboxFullError
from cypressledge.controlplane.leadership import Leadership
from cypressledge.controlplane.messages import Op
from cypressledge.controlplane.operator_calls import ChangeRequest, reject, send_answer
from cypressledge.controlplane.operator_messages import (
    AcknowledgedAnswer,
    Answer,
    AnswerBody,
    ConflictAnswer,
    DryRunAnswer,
    LeaderAddresses,
    NotLeaderAnswer,
    OutcomeUnknownAnswer,
)
from cypressledge.controlplane.process_events import ProcessEvents
from cypressledge.controlplane.proposals import PendingProposal, ProposalState
from cypressledge.controlplane.settings import ServerSpec
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_validation import find_conflicts, validate_change
from cypressledge.controlplane.state_values import CONFIG_PREFIX, StateError, decode_value
from cypressledge.net.http_exchange import HttpExchange

MAJORITY_TIMEOUT_US = 5_000_000  # µs; maximum time for a majority to store a change
CLASSES_KEY = CONFIG_PREFIX + "Classes"


@dataclass(frozen=True, slots=True)
class LeaderLocator:
    """Locates the leader for operators."""

    leadership: Leadership
    servers: list[ServerSpec]

    def locate(self) -> LeaderAddresses:
        """Return the last known leader, its address, and the addresses of all control processes."""
        addresses = {server.name: server.management for server in self.servers}
        leader = self.leadership.leader
        return LeaderAddresses(
            leader=leader, address=addresses.get(leader, ""), servers=list(addresses.values())
        )


@dataclass(frozen=True, slots=True)
class _WaitingChange:
    """A change that waits for its majority until `deadline` (µs)."""

    proposal: PendingProposal
    change: ChangeRequest
    exchange: HttpExchange
    deadline: int


@dataclass(slots=True)
class ChangeProposals:
    """The changes that operators request from this process."""

    leadership: Leadership
    locator: LeaderLocator
    inbox: Inbox
    events: ProcessEvents
    record: ActivityRecord
    faults: FaultInjection
    _waiting: list[_WaitingChange] = field(default_factory=list)

    @property
    def waiting(self) -> int:
        """The number of changes that wait for their majority."""
        return len(self._waiting)

    def submit(self, change: ChangeRequest, exchange: HttpExchange) -> None:
        """Queue a requested change for the process's event loop; called in the caller's greenlet."""
        try:
            self.inbox.put_nowait(self._propose, change, exchange)
        except InboxFullError:
            self._answer(exchange, HTTPStatus.SERVICE_UNAVAILABLE, OutcomeUnknownAnswer(UNSET, "busy"))

    def settle(self, now: int) -> int:
        """Answer the changes that are committed, failed or timed out; return the next call's time, µs."""
        still_waiting = []
        for waiting in self._waiting:
            if waiting.proposal.state is ProposalState.OPEN and now < waiting.deadline:
                still_waiting.append(waiting)
            elif waiting.proposal.state is ProposalState.DONE:
                self._acknowledge(waiting)
            else:
                self._answer_unknown(waiting)
        self._waiting = still_waiting
        return min((waiting.deadline for waiting in still_waiting), default=now + MAJORITY_TIMEOUT_US)

    def _propose(self, now: int, change: ChangeRequest, exchange: HttpExchange) -> None:
        """Propose a change, or answer with the error or the result of a dry run.

        Called in the process's event loop.
        """
        try:
            state = self._leader_state()
            base = state.version if change.base is None else change.base
            check_new_change(state, change)
            if change.dry_run:
                self._answer(exchange, HTTPStatus.OK, dry_run(state, base, change))
                return
            proposal = self.leadership.voting_replica().propose(
                now, change.ops, base, change.request, change.who, change.why, time.time_ns() // 1_000_000
            )
        except NotLeaderError:
            self._answer(exchange, HTTPStatus.MISDIRECTED_REQUEST, NotLeaderAnswer())
        except VersionConflictError as err:
            conflict = ConflictAnswer(str(err), err.keys, self.leadership.latest_state().version)
            send_answer(exchange, Answer(HTTPStatus.CONFLICT, conflict))
        except StateError as err:
            reject(exchange, HTTPStatus.BAD_REQUEST, str(err))
        else:
            self._waiting.append(_WaitingChange(proposal, change, exchange, now + MAJORITY_TIMEOUT_US))

    def _leader_state(self) -> FleetState:
        """Return the state that a change applies to. Raises `NotLeaderError`."""
        if not self.leadership.is_leader:
            raise NotLeaderError(self.leadership.leader)
        return self.leadership.latest_state()

    def _acknowledge(self, waiting: _WaitingChange) -> None:
        proposal, change = waiting.proposal, waiting.change
        if self.faults.is_due("answer"):
            self.faults.inject()
        self.events.emit(
            "change_acknowledged",
            epoch=proposal.epoch,
            version=proposal.version,
            request=change.request,
            who=change.who,
            why=change.why,
        )
        self.record.write(
            "acknowledged", epoch=proposal.epoch, version=proposal.version, request=change.request
        )
        acknowledged = AcknowledgedAnswer(proposal.version, proposal.epoch, change.request)
        self._answer(waiting.exchange, HTTPStatus.OK, acknowledged)

    def _answer_unknown(self, waiting: _WaitingChange) -> None:
        version = waiting.proposal.version
        self.events.emit("change_unknown", version=version, request=waiting.change.request)
        unknown = OutcomeUnknownAnswer(version, "no majority in time")
        self._answer(waiting.exchange, HTTPStatus.SERVICE_UNAVAILABLE, unknown)

    def _answer(self, exchange: HttpExchange, status: HTTPStatus, body: AnswerBody) -> None:
        """Send an answer with the leader's address, so that the caller contacts the leader next time."""
        send_answer(exchange, Answer(status, body, self.locator.locate()))


def dry_run(state: FleetState, base: int, change: ChangeRequest) -> DryRunAnswer:
    """Return the result of a change based on version `base` without making it.

    Raises the same errors as `Replica.propose`.
    """
    validate_change(state, change.ops)
    if keys := find_conflicts(state, base, change.ops):
        raise VersionConflictError(keys)
    return DryRunAnswer(state.version + 1, len(change.ops))


def check_new_change(state: FleetState, change: ChangeRequest) -> None:
    """Apply the rules that hold only for a change that is not known yet. Raises `StateError`.

    A repetition of a change that was made must not be rejected by them.
    """
    if change.dry_run or state.version_of_request(change.request) is None:
        _check_class_names(state, change.ops)


def _check_class_names(state: FleetState, ops: list[Op]) -> None:
    """Raise `StateError` if the class names change, because brokers cannot apply that until they restart."""
    current = state.entries.get(CLASSES_KEY)
    new = next((op.value for op in ops if op.key == CLASSES_KEY), None)
    if current is not None and new is not None and _class_names(current.value) != _class_names(new):
        raise StateError(
            "config: brokers take other classes only at a restart: remove all of config, "
            "restart them with files that hold the new classes, then set it again"
        )


def _class_names(raw: bytes) -> list[object]:
    """Return the class names in a value of `CLASSES_KEY`, which may not have been validated yet."""
    classes = decode_value(raw)
    if not isinstance(classes, list):
        return []
    return [item.get("Name") for item in classes if isinstance(item, dict)]
