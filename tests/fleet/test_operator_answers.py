"""Bodies of answers to operators, byte for byte: keys and their order must not change."""

import pytest

from cypressledge.fleet.operator_answers import (
    LeaseRow,
    PeerRow,
    RestartTurn,
    SummaryAnswer,
    TaskRow,
    ZoneRow,
    ZonesAnswer,
    to_body,
)

ZONE = ZoneRow("a", "north", "out", 0.5, True, 2, "hold", "fine", "by hand: works")
ZONE_JSON = (
    '{"zone": "a", "region": "north", "stage": "out", "share": 0.5, "alone": true, "flaps": 2, '
    '"by_hand": "hold", "finding": "fine", "why": "by hand: works"}'
)


@pytest.mark.parametrize(
    ("answer", "body"),
    [
        (
            [
                PeerRow("n1", "a", "alive", True, 7, None, 1, False),
                PeerRow("n2", "", "gone", False, 8, 0.0, None, True),
            ],
            '[{"name": "n1", "zone": "a", "state": "alive", "voter": true, "incarnation": 7, '
            '"heard_s": null, "voters_version": 1, "here": false}, '
            '{"name": "n2", "zone": "", "state": "gone", "voter": false, "incarnation": 8, '
            '"heard_s": 0.0, "voters_version": null, "here": true}]',
        ),
        (
            [LeaseRow("zones", "held", "n1", 5, 2.25, None, ["n1", "n2"])],
            '[{"lease": "zones", "state": "held", "holder": "n1", "token": 5, "left_s": 2.25, '
            '"rank": null, "line": ["n1", "n2"]}]',
        ),
        (
            [TaskRow("summary", "fleet", ["fleet"], 9, 1, 2, 3, 5, 0.25, 0.125, 1.5)],
            '[{"task": "summary", "lease": "fleet", "running_under": ["fleet"], "acts": 9, "called_off": 1, '
            '"overdue": 2, "failed": 3, "priority": 5, "cpu_ms": 0.25, "longest_step_ms": 0.125, '
            '"turn_p99_ms": 1.5}]',
        ),
        (
            RestartTurn("restart", True, False, 0, ["n3"]),
            '{"lease": "restart", "wanted": true, "yours": false, "token": 0, "missing": ["n3"]}',
        ),
        (
            SummaryAnswer("n1", 5, 0.5, 3, [], {"lookup": [1, 2, 3, 4]}, {"e1": 2}),
            '{"holder": "n1", "token": 5, "age_s": 0.5, "brokers": 3, "missing": [], '
            '"classes": {"lookup": [1, 2, 3, 4]}, "engines_avoided": {"e1": 2}}',
        ),
        (
            ZonesAnswer("n1", 5, 7, 0.25, {"t0": 150}, 3, [ZONE]),
            '{"planner": "n1", "token": 5, "number": 7, "heard_s": 0.25, "shed": {"t0": 150}, '
            f'"shed_here": 3, "zones": [{ZONE_JSON}]}}',
        ),
        (None, "null"),
    ],
)
def test_an_answer_has_the_keys_of_the_operators_pages_in_their_order(answer, body):
    assert to_body(answer) == body.encode() + b"\n"
