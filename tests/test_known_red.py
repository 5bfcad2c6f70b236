"""The list of known failures names tests that there are."""

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
    with pytest.raises(ValueError):
        known_red.known_red()
