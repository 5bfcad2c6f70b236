"""`cypressledge zone …`: the state of the zones, and operators' commands to leave and return to them."""

import json

import click

from cypressledge.cli.broker_client import broker_address_option, call_broker
from cypressledge.cli_support import as_json, show


@click.group()
@broker_address_option
@click.pass_context
def zone(ctx: click.Context, at: tuple[str, int]) -> None:
    """State of the zones, and commands to leave and return to them."""
    ctx.obj = at


@zone.command()
@as_json
@click.pass_obj
def status(at: tuple[str, int], as_json: bool) -> None:
    """Show each zone's stage and share, with the plan and the reason behind them."""
    answer = json.loads(call_broker(at, "GET", "/zone/status"))
    if as_json:
        click.echo(json.dumps(answer, indent=2))
        return
    click.echo(
        f"plan {answer['number']} of {answer['planner'] or 'nobody'} (token {answer['token']}), "
        f"heard {answer['heard_s']} s ago"
    )
    for tenant, per_mille in answer["shed"].items():
        click.echo(
            f"of {tenant} {per_mille / 10:g}% is refused, over its share; {answer['shed_here']} here so far"
        )
    show(answer["zones"], False)


def _add_operator_command(name: str, help_text: str) -> None:
    """Add a click command that sends an operator's command to the planner through a broker."""

    @zone.command(name, help=help_text)
    @click.argument("zone_name", metavar="ZONE")
    @click.option(
        "--for", "span_s", default=600.0, show_default=True, help="Seconds until the command expires."
    )
    @click.option("--reason", required=True, help="Reason, shown in the plan and the logs.")
    @click.option("--dry-run", is_flag=True, help="Only show the expected effect; works at the planner only.")
    @click.pass_obj
    def command(at: tuple[str, int], zone_name: str, span_s: float, reason: str, dry_run: bool) -> None:
        """Send the command to a broker, which forwards it; print its answer."""
        body = json.dumps({"zone": zone_name, "what": name, "span_s": span_s, "why": reason})
        click.echo(call_broker(at, "POST", "/zone/dry-run" if dry_run else "/zone/wish", body).strip())


_add_operator_command("leave", "Leave a zone, as far as the other zones have capacity for its load.")
_add_operator_command(
    "practice",
    "Leave a zone to test that the others can take its load; aborted if they can't, or if one fails.",
)
_add_operator_command("return", "Return to a zone, at the pace that its engines can take.")
_add_operator_command("hold", "Keep a zone as it is, whatever failures are detected.")
