"""Applies the control plane's state to a broker: settings, engines and the addresses of the other brokers.

This module is imported only if `--control FILE` is given. Until a first state has been received, the broker
uses the configuration it was started with; while no control process can be reached, it keeps what is in
force.
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

KINDS = ("config", "engine", "broker")  # kinds of keys: the part of a key before the first "/"
ENGINE_STATES = {"ready": EngineState.READY, "draining": EngineState.DRAINING}


class BrokerStatusAnswer(SubscriberStatus, frozen=True, kw_only=True):
    """`GET /control/status` of a broker: its subscriber's status, and what of the state is in force."""

    instance_id: str = msgspec.field(name="run")  # hexadecimal
    rejection_reason: str = msgspec.field(name="refused")  # why a part is not in force; empty if all of it is
    has_external_engine_list: bool = msgspec.field(name="engines_from_here")  # from the control plane
    sections: list[str]  # names of the settings' sections that are in force from the control plane
    traffic: Mapping[str, FrameCounts]  # by direction and message tag


class BrokerIntegration:
    """Subscribes a broker to the control plane, and applies the state that it receives.

    `file`: path of the control plane's settings. Raises `ConfigError` if the file is invalid.
    """

    def __init__(self, file: str, broker: "BrokerProcess", env: Mapping[str, str]) -> None:
        self.broker, self.counters = broker, broker.counters
        settings = read_control_settings(file)
        self.fleet = broker.fleet
        self.instance_id = new_instance_id() if self.fleet is None else self.fleet.node.instance_id
        self._changed_kinds: set[str] = set()  # kinds of keys with received changes that are not in force yet
        self._rejections: dict[str, str] = {}  # by kind: why the newest values of that kind are not in force
        self.client = SubscriberClient(
            self._identity(env),
            settings,
            self.counters,
            self._on_state_changed,
            self._on_message_applied,
            SubscriberOptions(record=settings.lab.record),
        )
        self.loops = self.client.loops
        if broker.management is not None:
            broker.management.add("/control/status", "GET", lambda request: (200, self._status()))

    def _identity(self, env: Mapping[str, str]) -> BrokerIdentity:
        """Return the broker's identity.

        Zone and region come from the environment or else from the fleet's settings. Without fleet settings
        the broker has no address.
        """
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
        """The reason why a part of the newest state is not in force; empty if all of it is."""
        return "; ".join(self._rejections.values())

    def stop(self) -> None:
        """End the connection to the control plane."""
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

    # Applying a new state

    def _on_state_changed(self, state: FleetState, change: Change | None) -> str:
        """Note the kinds of keys that have changed; `change` is None for a snapshot."""
        self._changed_kinds |= (
            set(KINDS) if change is None else {op.key.partition("/")[0] for op in change.ops}
        )
        return self.rejection_reason

    def _on_message_applied(self) -> str:
        """Apply the kinds of keys that have changed; return why a part of the state is not in force.

        This is done once per message. Updating the engine list for each of several hundred changes that
        arrive in one message would block requests.
        """
        state, changed = self.client.state, self._changed_kinds
        self._changed_kinds = set()
        for kind, apply in (
            ("config", lambda: self._apply_settings(state.config())),
            ("engine", lambda: self._apply_engines(state.engines())),
            ("broker", self._apply_peer_addresses),
        ):
            if kind in changed:
                self._apply(kind, apply)
        return self.rejection_reason

    def _apply(self, kind: str, apply: Callable[[], None]) -> None:
        """Apply one kind of key.

        Control processes validate each change, but one of an older release may have accepted a change that
        this broker rejects.
        """
        try:
            apply()
        except (ConfigError, StateError) as err:
            self._rejections[kind] = str(err)
            self.counters.add("control.settings_rejected")
            log(f"control: rejected, what was in force stays: {err}")
        else:
            self._rejections.pop(kind, None)

    def _apply_settings(self, sections: dict[str, object]) -> None:
        """Apply settings that differ from those in force. Raises `ConfigError` if the broker rejects them."""
        if sections != self.broker.configuration.sections:
            self.broker.configuration.apply_sections(sections)

    def _apply_engines(self, engines: Mapping[str, Engine]) -> None:
        """Apply the engine list; the broker's own list stays until the state contains an engine."""
        if not engines and not self.broker.configuration.has_external_engine_list:
            return
        self.broker.configuration.apply_engine_list(
            [_discovered_engine(name, engine) for name, engine in sorted(engines.items())]
        )
        self.counters.add("control.engine_lists")

    def _apply_peer_addresses(self) -> None:
        """Set the other brokers' addresses; those in the state override those in the fleet's settings."""
        if self.fleet is None:
            return
        brokers = self.client.state.brokers()
        self.fleet.set_control_plane_peers(
            {name: parse_address(broker.address) for name, broker in brokers.items()}
        )


def _discovered_engine(name: str, engine: Engine) -> DiscoveredEngine:
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


def follow_control_plane(file: str, broker: "BrokerProcess") -> BrokerIntegration:
    """Return the control plane integration for a broker that is being assembled."""
    return BrokerIntegration(file, broker, os.environ)
