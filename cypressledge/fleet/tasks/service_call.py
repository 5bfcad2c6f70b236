"""Calls to a service of the operators under a lease, over HTTP (http.client on a gevent socket)."""

import http.client
import json
from collections.abc import Callable
from functools import partial

from gevent import socket

from cypressledge.fleet.leases.lease import HeldLease
from cypressledge.fleet.tasks.task_runner import TaskCancelledError, TaskSteps

CALL_TIMEOUT_S = 2.0  # seconds; timeout of one call
MAX_ANSWER_BYTES = 4_096


class ServiceCall:
    """A task that calls a service of the operators: POST with lease, token and run as JSON.

    The service keeps the highest token, and answers 409 with `{"token": N}` to a lower one; then
    `on_token_rejected` gets (lease, N). `steps`: calls in one run of the task; `step_interval_s`: seconds
    between them.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        steps: int,
        step_interval_s: float,
        on_token_rejected: Callable[[str, int], None],
    ) -> None:
        self.name, self.address, self.steps, self.step_interval_s = name, address, steps, step_interval_s
        self.on_token_rejected = on_token_rejected
        self.runs = 0

    def run(self, held: HeldLease) -> TaskSteps:
        """Run the task once: `steps` calls with a pause between them.

        Raises `TaskCancelledError` if the service rejects the token, and `OSError` for any other status but
        200.
        """
        self.runs += 1
        run_number = self.runs
        for step in range(self.steps):
            body = {
                "lease": held.lease,
                "token": held.token,
                "run": held.instance_id,
                "holder": self.name,
                "act": run_number,
                "step": step,
                "of": self.steps,
            }
            status, answer = yield partial(self._post, body)
            if status == 409:
                self.on_token_rejected(held.lease, _known_token(answer))
                raise TaskCancelledError
            if status != 200:
                raise OSError(
                    f"service at {self.address[0]}:{self.address[1]} answered HTTP {status}, expected 200"
                )
            if step + 1 < self.steps and self.step_interval_s:
                yield self.step_interval_s

    def _post(self, body: dict) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(*self.address)
        connection.sock = socket.create_connection(self.address, CALL_TIMEOUT_S)
        try:
            connection.request(
                "POST", "/act", json.dumps(body).encode(), {"Content-Type": "application/json"}
            )
            answer = connection.getresponse()
            return answer.status, answer.read(MAX_ANSWER_BYTES)
        finally:
            connection.close()


def _known_token(answer: bytes) -> int:
    """Return the token that a service reports in its answer; 0 if the answer is malformed."""
    try:
        return int(json.loads(answer)["token"])
    except (ValueError, KeyError, TypeError, RecursionError):
        return 0
