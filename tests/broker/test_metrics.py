"""Counters, gauges and invariants, and the log line of all counters."""

import pytest

from cypressledge.broker.metrics import Counters


def test_counts_add_up_by_name():
    counters = Counters()
    counters.add("clients.accepted")
    counters.add("clients.accepted", 4)
    counters.reply("lookup", "success")
    assert counters.show() == {"clients.accepted": 5, "replies.lookup.success": 1}


def test_a_gauge_is_read_whenever_the_counters_are_shown():
    counters = Counters()
    open_requests = [3]
    counters.gauge("open_requests", lambda: open_requests[0])
    assert counters.show() == {"open_requests": 3}
    open_requests[0] = 5
    assert counters.show() == {"open_requests": 5}


def test_a_broken_invariant_stops_a_debug_build():
    counters = Counters()
    assert counters.invariant(True, "overdue")
    with pytest.raises(AssertionError, match="broken invariant: overdue"):
        counters.invariant(False, "overdue")


def test_the_log_line_names_all_in_order(capsys):
    counters = Counters()
    counters.add("a", 2)
    counters.gauge("b", lambda: 1)
    counters.print("exit")
    assert capsys.readouterr().err == "counters (exit): a=2 b=1\n"
