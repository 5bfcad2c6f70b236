"""A fake of what is acted on under leases: an HTTP service that records every call and its token."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from gevent.event import Event
from gevent.pywsgi import WSGIServer

from cypressledge.fleet.clock import LeaseClock


@dataclass(slots=True)
class Gate:
    """Where a holder's next call waits: `arrived` is set once it is there; it goes on when `opened` is."""

    arrived: Event
    opened: Event


@dataclass(frozen=True, slots=True)
class Write:
    """One call as it was received. `at`: µs on the machine's clock; `of`: steps of the act."""

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
    """Keeps the highest token of each lease and rejects lower ones, unless `fence` is off."""

    def __init__(self, fence: bool = True) -> None:
        self.fence = fence
        self.writes: list[Write] = []
        self.highest: dict[str, tuple[int, int]] = {}  # by lease: token and run
        self.gates: dict[str, Gate] = {}
        self.on_write: Callable[[Write], None] = lambda write: None
        self.server = WSGIServer(("127.0.0.1", 0), self._serve, log=None, error_log=None)
        self.server.start()

    @property
    def address(self) -> str:
        """The address it listens on, HOST:PORT."""
        return f"127.0.0.1:{self.server.server_port}"

    def gate(self, holder: str) -> Gate:
        """Hold up the next call of a holder: sent, but not yet where it acts."""
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
        """Let all held calls go on, and stop listening."""
        for gate in self.gates.values():
            gate.opened.set()
        self.server.stop(timeout=0.1)
