"""Small capacity runs on real sockets: their checks pass, and a terminated run leaves no processes."""

import json
import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from cypressledge.cli import cli
from cypressledge.lab.capacity import run as capacity_command
from cypressledge.lab.capacity.capacity_run import CapacityRun
from cypressledge.lab.capacity.fleet import FleetSize
from cypressledge.lab.capacity.run_plot import draw_plot
from cypressledge.lab.processes import ROOT

SUMMARY_LINE = re.compile(
    r"capacity: brokers 12, engines 20, changes (\d+), in force p99 [\d.]+ s most ([\d.]+) s, primary over "
    r"most ([\d.]+) s, broker cpu [\d.]+ % net [\d.]+ KB/s rss [\d.]+ MB, lost (\d+), gone back (\d+), "
    r"wrong (\d+)"
)
SMALL = ("lab", "capacity", "--brokers", "12", "--engines", "20", "--real", "1", "--seed", "3")


def start_capacity_run(*more):
    return subprocess.Popen(
        [sys.executable, "-m", "cypressledge", *SMALL, *more],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )


def child_process_ids(pid):
    """Return the ids of a process's running children."""
    found = []
    for stat in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == pid and fields[0] != "Z":
            found.append(int(stat.parent.name))
    return found


def test_a_small_run_loses_no_changes(tmp_path):
    file = tmp_path / "figures.json"
    run = start_capacity_run("--seconds", "20", "--json", str(file))
    output = run.communicate(timeout=150)[0]
    print(output)
    summary = SUMMARY_LINE.fullmatch(output.splitlines()[-1])
    assert summary
    assert summary.groups()[3:] == ("0", "0", "0")
    assert int(summary[1]) >= 5
    assert float(summary[2]) <= 12
    assert float(summary[3]) <= 8
    assert run.returncode == 0, output
    figures = json.loads(file.read_text())
    assert figures["lost"] == 0
    assert figures["faults"]
    assert len(figures["load_average"]) == 2


def test_a_terminated_run_leaves_no_processes():
    run = start_capacity_run("--seconds", "60")
    try:
        end = time.monotonic() + 60
        while len(child_pids := child_process_ids(run.pid)) < 10 and time.monotonic() < end:
            time.sleep(0.2)
        assert len(child_pids) >= 10  # eight control processes, a host, a real broker
        run.send_signal(signal.SIGTERM)
        run.wait(30)
        assert not [pid for pid in child_pids if os.path.exists(f"/proc/{pid}")]
    finally:
        run.kill()
        run.communicate()


def test_runs_are_plotted(tmp_path):
    names = (
        "p99_s",
        "most_s",
        "primary_most_s",
        "hollow_cpu_pct",
        "real_cpu_pct",
        "hollow_net_kb_s",
        "real_net_kb_s",
    )
    capacity_runs = []
    for count in (120, 60):
        capacity_run = CapacityRun(FleetSize(count, 490, 5), 30.0, 1, tmp_path)
        capacity_run.figures = dict.fromkeys(names, 1.0) | {
            "brokers": count,
            "engines": 490,
            "seconds": 30,
            "seed": 1,
        }
        capacity_runs.append(capacity_run)
    draw_plot(capacity_runs, str(tmp_path / "a.png"))
    assert (tmp_path / "a.png").stat().st_size > 5_000


def test_a_run_over_its_bounds_on_the_machine_is_reported(tmp_path):
    capacity_run = CapacityRun(FleetSize(12, 20, 1), 30.0, 1, tmp_path)
    assert not capacity_run.machine.excess()
    capacity_run.machine.sample(processes=20, memory_mb=11_000.0)
    assert "11000 MB" in capacity_run.machine.excess()


@pytest.mark.parametrize("option", ["--no-faults", "--quiet"])
def test_the_former_option_for_a_run_without_faults_is_accepted_and_hidden(monkeypatch, option):
    played = []
    monkeypatch.setattr(capacity_command, "run", lambda options, *_, **__: played.append(options) or 0)
    assert CliRunner().invoke(cli, ["lab", "capacity", option]).exit_code == 0
    assert CliRunner().invoke(cli, ["lab", "capacity"]).exit_code == 0
    assert [options.without_faults for options in played] == [True, False]
    help_text = CliRunner().invoke(cli, ["lab", "capacity", "--help"]).output
    assert "--no-faults" in help_text
    assert "--quiet" not in help_text
