"""Validation of changes to the fleet's state, and detection of conflicting changes. No I/O."""

import json
from dataclasses import dataclass
from typing import Any

from cypressledge.controlplane.messages import Op
from cypressledge.controlplane.state import FleetState, check_change_size, entry_size
from cypressledge.controlplane.state_values import (
    CONFIG_PREFIX,
    KEY_PATTERN,
    Address,
    StateError,
    address_of,
    decode_value,
    encode_value,
)
from cypressledge.settings import SettingsError, parse_settings

MAX_STATE_BYTES = 3 << 20  # bytes of all keys and values; keeps a snapshot small enough for one frame
BASE_TOO_OLD = "base too old"
BASE_NOT_REACHED = "base not yet reached"
POSITIVE_LIMITS = ("StreamsPerConn", "ConnectTimeout", "ConnIdle")  # keys of the settings' section Limits


def validate_change(state: FleetState, ops: list[Op]) -> None:
    """Check the complete state that would result from a change, before the change is made.

    Raises `StateError` for invalid keys, sizes or values, for two engines or two brokers at one address, and
    for settings that are not complete.
    """
    check_change_size(ops)
    _check_keys(ops)
    _check_values(ops)
    _check_state_size(state, ops)
    _check_addresses(state, ops)
    if any(op.key.startswith(CONFIG_PREFIX) for op in ops):
        _check_settings(state, ops)


def _check_keys(ops: list[Op]) -> None:
    seen = set()
    for op in ops:
        if not KEY_PATTERN.fullmatch(op.key):
            raise StateError(f"no key of the state: {op.key[:80]!r}")
        if op.key in seen:
            raise StateError(f"{op.key} is named twice in one change")
        seen.add(op.key)


def _check_values(ops: list[Op]) -> None:
    for op in ops:
        if op.value is not None and encode_value(decode_value(op.value)) != op.value:
            raise StateError(f"{op.key}: its value is not in the canonical encoding")


def _check_state_size(state: FleetState, ops: list[Op]) -> None:
    size = state.size_bytes
    for op in ops:
        if previous := state.entries.get(op.key):
            size -= entry_size(previous.key, previous.value)
        if op.value is not None:
            size += entry_size(op.key, op.value)
    if size > MAX_STATE_BYTES:
        raise StateError(f"the state would have {size} bytes; {MAX_STATE_BYTES} can be")


def _check_addresses(state: FleetState, ops: list[Op]) -> None:
    touched = {op.key for op in ops}
    held = state.addresses()
    claimed: dict[Address, str] = {}
    for op in ops:
        address = None if op.value is None else address_of(op.key, op.value)
        if address is None:
            continue
        other = claimed.get(address) or held.get(address)
        # Keys that the same change moves or removes do not conflict: two engines may exchange addresses.
        if other and (address in claimed or other not in touched):
            raise StateError(f"{op.key} is at the address of {other}")
        claimed[address] = op.key


def _check_settings(state: FleetState, ops: list[Op]) -> None:
    """Raise `StateError` unless the sections are complete settings, as a broker reads them, or absent."""
    encoded: dict[str, bytes | None] = {
        key: entry.value for key, entry in state.entries.items() if key.startswith(CONFIG_PREFIX)
    }
    encoded |= {op.key: op.value for op in ops if op.key.startswith(CONFIG_PREFIX)}
    sections: dict[str, Any] = {
        key.removeprefix(CONFIG_PREFIX): decode_value(value)
        for key, value in encoded.items()
        if value is not None
    }
    if not sections:
        return
    try:
        json.dumps(sections, allow_nan=False)  # rejects values that no configuration file could hold
        parse_settings(sections)
        _check_names([k["Name"] for k in sections["Classes"]], "class")
        _check_names(list(sections["Skus"]), "kind")
        _check_names(list(sections["Dcs"]), "zone")
        _check_names([t["Name"] for t in sections.get("Customers", ())], "customer")
        if min(sections["Limits"][name] for name in POSITIVE_LIMITS) <= 0:
            raise StateError("a limit is not above 0")
    except KeyError as err:
        raise StateError(f"config: settings lack {err}") from None
    except (SettingsError, StateError, TypeError, ValueError, AttributeError, RecursionError) as err:
        raise StateError(f"config: {' '.join(str(err).split())}") from None


def _check_names(names: list[object], what: str) -> None:
    for name in names:
        if not isinstance(name, str) or not name:
            raise StateError(f"a {what} has no name")
    if len(set(names)) < len(names):
        raise StateError(f"a {what} is named twice")


@dataclass(frozen=True, slots=True)
class _ChangesSince:
    """The changes after a version, as far as the state knows them."""

    state: FleetState
    version: int

    def has_changed(self, key: str) -> bool:
        """Return whether a key was set, or is known to have been removed, after the version."""
        entry = self.state.entries.get(key)
        changed_at = entry.version if entry else self.state.removed.get(key, 0)
        return changed_at > self.version

    def may_have_been_removed(self, key: str) -> bool:
        """Return whether an absent key may have been removed after the version without being remembered."""
        return key not in self.state.entries and self.version < self.state.removals_known_since


def find_conflicts(state: FleetState, base_version: int, ops: list[Op]) -> list[str]:
    """Return the touched keys that were set or removed after the version that a request is based on.

    A change to a config key conflicts with a change to any other config key, because sections are validated
    together. `BASE_TOO_OLD` is added if the state no longer knows; `[BASE_NOT_REACHED]` is returned for a
    version that the state has not reached.
    """
    if base_version > state.version:
        return [BASE_NOT_REACHED]
    since = _ChangesSince(state, base_version)
    keys = {op.key for op in ops}
    touches_config = any(key.startswith(CONFIG_PREFIX) for key in keys)
    if touches_config:
        keys |= {key for key in (*state.entries, *state.removed) if key.startswith(CONFIG_PREFIX)}
    conflicts = sorted(key for key in keys if since.has_changed(key))
    if (
        touches_config
        and base_version < state.removals_known_since
        or any(since.may_have_been_removed(key) for key in keys)
    ):
        conflicts.append(BASE_TOO_OLD)
    return conflicts
