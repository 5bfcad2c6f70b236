"""Load that is computed from the reports in answers."""

import pytest

from cypressledge.decisions.load_reports import LoadReports
from tests.decisions.parts import START, attempt_ended, make_context, make_registry, make_request


def record_report(*values, fields=("util", "queue", "inflight")):
    context = make_context(load_report_fields=fields)
    reports, engine = LoadReports(context), make_registry(context, 1).engines[1]
    request = make_request(context)
    request.attempts = 1
    reports.record_answer(engine, request, attempt_ended(request, load_report=values))
    return reports, engine


@pytest.mark.parametrize(
    ("values", "load"),
    [
        ((0.4, 0.0, 3.0), 0.4),
        ((1.0, 4.0, 8.0), 1.5),  # four queries with one thread each wait for eight cores
        ((1.0, 0.0, 24.0), 3.0),  # three threads per core, one of which is in the busy cores
        ((1.0, 4.0, 24.0), 3.5),
    ],
)
def test_reported_load_is_busy_cores_plus_excess_threads_per_core(values, load):
    _, engine = record_report(*values)
    assert engine.reported_load == pytest.approx(load)
    assert engine.reported_at == START


def test_fields_come_in_the_order_of_the_settings():
    _, engine = record_report(24.0, 1.0, fields=("inflight", "util"))
    assert engine.reported_load == pytest.approx(3.0)


def test_mean_and_spread_follow_the_reports():
    reports, _ = record_report(1.0)
    assert reports.mean_load == pytest.approx(0.55)
    assert reports.load_spread == pytest.approx(0.5)


def test_an_answer_without_a_report_changes_no_load():
    reports, engine = record_report()
    assert engine.reported_at == 0
    assert reports.mean_load == 0.5
