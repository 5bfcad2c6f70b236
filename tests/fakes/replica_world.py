"""Replicas in a virtual world: a net that loses, repeats and reorders, disks that keep what was durable, and
whoever is told that it holds the lease. The world looks at all that is called committed or acknowledged."""

from dataclasses import replace

from cypressledge.controlplane.errors import LogInvariantError, NotLeaderError
from cypressledge.controlplane.log_storage import StorageError, StoredLog
from cypressledge.controlplane.messages import Op
from cypressledge.controlplane.replica import Replica
from cypressledge.controlplane.replica_context import ReplicaHandlers, ReplicaIdentity
from cypressledge.controlplane.state_values import Engine, StateError, encode_value

SECOND = 1_000_000


class Crash(Exception):
    """The process ends here."""


class Fault(AssertionError):
    """What must not be."""


class MemoryDisk:
    """Every step is whole or not there. `plan`: what happens at the coming steps: crash before, crash after,
    full."""

    def __init__(self):
        self.kept, self.plan, self.most = StoredLog(), [], 12

    @property
    def needs_compaction(self):
        return len(self.kept.changes) > self.most

    def load(self):
        return replace(self.kept, changes=list(self.kept.changes))

    def _step(self, **fields):
        plan = self.plan.pop(0) if self.plan else ""
        if plan == "full":
            raise StorageError("full")
        if plan == "before":
            raise Crash
        self.kept = replace(self.kept, **fields)
        if plan == "after":
            raise Crash

    def promise(self, epoch, run):
        self._step(promised=(epoch, run))

    def append(self, changes):
        self._step(changes=self.kept.changes + changes)

    def truncate(self, after_version):
        self._step(changes=[c for c in self.kept.changes if c.version <= after_version])

    def commit(self, version):
        self._step(commit=version)

    def install(self, snapshot):
        self._step(base=snapshot, changes=[], commit=snapshot.version)

    def compact(self, snapshot):
        self._step(base=snapshot, changes=[c for c in self.kept.changes if c.version > snapshot.version])

    def joined(self):
        self._step(joining=False)


def engine(name, size=1):
    """Ops that place so many engines."""
    return [
        Op(f"engine/{name}-{i}", encode_value(Engine(f"{name}-{i}:80", zone="z" * 60))) for i in range(size)
    ]


