"""The operators' commands of the control plane (click): `cypressledge control …`.

Exit codes of `change`: 0: committed, and in force at every connected broker; 1: committed, but some brokers
lag or have rejected it, or the outcome is unknown, in which case the change should be repeated with the same
request name; 2: refused, nothing has changed.
"""

import json
import os
import sys
import time
import uuid
from urllib.parse import quote

import click
import msgspec

from cypressledge.cli_support import ManagementAddress, as_json, show
from cypressledge.controlplane.change_file import read_change_file
from cypressledge.controlplane.operator_client import (
    RETRY_INTERVAL_S,
    Address,
    LeaderClient,
    NoAnswerError,
    call,
    call_any,
)
from cypressledge.controlplane.operator_messages import (
    AcknowledgedAnswer,
    AnswerTag,
    ChangeBody,
    DryRunAnswer,
    HistoryAnswer,
    LagAnswer,
    Outcome,
)

LAG_TIMEOUT_S = 6.0  # seconds; time to find the leader and receive its answer
STATUS_COLUMNS = ("name", "role", "primary", "epoch", "version", "commit", "brokers", "peers", "digest")
EXIT_IN_FORCE, EXIT_LAGGING_OR_UNKNOWN, EXIT_REFUSED = 0, 1, 2

control_address_option = click.option(
    "--at",
    "servers",
    type=ManagementAddress(),
    envvar="CYPRESSLEDGE_CONTROL",
    required=True,
    multiple=True,
    help="Management address of a control process; may be given several times.",
)


@click.group()
def control() -> None:
    """The control plane: the replicated configuration, engines and brokers."""


@control.command()
@click.option("--settings", "file", required=True, metavar="FILE", help="Settings; see deploy/control.yaml.")
@click.option("--name", required=True, help="Name of this process among the servers of the settings.")
@click.option("--store", "folder", required=True, metavar="DIR", help="Directory of this process's store.")
@click.option(
    "--first",
    "seed",
    default="",
    metavar="SEED.yaml",
    help="Begin a new history with the contents of this file (as for `change`); the same for every voter.",
)
@click.option("--rejoin", is_flag=True, help="The disk was lost: copy the history from the other voters.")
def serve(file: str, name: str, folder: str, seed: str, rejoin: bool) -> None:
    """Run one control process."""
    from cypressledge.controlplane.startup import run_control_process

    if seed and rejoin:
        raise click.UsageError("--first begins a new history, --rejoin copies the others': use only one")
    sys.exit(run_control_process(file, name, folder, read_change_file(seed) if seed else None, rejoin))


@control.command()
@control_address_option
@as_json
def status(servers: tuple[Address, ...], as_json: bool) -> None:
    """Show the status of each given control process."""
    rows, silent_count = [], 0
    for server in servers:
        try:
            answer = call(server, "GET", "/control/status")
        except NoAnswerError as err:
            click.echo(str(err), err=True)
            silent_count += 1
            continue
        rows.append(dict(answer.body) if as_json else {key: answer.body.get(key) for key in STATUS_COLUMNS})
    show(rows, as_json)
    sys.exit(1 if silent_count else 0)


@control.command()
@control_address_option
@click.option("--prefix", default="", help="Only keys with this prefix: config/, engine/, broker/.")
def state(servers: tuple[Address, ...], prefix: str) -> None:
    """Print the committed state as JSON."""
    answer = call_any(servers, f"/control/state?prefix={quote(prefix)}")
    click.echo(json.dumps(answer.body, indent=2))


@control.command()
@control_address_option
@click.option("--from", "first", default=0, type=click.IntRange(0), help="The first version to show.")
@as_json
def history(servers: tuple[Address, ...], first: int, as_json: bool) -> None:
    """Show the retained changes, the newest last."""
    try:
        history = call_any(servers, f"/control/history?from={first}").read(HistoryAnswer)
    except NoAnswerError as err:
        raise click.ClickException(str(err)) from None
    if history.first_kept > max(first, 1) and not as_json:
        click.echo(f"kept from version {history.first_kept} on")
    show(msgspec.to_builtins(history.changes), as_json)


@control.command()
@control_address_option
@click.option("--version", default=0, type=click.IntRange(0), help="Default: the newest version.")
def lag(servers: tuple[Address, ...], version: int) -> None:
    """Show where a version is not in force yet. Exit code 1 if any broker lags or has rejected it."""
    leader = LeaderClient(servers, time.monotonic() + LAG_TIMEOUT_S)
    try:
        answer = leader.call("GET", f"/control/lag?version={version}")
        if not answer.is_ok:
            raise click.ClickException(answer.error)
        lag = answer.read(LagAnswer)
    except NoAnswerError as err:
        raise click.ClickException(str(err)) from None
    show_lag(lag)
    sys.exit(lag_exit_code(lag))


