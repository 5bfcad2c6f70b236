"""A fake of a resource that lease holders act on: an HTTP service that records every call and its token."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from gevent.event import Event
from gevent.pywsgi import WSGIServer

from cypressledge.fleet.clock import LeaseClock


@dataclass(slots=True)
class Gate:
    """Delays a holder's next call: it sets `arrived` on arrival, and continues once `opened` is set."""

    arrived: Event
    opened: Event


@dataclass(frozen=True, slots=True)
class Write:
    """A received call. `at`: µs on the machine's clock; `step`, `of`: index and number of the act's steps."""

    at: int
    lease: str
    token: int
    run: int
    holder: str
    act: int
    step: int
    of: int
    accepted: bool


class ProtectedResource:
    """A service that keeps each lease's highest token, and rejects lower ones unless `fence` is false."""

    def __init__(self, fence: bool = True) -> None:
        self.fence = fence
        self.writes: list[Write] = []
        self.highest: dict[str, tuple[int, int]] = {}  # lease -> token and instance id
        self.gates: dict[str, Gate] = {}
        self.on_write: Callable[[Write], None] = lambda write: None
        self.server = WSGIServer(("127.0.0.1", 0), self._serve, log=None, error_log=None)
        self.server.start()

    @property
    def address(self) -> str:
        """The address that the service listens on, HOST:PORT."""
        return f"127.0.0.1:{self.server.server_port}"

    def gate(self, holder: str) -> Gate:
        """Return a gate that delays a holder's next call after it was sent and before it takes effect."""
        return self.gates.setdefault(holder, Gate(Event(), Event()))

    def _serve(self, environ: dict[str, Any], start_response: Callable[..., object]) -> list[bytes]:
        call = json.loads(environ["wsgi.input"].read())
        gate = self.gates.pop(call["holder"], None)
        if gate is not None:
            gate.arrived.set()
            gate.opened.wait()
        lease, token, run = call["lease"], call["token"], call["run"]
        highest = self.highest.get(lease, (0, 0))
        is_current = token > highest[0] or (token, run) == highest
        accepted = is_current or not self.fence
        if is_current:
            self.highest[lease] = (token, run)
        write = Write(
            LeaseClock().now(),
            lease,
            token,
            run,
            call["holder"],
            call["act"],
            call["step"],
            call["of"],
            accepted,
        )
        self.writes.append(write)
        self.on_write(write)
        start_response("200 OK" if accepted else "409 Conflict", [("Content-Type", "application/json")])
        return [json.dumps({"token": self.highest[lease][0]}).encode()]

    def close(self) -> None:
        """Release all held calls and stop the server."""
        for gate in self.gates.values():
            gate.opened.set()
        self.server.stop(timeout=0.1)
