"""The file of engines in maintenance that both processes of an upgrade share."""

import json
from types import SimpleNamespace

import pytest

from cypressledge.broker.maintenance import Maintenance
from cypressledge.broker.metrics import Counters
from cypressledge.net.http_exchange import HttpRequest
from cypressledge.net.maintenance_file import MaintenanceFile

ENGINES = ("s-1", "s-2")


class EngineRegistryStub:
    """Stub with the part of the engine registry that the file uses."""

    def __init__(self):
        self.maintenance = Maintenance()
        self.updates = 0

    def is_listed(self, engine):
        return engine in ENGINES

    def set_maintenance(self, maintenance):
        self.maintenance = maintenance
        self.updates += 1


@pytest.fixture
def open_file(tmp_path):
    """Opens the file as another process would; `directory` replaces the shared folder."""

    def open_one(name="n1", directory=tmp_path):
        core = SimpleNamespace(engines=EngineRegistryStub(), counters=Counters())
        return MaintenanceFile(core, name, str(directory))

    return open_one


def call(file, engine, enter):
    return file.handle_call(HttpRequest(method="POST", body=engine), enter)


def test_the_file_name_contains_the_broker_s_name_with_safe_characters(open_file, tmp_path):
    assert open_file("n1").path == tmp_path / "cypressledge-n1-maintenance.json"
    assert open_file("a/b c.1-x").path == tmp_path / "cypressledge-a_b_c.1-x-maintenance.json"


def test_an_engine_is_taken_out_and_put_back(open_file):
    file = open_file()
    assert call(file, b"s-1\n", True) == (200, b"s-1 out\n")
    assert file.core.engines.maintenance.out_of_service == {"s-1"}
    assert json.loads(file.path.read_bytes()) == {"out": ["s-1"], "back": {}}
    assert call(file, b"s-1", False) == (200, b"s-1 in\n")
    assert file.core.engines.maintenance.out_of_service == set()
    assert json.loads(file.path.read_bytes())["out"] == []
    assert list(json.loads(file.path.read_bytes())["back"]) == ["s-1"]


def test_a_call_that_changes_nothing_writes_nothing(open_file):
    file = open_file()
    assert call(file, b"s-1", False) == (200, b"s-1 in\n")
    assert not file.path.exists()
    assert file.core.engines.updates == 0


@pytest.mark.parametrize(
    ("engine", "answer"),
    [
        (b"s-9", (404, b"no engine s-9\n")),
        (b"", (400, b"no engine id\n")),
        (b"\xff", (400, b"no engine id\n")),
    ],
)
def test_an_unknown_or_invalid_engine_is_an_error(open_file, engine, answer):
    assert call(open_file(), engine, True) == answer


def test_processes_read_each_other_s_changes(open_file):
    first, second = open_file(), open_file()
    call(first, b"s-1", True)
    second.refresh()
    assert second.core.engines.maintenance.out_of_service == {"s-1"}
    call(second, b"s-2", True)
    call(first, b"s-1", False)
    assert first.core.engines.maintenance.out_of_service == {"s-2"}
    assert open_file().core.engines.maintenance.out_of_service == {"s-2"}


def test_an_unchanged_file_is_applied_once(open_file):
    first, second = open_file(), open_file()
    call(first, b"s-1", True)
    for _ in range(3):
        second.refresh()
    assert second.core.engines.updates == 1


def test_a_write_failure_is_counted_and_the_engine_is_taken_out_nevertheless(open_file, tmp_path):
    file = open_file(directory=tmp_path / "missing")
    assert call(file, b"s-1", True) == (200, b"s-1 out\n")
    assert file.core.counters.show() == {"maintenance.save_failures": 1}
    assert file.core.engines.maintenance.out_of_service == {"s-1"}
