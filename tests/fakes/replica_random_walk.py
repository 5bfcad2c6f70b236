"""Random walks through a world of replicas: each number is one thing that happens."""

from cypressledge.controlplane.replica import Replica
from tests.fakes.replica_world import SECOND, World

QUARANTINE = 3 * SECOND  # of a voter that starts without a disk
LEASE_TERM = 2 * SECOND
NO_FAULT = ""


class ExclusiveLease:
    """The lease as it should be: one holder at a time, for two seconds, counted from before it asked."""

    def __init__(self, world):
        self.world, self.holder, self.token, self.until = world, "", 0, 0

    def acquire(self, name):
        world = self.world
        if name not in world.running or self.holder != name and world.now < self.until:
            return
        if self.holder != name or world.now >= self.until or world.running[name].role == "standby":
            self.token += 1
        self.holder, self.until = name, world.now + LEASE_TERM
        world.lease(name, self.token, self.until)

    def lose_disk(self, name):
        """One at a time, and none before all have something: more is more than the method bears."""
        world = self.world
        if all(d.stored.base and d.stored.commit and not d.stored.joining for d in world.disks.values()):
            end_connections(world, name)
            world.lose_disk(name)


def end_connections(world, name):
    """All that is on its way from or to a replica is lost."""
    world.network[:] = [message for message in world.network if name not in message[:2]]


class RandomWalk:
    """What a number does to a world; with `losses` disks are lost too, and the lease is as it should be."""

    def __init__(self, names, kind, losses):
        self.world, self.losses = World(names, kind, quarantine=QUARANTINE), losses
        self.lease = ExclusiveLease(self.world)
        self.token = self.proposals = 0

    def step(self, number):
        """One thing happens: the low bits say what, the others to whom and how much."""
        action, amount = number % 64, number // 64
        name = self.world.names[amount % len(self.world.names)]
        if action < 46:
            self._traffic(action, amount, name)
        elif action < 54:
            self._time_and_leases(action, amount, name)
        else:
            self._failures(action, amount, name)

    def _traffic(self, action, amount, name):
        world = self.world
        if action < 30:  # mostly in order
            for _ in range(min(amount // 16 % 6, len(world.network))):
                world.deliver(min(amount // 8 % 4, len(world.network) - 1) if amount % 4 == 0 else 0)
        elif action < 36:
            world.run(world.names if amount % 2 else name + world.names[amount // 2 % len(world.names)])
        else:
            self._propose(amount, name)

    def _propose(self, amount, name):
        world = self.world
        self.proposals += 1
        leaders = [voter for voter, replica in world.running.items() if replica.role == "primary"]
        # Some are repeated.
        request = f"r{self.proposals if amount % 4 else max(self.proposals - 2, 0)}"
        world.propose(leaders[amount % len(leaders)] if leaders else name, request)

    def _time_and_leases(self, action, amount, name):
        world = self.world
        if action < 50:
            world.now += 900_000 if self.losses else 300_000
            for other in list(world.running):
                world.call(other, lambda other=other: world.running[other].tick(world.now))
        elif self.losses:
            self.lease.acquire(name)
            self.token = self.lease.token
        elif action < 53:
            self.token += amount % 4 > 0  # sometimes one that another has or had
            world.lease(name, self.token, world.now + (amount % 7 + 1) * SECOND)
        else:
            world.lease(name, None)

    def _failures(self, action, amount, name):
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
    """Each number is one thing that happens; then all is well again and one history must be there."""
    random_walk = RandomWalk(names, kind, losses)
    for number in numbers:
        random_walk.step(number)
    random_walk.world.settle(random_walk.token + 1)
    return random_walk.world
