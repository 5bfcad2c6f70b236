"""Helpers of the operators' command line: address parameters, tables or JSON output, and command aliases."""

import json

import click
from tabulate import tabulate

from cypressledge.config import ConfigError, parse_address


class ManagementAddress(click.ParamType):
    """A command line parameter of the form HOST:PORT, validated like addresses in the configuration."""

    name = "HOST:PORT"

    def convert(
        self, value: str, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, int]:
        """Return the address as a pair of host and port."""
        try:
            return parse_address(value)
        except ConfigError as err:
            self.fail(str(err), param, ctx)


as_json = click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")


def show(rows: list[dict[str, object]], as_json: bool) -> None:
    """Print rows as a table, or as JSON if `as_json` is set."""
    if as_json:
        click.echo(json.dumps(rows, indent=2))
        return
    cells = [{column: _cell(value) for column, value in row.items()} for row in rows]
    click.echo(tabulate(cells, headers="keys") if cells else "none")


def _cell(value: object) -> object:
    if isinstance(value, list):
        return " ".join(map(str, value))
    return "-" if value is None else value


def add_hidden_alias(group: click.Group, name: str, command: click.Command) -> None:
    """Add a former name of a command as an alias that is not listed in the help."""
    alias = click.Command(
        name, callback=command.callback, params=command.params, help=command.help, hidden=True
    )
    group.add_command(alias)
