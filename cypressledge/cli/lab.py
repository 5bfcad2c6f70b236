"""`cypressledge lab …`: experiments. Each command imports its experiment only when it is run."""

import os
import signal
import sys
from typing import Any, TextIO

import click

from cypressledge.cli_support import add_hidden_alias


@click.group()
def lab() -> None:
    """Experiments: how the program behaves when parts of the system fail, and what it costs."""
    # Exit through Python on these signals, so that the processes an experiment started are ended as well.
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda received, _frame: sys.exit(128 + received))


def _shows_progress(stream: TextIO) -> bool:
    """Return whether a stream is a terminal on which lines can be overwritten."""
    return stream.isatty() and os.environ.get("TERM") != "dumb"


@lab.command()
@click.option("--deep", is_flag=True, help="Check larger models as well; takes many minutes.")
@click.option(
    "--most", default=3_000_000, show_default=True, help="Number of states after which a search is aborted."
)
def model(deep: bool, most: int) -> None:
    """Check all states of small models of the lease, and of the same models without each safety check."""
    from cypressledge.lab.lease_model.run import run

    sys.exit(run(deep, most, click.echo))


@lab.command("leases")
@click.option("--brokers", default=7, show_default=True, type=click.IntRange(3, 50))
@click.option("--voters", default=5, show_default=True, type=click.IntRange(3, 7))
@click.option("--seed", default=1, show_default=True, help="Seed of the first run.")
@click.option("--runs", default=1, show_default=True, help="Number of runs, each with the next seed.")
@click.option("--seconds", default=20.0, show_default=True, help="Duration of each run.")
@click.option(
    "--no-fence",
    is_flag=True,
    help="The resource accepts any token, so that the check must find a suspended holder.",
)
@click.option("--term", default=1.5, show_default=True, help="Term of a lease in seconds.")
@click.option("--only", default="", help="Kinds of faults, separated by commas; default: all.")
@click.option("--keep", default="", help="Keep each run's files in this folder.")
def lease_faults(**options: Any) -> None:
    """Start broker processes, disturb their network, and check that two never act under a lease at once."""
    from cypressledge.lab.lease_faults.run import LeaseFaultsOptions, run

    sys.exit(run(LeaseFaultsOptions(**options), click.echo))


@lab.command()
@click.option("--seconds", default=20.0, show_default=True)
def demo(seconds: float) -> None:
    """Run three brokers with engines in two zones under a small load, and kill the lease's holder."""
    from cypressledge.lab.demo import run

    sys.exit(run(seconds, live=_shows_progress(sys.stdout)))


@lab.command("zones")
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--runs", default=1, show_default=True, help="Number of schedules, each run with the fleet off and on."
)
@click.option(
    "--kind",
    default="",
    help="How the zone fails; random by default.",
    type=click.Choice(["", "silent", "reset", "slow", "cut", "blind", "release", "none"]),
)
def zone_loss(seed: int, runs: int, kind: str) -> None:
    """Simulate the loss of a zone for several broker processes, with the fleet off and on, and compare."""
    from cypressledge.lab.zone_processes.comparison import run

    sys.exit(run(seed, runs, kind, click.echo))


@lab.command("zone-size")
@click.option("--brokers", default=200, show_default=True, type=click.IntRange(5, 500))
@click.option("--engines", default=60, show_default=True, type=click.IntRange(4, 300))
@click.option("--zones", default=0, help="2 to 6; chosen by the seed if it is 0.", type=click.IntRange(0, 6))
@click.option("--kind", default="", help="Schedules, separated by commas; all by default.")
@click.option("--seed", default=1, show_default=True)
@click.option("--runs", default=1, show_default=True, help="Number of seeds for each kind.")
@click.option("--load", default=0.55, show_default=True, help="Load as a share of all engines' cores.")
@click.option("--workers", default=4, show_default=True, help="Number of worker processes.")
@click.option("--plot", default="", help="Plot the first schedule to this file (needs matplotlib).")
def zone_size(**options: Any) -> None:
    """Simulate the loss of a zone for many brokers in virtual time, fleet off and on, and compare."""
    from cypressledge.lab.zone_simulation.report import SimulationOptions, run

    sys.exit(run(SimulationOptions(**options), click.echo))


