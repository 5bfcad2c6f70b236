"""A simulated operator that requests changes over HTTP during a capacity run, and records wrong answers."""

import json
import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import gevent
from gevent.lock import BoundedSemaphore

from cypressledge.lab.capacity.checks import AcknowledgedChange
from cypressledge.lab.capacity.control_process import call_management
from cypressledge.lab.capacity.day import ZONES, ChangeKind, Event
from cypressledge.lab.capacity.event_records import boottime_us
from cypressledge.lab.capacity.fleet import LIVE_ZONE, CapacityFleet, engine_value, unused_address
from cypressledge.lab.site import SETTINGS

CHANGE_TIMEOUT_S = 20.0  # s; after which the operator gives up on a change
RETRY_INTERVAL_S = 0.2  # s; between attempts of a change
ANSWER_TIMEOUT_S = 6.0  # s; of one attempt
LOST_ANSWER_S = 0.02  # s; timeout too short for an answer to arrive


class ChangeStatus(StrEnum):
    """Outcomes of a change, with the names under which a run counts them."""

    ACKNOWLEDGED = "taken"
    REJECTED = "refused"
    UNKNOWN = "not known"


@dataclass(slots=True)
class ChangeOutcome:
    """The result of a change: its version and digest if acknowledged, else the reason."""

    status: ChangeStatus
    version: int = 0
    digest: str = ""
    reason: str = ""


def _engine_value(number: int, state: str) -> dict:
    """Return the value of an engine at whose address nothing listens; its number selects its zone."""
    return engine_value(unused_address(number), ZONES[number % len(ZONES)], state)


