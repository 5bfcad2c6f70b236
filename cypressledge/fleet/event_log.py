"""The fleet's events as structured log lines (structlog, JSON) on standard error: who, what, token, why."""

import sys

import structlog
from structlog.typing import FilteringBoundLogger


def event_logger(broker: str, instance_id: int) -> FilteringBoundLogger:
    """A logger whose every line names the broker and its instance (`run`)."""
    return structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(sort_keys=False),
        ],
    ).bind(broker=broker, run=f"{instance_id:x}")
