"""A client for the operators' HTTP calls of control processes, which finds the leader."""

import http.client
import json
import time
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar

import click
import msgspec

from cypressledge.config import parse_address
from cypressledge.controlplane.operator_messages import (
    AnswerTag,
    LeaderAddresses,
    Outcome,
    ProcessRole,
)
from cypressledge.controlplane.replica_context import Role

ANSWER_TIMEOUT_S = 2.0  # seconds; timeout of a call that is not a change
CHANGE_TIMEOUT_S = 6.0  # seconds; a change may wait 5 s for its majority
RETRY_INTERVAL_S = 0.3  # seconds between attempts, and between queries for lagging brokers
RETRIED_ANSWERS = (AnswerTag.NOT_LEADER, AnswerTag.OUTCOME_UNKNOWN)

Body = TypeVar("Body", bound=msgspec.Struct)

Address = tuple[str, int]


class NoAnswerError(Exception):
    """No control process answered, or the answer was not one of a control process."""


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """An HTTP status, and the JSON object in the body."""

    status: int
    body: Mapping[str, object]

    @property
    def is_ok(self) -> bool:
        """Whether the call succeeded."""
        return self.status == HTTPStatus.OK

    @property
    def error(self) -> str:
        """The reason why the call failed."""
        return self.read(Outcome).why or f"HTTP {self.status}"

    def read(self, body_type: type[Body]) -> Body:
        """Return the body as a type of `operator_messages`. Raises `NoAnswerError` if it does not match."""
        try:
            return msgspec.convert(self.body, body_type)
        except msgspec.ValidationError as err:
            raise NoAnswerError(f"not the answer of a control process: {err}") from None


def call(server: Address, method: str, path: str, body: str = "") -> CallAnswer:
    """Call a control process, and return its answer. Raises `NoAnswerError`."""
    timeout = CHANGE_TIMEOUT_S if method == "POST" else ANSWER_TIMEOUT_S
    connection = http.client.HTTPConnection(*server, timeout=timeout)
    try:
        connection.request(method, path, body.encode())
        response = connection.getresponse()
        return CallAnswer(response.status, json.loads(response.read()))
    except (OSError, http.client.HTTPException, ValueError) as err:
        raise NoAnswerError(f"no answer from {server[0]}:{server[1]}: {err}") from None
    finally:
        connection.close()


def call_any(servers: tuple[Address, ...], path: str) -> CallAnswer:
    """Return the answer of the first server that gives one.

    Raises `ClickException` if no server answers or if the answer is an error.
    """
    why = ""
    for server in servers:
        try:
            answer = call(server, "GET", path)
        except NoAnswerError as err:
            why = str(err)
            continue
        if not answer.is_ok:
            raise click.ClickException(answer.error)
        return answer
    raise click.ClickException(why)


class LeaderClient:
    """Calls the leader, even if it changes.

    After an answer "not primary" the client calls the leader named there; without an answer it tries the
    known addresses in turn. `deadline`: on `time.monotonic`, s.
    """

    def __init__(self, known: tuple[Address, ...], deadline: float) -> None:
        self._known, self._deadline = list(known), deadline

    def call(self, method: str, path: str, body: str = "") -> CallAnswer:
        """Call the leader, and retry until the deadline; only for idempotent calls.

        Raises `NoAnswerError`.
        """
        while True:
            try:
                self._find_leader()
                answer = call(self._known[0], method, path, body)
            except NoAnswerError as err:
                why = str(err)
                self._known.append(self._known.pop(0))
            else:
                outcome = answer.read(Outcome)
                if outcome.answer not in RETRIED_ANSWERS:
                    return answer
                why = outcome.answer + (f": {outcome.why}" if outcome.why else "")
                self._learn_addresses(answer.read(LeaderAddresses))
            if time.monotonic() >= self._deadline:
                raise NoAnswerError(why)
            time.sleep(RETRY_INTERVAL_S)

    def _find_leader(self) -> None:
        """Put the leader's address first. Raises `NoAnswerError`.

        A status call fails sooner than a change, which would wait long for a process that does not respond.
        """
        status = call(self._known[0], "GET", "/control/status")
        if status.read(ProcessRole).role != Role.LEADER:
            addresses = status.read(LeaderAddresses)
            self._learn_addresses(addresses)
            if not addresses.address:
                raise NoAnswerError("there is no leader")

    def _learn_addresses(self, addresses: LeaderAddresses) -> None:
        """Update the known addresses: the leader first, the one that was called last."""
        asked = self._known[0]
        others = [parse_address(text) for text in addresses.servers]
        leader = [parse_address(addresses.address)] if addresses.address else []
        self._known = list(dict.fromkeys([*leader, *self._known[1:], *others, asked]))
