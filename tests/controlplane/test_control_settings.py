"""Settings files of control processes."""

import pytest
import yaml

from cypressledge.config import ConfigError
from cypressledge.controlplane.settings import read_control_settings
from cypressledge.lab.site import SETTINGS


def server(number, **more):
    return {
        "name": f"c{number}",
        "address": f"127.0.0.1:{9800 + number}",
        "fleet": f"127.0.0.1:{9810 + number}",
        "management": f"127.0.0.1:{9820 + number}",
    } | more


@pytest.mark.parametrize(
    ("content", "why"),
    [
        ({"servers": [server(1), server(2)]}, "2 control processes vote, expected 3, 5 or 7"),
        ({"servers": [server(n) for n in range(1, 5)]}, "4 control processes vote, expected 3, 5 or 7"),
        ({"servers": [server(n) for n in range(1, 10)]}, "9 control processes, expected 3 to 8"),
        ({"servers": [server(1), server(2), server(2)]}, "control process c2 is named twice"),
        (
            {"servers": [server(1), server(2), server(3, address="127.0.0.1:9801")]},
            "address 127.0.0.1:9801 is named twice",
        ),
        ({"servers": [server(1), server(2), server(3, fleet="nowhere")]}, "no HOST:PORT: 'nowhere'"),
        ({"servers": [server(1), server(2), server(3)], "term": 3}, "Object contains unknown field `term`"),
        (
            {"servers": [server(1), server(2), server(3, votes="yes")]},
            "Expected `bool`, got `str` - at `$.servers[2].votes`",
        ),
        ([], "Expected `object`, got `array`"),
    ],
)
def test_invalid_file_is_reported_in_one_line(tmp_path, content, why):
    file = tmp_path / "control.yaml"
    file.write_text(yaml.safe_dump(content))
    with pytest.raises(ConfigError) as err:
        read_control_settings(str(file))
    assert str(err.value) == f"{file}: {why}"


def test_deployed_file_is_valid():
    assert read_control_settings("deploy/control.yaml").voters == ("c1", "c2", "c3")
    assert SETTINGS["Classes"]
