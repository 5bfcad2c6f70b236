"""The list of known failures: its format, and its effect on a test run."""

import os
import shutil
import subprocess
import sys

import pytest

from tests import known_red

ROOT = known_red.FILE.parent


def test_each_line_names_a_test():
    for name in known_red.known_red():
        path, _, function = name.partition("::")
        function = function.split("::")[-1].split("[")[0]
        assert f"def {function}(" in (ROOT / path).read_text(), name


@pytest.mark.parametrize("lines", [["tests/test_a.py::test_b"], ["tests/test_a.py::test_b: cause"] * 4])
def test_a_list_of_another_form_or_length_is_an_error(lines, monkeypatch, tmp_path):
    monkeypatch.setattr(known_red, "FILE", tmp_path / "KNOWN-RED.txt")
    known_red.FILE.write_text("\n".join(lines))
    with pytest.raises(ValueError, match="lines of the form TEST: cause"):
        known_red.known_red()


def test_a_known_failure_is_printed_and_one_that_passes_fails_the_run(tmp_path):
    tests = tmp_path / "tests"
    tests.mkdir()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(ROOT / "tests" / name, tests)
    (tests / "test_a.py").write_text("def test_b():\n    assert False\n\n\ndef test_c():\n    pass\n")
    listed = "tests/test_a.py::test_b: known (issue 1)\n"
    for lines, exit_code, expected in (
        (listed, 0, "KNOWN-RED: known (issue 1)"),
        ("", 1, "1 failed"),
        (listed + "tests/test_a.py::test_c: fixed (issue 2)\n", 1, "XPASS(strict)"),
    ):
        (tmp_path / "KNOWN-RED.txt").write_text(lines)
        command = [sys.executable, "-m", "pytest", "-q", "-rxX", "-p", "no:cacheprovider", "tests"]
        environment = os.environ | {"PYTHONPATH": str(ROOT)}
        run = subprocess.run(command, cwd=tmp_path, env=environment, capture_output=True, text=True)
        assert run.returncode == exit_code, run.stdout
        assert expected in run.stdout, run.stdout
