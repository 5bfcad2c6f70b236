"""`cypressledge fleet …`: the state of the fleet as one broker knows it, and commands to that broker."""

import json
import time

import click

from cypressledge.cli.broker_client import broker_address_option, call_broker
from cypressledge.cli_support import add_hidden_alias, as_json, show

TURN_POLL_INTERVAL_S = 0.1  # seconds between requests for the restart turn
CLASS_COLUMNS = ("success", "overload", "error", "dispatches")


@click.group()
@broker_address_option
@click.pass_context
def fleet(ctx: click.Context, at: tuple[str, int]) -> None:
    """State of the fleet as one broker knows it, and commands to that broker."""
    ctx.obj = at


@fleet.command()
@as_json
@click.pass_obj
def peers(at: tuple[str, int], as_json: bool) -> None:
    """Show which brokers are alive, suspect or gone, and which are voters."""
    show(json.loads(call_broker(at, "GET", "/fleet/peers")), as_json)


@fleet.command()
@as_json
@click.pass_obj
def leases(at: tuple[str, int], as_json: bool) -> None:
    """Show the holder of each lease and the next candidates."""
    show(json.loads(call_broker(at, "GET", "/fleet/leases")), as_json)


@fleet.command()
@as_json
@click.pass_obj
def tasks(at: tuple[str, int], as_json: bool) -> None:
    """Show the tasks of this broker and the resources they have used."""
    show(json.loads(call_broker(at, "GET", "/fleet/tasks")), as_json)


@fleet.command()
@as_json
@click.pass_obj
def summary(at: tuple[str, int], as_json: bool) -> None:
    """Show the latest summary of the fleet's figures."""
    answer = json.loads(call_broker(at, "GET", "/fleet/summary"))
    if answer is None:
        raise click.ClickException("no summary yet")
    if as_json:
        click.echo(json.dumps(answer, indent=2))
        return
    missing = " ".join(answer["missing"]) or "none"
    click.echo(
        f"summed up by {answer['holder']} (token {answer['token']}) {answer['age_s']} s ago: "
        f"{answer['brokers']} brokers; missing: {missing}"
    )
    classes = sorted(answer["classes"].items())
    show([{"class": name} | dict(zip(CLASS_COLUMNS, counts, strict=True)) for name, counts in classes], False)
    avoided = answer["engines_avoided"].items()
    show([{"engine": engine, "avoided by": brokers} for engine, brokers in avoided], False)


@fleet.command()
@click.argument("lease")
@click.pass_obj
def release(at: tuple[str, int], lease: str) -> None:
    """Make this broker release a lease, so that the next candidate acquires it."""
    click.echo(call_broker(at, "POST", "/fleet/give-back", lease).strip())


add_hidden_alias(fleet, "give-back", release)


@fleet.command("restart-turn")
@click.option("--lease", default="restart", show_default=True, help="Lease that grants the turns.")
@click.option("--wait", "wait_s", default=60.0, show_default=True, help="Seconds to wait for the turn.")
@click.option("--over", is_flag=True, help="Return the turn, or cancel the request for one.")
@click.pass_obj
def restart_turn(at: tuple[str, int], lease: str, wait_s: float, over: bool) -> None:
    """Wait until this broker may be restarted; exit 0 when it has the turn, 1 if there was none in time."""
    if over:
        call_broker(at, "POST", "/fleet/turn/over", lease)
        click.echo("over")
        return
    deadline = time.monotonic() + wait_s
    while True:
        answer = json.loads(call_broker(at, "POST", "/fleet/turn", lease))
        if answer["yours"]:
            click.echo(f"{lease}: your turn, token {answer['token']}")
            return
        if time.monotonic() >= deadline:
            call_broker(at, "POST", "/fleet/turn/over", lease)
            missing = " ".join(answer["missing"]) or "none"
            raise click.ClickException(f"no turn within {wait_s:g} s; brokers missing: {missing}")
        time.sleep(TURN_POLL_INTERVAL_S)
