"""A fleet in virtual time that has settled, for tests."""

from cypressledge.lab.virtual_fleet import SECOND_US as S
from cypressledge.lab.virtual_fleet import VirtualFleet


def settled_world(seed=1, leases=1, brokers=5, voters=3, **more):
    names = [f"n{i}" for i in range(brokers)]
    world = VirtualFleet(names, names[:voters], leases, seed, **more)
    world.run(7 * S)
    return world
