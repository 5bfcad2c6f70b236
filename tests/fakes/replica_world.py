"""A simulated cluster of replicas with virtual time, a simulated network and simulated disks.

The network can lose, repeat and reorder messages, the disks keep what was written durably, and the test
decides which replica receives the lease. The world checks all changes that a replica reports as committed or
acknowledged.
"""

from dataclasses import replace

from cypressledge.controlplane.errors import LogInvariantError, NotLeaderError
from cypressledge.controlplane.log_storage import StorageError, StoredLog
from cypressledge.controlplane.messages import Op
from cypressledge.controlplane.replica import Replica
from cypressledge.controlplane.replica_context import ReplicaHandlers, ReplicaIdentity
from cypressledge.controlplane.state_values import Engine, StateError, encode_value

SECOND = 1_000_000  # µs


class SimulatedCrashError(Exception):
    """A simulated crash of a replica during a disk step."""


class SafetyViolationError(AssertionError):
    """A violation of a safety property of the replicated log."""


class MemoryDisk:
    """A simulated disk whose steps are atomic.

    `planned_faults` holds the faults of the next steps: "before" (crash before the step), "after" (crash
    after it), "full" (no space left) or "" (none). `stored` is the durable log.
    """

    def __init__(self):
        self.stored, self.planned_faults, self.max_changes = StoredLog(), [], 12

    @property
    def needs_compaction(self):
        return len(self.stored.changes) > self.max_changes

    def load(self):
        return replace(self.stored, changes=list(self.stored.changes))

    def _step(self, **fields):
        fault = self.planned_faults.pop(0) if self.planned_faults else ""
        if fault == "full":
            raise StorageError("full")
        if fault == "before":
            raise SimulatedCrashError
        self.stored = replace(self.stored, **fields)
        if fault == "after":
            raise SimulatedCrashError

    def promise(self, epoch, instance_id):
        self._step(promised=(epoch, instance_id))

    def append(self, changes):
        self._step(changes=self.stored.changes + changes)

    def truncate(self, after_version):
        self._step(changes=[c for c in self.stored.changes if c.version <= after_version])

    def commit(self, version):
        self._step(commit=version)

    def install(self, snapshot):
        self._step(base=snapshot, changes=[], commit=snapshot.version)

    def compact(self, snapshot):
        self._step(base=snapshot, changes=[c for c in self.stored.changes if c.version > snapshot.version])

    def joined(self):
        self._step(joining=False)


def engine(name, size=1):
    """Return the operations that set `size` engines."""
    return [
        Op(f"engine/{name}-{i}", encode_value(Engine(f"{name}-{i}:80", zone="z" * 60))) for i in range(size)
    ]