@lab.command()
@click.option("--brokers", default=12, show_default=True, type=click.IntRange(5, 60))
@click.option("--leases", "lease_count", default=50, show_default=True)
@click.option("--seconds", default=15.0, show_default=True)
@click.option(
    "--rounds", default=8, show_default=True, help="Rounds per load: 3 s without and 3 s with the fleet."
)
def cost(brokers: int, lease_count: int, seconds: float, rounds: int) -> None:
    """Measure what the fleet costs real brokers: memory, processor time and request latency."""
    from cypressledge.lab.cost import run

    sys.exit(run(brokers, lease_count, seconds, rounds, click.echo))


@lab.command()
@click.option("--brokers", default=200, show_default=True)
@click.option("--leases", "lease_count", default=50, show_default=True)
@click.option("--voters", default=5, show_default=True)
@click.option("--seconds", default=30.0, show_default=True, help="Duration in virtual time.")
@click.option("--seed", default=1, show_default=True)
def size(brokers: int, lease_count: int, voters: int, seconds: float, seed: int) -> None:
    """Simulate many brokers in virtual time: messages and processor time of each, and spread of leases."""
    from cypressledge.lab.fleet_size import report

    report(brokers, lease_count, voters, seconds, seed, click.echo)


@lab.command()
@click.option("--json", "path", required=True, type=click.Path(dir_okay=False), help="The results file.")
@click.option("--quick", is_flag=True, help="Few small points, under a minute: for tests, not for pages.")
@click.option("--seed", default=1, show_default=True)
def scaling(path: str, quick: bool, seed: int) -> None:
    """Measure the cost of each part of the program by fleet size, with fits, into a results file."""
    from cypressledge.lab.scaling.run import run

    sys.exit(run(path, quick, seed, click.echo))


add_hidden_alias(lab, "slopes", scaling)  # former name of the command


@lab.command("capacity-page")
@click.option(
    "--results",
    "paths",
    multiple=True,
    required=True,
    type=click.Path(dir_okay=False),
    help="Results files of `scaling` and `capacity`; scale.json beside the first is read as well.",
)
@click.option("--page", required=True, type=click.Path(dir_okay=False), help="Page whose tables are written.")
@click.option("--check", is_flag=True, help="Write nothing; exit 1 if page and results differ.")
@click.option("--plots", "folder", default="", help="Plot each fit into this folder (needs matplotlib).")
def capacity_page(paths: tuple[str, ...], page: str, check: bool, folder: str) -> None:
    """Rewrite the tables of a page from results files."""
    from cypressledge.lab.capacity.page import run
    from cypressledge.lab.results import ResultsError

    try:
        sys.exit(run(list(paths), page, check, folder, click.echo))
    except ResultsError as err:
        raise click.ClickException(str(err)) from None


@lab.command()
@click.option("--brokers", default=460, show_default=True, type=click.IntRange(8, 460))
@click.option("--engines", default=490, show_default=True, type=click.IntRange(8, 490))
@click.option(
    "--real", default=5, show_default=True, type=click.IntRange(0, 16), help="Real brokers of these."
)
@click.option(
    "--seconds", default=240.0, show_default=True, help="Duration of the day, without start and end."
)
@click.option("--seed", default=1, show_default=True)
@click.option("--points", default="", help="Numbers of brokers, separated by commas: a run for each.")
@click.option("--json", "json_file", default="", help="Append each run's figures to this file.")
@click.option("--plot", default="", help="Plot times and costs into this file (needs matplotlib).")
@click.option("--quick", is_flag=True, help="60 brokers, 60 engines, 30 s.")
@click.option(
    "--no-faults", "without_faults", is_flag=True, help="Inject no faults; measure one change every 5 s."
)
@click.option("--quiet", "without_faults", is_flag=True, hidden=True)  # former name of the option
@click.option(
    "--members/--no-members",
    default=True,
    show_default=True,
    help="Whether simulated brokers are members of a fleet as well.",
)
@click.option(
    "--ping", "ping_s", default=1.0, show_default=True, help="Ping period of the members in seconds."
)
@click.option("--keep", default="", help="Keep each run's files in this folder.")
def capacity(**options: Any) -> None:
    """Run control processes, real and simulated brokers on loopback for a day of changes and faults."""
    from cypressledge.lab.capacity.run import CapacityOptions, run

    sys.exit(run(CapacityOptions(**options), click.echo, live=_shows_progress(sys.stderr)))
