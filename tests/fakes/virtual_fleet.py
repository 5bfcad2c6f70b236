"""A simulated fleet in virtual time, for tests."""

from cypressledge.lab.virtual_fleet import SECOND_US as S
from cypressledge.lab.virtual_fleet import VirtualFleet


def settled_world(seed=1, leases=1, brokers=5, voters=3, **more):
    """Return a fleet after 7 s of virtual time, when its membership and its leases have settled."""
    names = [f"n{i}" for i in range(brokers)]
    world = VirtualFleet(names, names[:voters], leases, seed, **more)
    world.run(7 * S)
    return world