class World:
    """The replicas `names` of the class `kind`, their disks, and the messages in transit between them."""

    def __init__(self, names="abc", kind=Replica, quarantine=0):
        self.names, self.kind, self.quarantine = tuple(names), kind, quarantine
        self.now, self.instances = SECOND, 0
        self.disks = {n: MemoryDisk() for n in names}
        self.running, self.network, self.events = {}, [], []
        self.known_versions, self.requests = {}, {}  # version -> (epoch, digest, request); request -> version
        self.open_proposals, self.acknowledged = [], {}
        for name in names:
            self.start(name)

    def start(self, name):
        """Start a replica as a new instance on its present disk."""
        self.instances += 1
        self.call(
            name,
            lambda: self.running.__setitem__(
                name,
                self.kind(
                    ReplicaIdentity(name, self.instances, self.names),
                    self.disks[name],
                    self.now,
                    ReplicaHandlers(
                        lambda peer, message: self.network.append((name, peer, message)),
                        self.committed,
                        lambda event, **what: self.events.append((name, event)),
                    ),
                    quarantine_us=self.quarantine,
                ),
            ),
        )
        if name in self.running:
            self.running[name].permit_first_version(f"of {name}", [])

    def call(self, name, action):
        """Run an action of a replica, which may crash in it, and check the acknowledged proposals."""
        try:
            return action()
        except SimulatedCrashError:
            self.crash(name)
        except LogInvariantError as err:
            raise SafetyViolationError(f"replica {name} stopped: {err}") from err
        finally:
            self.check_acknowledgements()

    def crash(self, name):
        """Remove a running replica; its disk stays, without further planned faults."""
        self.running.pop(name, None)
        self.disks[name].planned_faults = []

    def lose_disk(self, name):
        """Restart a replica with an empty disk."""
        self.crash(name)
        self.disks[name] = MemoryDisk()
        self.disks[name].stored = StoredLog(joining=True)
        self.start(name)

    def committed(self, changes, snapshot):
        """Check the changes or the snapshot that a replica reports as committed."""
        if snapshot is not None:
            self.check_version(snapshot.version, (snapshot.epoch, snapshot.digest, None))
        for change in changes or ():
            self.check_version(change.version, (change.epoch, change.digest, change.request_id))

    def check_version(self, version, found):
        """Check that a version is committed with the same content everywhere, and a request only once."""
        known = self.known_versions.get(version)
        if known and (known[:2] != found[:2] or None not in (known[2], found[2]) and known[2] != found[2]):
            raise SafetyViolationError(f"version {version} was committed as {known} and as {found}")
        if not known or known[2] is None:
            self.known_versions[version] = found
        if found[2] and self.requests.setdefault(found[2], version) != version:
            raise SafetyViolationError(f"request {found[2]} was committed in two versions")

    def check_acknowledgements(self):
        """Record the proposals that are done, whose replica must have held the lease."""
        for name, request, ticket in self.open_proposals:
            if ticket.state == "done":
                self.acknowledged[request] = ticket.version
                if name in self.running and self.now >= self.running[name].lease_until:
                    raise SafetyViolationError(
                        f"replica {name} acknowledged request {request} without the lease"
                    )
        self.open_proposals = [o for o in self.open_proposals if o[2].state == "open"]

    def lease(self, name, token, until=1 << 60):
        """Notify a replica that it holds the lease with a token until a time (µs), or no lease (None)."""
        if name in self.running:
            return self.call(name, lambda: self.running[name].update_lease(self.now, token, until))
        return None

    def propose(self, name, request, ops=None):
        """Propose a change to a replica; return its ticket, or None if the replica rejects it or is down."""

        def attempt():
            replica = self.running[name]
            base = replica.latest_state.version if replica.log.has_history else 0
            proposed_ops = engine(request) if ops is None else ops
            ticket = replica.propose(self.now, proposed_ops, base, request, "someone", "a test", 0)
            self.open_proposals.append((name, request, ticket))
            return ticket

        try:
            return self.call(name, attempt) if name in self.running else None
        except (NotLeaderError, StateError):
            return None

    def deliver(self, index, keep=False):
        """Deliver a message in transit; with `keep` it stays in transit and is delivered again later."""
        sender, to, message = self.network[index] if keep else self.network.pop(index)
        if to in self.running:
            self.call(to, lambda: self.running[to].receive(self.now, sender, message))

    def run(self, connected, drop=lambda m: False):
        """Deliver the messages in order until none is left.

        Messages that `drop` selects are lost, and so are those from or to a replica not in `connected`.
        """
        while self.network:
            sender, to, message = self.network[0]
            if sender in connected and to in connected and not drop(message):
                self.deliver(0)
            else:
                self.network.pop(0)

    def pass_time(self, microseconds, connected, drop=lambda m: False):
        """Advance the time in steps of up to 0.5 s, each with a tick of the connected replicas and `run`."""
        for _ in range(max(1, microseconds // 500_000)):
            self.now += min(microseconds, 500_000)
            for name in list(self.running):
                if name in connected:
                    self.call(name, lambda name=name: self.running[name].tick(self.now))
            self.run(connected, drop)

    def settle(self, token):
        """Start all replicas, connect them, commit one more change, and check the result.

        All replicas must have one history with all acknowledged changes.
        """
        self.network.clear()
        for name in self.names:
            self.disks[name].planned_faults = []
            if name not in self.running:
                self.start(name)
            self.lease(name, None)
        for attempt in range(3 * len(self.names)):
            name = self.names[attempt % len(self.names)]
            if not self.lease(name, token + attempt):
                continue
            self.pass_time(10 * SECOND, self.names)
            if self.running[name].role == "primary":
                break
            self.lease(name, None)
        ticket = self.propose(name, "last")
        self.pass_time(10 * SECOND, self.names)
        self.check_one_history(ticket)

    def check_one_history(self, ticket):
        """Check that `ticket` is done and all replicas have one state with all acknowledged changes."""
        states = [replica.log.committed_state for replica in self.running.values()]
        if not ticket or ticket.state != "done" or len({(s.epoch, s.version, s.digest) for s in states}) != 1:
            raise SafetyViolationError(
                f"the replicas have no common history: {[r.status(self.now) for r in self.running.values()]}"
            )
        if len({s.cluster_id for s in states}) != 1 or len({tuple(s.requests.items()) for s in states}) != 1:
            raise SafetyViolationError("cluster ids or recorded requests differ between replicas")
        for request, version in self.acknowledged.items():
            if states[0].requests.get(request) != version:
                raise SafetyViolationError(f"request {request}, acknowledged as version {version}, is lost")
