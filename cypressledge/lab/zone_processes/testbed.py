"""A testbed for `lab zones` and tests: broker processes, engines in three zones, and a load."""

from dataclasses import dataclass
from datetime import datetime
from typing import cast

from cypressledge.lab.demo import ask
from cypressledge.lab.processes import BrokerProcess, Brokers, until
from cypressledge.lab.site import SETTINGS, free_udp_ports
from cypressledge.lab.udp_proxy import UdpProxies
from cypressledge.lab.zone_processes.core_engine import WARM_S, CoreEngine
from cypressledge.lab.zone_processes.open_load import OpenLoad

ZONES = ("room1", "room2", "room3")
ENGINES_PER_ZONE = 3
CORES = 4  # cores per engine
WORK_MS = 100  # ms; work of a lookup on one core
START_TIMEOUT_S = 30  # s; within which all brokers must listen
PLAN_TIMEOUT_S = 20  # s; within which all brokers must have a plan


@dataclass(frozen=True, slots=True)
class ZoneTestbedOptions:
    """The parameters of a testbed.

    `brokers`: number of brokers; `failover`: whether they have zone failover; `rate`: the load, as a fraction
    of all engines' cores; `proxied`: connect every two brokers through proxies, whose links can fail;
    `hold_s`: the least time that a zone stays out of service, s; `warm_s`: the warm-up time of engines, s;
    `regions`: the regions in the fleet file.
    """

    brokers: int
    failover: bool
    seed: int
    rate: float
    proxied: bool = False
    hold_s: float = 3.0
    warm_s: float = WARM_S
    regions: tuple[dict, ...] = ()


class ZoneTestbed:
    """The broker processes, fake engines and load of one run."""

    def __init__(self, options: ZoneTestbedOptions) -> None:
        self.options = options
        self.names = [f"n{i}" for i in range(options.brokers)]
        self._load: OpenLoad | None = None
        self.ports = free_udp_ports(self.names)
        self.proxies = UdpProxies(self.ports, options.seed) if options.proxied else None
        self.engines = [
            CoreEngine(f"s-{zone[-1]}{number}", zone, CORES, self.names, options.warm_s)
            for zone in ZONES
            for number in range(ENGINES_PER_ZONE)
        ]
        self.brokers = Brokers()

    def __getitem__(self, name: str) -> BrokerProcess:
        return self.brokers.all[name]

    @property
    def load(self) -> OpenLoad:
        """The load. Raises `RuntimeError` before `start` has started it."""
        if self._load is None:
            raise RuntimeError("the testbed was not started: it has no load")
        return self._load

    def start(self) -> "ZoneTestbed":
        """Start all brokers and, with failover, wait until they have a plan; then start the load.

        Raises `RuntimeError` if the brokers do not start, or have no plan, within the timeouts.
        """
        for slot, name in enumerate(self.names):
            self._add_broker(slot, name).start(self.options.failover)
        brokers = self.brokers.all.values()
        until(lambda: all("listening on" in b.words() or not b.running() for b in brokers), START_TIMEOUT_S)
        if not all("listening on" in b.words() and b.running() for b in brokers):
            raise RuntimeError("the brokers did not start: " + "".join(b.words()[-500:] for b in brokers))
        if self.options.failover and not until(self._all_follow_a_plan, PLAN_TIMEOUT_S):
            raise RuntimeError(f"not all brokers had a failover plan within {PLAN_TIMEOUT_S} s")
        total_cores = sum(engine.cores for engine in self.engines)
        ports = [self[name].port for name in self.names]
        self._load = OpenLoad(
            ports, self.options.rate * total_cores * 1000 / WORK_MS, WORK_MS, self.options.seed
        )
        return self

    def close(self) -> None:
        """Stop the load, all processes, proxies and engines."""
        if self._load is not None:
            self._load.end()
        self.brokers.end()
        if self.proxies is not None:
            self.proxies.close()
        for engine in self.engines:
            engine.close()

    def engines_in(self, zone: str) -> list[CoreEngine]:
        """Return the engines of a zone."""
        return [engine for engine in self.engines if engine.zone == zone]

    def status(self, name: str) -> dict:
        """Return a broker's status of the zones, or an empty dictionary if it does not answer."""
        return cast(dict, ask(self[name], "/zone/status") or {})

    def zone_row(self, name: str, zone: str) -> dict:
        """Return one zone's row of a broker's status, or an empty dictionary if there is none."""
        return next((row for row in self.status(name).get("zones", ()) if row["zone"] == zone), {})

    def shares(self, zone: str, among: list[str] | None = None) -> list[float | None]:
        """Return a zone's share, permille, at each running broker; None for a broker that does not answer."""
        return [self.zone_row(n, zone).get("share") for n in among or self.names if self[n].running()]

    def planner(self, excluded: str = "") -> str:
        """Return the planner's name if all running brokers agree on it.

        Empty if they differ, or if the planner is `excluded` or does not run.
        """
        planners = {self.status(name).get("planner") for name in self.names if self[name].running()}
        name = planners.pop() if len(planners) == 1 else ""
        return name if name and name != excluded and self[name].running() else ""

    def events(self, *kinds: str) -> list[dict]:
        """Return the brokers' log events of these kinds, sorted by time."""
        found = [e for broker in self.brokers.all.values() for e in broker.events() if e["event"] in kinds]
        return sorted(found, key=logged_at)

    def last_received(self, zone: str) -> float:
        """Return when an engine of a zone last received a query (monotonic clock, s); 0 if none has."""
        return max((q.received_at for e in self.engines_in(zone) for q in e.received), default=0.0)

    def _all_follow_a_plan(self) -> bool:
        return all(self.status(name).get("token") for name in self.names)

    def _add_broker(self, slot: int, name: str) -> BrokerProcess:
        site = {
            "Rules": cast(dict, SETTINGS["Rules"]) | {"WarmWithin": round(self.options.warm_s * 1e6)},
            "FamilyInfo": cast(dict, SETTINGS["FamilyInfo"]) | {"CoresByKind": [CORES, CORES]},
            "SlotNo": slot,
            "PeersTotal": len(self.names),
        }
        members = [engine.member(name) for engine in self.engines]
        return self.brokers.add(name, self._fleet_file(name), members, site)

    def _fleet_file(self, name: str) -> dict:
        voters = self.names[: 3 if len(self.names) < 5 else 5]
        return {
            "peers": [
                {"name": peer, "address": self._address(name, peer), "zone": ZONES[i % len(ZONES)]}
                for i, peer in enumerate(self.names)
            ],
            "voters": [{"version": 1, "names": voters}],
            "term_s": 1.5,
            "ping_s": 0.2,
            "zone_pace": {"hold_s": self.options.hold_s},
            "leases": [{"name": "zones"}],
            "regions": list(self.options.regions),
            "tasks": [{"kind": "zones", "lease": "zones", "longest_s": 0.5, "priority": 0}],
        }

    def _address(self, name: str, peer: str) -> str:
        """Return the address at which a broker reaches a peer, HOST:PORT; a proxy's if links are proxied."""
        if self.proxies is None or peer == name:
            return f"127.0.0.1:{self.ports[peer]}"
        return self.proxies.address(name, peer)


def logged_at(event: dict) -> float:
    """Return the time at which an event was logged (wall clock, s)."""
    return datetime.fromisoformat(event["timestamp"]).timestamp()
