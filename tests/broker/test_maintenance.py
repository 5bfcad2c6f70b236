"""Maintenance files that were written by an earlier release or before a reboot."""

from cypressledge.broker.maintenance import Maintenance
from cypressledge.clock import CLOCK_ORIGIN_US

NOW = CLOCK_ORIGIN_US + 1_000_000_000  # µs


def test_a_return_saved_on_another_clock_counts_as_now():
    """Files of earlier releases contain Unix times; files from before a reboot may contain future times."""
    maintenance = Maintenance.from_json(b'{"out": [], "back": {"s-1": 1790000000000000, "s-2": 5}}', NOW)
    assert maintenance.returned_at == {"s-1": NOW, "s-2": 5}
