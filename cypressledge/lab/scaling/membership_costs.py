"""Cost of membership and 50 leases in virtual time, by fleet size: decisions and encoding, no sockets."""

import gc
from collections.abc import Iterable
from dataclasses import dataclass

from cypressledge.lab.results import Slope, Source
from cypressledge.lab.scaling.measuring import HEADER_BYTES, SECOND_US, CurveFamily, Findings, Points
from cypressledge.lab.summary_statistics import mean
from cypressledge.lab.virtual_fleet import VirtualFleet, VirtualNode

ROLE = "broker, control part"
VOTERS = 5
LEASES = 50
SETTLE_S = 10  # s; time for brokers that start at the same moment to discover each other
LOSS_MAX_BROKERS = 240  # with more brokers, simulating the start and the loss takes minutes
LOSS_WATCH_S = 15.0  # s that the others are observed after a quarter of the brokers was killed
LOSS_STEPS_PER_S = 4


@dataclass(frozen=True, slots=True)
class Load:
    """A node's load: percent of a core, and datagrams and KB (with headers) sent per second."""

    cpu_pct: float
    datagrams_per_s: float
    kb_per_s: float


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """The mean and the maximum of each load figure over a group of nodes."""

    mean: Load
    largest: Load


@dataclass(frozen=True, slots=True)
class QuarterLoss:
    """The cost of the loss of a quarter of the brokers for the others.

    A time is `LOSS_WATCH_S` if its event did not occur within `LOSS_WATCH_S`.
    """

    noticed_s: float  # until none of the others considers any of the killed brokers alive
    largest_cpu_pct: float
    largest_kb_per_s: float
    leases_held_s: float  # until all leases are held again


@dataclass(frozen=True, slots=True)
class MembershipCost:
    """The cost of one fleet size in the steady state, and after a loss if the fleet is small enough.

    `loss`: None for fleets of more than `LOSS_MAX_BROKERS`.
    """

    voters: GroupLoad
    others: GroupLoad
    loss: QuarterLoss | None


@dataclass(frozen=True, slots=True)
class _Counts:
    cpu_ns: int
    sent: int  # datagrams
    payload_bytes: int

    @staticmethod
    def of(node: VirtualNode) -> "_Counts":
        """Return a node's counts since its start."""
        return _Counts(node.cpu_ns, node.datagrams_sent, node.payload_bytes)

    def load_since(self, before: "_Counts", seconds: float) -> Load:
        """Return the load since the counts `before`, taken `seconds` earlier."""
        sent = self.sent - before.sent
        size = self.payload_bytes - before.payload_bytes + HEADER_BYTES * sent
        return Load((self.cpu_ns - before.cpu_ns) / seconds / 1e7, sent / seconds, size / seconds / 1000)


def membership_cost(brokers: int, seconds: float, seed: int) -> MembershipCost:
    """Measure one fleet for `seconds` of virtual time."""
    names = [f"n{i:03d}" for i in range(brokers)]
    world = VirtualFleet(names, names[:VOTERS], LEASES, seed)
    world.run(SETTLE_S * SECOND_US)
    gc.collect()
    before = {name: _Counts.of(node) for name, node in world.nodes.items()}
    world.run(round(seconds * SECOND_US))
    loads = {name: _Counts.of(node).load_since(before[name], seconds) for name, node in world.nodes.items()}
    voters = _group_load([loads[name] for name in names[:VOTERS]])
    others = _group_load([loads[name] for name in names[VOTERS:]])
    return MembershipCost(voters, others, _quarter_loss(world) if brokers <= LOSS_MAX_BROKERS else None)


def _group_load(loads: list[Load]) -> GroupLoad:
    cpu = [load.cpu_pct for load in loads]
    datagrams = [load.datagrams_per_s for load in loads]
    kb = [load.kb_per_s for load in loads]
    return GroupLoad(Load(mean(cpu), mean(datagrams), mean(kb)), Load(max(cpu), max(datagrams), max(kb)))


