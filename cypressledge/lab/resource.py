"""A stand-in for what is acted on under leases: an HTTP service that writes down every call and its token."""

import json
from collections.abc import Callable
from dataclasses import dataclass

from gevent.event import Event
from gevent.pywsgi import WSGIServer

from cypressledge.fleet.clock import LeaseClock


@dataclass(slots=True)
class Gate:
    """Where a holder's next call waits on its way: `arrived` once it is there; it goes on when `opened`."""

    arrived: Event
    opened: Event


@dataclass(frozen=True, slots=True)
class Write:
    """One call as it came in. `at`: µs on the machine's clock."""

    at: int
    lease: str
    token: int
    run: int
    holder: str
    act: int
    step: int
    of: int
    accepted: bool


class Resource:
    """Keeps the highest token of each lease and turns down lower ones, unless `fence` is off."""

    def __init__(self, fence: bool = True) -> None:
        self.fence, self.writes = fence, []
        self.highest: dict[str, tuple[int, int]] = {}
        self.gates: dict[str, Gate] = {}
        self.watch: Callable[[Write], None] = lambda write: None
        self.server = WSGIServer(("127.0.0.1", 0), self._serve, log=None, error_log=None)
        self.server.start()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self.server.server_port}"

    def gate(self, holder: str) -> Gate:
        """Hold up the next call of a holder: sent, but not yet where it acts."""
        return self.gates.setdefault(holder, Gate(Event(), Event()))

    def _serve(self, env, start) -> list[bytes]:
        told = json.loads(env["wsgi.input"].read())
        gate = self.gates.pop(told["holder"], None)
        if gate is not None:
            gate.arrived.set()
            gate.opened.wait()
        lease, token, run = told["lease"], told["token"], told["run"]
        top = self.highest.get(lease, (0, 0))
        known = token > top[0] or (token, run) == top
        accepted = known or not self.fence
        if known:
            self.highest[lease] = (token, run)
        write = Write(
            LeaseClock().now(),
            lease,
            token,
            run,
            told["holder"],
            told["act"],
            told["step"],
            told["of"],
            accepted,
        )
        self.writes.append(write)
        self.watch(write)
        start("200 OK" if accepted else "409 Conflict", [("Content-Type", "application/json")])
        return [json.dumps({"token": self.highest[lease][0]}).encode()]

    def close(self) -> None:
        """Listen no more."""
        for gate in self.gates.values():
            gate.opened.set()
        self.server.stop(timeout=0.1)
