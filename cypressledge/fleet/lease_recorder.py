"""A record, for simulations only, of the leases that this process believed it held, and until when."""

import json

from cypressledge.fleet.clock import LeaseClock
from cypressledge.fleet.node import FleetNode


class LeaseRecorder:
    """A file to which one JSON line is appended for each change. Times are µs of the machine's clock, which
    all processes share."""

    def __init__(self, path: str, node: FleetNode) -> None:
        self.node = node
        self.file = open(path, "a", buffering=1, encoding="utf-8")
        self.recorded_until: dict[str, int] = {}

    def record_renewals(self) -> None:
        """Record the new expiration of renewed leases. `record_end` records a lease's end, after the work
        under it has ended."""
        for lease in list(self.recorded_until):
            if self.node.held_lease(lease) is not None:
                self.record(lease)

    def record_end(self, lease: str) -> None:
        """Record the end of a lease that is lost or released, if it has been recorded as held."""
        if lease in self.recorded_until:
            self.record(lease)

    def record(self, lease: str) -> None:
        """Record until when this process believes it holds a lease, if that has changed; 0 if not held."""
        clock = self.node.clock
        grant = self.node.lease_manager.held_lease(lease, clock.now())
        if grant is None:
            self.recorded_until.pop(lease, None)
            line: dict[str, object] = {"lease": lease, "until": 0}
        elif self.recorded_until.get(lease) == grant.expires_at:
            return
        else:
            self.recorded_until[lease] = grant.expires_at
            line = {"lease": lease, "token": grant.token, "until": clock.to_machine_time(grant.expires_at)}
        line |= {"broker": self.node.name, "run": self.node.instance_id, "at": LeaseClock().now()}
        self.file.write(json.dumps(line) + "\n")
