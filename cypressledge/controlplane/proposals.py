"""What becomes of a change that was proposed to the leader."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class ChangeOrigin(NamedTuple):
    """Where a change comes from; the same fields as in `Change`. Internal changes have no request id."""

    request_id: str = ""
    author: str = ""
    reason: str = ""
    created_at_ms: int = 0


class ProposalState(StrEnum):
    """What became of a proposed change."""

    OPEN = "open"  # it waits for a majority
    DONE = "done"  # it is committed
    UNKNOWN = "unknown"  # the leader stepped down: asking again with the same request id tells


@dataclass(slots=True)
class PendingProposal:
    """A proposed change and what becomes of it."""

    version: int
    epoch: int
    state: ProposalState = ProposalState.OPEN
