"""What the groups of the operators' command line share: addresses, and tables or JSON."""

import json

import click
from tabulate import tabulate

from cypressledge.config import ConfigError, parse_address


class ManagementAddress(click.ParamType):
    """HOST:PORT, checked as the configuration's are."""

    name = "HOST:PORT"

    def convert(self, value, param, ctx) -> tuple[str, int]:
        """The address as a pair."""
        try:
            return parse_address(value)
        except ConfigError as err:
            self.fail(str(err), param, ctx)


as_json = click.option("--json", "as_json", is_flag=True, help="JSON in place of a table.")


def show(rows: list[dict], as_json: bool) -> None:
    """A table, or JSON."""
    if as_json:
        click.echo(json.dumps(rows, indent=2))
        return
    plain = [
        {k: " ".join(map(str, v)) if isinstance(v, list) else "-" if v is None else v for k, v in row.items()}
        for row in rows
    ]
    click.echo(tabulate(plain, headers="keys") if plain else "none")
