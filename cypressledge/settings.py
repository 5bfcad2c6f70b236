"""An instance's JSON settings in the contract's names, for the simulator's adapter and the broker."""

import json

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


class SettingsError(Exception):
    """Settings that can't be read."""


def _indices(wanted: list | None) -> frozenset[int] | None:
    """Kinds or zones by index, as list entries spell them; absent sets no bound."""
    return None if wanted is None else frozenset(int(i) for i in wanted)


def parse_settings_json(text: bytes) -> c.Settings:
    """JSON settings of the wire in the contract's names; unknown keys are skipped."""
    try:
        s = json.loads(text)
    except json.JSONDecodeError as err:
        raise SettingsError(f"settings are not JSON: {err}") from None
    return parse_settings(s)


def parse_settings(s: dict) -> c.Settings:
    """The same from JSON that is read already."""
    try:
        limits, rules, fam = s["Limits"], s["Rules"], s.get("FamilyInfo", {})
        threads = fam.get("ThreadsByClass", [])
        loads, waits = fam.get("IsLoad", []), fam.get("ClassWaits", [])
        classes = tuple(
            c.ClassSettings(
                latency_objective=k["Objective"],
                deadline=k["Deadline"],
                priority_weight=k.get("Worth", 1.0),
                late_priority_weight=k.get("LateWorth", 0.0),
                latency_objective_stretch=k.get("AimStretch", 0.0),
                idempotency=IDEMPOTENCY_NAMES[k["Idempotency"]],
                deduplication_scope=DEDUPLICATION_SCOPE_NAMES[k.get("Group") or "all"],
                deduplication_window=k.get("MemorySpan", 0),
                ordered=bool(k.get("OneAtATime", False)),
                threads=threads[i] if i < len(threads) else 1,
                is_load=bool(loads[i]) if i < len(loads) else False,
                blocked_by_loads=bool(waits[i]) if i < len(waits) else False,
                required_kinds=_indices(k.get("SkusAllowed")),
                required_zones=_indices(k.get("DcsOpen")),
            )
            for i, k in enumerate(s["Classes"])
        )
        return c.Settings(
            classes=classes,
            kind_cores=tuple(fam.get("CoresByKind") or [1] * len(s["Skus"])),
            kind_memory_mb=tuple(fam.get("KindMemoryMb", ())),
            timer_resolution=s["Step"],
            broker_index=s["SlotNo"],
            broker_count=s["PeersTotal"],
            supports_memory_grants=bool(fam.get("TakesGrants", False)),
            supports_priorities=bool(fam.get("Priorities", False)),
            reports_cost=bool(fam.get("CostInAnswers", False)),
            progress_interval=fam.get("TellsEvery", 0),
            max_memory_grant=fam.get("LargestShare", 1.0),
            supports_cancel=bool(limits["MayCancel"]),
            max_attempts=limits["MaxAttempts"],
            list_on_request=s["RegistryMode"] == "on_request",
            slow_start_capacity=rules["StartCapacity"],
            slow_start_window=rules["WarmWithin"],
            overload_multiple=rules["FallMultiple"],
            overload_window=rules["Fall"],
            ordering_key_cooldown=rules.get("KeyQuiet", 0),
            load_report_fields=tuple(s.get("Report", {}).get("Names", ())),
            retry_budget_ratio=rules.get("ResendRatio"),
            retry_budget_floor=rules.get("MinExtra", 0.0),
            retry_budget_window=rules.get("RatioSpan", 0),
        )
    except KeyError as err:
        raise SettingsError(f"settings lack or misname {err}") from None
    except (TypeError, AttributeError, IndexError) as err:
        raise SettingsError(f"settings are of the wrong form: {err}") from None
