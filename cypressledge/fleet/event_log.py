"""Structured log lines (structlog, JSON) of the fleet's events on standard error."""

import sys

import structlog
from structlog.typing import FilteringBoundLogger


def event_logger(broker: str, instance_id: int) -> FilteringBoundLogger:
    """Return a logger that adds the broker's name and its instance (`run`, hexadecimal) to each line."""
    return structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(sort_keys=False),
        ],
    ).bind(broker=broker, run=f"{instance_id:x}")