class World:
    """The replicas `names`, of the class `kind`, and all that is on its way between them."""

    def __init__(self, names="abc", kind=Replica, mute=0):
        self.names, self.kind, self.mute = tuple(names), kind, mute
        self.now, self.runs = SECOND, 0
        self.disks = {n: MemoryDisk() for n in names}
        self.up, self.net, self.events = {}, [], []
        self.truth, self.requests = {}, {}  # version -> (epoch, digest, request); request -> version
        self.open, self.acked = [], {}
        for name in names:
            self.start(name)

    def start(self, name):
        self.runs += 1
        self.call(
            name,
            lambda: self.up.__setitem__(
                name,
                self.kind(
                    ReplicaIdentity(name, self.runs, self.names),
                    self.disks[name],
                    self.now,
                    ReplicaHandlers(
                        lambda peer, message: self.net.append((name, peer, message)),
                        self.handed,
                        lambda event, **what: self.events.append((name, event)),
                    ),
                    mute_us=self.mute,
                ),
            ),
        )
        if name in self.up:
            self.up[name].permit_first_version(f"of {name}", [])

    def call(self, name, do):
        try:
            return do()
        except Crash:
            self.crash(name)
        except LogInvariantError as err:
            raise Fault(f"{name} stops: {err}") from err
        finally:
            self.look()

    def crash(self, name):
        self.up.pop(name, None)
        self.disks[name].plan = []

    def lose_disk(self, name):
        self.crash(name)
        self.disks[name] = MemoryDisk()
        self.disks[name].kept = StoredLog(joining=True)
        self.start(name)

    def handed(self, changes, snapshot):
        if snapshot is not None:
            self.same(snapshot.version, (snapshot.epoch, snapshot.digest, None))
        for c in changes or ():
            self.same(c.version, (c.epoch, c.digest, c.request_id))

    def same(self, version, found):
        known = self.truth.get(version)
        if known and (known[:2] != found[:2] or None not in (known[2], found[2]) and known[2] != found[2]):
            raise Fault(f"version {version} is {known} and {found}")
        if not known or known[2] is None:
            self.truth[version] = found
        if found[2] and self.requests.setdefault(found[2], version) != version:
            raise Fault(f"{found[2]} is in force twice")

    def look(self):
        """Tickets that became done."""
        for name, request, ticket in self.open:
            if ticket.state == "done":
                self.acked[request] = ticket.version
                if name in self.up and self.now >= self.up[name].lease_until:
                    raise Fault(f"{name} acknowledged {request} without the lease")
        self.open = [o for o in self.open if o[2].state == "open"]

    def lease(self, name, token, until=1 << 60):
        if name in self.up:
            return self.call(name, lambda: self.up[name].lease(self.now, token, until))
        return None

    def propose(self, name, request, ops=None):
        def do():
            replica = self.up[name]
            base = replica.latest_state.version if replica.log.has_history else 0
            ops_ = engine(request) if ops is None else ops
            ticket = replica.propose(self.now, ops_, base, request, "someone", "a test", 0)
            self.open.append((name, request, ticket))
            return ticket

        try:
            return self.call(name, do) if name in self.up else None
        except (NotLeaderError, StateError):
            return None

    def deliver(self, index, keep=False):
        sender, to, message = self.net[index] if keep else self.net.pop(index)
        if to in self.up:
            self.call(to, lambda: self.up[to].receive(self.now, sender, message))

    def run(self, among, drop=lambda m: False):
        """Deliver all between these, in order, until there is no more; the rest is lost."""
        while self.net:
            sender, to, message = self.net[0]
            if sender in among and to in among and not drop(message):
                self.deliver(0)
            else:
                self.net.pop(0)

    def pass_time(self, us, among, drop=lambda m: False):
        for _ in range(max(1, us // 500_000)):
            self.now += min(us, 500_000)
            for name in list(self.up):
                if name in among:
                    self.call(name, lambda name=name: self.up[name].tick(self.now))
            self.run(among, drop)

    def settle(self, token):
        """All are up and hear each other: one history, with all that was acknowledged, and it goes on."""
        self.net.clear()
        for name in self.names:
            self.disks[name].plan = []
            if name not in self.up:
                self.start(name)
            self.lease(name, None)
        for i in range(3 * len(self.names)):
            name = self.names[i % len(self.names)]
            if not self.lease(name, token + i):
                continue
            self.pass_time(10 * SECOND, self.names)
            if self.up[name].role == "primary":
                break
            self.lease(name, None)
        done = self.propose(name, "last")
        self.pass_time(10 * SECOND, self.names)
        states = [r.log.committed_state for r in self.up.values()]
        if not done or done.state != "done" or len({(s.epoch, s.version, s.digest) for s in states}) != 1:
            raise Fault(f"no one history: {[r.status(self.now) for r in self.up.values()]}")
        if len({s.cluster_id for s in states}) != 1 or len({tuple(s.requests.items()) for s in states}) != 1:
            raise Fault("lineages or requests differ")
        for request, version in self.acked.items():
            if states[0].requests.get(request) != version:
                raise Fault(f"{request}, acknowledged as {version}, is lost")


class Lease:
    """The lease as it should be: one holder at a time, for two seconds, counted from before it asked."""

    def __init__(self, world):
        self.world, self.holder, self.token, self.until = world, "", 0, 0

    def ask(self, name):
        w = self.world
        if name not in w.up or self.holder != name and w.now < self.until:
            return
        if self.holder != name or w.now >= self.until or w.up[name].role == "standby":
            self.token += 1
        self.holder, self.until = name, w.now + 2 * SECOND
        w.lease(name, self.token, self.until)

    def lose_disk(self, name):
        """One at a time, and none before all have something: more is more than the method bears."""
        w = self.world
        if all(d.kept.base and d.kept.commit and not d.kept.joining for d in w.disks.values()):
            w.net[:] = [m for m in w.net if name not in m[:2]]  # its connections end
            w.lose_disk(name)


def walk(numbers, names, kind=Replica, losses=False):
    """Each number is one thing that happens; then all is well again and one history must be there. With
    `losses` disks are lost too, and the lease is as it should be."""
    w, token, count = World(names, kind, mute=3 * SECOND), 0, 0
    lease = Lease(w)
    for number in numbers:
        what, n = number % 64, number // 64
        name = w.names[n % len(names)]
        if what < 30:  # mostly in order
            for _ in range(min(n // 16 % 6, len(w.net))):
                w.deliver(min(n // 8 % 4, len(w.net) - 1) if n % 4 == 0 else 0)
        elif what < 36:
            w.run(w.names if n % 2 else name + w.names[n // 2 % len(names)])
        elif what < 46:
            count += 1
            lead = [v for v, r in w.up.items() if r.role == "primary"]
            request = f"r{count if n % 4 else max(count - 2, 0)}"  # some are repeated
            w.propose(lead[n % len(lead)] if lead else name, request)
        elif what < 50:
            w.now += 900_000 if losses else 300_000
            for other in list(w.up):
                w.call(other, lambda other=other: w.up[other].tick(w.now))
        elif losses and what < 54:
            lease.ask(name)
            token = lease.token
        elif what < 53:
            token += n % 4 > 0  # sometimes one that another has or had
            w.lease(name, token, w.now + (n % 7 + 1) * SECOND)
        elif what == 53:
            w.lease(name, None)
        elif what < 56 and w.net:
            w.net.pop(n % len(w.net))
        elif what < 58 and w.net:
            w.deliver(n % len(w.net), keep=True)
        elif what == 58:
            w.crash(name)
        elif what < 62 and name not in w.up:
            w.start(name)
        elif what == 62:
            w.disks[name].plan = ["", "", "", ""][: n % 4] + [("before", "after", "full")[n // 4 % 3]]
        elif losses and what == 63 and n % 2:
            lease.lose_disk(name)
        elif what == 63:
            w.net[:] = [m for m in w.net if name not in m[:2]]
    w.settle(token + 1)
    return w
