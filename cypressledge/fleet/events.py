"""The fleet's events as structured log lines (structlog, JSON) on standard error: who, what, token, why."""

import sys

import structlog


def logger(broker: str, run: int):
    """A logger whose every line names the broker and its run."""
    return structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(sort_keys=False),
        ],
    ).bind(broker=broker, run=f"{run:x}")
