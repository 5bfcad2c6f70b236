"""The tasks that brokers do once for all: the fleet's summary, and calls to operators' own services.

`Summaries` talks through the exchange only; `Call` speaks HTTP (http.client on a gevent socket).
"""

import http.client
import json
from collections.abc import Callable, Generator

from gevent import socket

from cypressledge.fleet.leases.participation import HeldLease
from cypressledge.fleet.messages import AnyItem, BrokerMetrics, FleetSummary, MetricsRequest
from cypressledge.fleet.runner import CalledOff
from cypressledge.fleet.summary import Fence, Merge

GATHER_S = 0.4  # seconds that brokers have to send their figures
CALL_S = 2.0  # seconds for one call
BATCH = 16  # peers told in one step


class Summaries:
    """The fleet's figures: gathered by the lease's holder, told to all, served by each."""

    def __init__(
        self,
        name: str,
        own: Callable[[int], BrokerMetrics],
        peers: Callable[[], list[str]],
        everyone: Callable[[], list[str]],
        out: Callable[[str, AnyItem], None],
        now: Callable[[], int],
    ) -> None:
        self.name, self.own, self.peers, self.out, self.now = name, own, peers, out, now
        self.everyone = everyone  # all that the file names, alive or not
        self.merge: Merge | None = None
        self.fences: dict[str, Fence] = {}
        self.last: FleetSummary | None = None
        self.last_at = 0
        self.turned_down = 0

    def act(self, grant: HeldLease) -> Generator:
        """One round, under a grant."""
        peers = self.peers()
        merge = self.merge = Merge(grant.token, grant.instance_id, self.name)
        merge.add(self.name, self.own(grant.token))
        for at in range(0, len(peers), BATCH):
            for peer in peers[at : at + BATCH]:
                self.out(peer, MetricsRequest(grant.lease, grant.token, grant.instance_id))
            yield None
        yield GATHER_S
        summary = merge.summary(self.everyone())
        yield None
        for at in range(0, len(peers), BATCH):
            for peer in peers[at : at + BATCH]:
                self.out(peer, summary)
            yield None
        self._take(summary)

    def receive(self, sender: str, item: MetricsRequest | BrokerMetrics | FleetSummary) -> None:
        """A peer's message about summaries. An older holder's is turned down."""
        if isinstance(item, MetricsRequest):
            if self.fences.setdefault(item.lease, Fence()).admits(item.token, item.instance_id):
                self.out(sender, self.own(item.token))
            else:
                self.turned_down += 1
        elif isinstance(item, BrokerMetrics):
            if self.merge is not None:
                self.merge.add(sender, item)
        elif self.fences.setdefault("", Fence()).admits(item.token, item.instance_id):
            self._take(item)
        else:
            self.turned_down += 1

    def _take(self, summary: FleetSummary) -> None:
        self.last, self.last_at = summary, self.now()

    def show(self) -> dict | None:
        """The last summary and its age, s."""
        if self.last is None:
            return None
        s = self.last
        age = round((self.now() - self.last_at) / 1e6, 2)
        return {
            "holder": s.holder,
            "token": s.token,
            "age_s": age,
            "brokers": s.broker_count,
            "missing": s.missing_brokers,
            "classes": s.counts_by_class,
            "engines_avoided": s.avoided_engines,
        }


class Call:
    """An operators' own service, called under a lease: POST with lease, token and run as JSON. The
    service keeps the highest token, and answers 409 with `{"token": N}` to a lower one."""

    def __init__(
        self, name: str, at: tuple[str, int], steps: int, step_s: float, refused: Callable[[str, int], None]
    ) -> None:
        self.name, self.at, self.steps, self.step_s, self.refused = name, at, steps, step_s, refused
        self.number = 0

    def act(self, grant: HeldLease) -> Generator:
        """One act: so many calls, with a pause between them."""
        self.number += 1
        number = self.number
        for step in range(self.steps):
            told = {
                "lease": grant.lease,
                "token": grant.token,
                "run": grant.instance_id,
                "holder": self.name,
                "act": number,
                "step": step,
                "of": self.steps,
            }
            status, body = yield lambda told=told: self._post(told)
            if status == 409:
                self.refused(grant.lease, _token(body))
                raise CalledOff
            if status != 200:
                raise OSError(f"the service answered {status}")
            if step + 1 < self.steps and self.step_s:
                yield self.step_s

    def _post(self, told: dict) -> tuple[int, bytes]:
        conn = http.client.HTTPConnection(*self.at)
        conn.sock = socket.create_connection(self.at, CALL_S)
        try:
            conn.request("POST", "/act", json.dumps(told).encode(), {"Content-Type": "application/json"})
            answer = conn.getresponse()
            return answer.status, answer.read(4_096)
        finally:
            conn.close()


def _token(body: bytes) -> int:
    try:
        return int(json.loads(body)["token"])
    except (ValueError, KeyError, TypeError, RecursionError):
        return 0
