"""The operators' command line (click): `cypressledge fleet …`, `control …`, `lab …`. Not imported by `run`.

Talks to a broker's management address over HTTP; starts processes for the laboratory's commands alone.
"""

import http.client
import json
import os
import signal
import sys
import time

import click

from cypressledge.cli_support import ManagementAddress, as_json, show
from cypressledge.controlplane.cli import control

ANSWER_S = 5.0  # seconds for a broker's answer


@click.group()
def cli() -> None:
    """A query broker: the operators' and the laboratory's commands."""


cli.add_command(control)

at_broker = click.option(
    "--at",
    type=ManagementAddress(),
    envvar="ROUTER_MANAGEMENT",
    required=True,
    help="A broker's management address.",
)


@cli.group()
@at_broker
@click.pass_context
def fleet(ctx: click.Context, at: tuple[str, int]) -> None:
    """What brokers do together, as one of them sees it."""
    ctx.obj = at


def call(at: tuple[str, int], method: str, path: str, body: str = "") -> str:
    """A broker's answer. Raises `ClickException` with one plain line where there is none."""
    conn = http.client.HTTPConnection(*at, timeout=ANSWER_S)
    try:
        conn.request(method, path, body.encode())
        answer = conn.getresponse()
        text = answer.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException) as err:
        raise click.ClickException(f"no answer from {at[0]}:{at[1]}: {err}") from None
    finally:
        conn.close()
    if answer.status == 404 and text == "no such call\n":
        raise click.ClickException(f"{at[0]}:{at[1]} was started without --fleet")
    if answer.status != 200:
        raise click.ClickException(text.strip() or f"HTTP {answer.status}")
    return text


@fleet.command()
@as_json
@click.pass_obj
def peers(at: tuple[str, int], as_json: bool) -> None:
    """Which brokers are alive, suspect or gone; which vote."""
    show(json.loads(call(at, "GET", "/fleet/peers")), as_json)


@fleet.command()
@as_json
@click.pass_obj
def leases(at: tuple[str, int], as_json: bool) -> None:
    """Who holds what, and who is next in line."""
    show(json.loads(call(at, "GET", "/fleet/leases")), as_json)


@fleet.command()
@as_json
@click.pass_obj
def tasks(at: tuple[str, int], as_json: bool) -> None:
    """The tasks of this broker, and what they have taken."""
    show(json.loads(call(at, "GET", "/fleet/tasks")), as_json)


@fleet.command()
@as_json
@click.pass_obj
def summary(at: tuple[str, int], as_json: bool) -> None:
    """The whole fleet's figures, as last summed up."""
    told = json.loads(call(at, "GET", "/fleet/summary"))
    if told is None:
        raise click.ClickException("no summary yet")
    if as_json:
        click.echo(json.dumps(told, indent=2))
        return
    click.echo(
        f"summed up by {told['holder']} (token {told['token']}) {told['age_s']} s ago: "
        f"{told['brokers']} brokers; missing: {' '.join(told['missing']) or 'none'}"
    )
    rows = [
        dict(zip(("class", "success", "overload", "error", "dispatches"), (c, *v), strict=True))
        for c, v in sorted(told["classes"].items())
    ]
    show(rows, False)
    show([{"engine": e, "avoided by": n} for e, n in told["engines_avoided"].items()], False)


@fleet.command("give-back")
@click.argument("lease")
@click.pass_obj
def give_back(at: tuple[str, int], lease: str) -> None:
    """Make this broker give a lease back; the next in line takes it."""
    click.echo(call(at, "POST", "/fleet/give-back", lease).strip())


@fleet.command("restart-turn")
@click.option("--lease", default="restart", show_default=True, help="The lease that turns are taken under.")
@click.option("--wait", "wait_s", default=60.0, show_default=True, help="Seconds to wait for the turn.")
@click.option("--over", is_flag=True, help="Give the turn, or the wish for one, back.")
@click.pass_obj
def restart_turn(at: tuple[str, int], lease: str, wait_s: float, over: bool) -> None:
    """Wait until this broker may be restarted; exit 0 when it is its turn, 1 when it was in vain."""
    if over:
        call(at, "POST", "/fleet/turn/over", lease)
        click.echo("over")
        return
    end = time.monotonic() + wait_s
    while True:
        told = json.loads(call(at, "POST", "/fleet/turn", lease))
        if told["yours"]:
            click.echo(f"{lease}: your turn, token {told['token']}")
            return
        if time.monotonic() >= end:
            call(at, "POST", "/fleet/turn/over", lease)
            away = " ".join(told["missing"]) or "none"
            raise click.ClickException(f"no turn within {wait_s:g} s; brokers missing: {away}")
        time.sleep(0.1)


@cli.group()
@at_broker
@click.pass_context
def zone(ctx: click.Context, at: tuple[str, int]) -> None:
    """Zones: how they stand, and leaving and returning by hand."""
    ctx.obj = at


@zone.command()
@as_json
@click.pass_obj
def status(at: tuple[str, int], as_json: bool) -> None:
    """Each zone's stage and share, the plan they come from, and why."""
    told = json.loads(call(at, "GET", "/zone/status"))
    if as_json:
        click.echo(json.dumps(told, indent=2))
        return
    click.echo(
        f"plan {told['number']} of {told['planner'] or 'nobody'} (token {told['token']}), "
        f"heard {told['heard_s']} s ago"
    )
    for tenant, part in told["shed"].items():
        click.echo(f"of {tenant} {part / 10:g}% is refused, over its share; {told['shed_here']} here so far")
    show(told["zones"], False)


