"""`lab size`: many brokers in virtual time; messages and processor time of each, and lease placement."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from tabulate import tabulate

from cypressledge.fleet.membership import ALIVE
from cypressledge.lab.summary_statistics import mean
from cypressledge.lab.virtual_fleet import SECOND_US, VirtualFleet, VirtualNode

SETTLE_S = 10
REACQUIRE_TIMEOUT_S = 20  # s after a broker is killed; leases that are not held again by then count as lost
REACQUIRE_STEP_US = 10_000


@dataclass(frozen=True, slots=True)
class _Totals:
    cpu_ns: float
    datagrams: float
    items: float
    payload_bytes: float

    @staticmethod
    def of(node: VirtualNode) -> "_Totals":
        """Return a node's totals since its start."""
        return _Totals(node.cpu_ns, node.datagrams_sent, node.items_sent, node.payload_bytes)

    def rates_since(self, before: "_Totals", seconds: float) -> "_Totals":
        """Return the increase since `before`, per second."""
        return _Totals(
            (self.cpu_ns - before.cpu_ns) / seconds,
            (self.datagrams - before.datagrams) / seconds,
            (self.items - before.items) / seconds,
            (self.payload_bytes - before.payload_bytes) / seconds,
        )


def report(
    brokers: int, leases: int, voters: int, seconds: float, seed: int, echo: Callable[[str], None]
) -> int:
    """Print a fleet's figures before and after one broker is killed; return 1 if a lease stays unheld."""
    names = [f"n{i:03d}" for i in range(brokers)]
    world = VirtualFleet(names, names[:voters], leases, seed)
    world.run(SETTLE_S * SECOND_US)
    before = {name: _Totals.of(node) for name, node in world.nodes.items()}
    world.run(round(seconds * SECOND_US))
    rates = {name: _Totals.of(node).rates_since(before[name], seconds) for name, node in world.nodes.items()}
    rows = [
        _group_row("voters", [rates[name] for name in names[:voters]]),
        _group_row("others", [rates[name] for name in names[voters:]]),
    ]
    echo(
        tabulate(rows, headers=["", "brokers", "cpu % mean", "cpu % most", "datagrams/s", "items/s", "kB/s"])
    )
    lease_names = [f"lease-{i}" for i in range(leases)]
    held = Counter(world.holders(lease)[0] for lease in lease_names if world.holders(lease))
    echo(f"leases held {sum(held.values())} of {leases}, by {len(held)} brokers, most {max(held.values())}")
    return _kill_busiest(world, lease_names, held, echo)


def _group_row(title: str, rates: list[_Totals]) -> list[object]:
    return [
        title,
        len(rates),
        f"{mean([rate.cpu_ns for rate in rates]) / 1e7:.3f}",
        f"{max(rate.cpu_ns for rate in rates) / 1e7:.3f}",
        f"{mean([rate.datagrams for rate in rates]):.1f}",
        f"{mean([rate.items for rate in rates]):.1f}",
        f"{mean([rate.payload_bytes for rate in rates]) / 1000:.2f}",
    ]


def _kill_busiest(
    world: VirtualFleet, lease_names: list[str], held: Counter[str], echo: Callable[[str], None]
) -> int:
    """Kill the broker that holds the most leases, and wait until its leases are held again.

    Returns 0 if all of them are held again within `REACQUIRE_TIMEOUT_S`, else 1.
    """
    victim = held.most_common(1)[0][0]
    lost = [lease for lease in lease_names if victim in world.holders(lease)]
    killed_at = world.at
    world.kill(victim)
    reacquired: dict[str, int] = {}  # by lease: µs after the kill
    while len(reacquired) < len(lost) and world.at < killed_at + REACQUIRE_TIMEOUT_S * SECOND_US:
        world.run(REACQUIRE_STEP_US)
        for lease in lost:
            if lease not in reacquired and world.holders(lease):
                reacquired[lease] = world.at - killed_at
    spread = Counter(world.holders(lease)[0] for lease in reacquired)
    survivor = next(iter(world.nodes.values()))
    alive = sum(member.state == ALIVE for member in survivor.membership.members.values())
    echo(
        f"{victim} killed with {len(lost)} leases: all held again after "
        f"{max(reacquired.values()) / SECOND_US:.2f} s, by {len(spread)} brokers; {alive + 1} seen alive"
    )
    return 0 if len(reacquired) == len(lost) else 1
