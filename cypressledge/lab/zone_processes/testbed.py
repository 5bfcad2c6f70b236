"""Brokers as processes, engines in three zones, and a load: what `lab zones` and tests play schedules on."""

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
CORES = 4  # of an engine
WORK_MS = 100  # of a lookup
START_TIMEOUT_S = 30  # until brokers listen
PLAN_TIMEOUT_S = 20  # until they have a plan


@dataclass(frozen=True, slots=True)
class ZoneTestbedOptions:
    """What a testbed is made of.

    `brokers`: how many; `failover`: whether they have zone failover; `rate`: the load, as a part of all
    engines' cores; `proxied`: proxies between every two brokers, whose links can fail; `hold_s`: the least
    time that a zone stays out; `warm_s`: in which engines warm up; `regions`: of the fleet file.
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
    """Brokers, engines and a load."""

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
        """The load. Raises `RuntimeError` before it has begun."""
        if self._load is None:
            raise RuntimeError("not started")
        return self._load

    def start(self) -> "ZoneTestbed":
        """Start all brokers, then the load: once they have a plan, where there is to be one.

        Raises `RuntimeError` where they do not start, or have no plan in time.
        """
        for slot, name in enumerate(self.names):
            self._add_broker(slot, name).start(self.options.failover)
        brokers = self.brokers.all.values()
        until(lambda: all("listening on" in b.words() or not b.running() for b in brokers), START_TIMEOUT_S)
        if not all("listening on" in b.words() and b.running() for b in brokers):
            raise RuntimeError("the brokers did not start: " + "".join(b.words()[-500:] for b in brokers))
        if self.options.failover and not until(self._all_follow_a_plan, PLAN_TIMEOUT_S):
            raise RuntimeError("no planner")
        total_cores = sum(engine.cores for engine in self.engines)
        ports = [self[name].port for name in self.names]
        self._load = OpenLoad(
            ports, self.options.rate * total_cores * 1000 / WORK_MS, WORK_MS, self.options.seed
        )
        return self

    def close(self) -> None:
        """End the load, all processes, proxies and engines."""
        if self._load is not None:
            self._load.end()
        self.brokers.end()
        if self.proxies is not None:
            self.proxies.close()
        for engine in self.engines:
            engine.close()

    def engines_in(self, zone: str) -> list[CoreEngine]:
        """Return a zone's engines."""
        return [engine for engine in self.engines if engine.zone == zone]

    def status(self, name: str) -> dict:
        """Return a broker's status of the zones; empty where it does not answer."""
        return cast(dict, ask(self[name], "/zone/status") or {})

    def zone_row(self, name: str, zone: str) -> dict:
        """Return one zone's row of a broker's status; empty where there is none."""
        return next((row for row in self.status(name).get("zones", ()) if row["zone"] == zone), {})

    def shares(self, zone: str, among: list[str] | None = None) -> list[float | None]:
        """Return a zone's share, permille, at each broker that runs; None where it does not answer."""
        return [self.zone_row(n, zone).get("share") for n in among or self.names if self[n].running()]

    def planner(self, excluded: str = "") -> str:
        """Return the planner by all brokers that run; empty while they differ, or where it is `excluded`."""
        planners = {self.status(name).get("planner") for name in self.names if self[name].running()}
        name = planners.pop() if len(planners) == 1 else ""
        return name if name and name != excluded and self[name].running() else ""

    def events(self, *kinds: str) -> list[dict]:
        """Return the brokers' log events of these kinds, in order of time."""
        found = [e for broker in self.brokers.all.values() for e in broker.events() if e["event"] in kinds]
        return sorted(found, key=logged_at)

    def last_received(self, zone: str) -> float:
        """Return when an engine of a zone last received a query, s of the monotonic clock; 0 for never."""
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
        """Return where a broker sends what is meant for a peer, HOST:PORT."""
        if self.proxies is None or peer == name:
            return f"127.0.0.1:{self.ports[peer]}"
        return self.proxies.address(name, peer)


def logged_at(event: dict) -> float:
    """Return when an event was logged, s of the wall clock."""
    return datetime.fromisoformat(event["timestamp"]).timestamp()