def wish(name: str, words: str):
    """A command that passes an operator's wish on to the planner."""

    @zone.command(name, help=words)
    @click.argument("zone_name", metavar="ZONE")
    @click.option("--for", "span_s", default=600.0, show_default=True, help="Seconds; then it ends.")
    @click.option("--reason", required=True, help="Why: it stands in the plan and the logs.")
    @click.option("--dry-run", is_flag=True, help="Only say what would come of it; asks the planner alone.")
    @click.pass_obj
    def command(at: tuple[str, int], zone_name: str, span_s: float, reason: str, dry_run: bool) -> None:
        body = json.dumps({"zone": zone_name, "what": name, "span_s": span_s, "why": reason})
        click.echo(call(at, "POST", "/zone/dry-run" if dry_run else "/zone/wish", body).strip())

    return command


wish("leave", "Leave a zone, as far as the others bear its load.")
wish("practice", "Leave a zone to see that the others bear it; given up if they can't, or if one fails.")
wish("return", "Return to a zone, at the pace that its engines bear.")
wish("hold", "Keep a zone as it is, whatever is found.")


@cli.group()
def lab() -> None:
    """The laboratory: what the program does when parts of the system fail."""
    # Guards against processes left behind: whoever ends the laboratory ends what it started.
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda got, _: sys.exit(128 + got))


@lab.command()
@click.option("--deep", is_flag=True, help="Larger worlds as well: many minutes.")
@click.option("--most", default=3_000_000, show_default=True, help="States at which a walk is given up.")
def model(deep: bool, most: int) -> None:
    """Walk the lease through whole small worlds, and through the same with each guard taken out."""
    from cypressledge.lab.model import run

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
def lab_leases(**how) -> None:
    """Start brokers as processes, break what is between them, and check that two never act at once."""
    from cypressledge.lab.leases import run

    sys.exit(run(**how, say=click.echo))


@lab.command()
@click.option("--seconds", default=20.0, show_default=True)
def demo(seconds: float) -> None:
    """Three brokers, engines in two zones, a small load; the lease's holder is killed."""
    from cypressledge.lab.demo import run

    sys.exit(run(seconds, live=sys.stdout.isatty() and os.environ.get("TERM") != "dumb"))


@lab.command("zones")
@click.option("--seed", default=1, show_default=True)
@click.option("--runs", default=1, show_default=True, help="Schedules, each played off and on.")
@click.option(
    "--kind",
    default="",
    help="How the zone fails; drawn where it is not named.",
    type=click.Choice(["", "silent", "reset", "slow", "cut", "blind", "release", "none"]),
)
def lab_zones(seed: int, runs: int, kind: str) -> None:
    """Lose a zone under several brokers, with the fleet's part off and on, and compare."""
    from cypressledge.lab.zones import run

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
def zone_size(**how) -> None:
    """Lose a zone under many brokers' decision modules in virtual time, off and on, and compare."""
    from cypressledge.lab.zonesize import run

    sys.exit(run(**how, say=click.echo))


@lab.command()
@click.option("--brokers", default=12, show_default=True, type=click.IntRange(5, 60))
@click.option("--leases", "leases_", default=50, show_default=True)
@click.option("--seconds", default=15.0, show_default=True)
@click.option("--rounds", default=8, show_default=True, help="Off and on in turns, 3 s each, for each load.")
def cost(brokers: int, leases_: int, seconds: float, rounds: int) -> None:
    """What the fleet's part costs real brokers: memory, processor time, time of a request."""
    from cypressledge.lab.cost import run

    sys.exit(run(brokers, leases_, seconds, rounds, click.echo))


@lab.command()
@click.option("--brokers", default=200, show_default=True)
@click.option("--leases", "leases_", default=50, show_default=True)
@click.option("--voters", default=5, show_default=True)
@click.option("--seconds", default=30.0, show_default=True, help="Of virtual time.")
@click.option("--seed", default=1, show_default=True)
def size(brokers: int, leases_: int, voters: int, seconds: float, seed: int) -> None:
    """Many brokers in virtual time: messages and processor time of each, and how leases spread."""
    from cypressledge.lab.virtual import report

    report(brokers, leases_, voters, seconds, seed, click.echo)


@lab.command()
@click.option("--json", "path", required=True, type=click.Path(dir_okay=False), help="The results file.")
@click.option("--quick", is_flag=True, help="Few and small points, under a minute: for tests, not for pages.")
@click.option("--seed", default=1, show_default=True)
def slopes(path: str, quick: bool, seed: int) -> None:
    """What each part of the program costs against the fleet's size, with fits, as a results file."""
    from cypressledge.lab.scaling import run

    sys.exit(run(path, quick, seed, click.echo))


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
@click.option("--quiet", is_flag=True, help="Break nothing: a change each 5 s, and what that costs.")
@click.option(
    "--members/--no-members",
    default=True,
    show_default=True,
    help="Whether hollow brokers are members of a fleet, too.",
)
@click.option("--ping", "ping_s", default=1.0, show_default=True, help="Seconds of the members' ping period.")
@click.option("--keep", default="", help="Keep each run's files in this folder.")
def capacity(**how) -> None:
    """Control processes, real and hollow brokers on the loopback, and a day of changes and faults."""
    from cypressledge.lab.capacity.run import run

    live = sys.stderr.isatty() and os.environ.get("TERM") != "dumb"
    sys.exit(run(**how, say=click.echo, live=live))
