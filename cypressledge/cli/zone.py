"""`cypressledge zone …`: how zones stand, and leaving and returning to them by hand."""

import json

import click

from cypressledge.cli.broker_client import broker_address_option, call_broker
from cypressledge.cli_support import as_json, show


@click.group()
@broker_address_option
@click.pass_context
def zone(ctx: click.Context, at: tuple[str, int]) -> None:
    """Zones: how they stand, and leaving and returning by hand."""
    ctx.obj = at


@zone.command()
@as_json
@click.pass_obj
def status(at: tuple[str, int], as_json: bool) -> None:
    """Each zone's stage and share, the plan they come from, and why."""
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
    """Add a command that forwards an operator's command to the planner."""

    @zone.command(name, help=help_text)
    @click.argument("zone_name", metavar="ZONE")
    @click.option("--for", "span_s", default=600.0, show_default=True, help="Seconds; then it ends.")
    @click.option("--reason", required=True, help="Why: it stands in the plan and the logs.")
    @click.option("--dry-run", is_flag=True, help="Only say what would come of it; asks the planner alone.")
    @click.pass_obj
    def command(at: tuple[str, int], zone_name: str, span_s: float, reason: str, dry_run: bool) -> None:
        """Send the command to a broker, which forwards it; print its answer."""
        body = json.dumps({"zone": zone_name, "what": name, "span_s": span_s, "why": reason})
        click.echo(call_broker(at, "POST", "/zone/dry-run" if dry_run else "/zone/wish", body).strip())


_add_operator_command("leave", "Leave a zone, as far as the others bear its load.")
_add_operator_command(
    "practice", "Leave a zone to see that the others bear it; given up if they can't, or if one fails."
)
_add_operator_command("return", "Return to a zone, at the pace that its engines bear.")
_add_operator_command("hold", "Keep a zone as it is, whatever is found.")