class SimulatedOperator:
    """Requests changes over HTTP, as an operator does, and records incorrect answers.

    A change is sent to any control process, then to the leader that it names, and is repeated under the same
    request identifier if no answer arrives.
    """

    def __init__(self, fleet: CapacityFleet, seed: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.acknowledged: list[AcknowledgedChange] = []
        self.wrong_answers: list[str] = []  # descriptions of incorrect answers
        self.counts: Counter[str] = Counter()
        self.version = 0  # newest version that the operator knows
        self.request_number = 0
        self.fresh_number = 0  # counter for values that were not used before
        self.leader_port = fleet.controls[0].management
        self.engines: dict[str, str] = {
            f"e{n:03}": "ready" for n in range(fleet.size.engines - len(fleet.fake_engines))
        }
        self.busy_keys: set[str] = set()  # keys with a change in progress
        self.settings_lock = BoundedSemaphore(1)  # all settings are one unit: one change of them at a time
        self.longest_wait_s = 0.0  # until a change was acknowledged
        self._handlers: Mapping[str, Callable[[], None]] = {
            ChangeKind.SETTINGS: self._change_settings,
            ChangeKind.ENGINE_DRAINED: self._drain_engine,
            ChangeKind.ENGINE_REMOVED: self._remove_engine,
            ChangeKind.ENGINE_ADDED: self._add_engine,
            ChangeKind.REPEATED_REQUEST: self._repeat_request,
            ChangeKind.CONFLICT: self._request_conflicting,
            ChangeKind.INVALID: self._request_invalid,
        }

    def play(self, event: Event) -> None:
        """Request the change of one event of the day."""
        self.counts[event.kind] += 1
        self._handlers[event.kind]()

    # Request of one change

    def request_change(
        self, operations: dict, base_version: int | None, request: str = "", lose_answer: bool = False
    ) -> ChangeOutcome:
        """Request one change repeatedly until its outcome is known, for at most `CHANGE_TIMEOUT_S`.

        `operations`, `base_version`: as `/control/change` takes them. `lose_answer`: the first answer is not
        read, as if it had been lost.
        """
        if not request:
            self.request_number += 1
            request = f"lab-{self.request_number}"
        body = json.dumps(
            {"base": base_version, "request": request, "who": "lab", "why": "scale run", "ops": operations}
        ).encode()
        deadline = boottime_us() + CHANGE_TIMEOUT_S * 1e6
        reason = ""
        began = boottime_us()
        while boottime_us() < deadline:
            answer = self._post_change(body, lose_answer)
            lose_answer = False
            reason = str(answer.get("why", ""))
            if answer.get("answer") == "done":
                return self._record_acknowledged(answer, request, began)
            if answer.get("answer") not in (None, "not primary", "unknown"):
                return ChangeOutcome(ChangeStatus.REJECTED, reason=f"{answer['answer']}: {reason}")
            gevent.sleep(RETRY_INTERVAL_S)
        self.counts[ChangeStatus.UNKNOWN] += 1
        return ChangeOutcome(ChangeStatus.UNKNOWN, reason=reason)

    def _post_change(self, body: bytes, lose_answer: bool) -> dict:
        try:
            timeout_s = LOST_ANSWER_S if lose_answer else ANSWER_TIMEOUT_S
            status, answer = call_management(self.leader_port, "POST", "/control/change", body, timeout_s)
        except (OSError, ValueError, IndexError):
            self.counts["no answer"] += 1
            if not lose_answer:
                self._switch_server()
            return {}
        if answer.get("answer") == "not primary" or status == 503:
            self._switch_server(answer.get("at", ""))
        return answer

    def _switch_server(self, leader_address: str = "") -> None:
        """Switch to the control process at `leader_address`, or to a random one if that is unknown."""
        port = leader_address.rpartition(":")[2]
        ports = [control.management for control in self.fleet.controls]
        self.leader_port = int(port) if port.isdigit() and int(port) in ports else self.random.choice(ports)

    def _record_acknowledged(self, answer: dict, request: str, began: int) -> ChangeOutcome:
        outcome = ChangeOutcome(ChangeStatus.ACKNOWLEDGED, answer["version"], answer.get("digest", ""))
        self.acknowledged.append(AcknowledgedChange(boottime_us(), outcome.version, request, outcome.digest))
        self.version = max(self.version, outcome.version)
        self.longest_wait_s = max(self.longest_wait_s, (boottime_us() - began) / 1e6)
        return outcome

    def _change(self, key: str, operations: dict, **options: Any) -> ChangeOutcome:
        """Change one key, based on the newest known version; other changes avoid that key meanwhile."""
        self.busy_keys.add(key)
        try:
            outcome = self.request_change(operations, self.version, **options)
        finally:
            self.busy_keys.discard(key)
        self.counts[outcome.status] += 1
        if outcome.status is ChangeStatus.REJECTED and not self._is_excusable(outcome.reason):
            self.wrong_answers.append(f"a valid change of {key} was rejected: {outcome.reason}")
        return outcome

    def _is_excusable(self, reason: str) -> bool:
        """Return whether a rejection is no error: after an unknown outcome the known version may be stale."""
        return "clash" in reason and self.counts[ChangeStatus.UNKNOWN] > 0

    # Handlers of the kinds of changes

    def _rules_change(self) -> dict:
        self.fresh_number += 1
        return {"set": {"config/Rules": SETTINGS["Rules"] | {"DrainGrace": 2_000_000 + self.fresh_number}}}

    def _change_settings(self) -> None:
        with self.settings_lock:
            self._change("config/Rules", self._rules_change())

    def _random_engine(self, state: str) -> str:
        names = sorted(
            name
            for name, engine_state in self.engines.items()
            if engine_state == state and f"engine/{name}" not in self.busy_keys
        )
        return self.random.choice(names) if names else ""

    def _drain_engine(self) -> None:
        if name := self._random_engine("ready"):
            self._change_engine(name, "draining")

    def _change_engine(self, name: str, state: str, **options: Any) -> ChangeOutcome:
        number = int(name[1:])
        value = _engine_value(number, state)
        outcome = self._change(f"engine/{name}", {"set": {f"engine/{name}": value}}, **options)
        if outcome.status is ChangeStatus.ACKNOWLEDGED:
            self.engines[name] = state
        return outcome

    def _remove_engine(self) -> None:
        if name := self._random_engine("draining") or self._random_engine("ready"):
            outcome = self._change(f"engine/{name}", {"remove": [f"engine/{name}"]})
            if outcome.status is ChangeStatus.ACKNOWLEDGED:
                del self.engines[name]

    def _add_engine(self) -> None:
        self.fresh_number += 1
        self._change_engine(f"e{1000 + self.fresh_number}", "ready")

    def _repeat_request(self) -> None:
        """Request a change whose first answer is lost, then repeat it; it must be applied only once."""
        self.request_number += 1
        request = f"lab-again-{self.request_number}"
        with self.settings_lock:
            operations, base_version = self._rules_change(), self.version
            first = self._change("config/Rules", operations, request=request, lose_answer=True)
        if first.status is not ChangeStatus.ACKNOWLEDGED:
            return
        again = self.request_change(operations, base_version, request)
        self.counts["repeated"] += 1
        is_other = again.status is ChangeStatus.ACKNOWLEDGED and again.version != first.version
        if again.status is ChangeStatus.REJECTED or is_other:
            self.wrong_answers.append(
                f"request {request} became version {first.version}, its repetition returned {again}"
            )

    def _request_conflicting(self) -> None:
        """Request two changes of one key based on the same version; exactly one must be rejected."""
        name = self._random_engine("ready")
        if not name:
            return
        key, base_version = f"engine/{name}", self.version
        self.busy_keys.add(key)
        number = int(name[1:])
        values = [_engine_value(number, state) for state in ("draining", "ready")]
        greenlets = [
            gevent.spawn(self.request_change, {"set": {key: value}}, base_version) for value in values
        ]
        gevent.joinall(greenlets)
        self.busy_keys.discard(key)
        outcomes: list[ChangeOutcome] = [greenlet.value for greenlet in greenlets]
        statuses = [outcome.status for outcome in outcomes]
        self.counts["clashed"] += statuses.count(ChangeStatus.REJECTED)
        if statuses.count(ChangeStatus.ACKNOWLEDGED) > 1:
            self.wrong_answers.append(f"two changes of {key} on version {base_version} were both accepted")
        if statuses.count(ChangeStatus.REJECTED) > 1 and not any(
            self._is_excusable(each.reason) for each in outcomes
        ):
            self.wrong_answers.append(
                f"two changes of {key} on version {base_version} were both rejected: "
                f"{[each.reason for each in outcomes]}"
            )
        for outcome, value in zip(outcomes, values, strict=True):
            if outcome.status is ChangeStatus.ACKNOWLEDGED:
                self.engines[name] = value["state"]

    def _request_invalid(self) -> None:
        """Request an invalid change; it must be rejected, and the state must not change."""
        taken = self.fleet.fake_engines[0].member()["host_port"]
        operations = self.random.choice(
            (
                {"set": {"config/Rules": {"DrainGrace": 1}}},
                {"remove": ["config/Classes"]},
                {"set": {"engine/bad": engine_value(taken, LIVE_ZONE)}},
                {"set": {"engine/bad": {"address": "nowhere"}}},
                {"set": {"engine/no good": engine_value(unused_address(9999), LIVE_ZONE)}},
                {"set": {"nothing/x": 1}},
            )
        )
        outcome = self.request_change(operations, None)
        self.counts["bad refused"] += outcome.status is ChangeStatus.REJECTED
        if outcome.status is ChangeStatus.ACKNOWLEDGED:
            self.wrong_answers.append(
                f"an invalid change was accepted as version {outcome.version}: {operations}"
            )
