"""What a broker takes from the control plane: settings, engines, and where the other brokers are.

Nothing here is imported unless `--control FILE` asks for it. Until a first state has come, and whenever no
control process can be reached, the broker goes on with what it has: what it was started with at first.
"""

import json
import os
from collections.abc import Callable

from cypressledge.broker.metrics import log
from cypressledge.config import ConfigError, parse_address
from cypressledge.controlplane.agent import FollowerAgent
from cypressledge.controlplane.messages import Change
from cypressledge.controlplane.settings import read_control
from cypressledge.controlplane.state import Engine, FleetState, StateError
from cypressledge.decisions.contract import EngineState
from cypressledge.fleet.node import new_run
from cypressledge.net.directory import Listed

KINDS = ("config", "engine", "broker")
STATES = {"ready": EngineState.READY, "draining": EngineState.DRAINING}


class ControlPart:
    """Follows the control plane for a broker. Raises `ConfigError` where the file can't be used."""

    def __init__(self, file: str, broker, env) -> None:
        self.broker, self.counters = broker, broker.counters
        settings, name = read_control(file), broker.config.name
        self.fleet = broker.fleet
        self.run = new_run() if self.fleet is None else self.fleet.node.run_id
        self.touched: set[str] = set()  # kinds of keys of which something has come, and isn't in force yet
        self.refusals: dict[str, str] = {}  # by kind of key: why the newest of that kind is not in force
        self.agent = FollowerAgent(
            name,
            self.run,
            settings,
            *self._place(env),
            self._changed,
            self.counters,
            settings.lab.record,
            settled=self._settled,
        )
        self.parts = self.agent.parts
        if broker.management is not None:
            broker.management.add("/control/status", "GET", lambda r: (200, self._status()))

    def _place(self, env) -> tuple[str, str, str]:
        """(zone, region, fleet address): by the fleet's file, or the environment; no address without it."""
        zone, region = env.get("ROUTER_ZONE", ""), env.get("ROUTER_REGION", "")
        if self.fleet is None:
            return zone, region, ""
        own = next(p for p in self.fleet.told.peers if p.name == self.broker.config.name)
        zone = zone or own.zone
        regions = (r.name for r in self.fleet.told.regions if zone in r.zones)
        return zone, region or next(regions, ""), own.address

    @property
    def refused(self) -> str:
        """Why some of the newest state is not in force; empty: all of it is."""
        return "; ".join(self.refusals.values())

    def stop(self) -> None:
        """The broker stops."""
        self.agent.stop()

    def _status(self) -> bytes:
        told = self.agent.status() | {
            "run": f"{self.run:x}",
            "refused": self.refused,
            "engines_from_here": self.broker.engines_told,
            "sections": sorted(self.broker.sections),
            "traffic": self.agent.traffic.show(),
        }
        return json.dumps(told).encode() + b"\n"

    # What a new state brings

    def _changed(self, state: FleetState, change: Change | None) -> str:
        """Something of these kinds of keys; `change` is None for a whole state."""
        self.touched |= set(KINDS) if change is None else {op.key.partition("/")[0] for op in change.ops}
        return self.refused

    def _settled(self) -> str:
        """Take what differs; why some of it is not in force. Guards against requests that stand still while
        the list is taken anew for each of some hundred changes that came together."""
        state, touched = self.agent.state, self.touched
        self.touched = set()
        for kind, take in (
            ("config", lambda: self._settings(state.config())),
            ("engine", lambda: self._engines(state.engines())),
            ("broker", self.name_peers),
        ):
            if kind in touched:
                self._take(kind, take)
        return self.refused

    def _take(self, kind: str, take: Callable[[], None]) -> None:
        """One kind of key. The control processes check what they take; an older one may not have."""
        try:
            take()
        except (ConfigError, StateError) as err:
            self._refuse(kind, str(err))
        else:
            self.refusals.pop(kind, None)

    def _settings(self, sections: dict) -> None:
        """Raises `ConfigError` where the broker's process turns them down."""
        if sections != self.broker.sections:
            self.broker.take_sections(sections)

    def _refuse(self, kind: str, why: str) -> None:
        self.refusals[kind] = why
        self.counters.add("control.refused")
        log(f"control: what was in force stays: {why}")

    def _engines(self, engines: dict[str, Engine]) -> None:
        """The list is the control plane's from the first engine on that it names."""
        if not engines and not self.broker.engines_told:
            return
        self.broker.take_engines([_listed(name, engine) for name, engine in sorted(engines.items())])
        self.counters.add("control.lists")

    def name_peers(self) -> None:
        """Where the other brokers are: as the fleet's file says, and above that as the state does."""
        if self.fleet is None:
            return
        brokers = self.agent.state.brokers()
        self.fleet.name_peers({name: parse_address(b.address) for name, b in brokers.items()})


def _listed(name: str, engine: Engine) -> Listed:
    host, port = parse_address(engine.address)
    return Listed(
        name, host, port, STATES[engine.state], engine.kind, engine.zone, engine.cell, engine.born_ms
    )


def follow(file: str, broker) -> ControlPart:
    """The part for a broker that is being put together."""
    return ControlPart(file, broker, os.environ)
