"""Operators' calls of zone failover at a broker: commands for the planner, dry runs, and the status."""

from cypressledge.fleet.messages import ZoneCommand
from cypressledge.fleet.operator_answers import ZoneRow
from cypressledge.fleet.zones.events import ZoneEvent
from cypressledge.fleet.zones.failover_plan import FULL_SHARE, ZoneStage
from cypressledge.fleet.zones.failover_planner import FailoverPlanner
from cypressledge.fleet.zones.planner_duty import PlannerDuty

MAX_DRY_RUN = 120_000_000  # µs; longest time that a dry run simulates
DRY_RUN_STEP = 100_000  # µs between the steps of a dry run


def apply_command(planner: FailoverPlanner, command: ZoneCommand, now: int) -> None:
    """Apply an operator's command to a planner; a command for an unknown zone is ignored."""
    if command.zone not in planner.zones:
        return
    until = now + command.duration
    if command.action == "leave":
        planner.leave(command.zone, now, until, f"by hand: {command.reason}")
    elif command.action == "practice":
        planner.leave(command.zone, now, until, f"practice: {command.reason}", practice=True)
    elif command.action == "hold":
        planner.hold(command.zone, now, until, f"held by hand: {command.reason}")
    else:
        planner.bring_back(command.zone, now, f"by hand: {command.reason}")


def dry_run(duty: PlannerDuty, command: ZoneCommand, now: int) -> list[str] | None:
    """Return the events that a command would cause now, one line per event.

    None if this broker is not the planner.
    """
    term = duty.term
    if term is None:
        return None
    lines: list[str] = []
    elapsed = 0

    def add_line(event: ZoneEvent, zone: str, reason: str) -> None:
        """Add an event of the dry run as a line of the answer."""
        lines.append(f"after {elapsed / 1e6:g} s: {event} {zone}: {reason}")

    planner = term.planner_of(command.zone)
    dry_run_copy = planner.dry_run_copy(add_line)
    apply_command(dry_run_copy, command, now)
    load = duty.fleet_load(now)
    loads, findings = load.zones, duty.zone_health.zones
    if planner is term.regions:
        loads, findings = duty.view.region_loads(loads), duty.region_health.zones
    for elapsed in range(0, min(command.duration, MAX_DRY_RUN) + 1, DRY_RUN_STEP):
        dry_run_copy.step(now + elapsed, findings, loads, load.over_quota)
    return lines or ["nothing would change"]


def zone_rows(duty: PlannerDuty) -> list[ZoneRow]:
    """Return the state of each zone and region at this broker."""
    rows = []
    follower, topology = duty.follower, duty.topology
    for name in (*topology.zones, *topology.regions):
        status = follower.statuses.get(name)
        health = duty.region_health if name in topology.regions else duty.zone_health
        finding = health.zones.get(name) if duty.term else None
        rows.append(
            ZoneRow(
                zone=name,
                region=topology.region_of.get(name, ""),
                stage=status.stage if status else ZoneStage.SERVING.value,
                share=follower.share(name) / FULL_SHARE,
                is_locally_evacuated=name in follower.locally_evacuated,
                failed_returns=status.flaps if status else 0,
                operator_override=status.operator_override if status else "",
                verdict=finding.verdict.value if finding else "",
                reason=status.reason if status else "",
            )
        )
    return rows
