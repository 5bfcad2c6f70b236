"""The simulator adapter: frames of events, the frames that answer them, and invalid input."""

import json
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from cypressledge.decisions import contract as c
from cypressledge.settings import parse_settings_json
from cypressledge.simulator_adapter import SimulatorAdapter
from cypressledge.simulator_wire import decode_answer, engine_number

ROOT = Path(__file__).parent.parent
ENGINE = bytes([10, 18, 74, 7, 0x5B, 0x1B])
SETTINGS = {
    "Classes": [
        {"Objective": 1000000, "Deadline": 5000000, "Idempotency": "free", "Group": "all", "SkusAllowed": [0]}
    ],
    "Skus": ["a", "b"],
    "Dcs": ["x"],
    "Step": 5000,
    "PeersTotal": 2,
    "SlotNo": 1,
    "RegistryMode": "pushed",
    "Limits": {"MayCancel": True, "Probes": False, "MaxAttempts": 3, "MaxRetryAfter": 0, "RetryAfter": True},
    "Rules": {"StartCapacity": 0.3, "WarmWithin": 13000000, "FallMultiple": 2.0, "Fall": 2000000},
    "FamilyInfo": {"CoresByKind": [12, 8]},
    "SomethingNew": 1,
}


def frame(records, tail=b"", seq=1, now=50_000_000):
    body = b"".join(record.ljust(48, b"\0") for record in records) + tail
    return struct.pack("<IQII", 20 + len(body), now, len(records), seq) + body


def start(text=None):
    raw = json.dumps(SETTINGS).encode() if text is None else text
    lines = struct.pack("<HHQBB6sf", 0, 0, 0, 2, 0, ENGINE, 1.0)
    return frame(
        [
            struct.pack("<BIQII", 0, 3, 42, 0, len(raw)),
            struct.pack("<BHII", 11, 0, len(raw), 1),
            struct.pack("<BIBQH", 1, 3, 2, 1, 0),
        ],
        raw + lines,
    )


def request(xid=77):
    return struct.pack("<BIIBHQQIffH", 2, 3, xid, 0, 0, 0, 55_000_000, 12000, 0.0, 11.0, 1)


def actions(reply):
    size, count, _ = struct.unpack_from("<III", reply)
    assert size == len(reply)
    return [reply[12 + 24 * number : 36 + 24 * number] for number in range(count)]


def test_an_empty_batch_is_answered_as_in_the_specification():
    assert SimulatorAdapter().handle_batch(
        bytes.fromhex("140000005a5c80000000000000000000" "01000000")
    ).hex() == ("0c0000000000000001000000")


def test_a_request_is_sent_to_the_listed_engine():
    adapter = SimulatorAdapter()
    adapter.handle_batch(start())
    sent = [action for action in actions(adapter.handle_batch(frame([request()]))) if action[0] == 68]
    assert [struct.unpack_from("<II6s", action, 1) for action in sent] == [(3, 77, ENGINE)]
    bill = 20 * 4096 + 3
    done = struct.pack("<BIIBIH6sIBB4f", 4, 3, 77, 1, 9000, 0, ENGINE, bill, 0, 0, 0, 0, 0, 0)
    adapter.handle_batch(frame([done]))
    assert not adapter.managers[3].requests
    adapter.handle_batch(frame([struct.pack("<BI", 9, 3)]))
    assert not adapter.managers


def test_outcome_is_decoded_field_by_field():
    bill = 20 * 4096 + 3
    record = struct.pack("<BIIBIH6sIBB4f", 4, 3, 9, 0, 18500, 2, ENGINE, bill, 253, 2, 3.0, 0.6, 0, 0)
    answer = decode_answer(record.ljust(48, b"\0"), 0)
    assert (answer.request, answer.attempt, answer.engine, answer.final) == (
        9,
        2,
        engine_number(ENGINE),
        False,
    )
    assert (answer.outcome, answer.work, answer.memory_mb, len(answer.load_report)) == (
        c.Outcome.TIMEOUT,
        20_000,
        12.0,
        2,
    )


def test_settings_are_read_under_the_contract_s_names():
    settings = parse_settings_json(json.dumps(SETTINGS).encode())
    assert (
        settings.broker_count,
        settings.broker_index,
        settings.kind_cores,
        settings.classes[0].required_kinds,
    ) == (
        2,
        1,
        (12, 8),
        frozenset((0,)),
    )
    assert settings.retry_budget_ratio is None
    assert settings.classes[0].required_zones is None


@pytest.mark.parametrize(
    "change",
    [
        {"timer_resolution": 0},
        {"broker_count": 0},
        {"max_attempts": 0},
        {"slow_start_capacity": 2.0},
        {"kind_cores": (0,)},
        {"classes": ()},
    ],
)
def test_settings_out_of_range_name_the_field(change):
    valid = {
        "classes": (c.ClassSettings(latency_objective=1, deadline=2),),
        "kind_cores": (8,),
        "timer_resolution": 5000,
    }
    with pytest.raises(ValueError, match=next(iter(change))):
        c.Settings(**(valid | change))


def run_adapter(raw, module="cypressledge.simulator_adapter"):
    command = [sys.executable, "-m", module]
    return subprocess.run(command, input=raw, cwd=ROOT, capture_output=True)


def test_the_former_name_starts_the_adapter_for_one_release():
    former = run_adapter(start(), module="cypressledge.simhost")
    assert (former.returncode, former.stdout) == (0, run_adapter(start()).stdout)


def test_input_that_ends_between_frames_is_complete():
    run = run_adapter(start())
    assert run.returncode == 0
    assert run.stderr == b""
    assert len(run.stdout) >= 12


@pytest.mark.parametrize(
    ("raw", "reason"),
    [
        (start()[:-3], "cut short"),
        (b"\x14\x00", "cut short"),
        (frame([struct.pack("<BI", 99, 3)]), "unknown event code 99"),
        (start(b"{not json"), "not JSON"),
        (
            start(json.dumps({key: value for key, value in SETTINGS.items() if key != "Step"}).encode()),
            "Step",
        ),
        (frame([struct.pack("<BIQII", 0, 3, 42, 5, 4000)]), "tail offset"),
        (struct.pack("<IQII", 20, 1, 7, 1), "do not fit"),
        (struct.pack("<I", 3), "frame length 3 is less than the header size"),
    ],
)
def test_invalid_input_gets_one_log_line(raw, reason):
    run = run_adapter(raw)
    lines = run.stderr.decode().splitlines()
    assert run.returncode == 2
    assert run.stdout == b""
    assert len(lines) == 1
    assert reason in lines[0]
    assert "batch" in lines[0]


def test_exception_in_the_module_becomes_a_crash_record(monkeypatch, capsys):
    adapter = SimulatorAdapter()
    adapter.handle_batch(start())
    monkeypatch.setattr(adapter.managers[3], "handle", lambda now, events: 1 / 0)
    record = adapter.handle_batch(frame([request()]))[12:36]
    assert record[0] == 69
    assert "ZeroDivisionError" in capsys.readouterr().err


def test_readme_example_runs():
    text = (ROOT / "README.md").read_text()
    code = text.split("```python")[1].split("```")[0]
    namespace = {}
    exec(code, namespace)
    assert namespace["attempts"]