def _quarter_loss(world: VirtualFleet) -> QuarterLoss:
    """Kill every fourth broker and measure the others for `LOSS_WATCH_S`."""
    dead = set(world.names[::4])
    for name in dead:
        world.kill(name)
    before = {name: _Counts.of(node) for name, node in world.nodes.items()}
    noticed = held = LOSS_WATCH_S
    for step in range(1, round(LOSS_STEPS_PER_S * LOSS_WATCH_S) + 1):
        world.run(SECOND_US // LOSS_STEPS_PER_S)
        if noticed == LOSS_WATCH_S and not any(
            dead & node.membership.alive() for node in world.nodes.values()
        ):
            noticed = step / LOSS_STEPS_PER_S
        if held == LOSS_WATCH_S and all(world.holders(f"lease-{i}") for i in range(LEASES)):
            held = step / LOSS_STEPS_PER_S
    loads = [_Counts.of(node).load_since(before[name], LOSS_WATCH_S) for name, node in world.nodes.items()]
    largest = _group_load(loads).largest
    return QuarterLoss(noticed, largest.cpu_pct, largest.kb_per_s, held)


def membership_costs(quick: bool, seed: int, source: Source) -> Findings:
    """Measure fleets of several sizes; `quick`: few and small fleets."""
    sizes = (20, 40) if quick else (60, 120, 240, 460)
    costs = {size: membership_cost(size, 4.0 if quick else 5.0, seed) for size in sizes}
    voters = {size: cost.voters for size, cost in costs.items()}
    others = {size: cost.others for size, cost in costs.items()}
    losses = {size: cost.loss for size, cost in costs.items() if cost.loss is not None}
    return Findings(
        [
            *_load_curves("voters", "voter", voters, source),
            *_load_curves("others", ROLE, others, source),
            *_loss_curves(losses, source),
        ]
    )


def _load_curves(group: str, role: str, loads: dict[int, GroupLoad], source: Source) -> Iterable[Slope]:
    family = CurveFamily(role, "brokers", source)
    figures = (
        ("cpu", "processor time", "% of a core", lambda load: load.cpu_pct),
        ("datagrams", "datagrams sent", "1/s", lambda load: load.datagrams_per_s),
        ("kb", "sent, with headers", "KB/s", lambda load: load.kb_per_s),
    )
    for key, what, unit, figure in figures:
        means = [(size, figure(load.mean)) for size, load in loads.items()]
        yield _load_curve(family, f"{group}_{key}_mean", f"{what}, mean", unit, means)
        largest = [(size, figure(load.largest)) for size, load in loads.items()]
        yield _load_curve(family, f"{group}_{key}_most", f"{what}, most", unit, largest)


def _load_curve(family: CurveFamily, name: str, what: str, unit: str, points: Points) -> Slope:
    return family.curve(f"members_{name}", f"members and 50 leases: {what}", unit, points)


def _loss_curves(losses: dict[int, QuarterLoss], source: Source) -> Iterable[Slope]:
    family = CurveFamily(ROLE, "brokers", source)
    noticed = [(size, loss.noticed_s) for size, loss in losses.items()]
    what = "a quarter dies: until each of the others holds all of them for gone"
    yield family.curve("members_noticed_s", what, "s", noticed)
    cpu = [(size, loss.largest_cpu_pct) for size, loss in losses.items()]
    what = "the 15 s after: processor time, most of a broker"
    yield family.curve("members_loss_cpu_most", what, "% of a core", cpu)
    kb = [(size, loss.largest_kb_per_s) for size, loss in losses.items()]
    yield family.curve(
        "members_loss_kb_most", "the 15 s after: sent, with headers, most of a broker", "KB/s", kb
    )
    held = [(size, loss.leases_held_s) for size, loss in losses.items()]
    what = "a quarter dies: until all 50 leases are held again"
    yield family.curve("members_loss_held_s", what, "s", held)
