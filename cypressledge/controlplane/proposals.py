"""Changes proposed to the leader: their origin and their outcome."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class ChangeOrigin(NamedTuple):
    """The origin of a change, with the same fields as in `Change`. Internal changes have no request id."""

    request_id: str = ""
    author: str = ""
    reason: str = ""
    created_at_ms: int = 0


class ProposalState(StrEnum):
    """The outcome of a proposed change."""

    OPEN = "open"  # waiting for a majority
    DONE = "done"  # committed
    UNKNOWN = "unknown"  # the leader stepped down: repeating the request with the same id gives the outcome


@dataclass(slots=True)
class PendingProposal:
    """The position of a proposed change and its outcome."""

    version: int
    epoch: int
    state: ProposalState = ProposalState.OPEN
