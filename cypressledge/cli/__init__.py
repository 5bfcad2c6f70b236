"""Command line (click): `cypressledge fleet …`, `zone …`, `control …`, `lab …`. Not imported by `run`."""

import click

from cypressledge.cli.fleet import fleet
from cypressledge.cli.lab import lab
from cypressledge.cli.zone import zone
from cypressledge.controlplane.cli import control


@click.group()
def cli() -> None:
    """A query broker: commands for operators and for experiments."""


for _group in (control, fleet, lab, zone):
    cli.add_command(_group)
