"""The figures of a capacity run, under the keys and in the order of the results file."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from cypressledge.lab.capacity import checks
from cypressledge.lab.capacity.process_cost import Usage
from cypressledge.lab.summary_statistics import quantile

if TYPE_CHECKING:
    from cypressledge.lab.capacity.capacity_run import CapacityRun


def run_figures(run: CapacityRun) -> dict[str, Any]:
    """Return a run's figures for the results file. A key's ending names its unit."""
    return {
        "brokers": run.size.brokers,
        "engines": run.size.engines,
        "seconds": run.seconds,
        "seed": run.seed,
        "quiet": run.without_faults,
        "commit": run.commit,
        **_change_figures(run.verdict),
        **_usage_figures(run),
        **_event_figures(run),
        "all_p99_s": round(quantile(run.verdict.all_times, 0.99), 3),
        "all_most_s": round(max(run.verdict.all_times, default=0.0), 3),
        **_broker_kind_figures(run.simulated_usage, run.real_usage),
        "alive_fewest": min(host.fewest_alive for host in run.fleet.hosts),
        "leases_held": sum(host.leases_held for host in run.fleet.hosts),
        "members_ping_s": run.size.ping_s,
        "start_s": round(run.start_s, 1),
    }


def _change_figures(verdict: checks.Verdict) -> dict[str, Any]:
    return {
        "changes": verdict.changes,
        "p99_s": round(quantile(verdict.undisturbed, 0.99), 3),
        "most_s": round(max(verdict.undisturbed, default=0.0), 3),
        "primary_most_s": round(max((loss.seconds for loss in verdict.leaderless), default=0.0), 3),
    }


def _usage_figures(run: CapacityRun) -> dict[str, Any]:
    broker = Usage.largest((run.simulated_usage, run.real_usage))
    control = Usage.largest(control.cost.usage() for control in run.fleet.controls)
    return {
        "broker_cpu_pct": round(broker.cpu_pct, 2),
        "broker_net_kb_s": round(broker.net_kb_s, 2),
        "broker_rss_mb": round(broker.rss_mb, 1),
        "lost": len(run.verdict.lost),
        "gone_back": len(run.verdict.reverted),
        "wrong": len(run.verdict.wrong),
        "load_average": [round(run.machine.load_before, 2), round(run.machine.highest_load, 2)],
        "control_cpu_pct": round(control.cpu_pct, 2),
        "control_rss_mb": round(control.rss_mb, 1),
        "control_net_kb_s": round(control.net_kb_s, 1),
    }


def _event_figures(run: CapacityRun) -> dict[str, Any]:
    counts = sum((host.counts for host in run.fleet.hosts), start=Counter())
    simulated = len(run.fleet.brokers) - run.size.real_brokers
    return {
        "snapshots": counts.get("frames.in.whole", 0),
        "reconnects": counts.get("frames.in.welcome", 0) - simulated,
        "faults": dict(run.faults.counts),
        "late_ms_p99": round(1e3 * quantile(run.machine.late, 0.99), 1),
    }


def _broker_kind_figures(simulated: Usage, real: Usage) -> dict[str, Any]:
    return {
        "hollow_cpu_pct": round(simulated.cpu_pct, 2),
        "real_cpu_pct": round(real.cpu_pct, 2),
        "hollow_net_kb_s": round(simulated.net_kb_s, 2),
        "real_net_kb_s": round(real.net_kb_s, 2),
    }
