"""What the groups of the operators' command line share: addresses, and tables or JSON."""

import json

import click
from tabulate import tabulate

from cypressledge.config import ConfigError, parse_address


class ManagementAddress(click.ParamType):
    """HOST:PORT, checked as the configuration's are."""

    name = "HOST:PORT"

    def convert(
        self, value: str, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, int]:
        """The address as a pair."""
        try:
            return parse_address(value)
        except ConfigError as err:
            self.fail(str(err), param, ctx)


as_json = click.option("--json", "as_json", is_flag=True, help="JSON in place of a table.")


def show(rows: list[dict[str, object]], as_json: bool) -> None:
    """Print rows as a table, or as JSON."""
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
    """Accept a command under its former name, too, without a line in the help."""
    alias = click.Command(
        name, callback=command.callback, params=command.params, help=command.help, hidden=True
    )
    group.add_command(alias)
