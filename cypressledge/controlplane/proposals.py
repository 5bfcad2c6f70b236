"""What becomes of a change that was proposed to the leader."""

from dataclasses import dataclass
from enum import StrEnum


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
