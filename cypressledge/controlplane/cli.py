"""The operators' commands of the control plane (click): `cypressledge control …`. Exit codes of `change`:

0: taken, and in force at every broker that is connected; 1: taken, but some brokers lag or reject it, or it
isn't known whether it was taken: ask again under the same request name; 2: refused, nothing has changed.
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

LAG_TIMEOUT_S = 6.0  # for finding the leader and its answer
STATUS_COLUMNS = ("name", "role", "primary", "epoch", "version", "commit", "brokers", "peers", "digest")
EXIT_IN_FORCE, EXIT_LAGGING_OR_UNKNOWN, EXIT_REFUSED = 0, 1, 2

control_address_option = click.option(
    "--at",
    "servers",
    type=ManagementAddress(),
    envvar="CYPRESSLEDGE_CONTROL",
    required=True,
    multiple=True,
    help="A control process's management address; several may be named.",
)


@click.group()
def control() -> None:
    """The control plane: one history of configuration, engines and brokers."""


@control.command()
@click.option("--settings", "file", required=True, metavar="FILE", help="As deploy/control.yaml.")
@click.option("--name", required=True, help="Which of the file's servers this is.")
@click.option("--store", "folder", required=True, metavar="DIR", help="Where this one keeps the history.")
@click.option(
    "--first",
    "seed",
    default="",
    metavar="SEED.yaml",
    help="Begin a new history, with what this file holds (as for `change`). Every voter gets it.",
)
@click.option("--rejoin", is_flag=True, help="The disk was lost: take the history from the others.")
def serve(file: str, name: str, folder: str, seed: str, rejoin: bool) -> None:
    """Run one control process."""
    from cypressledge.controlplane.startup import run_control_process

    if seed and rejoin:
        raise click.UsageError("--first begins a new history, --rejoin takes the others': not both")
    sys.exit(run_control_process(file, name, folder, read_change_file(seed) if seed else None, rejoin))


@control.command()
@control_address_option
@as_json
def status(servers: tuple[Address, ...], as_json: bool) -> None:
    """How each of the control processes named stands."""
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
@click.option("--prefix", default="", help="Keys that begin so: config/, engine/, broker/.")
def state(servers: tuple[Address, ...], prefix: str) -> None:
    """The committed state, as JSON."""
    answer = call_any(servers, f"/control/state?prefix={quote(prefix)}")
    click.echo(json.dumps(answer.body, indent=2))


@control.command()
@control_address_option
@click.option("--from", "first", default=0, type=click.IntRange(0), help="From this version on.")
@as_json
def history(servers: tuple[Address, ...], first: int, as_json: bool) -> None:
    """The changes that are kept, the newest last."""
    try:
        history = call_any(servers, f"/control/history?from={first}").read(HistoryAnswer)
    except NoAnswerError as err:
        raise click.ClickException(str(err)) from None
    if history.first_kept > max(first, 1) and not as_json:
        click.echo(f"kept from version {history.first_kept} on")
    show(msgspec.to_builtins(history.changes), as_json)


@control.command()
@control_address_option
@click.option("--version", default=0, type=click.IntRange(0), help="The newest where none is named.")
def lag(servers: tuple[Address, ...], version: int) -> None:
    """Who has not a version in force yet. Exit code 1 where anybody lags or rejects it."""
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
    """0 where a version is known to be in force at every connected broker."""
    is_behind = lag.lagging_count or lag.unheard or lag.rejection_count
    return EXIT_LAGGING_OR_UNKNOWN if is_behind else EXIT_IN_FORCE


def show_lag(lag: LagAnswer) -> None:
    """Who lags, who rejected it, and who can't be reached, a line each."""
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
        click.echo(f"{' '.join(lag.unheard)} have not said yet who is connected to them")
    if lag.unreachable_count:
        names = " ".join(lag.unreachable)
        click.echo(f"{lag.unreachable_count} are registered, but connected nowhere: {names}")


@control.command()
@click.argument("file", metavar="FILE.yaml")
@control_address_option
@click.option("--request", default="", help="Names this request, so that a repeat is known; drawn if absent.")
@click.option(
    "--against",
    default=None,
    type=click.IntRange(0),
    help="The version it was made on: refused where one of its keys has changed since.",
)
@click.option("--why", default="", help="It stands in the history.")
@click.option(
    "--wait",
    default=30.0,
    show_default=True,
    type=click.FloatRange(0),
    help="Seconds in all: to be taken, and to be in force everywhere.",
)
@click.option("--dry-run", is_flag=True, help="Only say what would come of it.")
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

    Exit code 0: taken, and in force at every connected broker. 1: taken, but some lag after the wait or have
    rejected it, or not known: repeat it under the same --request. 2: refused, nothing changed."""
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
    """Wait until nobody lags; the exit code."""
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
