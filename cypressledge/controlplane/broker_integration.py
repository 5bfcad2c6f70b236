"""What a broker takes from the control plane: settings, engines, and where the other brokers are.

Nothing here is imported unless `--control FILE` asks for it. Until a first state has come, and whenever no
control process can be reached, the broker goes on with what it has: what it was started with at first.
"""

import json
import os
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import msgspec

from cypressledge.broker.discovered_engine import DiscoveredEngine
from cypressledge.broker.metrics import log
from cypressledge.config import ConfigError, parse_address
from cypressledge.controlplane.messages import Change
from cypressledge.controlplane.settings import read_control_settings
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_values import Engine, StateError
from cypressledge.controlplane.subscriber import BrokerIdentity, SubscriberStatus
from cypressledge.controlplane.subscriber_client import SubscriberClient, SubscriberOptions
from cypressledge.controlplane.traffic_counters import FrameCounts
from cypressledge.decisions.contract import EngineState
from cypressledge.fleet.node import new_instance_id

if TYPE_CHECKING:
    from cypressledge.broker_process.process import BrokerProcess

KINDS = ("config", "engine", "broker")  # of keys
ENGINE_STATES = {"ready": EngineState.READY, "draining": EngineState.DRAINING}


class BrokerStatusAnswer(SubscriberStatus, frozen=True, kw_only=True):
    """`GET /control/status` of a broker: its subscriber's status, and what the broker makes of the state."""

    instance_id: str = msgspec.field(name="run")  # hexadecimal
    rejection_reason: str = msgspec.field(name="refused")  # why some is not in force; empty: all of it is
    has_external_engine_list: bool = msgspec.field(name="engines_from_here")  # the control plane's
    sections: list[str]  # of the settings that are in force from the control plane
    traffic: Mapping[str, FrameCounts]  # by direction and tag of a message


class BrokerIntegration:
    """Follows the control plane for a broker. Raises `ConfigError` where the file can't be used."""

    def __init__(self, file: str, broker: "BrokerProcess", env: Mapping[str, str]) -> None:
        self.broker, self.counters = broker, broker.counters
        settings = read_control_settings(file)
        self.fleet = broker.fleet
        self.instance_id = new_instance_id() if self.fleet is None else self.fleet.node.instance_id
        self._touched_kinds: set[str] = set()  # of which something has come that isn't in force yet
        self._rejections: dict[str, str] = {}  # by kind: why the newest of that kind is not in force
        self.client = SubscriberClient(
            self._identity(env),
            settings,
            self.counters,
            self._changed,
            self._settled,
            SubscriberOptions(record=settings.lab.record),
        )
        self.loops = self.client.loops
        if broker.management is not None:
            broker.management.add("/control/status", "GET", lambda request: (200, self._status()))

    def _identity(self, env: Mapping[str, str]) -> BrokerIdentity:
        """Zone and region by the environment, else by the fleet's file; no address without that."""
        name, zone, region = self.broker.config.name, env.get("ROUTER_ZONE", ""), env.get("ROUTER_REGION", "")
        if self.fleet is None:
            return BrokerIdentity(name, self.instance_id, zone, region)
        settings = self.fleet.settings
        own = next(peer for peer in settings.peers if peer.name == name)
        zone = zone or own.zone
        regions = (r.name for r in settings.regions if zone in r.zones)
        return BrokerIdentity(name, self.instance_id, zone, region or next(regions, ""), own.address)

    @property
    def rejection_reason(self) -> str:
        """Why some of the newest state is not in force; empty: all of it is."""
        return "; ".join(self._rejections.values())

    def stop(self) -> None:
        """The broker stops."""
        self.client.stop()

    def _status(self) -> bytes:
        status = BrokerStatusAnswer(
            **msgspec.structs.asdict(self.client.status()),
            instance_id=f"{self.instance_id:x}",
            rejection_reason=self.rejection_reason,
            has_external_engine_list=self.broker.configuration.has_external_engine_list,
            sections=sorted(self.broker.configuration.sections),
            traffic=self.client.traffic.show(),
        )
        return json.dumps(msgspec.to_builtins(status)).encode() + b"\n"

    # What a new state brings

    def _changed(self, state: FleetState, change: Change | None) -> str:
        """Something of these kinds of keys; `change` is None for a snapshot."""
        self._touched_kinds |= (
            set(KINDS) if change is None else {op.key.partition("/")[0] for op in change.ops}
        )
        return self.rejection_reason

    def _settled(self) -> str:
        """Take what differs; why some of it is not in force. Guards against requests that stand still while
        the list is taken anew for each of some hundred changes that came together."""
        state, touched = self.client.state, self._touched_kinds
        self._touched_kinds = set()
        for kind, apply in (
            ("config", lambda: self._apply_settings(state.config())),
            ("engine", lambda: self._apply_engines(state.engines())),
            ("broker", self.name_peers),
        ):
            if kind in touched:
                self._apply(kind, apply)
        return self.rejection_reason

    def _apply(self, kind: str, apply: Callable[[], None]) -> None:
        """One kind of key. The control processes check what they take; an older one may not have."""
        try:
            apply()
        except (ConfigError, StateError) as err:
            self._rejections[kind] = str(err)
            self.counters.add("control.settings_rejected")
            log(f"control: rejected, what was in force stays: {err}")
        else:
            self._rejections.pop(kind, None)

    def _apply_settings(self, sections: dict[str, object]) -> None:
        """Raises `ConfigError` where the broker's process rejects them."""
        if sections != self.broker.configuration.sections:
            self.broker.configuration.apply_sections(sections)

    def _apply_engines(self, engines: Mapping[str, Engine]) -> None:
        """The list is the control plane's from the first engine on that it names."""
        if not engines and not self.broker.configuration.has_external_engine_list:
            return
        self.broker.configuration.apply_engine_list(
            [_listed(name, engine) for name, engine in sorted(engines.items())]
        )
        self.counters.add("control.engine_lists")

    def name_peers(self) -> None:
        """Where the other brokers are: as the fleet's file says, and above that as the state does."""
        if self.fleet is None:
            return
        brokers = self.client.state.brokers()
        self.fleet.set_control_plane_peers(
            {name: parse_address(broker.address) for name, broker in brokers.items()}
        )


def _listed(name: str, engine: Engine) -> DiscoveredEngine:
    host, port = parse_address(engine.address)
    return DiscoveredEngine(
        name,
        host,
        port,
        ENGINE_STATES[engine.state],
        engine.kind,
        engine.zone,
        engine.cell,
        engine.start_time_ms,
    )


def follow(file: str, broker: "BrokerProcess") -> BrokerIntegration:
    """The integration of a broker that is being put together."""
    return BrokerIntegration(file, broker, os.environ)
