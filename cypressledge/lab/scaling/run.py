"""`lab scaling`: runs all scaling measurements one after another and writes a results file."""

import time
from collections.abc import Callable

from cypressledge.lab.results import Results, Source, source, write
from cypressledge.lab.scaling.broker_process_costs import broker_process_costs
from cypressledge.lab.scaling.decision_costs import decision_costs
from cypressledge.lab.scaling.directory_costs import directory_costs
from cypressledge.lab.scaling.fleet_file_costs import fleet_file_costs
from cypressledge.lab.scaling.measuring import Findings
from cypressledge.lab.scaling.membership_costs import membership_costs
from cypressledge.lab.scaling.planner_costs import planner_costs

Measurement = Callable[[bool, int, Source], Findings]

MEASUREMENTS: tuple[tuple[str, Measurement], ...] = (  # by the name that the command prints
    ("decisions", decision_costs),
    ("directory", directory_costs),
    ("together", membership_costs),
    ("planning", planner_costs),
    ("fleet_yaml", fleet_file_costs),
    ("process", broker_process_costs),
)


def run(path: str, quick: bool, seed: int, echo: Callable[[str], None]) -> int:
    """Run all measurements and write the results to `path`; return 0 whatever the figures are.

    `quick`: measure few and small points.
    """
    command = f"python -m cypressledge lab scaling --json {path} --seed {seed}{' --quick' if quick else ''}"
    results = Results(quick)
    for name, measure in MEASUREMENTS:
        began = time.monotonic()
        findings = measure(quick, seed, source(seed, command))
        results.slopes += findings.slopes
        results.facts += findings.facts
        _print(findings, echo)
        echo(f"-- {name}: {time.monotonic() - began:.1f} s")
    write(path, results)
    return 0


def _print(findings: Findings, echo: Callable[[str], None]) -> None:
    for curve in findings.slopes:
        points = "  ".join(f"{x:g}: {y:.4g}" for x, y in curve.points)
        fit = f"[{curve.fit.kind}, off by {curve.residual:.1%}]"
        echo(f"{curve.name} ({curve.unit} over {curve.x})  {points}  {fit}")
    for fact in findings.facts:
        echo(f"{fact.name}  {fact.value:g} {fact.unit}")
