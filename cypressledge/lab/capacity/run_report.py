"""The printed report of a capacity run: tables of its figures, failed checks, and a summary line."""

from collections.abc import Callable

from tabulate import tabulate

from cypressledge.lab.capacity import checks
from cypressledge.lab.capacity.capacity_run import CapacityRun
from cypressledge.lab.capacity.fleet import MEMBERS_LEASES
from cypressledge.lab.summary_statistics import quantile

SHOWN_FAULTS = 20  # maximum number of printed failures of each kind of check


def print_report(run: CapacityRun, echo: Callable[[str], None]) -> None:
    """Print a run's tables and its failed checks."""
    _print_change_times(run.verdict, echo)
    _print_usage(run, echo)
    _print_events(run, echo)
    _print_machine(run, echo)
    verdict = run.verdict
    for kind in (verdict.lost, verdict.reverted, verdict.wrong):
        for line in kind[:SHOWN_FAULTS]:
            echo(f"  BROKEN {line}")
    for line in run.broken:
        echo(f"  {line}")


def summary(run: CapacityRun) -> str:
    """Return a summary of the run in one line."""
    figures = run.figures
    return (
        f"capacity: brokers {figures['brokers']}, engines {figures['engines']}, "
        f"changes {figures['changes']}, "
        f"in force p99 {figures['p99_s']:.2f} s most {figures['most_s']:.2f} s, "
        f"primary over most {figures['primary_most_s']:.2f} s, broker cpu {figures['broker_cpu_pct']:.2f} % "
        f"net {figures['broker_net_kb_s']:.2f} KB/s rss {figures['broker_rss_mb']:.1f} MB, "
        f"lost {figures['lost']}, gone back {figures['gone_back']}, wrong {figures['wrong']}"
    )


def _print_change_times(verdict: checks.Verdict, echo: Callable[[str], None]) -> None:
    rows = [
        _times_row("quiet", verdict.undisturbed),
        *(_times_row(kind, times) for kind, times in sorted(verdict.by_fault.items())),
        _times_row("all", verdict.all_times),
    ]
    echo(tabulate(rows, floatfmt=".2f", headers=["in force, s", "times", "median", "p99", "most"]))
    for loss in verdict.leaderless:
        echo(f"no primary for {loss.seconds:.2f} s: {loss.kind}")


def _times_row(name: str, times: list[float]) -> list[object]:
    largest = max(times, default=0.0)
    return [name, len(times), quantile(times, 0.5), quantile(times, 0.99), largest]


def _print_usage(run: CapacityRun, echo: Callable[[str], None]) -> None:
    rows = [
        [c.name, c.zone, "votes" if c.votes else "", c.cost.cpu_pct, c.cost.rss_mb, c.cost.net_kb_s]
        for c in run.fleet.controls
    ]
    echo(tabulate(rows, floatfmt=".2f", headers=["control", "zone", "", "cpu %", "rss MB", "net KB/s"]))
    rows = [
        [name, usage.cpu_pct, usage.net_kb_s, usage.rss_mb]
        for name, usage in (
            ("simulated, of its host", run.simulated_usage),
            ("real, by itself", run.real_usage),
        )
    ]
    echo(tabulate(rows, floatfmt=".2f", headers=["a broker, most", "cpu %", "net KB/s", "rss MB"]))
    starts = [cost.start_cpu_s for cost in run.fleet.real_costs.values()]
    echo(f"a real broker's start, most: {max(starts, default=0.0):.2f} s of CPU, not in the figures above")


def _print_events(run: CapacityRun, echo: Callable[[str], None]) -> None:
    asked = ", ".join(f"{kind} {count}" for kind, count in sorted(run.operator.counts.items()))
    echo(f"asked: {asked}; longest wait for an answer {run.operator.longest_wait_s:.2f} s")
    faults = ", ".join(f"{kind} {count}" for kind, count in run.faults.counts.items())
    echo(f"faults: {faults or 'none'}")
    echo(
        f"snapshots {run.figures['snapshots']}, reconnects {run.figures['reconnects']}; "
        f"real brokers served {run.served} lookups, {run.unserved} were not; "
        f"members' ping period {_membership(run)}"
    )


def _membership(run: CapacityRun) -> str:
    if not run.size.ping_s:
        return "none"
    return (
        f"{run.size.ping_s:g} s; "
        f"at the end, fewest others alive in one broker's view {run.figures['alive_fewest']} "
        f"of {run.size.brokers - run.size.real_brokers}, "
        f"leases held {run.figures['leases_held']} of {MEMBERS_LEASES}"
    )


def _print_machine(run: CapacityRun, echo: Callable[[str], None]) -> None:
    host_late = max((seconds for host in run.fleet.hosts for seconds in host.late), default=0.0)
    machine = run.machine
    echo(
        f"start of all {run.start_s:.1f} s; load average {machine.load_before:.2f} before, "
        f"{machine.highest_load:.2f} at most; "
        f"wake-ups late by {run.figures['late_ms_p99']:.1f} ms p99, "
        f"{1e3 * max(machine.late):.0f} ms most here, {1e3 * host_late:.0f} ms most in a host; "
        f"{machine.memory_mb:.0f} MB in {machine.processes} processes; seed {run.seed}, {run.seconds:g} s"
    )
