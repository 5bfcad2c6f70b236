"""`cypressledge lab …`: the laboratory's commands. Each imports its experiment when it is run."""

import os
import signal
import sys
from typing import Any, TextIO

import click

from cypressledge.cli_support import add_hidden_alias


@click.group()
def lab() -> None:
    """The laboratory: what the program does when parts of the system fail."""
    # Guards against processes left behind: whoever ends the laboratory ends what it started.
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda received, _frame: sys.exit(128 + received))


def _shows_progress(stream: TextIO) -> bool:
    """Whether a stream is a terminal on which lines can be written over."""
    return stream.isatty() and os.environ.get("TERM") != "dumb"


@lab.command()
@click.option("--deep", is_flag=True, help="Larger worlds as well: many minutes.")
@click.option("--most", default=3_000_000, show_default=True, help="States at which a walk is given up.")
def model(deep: bool, most: int) -> None:
    """Walk the lease through whole small worlds, and through the same with each guard taken out."""
    from cypressledge.lab.lease_model.run import run

    sys.exit(run(deep, most, click.echo))


@lab.command("leases")
@click.option("--brokers", default=7, show_default=True, type=click.IntRange(3, 50))
@click.option("--voters", default=5, show_default=True, type=click.IntRange(3, 7))
@click.option("--seed", default=1, show_default=True, help="Of the first run.")
@click.option("--runs", default=1, show_default=True, help="Runs, each with the next seed.")
@click.option("--seconds", default=20.0, show_default=True, help="Of each run.")
@click.option("--no-fence", is_flag=True, help="The resource takes any token: a stopped holder must show.")
@click.option("--term", default=1.5, show_default=True, help="Seconds of a lease's term.")
@click.option("--only", default="", help="Faults to draw from, with commas; all of them where none is named.")
@click.option("--keep", default="", help="Keep each run's files in this folder.")
def lease_faults(**options: Any) -> None:
    """Start brokers as processes, break what is between them, and check that two never act at once."""
    from cypressledge.lab.lease_faults.run import LeaseFaultsOptions, run

    sys.exit(run(LeaseFaultsOptions(**options), click.echo))


@lab.command()
@click.option("--seconds", default=20.0, show_default=True)
def demo(seconds: float) -> None:
    """Three brokers, engines in two zones, a small load; the lease's holder is killed."""
    from cypressledge.lab.demo import run

    sys.exit(run(seconds, live=_shows_progress(sys.stdout)))


@lab.command("zones")
@click.option("--seed", default=1, show_default=True)
@click.option("--runs", default=1, show_default=True, help="Schedules, each played off and on.")
@click.option(
    "--kind",
    default="",
    help="How the zone fails; drawn where it is not named.",
    type=click.Choice(["", "silent", "reset", "slow", "cut", "blind", "release", "none"]),
)
def zone_loss(seed: int, runs: int, kind: str) -> None:
    """Lose a zone under several brokers, with the fleet's part off and on, and compare."""
    from cypressledge.lab.zone_processes.comparison import run

    sys.exit(run(seed, runs, kind, click.echo))


@lab.command("zone-size")
@click.option("--brokers", default=200, show_default=True, type=click.IntRange(5, 500))
@click.option("--engines", default=60, show_default=True, type=click.IntRange(4, 300))
@click.option(
    "--zones", default=0, help="2 to 6; drawn by the seed where it is not named.", type=click.IntRange(0, 6)
)
@click.option("--kind", default="", help="Schedules, with commas; all where none is named.")
@click.option("--seed", default=1, show_default=True)
@click.option("--runs", default=1, show_default=True, help="Seeds of each kind.")
@click.option("--load", default=0.55, show_default=True, help="Of all engines' cores.")
@click.option("--workers", default=4, show_default=True, help="Processes to play in.")
@click.option("--plot", default="", help="Draw the first schedule into this file (needs matplotlib).")
def zone_size(**options: Any) -> None:
    """Lose a zone under many brokers' decision modules in virtual time, off and on, and compare."""
    from cypressledge.lab.zone_simulation.report import SimulationOptions, run

    sys.exit(run(SimulationOptions(**options), click.echo))


