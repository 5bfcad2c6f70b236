"""Random sequences of events in a simulated cluster of replicas; a number encodes each event."""

from cypressledge.controlplane.replica import Replica
from tests.fakes.replica_world import SECOND, World

QUARANTINE = 3 * SECOND  # µs; of a voter that starts with an empty disk
LEASE_TERM = 2 * SECOND  # µs
NO_FAULT = ""  # a disk step that succeeds


class ExclusiveLease:
    """A correct lease: one holder at a time, for `LEASE_TERM` from the time of its request."""

    def __init__(self, world):
        self.world, self.holder, self.token, self.until = world, "", 0, 0

    def acquire(self, name):
        """Grant or renew the lease for a running replica, unless another replica holds it."""
        world = self.world
        if name not in world.running or self.holder != name and world.now < self.until:
            return
        if self.holder != name or world.now >= self.until or world.running[name].role == "standby":
            self.token += 1
        self.holder, self.until = name, world.now + LEASE_TERM
        world.lease(name, self.token, self.until)

    def lose_disk(self, name):
        """Lose the disk of a replica, unless a disk is still empty or its replica is joining.

        The replication protocol tolerates only one lost disk at a time, and none before all replicas have a
        snapshot and a committed version.
        """
        world = self.world
        if all(d.stored.base and d.stored.commit and not d.stored.joining for d in world.disks.values()):
            end_connections(world, name)
            world.lose_disk(name)


def end_connections(world, name):
    """Drop all messages in transit from or to a replica."""
    world.network[:] = [message for message in world.network if name not in message[:2]]


class RandomWalk:
    """A random walk, which applies one event to a world for each number.

    With `losses`, disks are lost too and the lease is an `ExclusiveLease`; without, replicas receive leases
    whose terms may overlap.
    """

    def __init__(self, names, kind, losses):
        self.world, self.losses = World(names, kind, quarantine=QUARANTINE), losses
        self.lease = ExclusiveLease(self.world)
        self.token = self.proposals = 0

    def step(self, number):
        """Apply one event: the low six bits select the kind, the others the replica and the parameters."""
        action, amount = number % 64, number // 64
        name = self.world.names[amount % len(self.world.names)]
        if action < 46:
            self._traffic(action, amount, name)
        elif action < 54:
            self._time_and_leases(action, amount, name)
        else:
            self._failures(action, amount, name)

    def _traffic(self, action, amount, name):
        """Deliver messages, or propose a change."""
        world = self.world
        if action < 30:  # deliver messages, mostly in order
            for _ in range(min(amount // 16 % 6, len(world.network))):
                world.deliver(min(amount // 8 % 4, len(world.network) - 1) if amount % 4 == 0 else 0)
        elif action < 36:
            world.run(world.names if amount % 2 else name + world.names[amount // 2 % len(world.names)])
        else:
            self._propose(amount, name)

    def _propose(self, amount, name):
        """Propose a change to a leader, or to `name` if there is none."""
        world = self.world
        self.proposals += 1
        leaders = [voter for voter, replica in world.running.items() if replica.role == "primary"]
        # Some requests are repeated.
        request = f"r{self.proposals if amount % 4 else max(self.proposals - 2, 0)}"
        world.propose(leaders[amount % len(leaders)] if leaders else name, request)

    def _time_and_leases(self, action, amount, name):
        """Advance the time, or grant or withdraw a lease."""
        world = self.world
        if action < 50:
            world.now += 900_000 if self.losses else 300_000
            for other in list(world.running):
                world.call(other, lambda other=other: world.running[other].tick(world.now))
        elif self.losses:
            self.lease.acquire(name)
            self.token = self.lease.token
        elif action < 53:
            self.token += amount % 4 > 0  # sometimes the token of another holder
            world.lease(name, self.token, world.now + (amount % 7 + 1) * SECOND)
        else:
            world.lease(name, None)

    def _failures(self, action, amount, name):
        """Lose or repeat messages, crash or start a replica, or inject a disk fault or a disk loss."""
        world = self.world
        if action < 56 and world.network:
            world.network.pop(amount % len(world.network))
        elif action < 58 and world.network:
            world.deliver(amount % len(world.network), keep=True)
        elif action == 58:
            world.crash(name)
        elif action < 62 and name not in world.running:
            world.start(name)
        elif action == 62:
            fault = ("before", "after", "full")[amount // 4 % 3]
            world.disks[name].planned_faults = [NO_FAULT] * (amount % 4) + [fault]
        elif self.losses and action == 63 and amount % 2:
            self.lease.lose_disk(name)
        elif action == 63:
            end_connections(world, name)


def walk(numbers, names, kind=Replica, losses=False):
    """Apply the event of each number, repair all faults, check for one history, and return the world."""
    random_walk = RandomWalk(names, kind, losses)
    for number in numbers:
        random_walk.step(number)
    random_walk.world.settle(random_walk.token + 1)
    return random_walk.world