def lag_exit_code(lag: LagAnswer) -> int:
    """Return the exit code: 0 if the version is known to be in force at every connected broker."""
    is_behind = lag.lagging_count or lag.unheard or lag.rejection_count
    return EXIT_LAGGING_OR_UNKNOWN if is_behind else EXIT_IN_FORCE


def show_lag(lag: LagAnswer) -> None:
    """Print the brokers that lag, those that rejected the version and the unreachable ones, a line each."""
    in_force = f"version {lag.version}: in force at {lag.in_force} of {lag.connected} brokers"
    lagging = f"; {lag.lagging_count} lag: {' '.join(lag.lagging)}" if lag.lagging_count else ""
    click.echo(in_force + lagging)
    if lag.rejection_count:
        rejections = [f"{name}: {why}" for name, why in lag.rejections.items()]
        unnamed = lag.rejection_count - len(rejections)
        if unnamed:
            rejections.append(f"and {unnamed} more")
        click.echo("refused by: " + "; ".join(rejections))
    if lag.unheard:
        click.echo(f"{' '.join(lag.unheard)} have not reported yet which brokers are connected to them")
    if lag.unreachable_count:
        names = " ".join(lag.unreachable)
        click.echo(f"{lag.unreachable_count} are registered, but connected nowhere: {names}")


@control.command()
@click.argument("file", metavar="FILE.yaml")
@control_address_option
@click.option("--request", default="", help="Request id, to recognize a repetition; default: a random one.")
@click.option(
    "--against",
    default=None,
    type=click.IntRange(0),
    help="The version the change is based on; it is refused if one of its keys has changed since.",
)
@click.option("--why", default="", help="The reason, recorded in the history.")
@click.option(
    "--wait",
    default=30.0,
    show_default=True,
    type=click.FloatRange(0),
    help="Seconds in total until the change is committed and in force at every broker.",
)
@click.option("--dry-run", is_flag=True, help="Only validate the change and show its effect.")
def change(
    file: str,
    servers: tuple[Address, ...],
    request: str,
    against: int | None,
    why: str,
    wait: float,
    dry_run: bool,
) -> None:
    """Change configuration, engines or brokers (FILE.yaml: config, engines, brokers; null removes).

    Exit code 0: committed, and in force at every connected broker. 1: committed, but some brokers lag after
    the wait or have rejected it, or the outcome is unknown: repeat it with the same --request. 2: refused,
    nothing has changed."""
    ops = read_change_file(file)
    user = os.environ.get("USER", "")
    request = request or f"{os.environ.get('USER', 'operator')}-{uuid.uuid4().hex[:12]}"
    try:
        body = ChangeBody(against, request, user, why, ops, dry_run).encode()
    except (TypeError, ValueError) as err:
        raise click.UsageError(f"{file}: not plain data: {err}") from None
    deadline = time.monotonic() + wait
    leader = LeaderClient(servers, deadline)
    try:
        answer = leader.call("POST", "/control/change", body)
        outcome = answer.read(Outcome)
        if outcome.answer not in (AnswerTag.ACKNOWLEDGED, AnswerTag.DRY_RUN):
            click.echo(f"refused: {outcome.answer}: {outcome.why}", err=True)
            sys.exit(EXIT_REFUSED)
        if dry_run:
            would_be = answer.read(DryRunAnswer)
            click.echo(f"would be version {would_be.version}: {would_be.key_count} keys")
            sys.exit(EXIT_IN_FORCE)
        taken = answer.read(AcknowledgedAnswer)
    except NoAnswerError as err:
        click.echo(f"not known whether it was taken ({err}): repeat it with --request {request}", err=True)
        sys.exit(EXIT_LAGGING_OR_UNKNOWN)
    click.echo(f"taken as version {taken.version} (epoch {taken.epoch}, request {request})")
    sys.exit(_wait_in_force(leader, taken.version, deadline) if wait else EXIT_IN_FORCE)


def _wait_in_force(leader: LeaderClient, version: int, deadline: float) -> int:
    """Wait until no broker lags or the deadline has passed; return the exit code."""
    lag: LagAnswer | None = None
    while True:
        try:
            answer = leader.call("GET", f"/control/lag?version={version}")
            if answer.is_ok:
                lag = answer.read(LagAnswer)
        except NoAnswerError as err:
            click.echo(f"not known who lags: {err}", err=True)
            return EXIT_LAGGING_OR_UNKNOWN
        is_settled = lag is not None and not lag.lagging_count and not lag.unheard
        if is_settled or time.monotonic() >= deadline:
            break
        time.sleep(RETRY_INTERVAL_S)
    if lag is None:
        click.echo("not known who lags", err=True)
        return EXIT_LAGGING_OR_UNKNOWN
    show_lag(lag)
    return lag_exit_code(lag)
