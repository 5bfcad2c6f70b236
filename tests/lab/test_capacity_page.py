"""The capacity page against its results, the curve fits, and invalid results files."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from cypressledge.cli import cli
from cypressledge.lab import curve_fit
from cypressledge.lab.capacity.evaluation import REQUIREMENTS, evaluate
from cypressledge.lab.capacity.page import render
from cypressledge.lab.capacity.plots import slope_limits
from cypressledge.lab.capacity.run_tables import control_fits_table, run_limits_table, runs_table
from cypressledge.lab.capacity.targets import ROLES
from cypressledge.lab.results import ResultsError, read, slope, source
from cypressledge.lab.scaling import decision_costs, directory_costs, membership_costs, planner_costs

ROOT = Path(__file__).parents[2]
RESULTS, PAGE = ROOT / "docs" / "capacity" / "slopes.json", ROOT / "docs" / "CAPACITY.md"


def invoke_capacity_page(*arguments: str):
    return CliRunner().invoke(cli, ["lab", "capacity-page", *arguments])


def test_the_page_agrees_with_its_committed_results():
    run = invoke_capacity_page("--results", str(RESULTS), "--page", str(PAGE), "--check")
    assert run.exit_code == 0, run.output


def test_an_edited_figure_is_reported_and_regenerated(tmp_path):
    page, text = tmp_path / "page.md", PAGE.read_text(encoding="utf-8")
    page.write_text(text.replace("| planner", "| Planner", 1), encoding="utf-8")
    assert invoke_capacity_page("--results", str(RESULTS), "--page", str(page), "--check").exit_code == 1
    assert invoke_capacity_page("--results", str(RESULTS), "--page", str(page)).exit_code == 0
    assert page.read_text(encoding="utf-8") == text


def test_every_role_has_requirements_evaluated_from_the_committed_slopes():
    found = evaluate(read([str(RESULTS)]))
    assert len(found) == len(REQUIREMENTS)
    assert {line.requirement.role for line in found} >= set(ROLES)
    assert all(line.value >= 0 for line in found)
    assert all(line.basis == "given" or line.sources for line in found)
    assert slope_limits(read([str(RESULTS)]))["module_ms"] == pytest.approx(
        2.0
    )  # 500 of them take one second


def test_a_fit_finds_the_kind_of_curve_and_its_residual():
    quadratic_points = [(x, 2.0 * x * x + 3.0 * x + 1.0) for x in (10.0, 20.0, 40.0, 80.0, 160.0)]
    assert curve_fit.best(quadratic_points).kind == "quadratic"
    assert curve_fit.best(quadratic_points).residual < 1e-9
    assert curve_fit.best(quadratic_points).at(490.0) == pytest.approx(2.0 * 490 * 490 + 3.0 * 490 + 1.0)
    power_fit = curve_fit.fit([(x, 3.0 * x**1.5) for x in (1.0, 4.0, 9.0)], "power")
    assert power_fit.coefficients == pytest.approx([1.5, 3.0])
    assert power_fit.residual < 1e-9
    linear_fit = curve_fit.fit([(0.0, 9.0), (1.0, 12.0), (2.0, 9.0)], "linear")  # y = 10: residuals 1, 2, 1
    assert linear_fit.residual == pytest.approx(2.0**0.5 / 10)
    with pytest.raises(ValueError, match="needs 2 different x"):
        curve_fit.fit([(1.0, 2.0), (1.0, 3.0)], "linear")


def test_measurements_at_small_sizes_are_plausible():
    origin = source(1, "a test")
    cost = decision_costs.statement_cost(12, decision_costs.brokers_for(12), 40, 0.5, 1)
    assert 0 < cost.cpu_ms[0] < 20
    assert 3 <= cost.engines_used <= 12
    assert cost.given_up < 0.05
    found = planner_costs.planner_costs(True, 1, origin).slopes
    by_name = {s.name: s for s in found}
    assert all(y > 0 for s in found for _, y in s.points)
    assert by_name["summary_bytes"].points[-1][1] < 8_192
    within_answer = directory_costs.max_engines_within(directory_costs.MAX_ANSWER_BYTES)
    within_message = directory_costs.max_engines_within(directory_costs.MAX_DNS_BYTES)
    assert within_answer < 100 < within_message < 490
    group = membership_costs.membership_cost(12, 2.0, 1)
    assert 0 < group.others.mean.kb_per_s < 30
    assert 0 < group.loss.noticed_s < membership_costs.LOSS_WATCH_S


@pytest.mark.parametrize(
    ("raw", "message"),
    [
        ("{", "is no results file"),
        ('{"quick": false, "slopes": [{"name": "x"}]}', "is no results file"),
        ("[1]", "is not a list of runs"),
        ('{"quick": true}', "measured with --quick"),
        ('{"quick": false}', "the results have no"),
        (None, "No such file"),
    ],
)
def test_an_invalid_results_file_is_reported_in_one_line(tmp_path, raw, message):
    path = tmp_path / "slopes.json"
    if raw is not None:
        path.write_text(raw)
    run = invoke_capacity_page("--results", str(path), "--page", str(PAGE), "--check")
    assert run.exit_code == 1
    assert message in run.output
    assert run.output.startswith("Error: ")
    assert run.output.count("\n") == 1


def test_a_mark_without_a_known_table_or_an_end_is_rejected():
    for page in ("<!-- table:none -->\n<!-- end -->", "<!-- table:first -->\n", "no mark"):
        with pytest.raises(ResultsError):
            render(page, {"first": lambda: ""})


def test_runs_are_shown_unchanged_and_fitted_from_three_sizes_on():
    runs = [{"brokers": n, "broker_cpu_pct": 0.01 * n, "control": 5} for n in (60, 120, 240)]
    assert "broker_cpu_pct" in runs_table(runs)
    assert "| 2.4 " in runs_table(runs)
    assert run_limits_table(runs).startswith("No run yet with 460 brokers")
    at_size = [{"brokers": 460, "engines": 490, "most_s": s, "lost": 0} for s in (1.5, 3.0)]
    assert " 0.25 " in run_limits_table(at_size)
    assert "measured, 2 runs" in run_limits_table(at_size)
    assert "4.6" in control_fits_table(runs)
    assert "1.44" in control_fits_table(runs)
    assert control_fits_table(runs[:2]).startswith("No fit yet")
    assert runs_table([]).startswith("No run yet")


def test_a_slope_records_its_source_and_the_basis_of_its_values():
    one = slope("x", "broker", "a test", "ms", "engines", [(2, 4.0), (1, 2.0)], source(7, "command"))
    raw = json.loads(json.dumps({"seed": one.source.seed, "points": one.points}))
    assert raw["seed"] == 7
    assert raw["points"] == [[1.0, 2.0], [2.0, 4.0]]
    assert one.source.commit
    assert one.source.load_average >= 0
    assert one.at(2.0) == (4.0, "measured")
    assert one.at(1.5) == (3.0, "interpolated")
    assert one.at(3.0) == (pytest.approx(6.0), "extrapolated")


def test_the_former_name_of_the_scaling_command_is_accepted_and_hidden():
    former = CliRunner().invoke(cli, ["lab", "slopes", "--help"])
    assert former.exit_code == 0
    present = CliRunner().invoke(cli, ["lab", "scaling", "--help"])
    assert former.output.replace("lab slopes", "lab scaling") == present.output
    assert "slopes " not in CliRunner().invoke(cli, ["lab", "--help"]).output