@lab.command()
@click.option("--brokers", default=12, show_default=True, type=click.IntRange(5, 60))
@click.option("--leases", "lease_count", default=50, show_default=True)
@click.option("--seconds", default=15.0, show_default=True)
@click.option("--rounds", default=8, show_default=True, help="Off and on in turns, 3 s each, for each load.")
def cost(brokers: int, lease_count: int, seconds: float, rounds: int) -> None:
    """What the fleet's part costs real brokers: memory, processor time, time of a request."""
    from cypressledge.lab.cost import run

    sys.exit(run(brokers, lease_count, seconds, rounds, click.echo))


@lab.command()
@click.option("--brokers", default=200, show_default=True)
@click.option("--leases", "lease_count", default=50, show_default=True)
@click.option("--voters", default=5, show_default=True)
@click.option("--seconds", default=30.0, show_default=True, help="Of virtual time.")
@click.option("--seed", default=1, show_default=True)
def size(brokers: int, lease_count: int, voters: int, seconds: float, seed: int) -> None:
    """Many brokers in virtual time: messages and processor time of each, and how leases spread."""
    from cypressledge.lab.fleet_size import report

    report(brokers, lease_count, voters, seconds, seed, click.echo)


@lab.command()
@click.option("--json", "path", required=True, type=click.Path(dir_okay=False), help="The results file.")
@click.option("--quick", is_flag=True, help="Few and small points, under a minute: for tests, not for pages.")
@click.option("--seed", default=1, show_default=True)
def scaling(path: str, quick: bool, seed: int) -> None:
    """What each part of the program costs against the fleet's size, with fits, as a results file."""
    from cypressledge.lab.scaling.run import run

    sys.exit(run(path, quick, seed, click.echo))


add_hidden_alias(lab, "slopes", scaling)  # its name before this release


@lab.command("capacity-page")
@click.option(
    "--results",
    "paths",
    multiple=True,
    required=True,
    type=click.Path(dir_okay=False),
    help="Files of slopes, and of runs at scale; scale.json beside the first is read by itself.",
)
@click.option("--page", required=True, type=click.Path(dir_okay=False), help="Whose tables are written.")
@click.option("--check", is_flag=True, help="Write nothing; exit 1 where page and results differ.")
@click.option("--plots", "folder", default="", help="Draw each slope into this folder (needs matplotlib).")
def capacity_page(paths: tuple[str, ...], page: str, check: bool, folder: str) -> None:
    """Write the tables of a page anew from results files."""
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
    "--real", default=5, show_default=True, type=click.IntRange(0, 16), help="Real brokers of them."
)
@click.option("--seconds", default=240.0, show_default=True, help="Of the day; start and end come on top.")
@click.option("--seed", default=1, show_default=True)
@click.option("--points", default="", help="Numbers of brokers, with commas: one run for each.")
@click.option("--json", "json_file", default="", help="Append each run's figures to this file.")
@click.option("--plot", default="", help="Draw times and costs into this file (needs matplotlib).")
@click.option("--quick", is_flag=True, help="60 brokers, 60 engines, 30 s.")
@click.option(
    "--no-faults", "without_faults", is_flag=True, help="Break nothing: a change each 5 s, and what it costs."
)
@click.option("--quiet", "without_faults", is_flag=True, hidden=True)  # its name before this release
@click.option(
    "--members/--no-members",
    default=True,
    show_default=True,
    help="Whether simulated brokers are members of a fleet, too.",
)
@click.option("--ping", "ping_s", default=1.0, show_default=True, help="Seconds of the members' ping period.")
@click.option("--keep", default="", help="Keep each run's files in this folder.")
def capacity(**options: Any) -> None:
    """Control processes, real and simulated brokers on the loopback, and a day of changes and faults."""
    from cypressledge.lab.capacity.run import CapacityOptions, run

    sys.exit(run(CapacityOptions(**options), click.echo, live=_shows_progress(sys.stderr)))
