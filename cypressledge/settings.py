"""Converts an instance's JSON settings to `contract.Settings`, for the simulator adapter and the broker."""

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, TypeVar

from cypressledge.decisions import contract as c

IDEMPOTENCY_NAMES = {
    "free": c.Idempotency.IDEMPOTENT,
    "guarded": c.Idempotency.WITH_KEY,
    "single_shot": c.Idempotency.NOT_IDEMPOTENT,
}
DEDUPLICATION_SCOPE_NAMES = {
    "all": c.DeduplicationScope.ALL,
    "zone": c.DeduplicationScope.ZONE,
    "cell": c.DeduplicationScope.CELL,
}
ON_REQUEST = "on_request"  # registry mode in which only subscribers receive engine lists
_Item = TypeVar("_Item")


class SettingsError(Exception):
    """The settings are not valid JSON, or lack a key, or have the wrong structure."""


def parse_settings_json(text: bytes) -> c.Settings:
    """Return the settings from JSON text; unknown keys are ignored.

    Raises `SettingsError`, and `ValueError` for values out of range."""
    try:
        raw = json.loads(text)
    except json.JSONDecodeError as err:
        raise SettingsError(f"settings are not JSON: {err}") from None
    return parse_settings(raw)


def parse_settings(raw: Mapping[str, Any]) -> c.Settings:
    """Return the settings from parsed JSON; unknown keys are ignored.

    Raises `SettingsError`, and `ValueError` for values out of range."""
    try:
        return _settings(raw, raw["Limits"], raw["Rules"], raw.get("FamilyInfo", {}))
    except KeyError as err:
        raise SettingsError(f"settings lack or misname {err}") from None
    except (TypeError, AttributeError, IndexError) as err:
        raise SettingsError(f"settings are of the wrong form: {err}") from None


def _settings(
    raw: Mapping[str, Any], limits: Mapping[str, Any], rules: Mapping[str, Any], family: Mapping[str, Any]
) -> c.Settings:
    """Return all settings; `family` contains the capabilities of the engine family."""
    return c.Settings(
        classes=tuple(_class_settings(k, i, family) for i, k in enumerate(raw["Classes"])),
        kind_cores=tuple(family.get("CoresByKind") or [1] * len(raw["Skus"])),
        kind_memory_mb=tuple(family.get("KindMemoryMb", ())),
        timer_resolution=raw["Step"],
        broker_index=raw["SlotNo"],
        broker_count=raw["PeersTotal"],
        supports_memory_grants=bool(family.get("TakesGrants", False)),
        supports_priorities=bool(family.get("Priorities", False)),
        reports_cost=bool(family.get("CostInAnswers", False)),
        progress_interval=family.get("TellsEvery", 0),
        max_memory_grant=family.get("LargestShare", 1.0),
        supports_cancel=bool(limits["MayCancel"]),
        max_attempts=limits["MaxAttempts"],
        list_on_request=raw["RegistryMode"] == ON_REQUEST,
        slow_start_capacity=rules["StartCapacity"],
        slow_start_window=rules["WarmWithin"],
        overload_multiple=rules["FallMultiple"],
        overload_window=rules["Fall"],
        ordering_key_cooldown=rules.get("KeyQuiet", 0),
        load_report_fields=tuple(raw.get("Report", {}).get("Names", ())),
        retry_budget_ratio=rules.get("ResendRatio"),
        retry_budget_floor=rules.get("MinExtra", 0.0),
        retry_budget_window=rules.get("RatioSpan", 0),
    )


def _class_settings(raw: Mapping[str, Any], index: int, family: Mapping[str, Any]) -> c.ClassSettings:
    """Return the settings of one class; `family` contains some of them in lists by class index."""
    return c.ClassSettings(
        latency_objective=raw["Objective"],
        deadline=raw["Deadline"],
        priority_weight=raw.get("Worth", 1.0),
        late_priority_weight=raw.get("LateWorth", 0.0),
        latency_objective_stretch=raw.get("AimStretch", 0.0),
        idempotency=IDEMPOTENCY_NAMES[raw["Idempotency"]],
        deduplication_scope=DEDUPLICATION_SCOPE_NAMES[raw.get("Group") or "all"],
        deduplication_window=raw.get("MemorySpan", 0),
        ordered=bool(raw.get("OneAtATime", False)),
        threads=_item(family.get("ThreadsByClass", []), index, 1),
        is_load=bool(_item(family.get("IsLoad", []), index, False)),
        blocked_by_loads=bool(_item(family.get("ClassWaits", []), index, False)),
        required_kinds=_indices(raw.get("SkusAllowed")),
        required_zones=_indices(raw.get("DcsOpen")),
    )


def _item(items: Sequence[_Item], index: int, default: _Item) -> _Item:
    """Return an item of a list that may have fewer items than there are classes, or else `default`."""
    return items[index] if index < len(items) else default


def _indices(listed: Iterable[Any] | None) -> frozenset[int] | None:
    """Return a set of kind or zone indices; None, for a missing list, means no restriction."""
    return None if listed is None else frozenset(int(i) for i in listed)
