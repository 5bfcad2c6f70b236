"""An instance's JSON settings in the contract's names, for the simulator's adapter and the broker."""

import json

from cypressledge import contract as c

EFFECTS = {"free": c.Effect.FREE, "guarded": c.Effect.KEYED, "single_shot": c.Effect.UNSAFE}
GROUPS = {"all": c.Group.ALL, "zone": c.Group.ZONE, "cell": c.Group.CELL}


class SettingsError(Exception):
    """Settings that can't be read."""


def _indices(wanted: list | None) -> frozenset[int] | None:
    """Kinds or zones by index, as list entries spell them; absent sets no bound."""
    return None if wanted is None else frozenset(int(i) for i in wanted)


def read_settings(text: bytes) -> c.Settings:
    """JSON settings of the wire in the contract's names; unknown keys are skipped."""
    try:
        s = json.loads(text)
    except json.JSONDecodeError as err:
        raise SettingsError(f"settings are not JSON: {err}") from None
    return settings_of(s)


def settings_of(s: dict) -> c.Settings:
    """The same from JSON that is read already."""
    try:
        limits, rules, fam = s["Limits"], s["Rules"], s.get("FamilyInfo", {})
        threads = fam.get("ThreadsByClass", [])
        loads, waits = fam.get("IsLoad", []), fam.get("ClassWaits", [])
        classes = tuple(
            c.ClassSettings(
                aim=k["Objective"],
                deadline=k["Deadline"],
                worth=k.get("Worth", 1.0),
                late_worth=k.get("LateWorth", 0.0),
                aim_stretch=k.get("AimStretch", 0.0),
                effect=EFFECTS[k["Idempotency"]],
                group=GROUPS[k.get("Group") or "all"],
                window=k.get("MemorySpan", 0),
                in_order=bool(k.get("OneAtATime", False)),
                threads=threads[i] if i < len(threads) else 1,
                is_load=bool(loads[i]) if i < len(loads) else False,
                waits=bool(waits[i]) if i < len(waits) else False,
                only_kinds=_indices(k.get("SkusAllowed")),
                only_zones=_indices(k.get("DcsOpen")),
            )
            for i, k in enumerate(s["Classes"])
        )
        return c.Settings(
            classes=classes,
            kind_cores=tuple(fam.get("CoresByKind") or [1] * len(s["Skus"])),
            kind_memory_mb=tuple(fam.get("KindMemoryMb", ())),
            tick=s["Step"],
            slot=s["SlotNo"],
            peers=s["PeersTotal"],
            grants=bool(fam.get("TakesGrants", False)),
            priorities=bool(fam.get("Priorities", False)),
            tells_cost=bool(fam.get("CostInAnswers", False)),
            notes=fam.get("TellsEvery", 0),
            most_grant=fam.get("LargestShare", 1.0),
            may_cancel=bool(limits["MayCancel"]),
            max_attempts=limits["MaxAttempts"],
            list_on_request=s["RegistryMode"] == "on_request",
            start_capacity=rules["StartCapacity"],
            warm_within=rules["WarmWithin"],
            fall_multiple=rules["FallMultiple"],
            fall_window=rules["Fall"],
            key_rest=rules.get("KeyQuiet", 0),
            report=tuple(s.get("Report", {}).get("Names", ())),
            retry_ratio=rules.get("ResendRatio"),
            retry_free=rules.get("MinExtra", 0.0),
            retry_window=rules.get("RatioSpan", 0),
        )
    except KeyError as err:
        raise SettingsError(f"settings lack or misname {err}") from None
    except (TypeError, AttributeError, IndexError) as err:
        raise SettingsError(f"settings are of the wrong form: {err}") from None
