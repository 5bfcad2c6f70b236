"""Every datagram and lease event of three seeded fleets under faults, as commit 9c5e980 made them.

In virtual time; the schedule draws kills, starts, loss, duplicates, partitions, releases and requests of
leases, with clocks at the bound of drift. The digests were made by that commit's own code. They change with
any draw that is reordered, any timer, order of messages or field that is another; names of events are
compared as they are called now.
"""

import hashlib
import random

import msgspec

from cypressledge.fleet.leases.lease import lease_slots
from cypressledge.lab.virtual_fleet import SECOND_US as S
from cypressledge.lab.virtual_fleet import VirtualFleet

SEEDS = (1, 2, 3)
STEPS = 40
NAMES = [f"n{i}" for i in range(8)]
RATES = (0.99, 1.0, 1.01)
DATAGRAMS, DATAGRAM_DIGEST = 30_682, "fc0ca1f4d5668ab886370aac"
EVENTS, EVENT_DIGEST = 248, "5cacc6e202fe4e3b26f4558e"


class Recorder:
    """Digests of what the nodes of worlds send, and the events of their leases."""

    def __init__(self):
        self.digest, self.count, self.events = hashlib.sha256(), 0, []

    def attach(self, world):
        carry = world.carry

        def record_and_carry(source, to, sent):
            sender, incarnation, oldest_voters_version, items = sent
            self.count += 1
            self.digest.update(
                repr((world.at, source, to, sender, incarnation, oldest_voters_version)).encode()
            )
            self.digest.update(msgspec.msgpack.encode(items))
            carry(source, to, sent)

        world.carry = record_and_carry
        world.on_lease_event = lambda world, node, event, lease, token, reason: self.events.append(
            (world.at, node.name, str(event), lease, token)
        )


def change_network(world, kind, rng):
    if kind == 2:
        world.loss, world.copies = rng.random() / 2, rng.random() / 2
        world.delay = (100, rng.choice((2_000, 500_000)))
    elif kind == 3:
        world.loss, world.copies, world.delay, world.cut = 0, 0, (100, 2_000), set()
    else:
        some = set(rng.sample(NAMES, 3))
        world.cut = {(a, b) for a in NAMES for b in NAMES if a in some and b not in some}


def inject_fault(world, rng):
    kind, name = rng.randrange(6), rng.choice(NAMES)
    if kind == 0 and name in world.nodes:
        world.kill(name)
    elif kind == 1 and name not in world.nodes:
        world.start(name)
    elif kind in (2, 3, 4):
        change_network(world, kind, rng)
    elif kind == 5 and name in world.nodes and rng.random() < 0.5:
        node = world.nodes[name]
        node.lease_manager.request("turn", node.now())
    elif name in world.nodes:
        node = world.nodes[name]
        for slot in world.lease_slots:
            node.lease_manager.release(slot.lease, node.now(), "drawn")


def run_schedule(seed, recorder):
    rates = {name: RATES[i % len(RATES)] for i, name in enumerate(NAMES)}
    world = VirtualFleet(NAMES, NAMES[:5], 4, seed, rates=rates)
    world.lease_slots += lease_slots("pool", 3, world.term, False) + lease_slots("turn", 1, world.term, True)
    recorder.attach(world)
    for name in NAMES:
        world.start(name)
    rng = random.Random(seed)
    for _ in range(STEPS):
        inject_fault(world, rng)
        world.run(rng.randrange(3 * S))


def test_datagrams_and_events_are_those_recorded():
    recorder = Recorder()
    for seed in SEEDS:
        run_schedule(seed, recorder)
    assert (recorder.count, recorder.digest.hexdigest()[:24]) == (DATAGRAMS, DATAGRAM_DIGEST)
    events = hashlib.sha256(repr(recorder.events).encode()).hexdigest()[:24]
    assert (len(recorder.events), events) == (EVENTS, EVENT_DIGEST)
