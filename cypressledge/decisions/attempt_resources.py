"""Memory grants and priorities of attempts, where the engines support them."""

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import SetAttemptResources
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.request import Request

LATE_PRIORITY, USUAL_PRIORITY, RAISED_PRIORITY, URGENT_PRIORITY = range(4)
RAISED_SHARE = 0.5  # fraction of the time to its objective after which a request's priority is raised


class AttemptResources:
    """Sets memory grants and the priorities of requests.

    Short requests and loads have the highest priority, requests past their latency objective the lowest.
    """

    def __init__(self, context: DecisionContext, estimates: ClassEstimates) -> None:
        self._context = context
        self._estimates = estimates

    def update(self, request: Request) -> None:
        """Set the resources of a request's attempt; add no action if they have not changed."""
        settings = self._context.settings
        if not (settings.supports_priorities or settings.supports_memory_grants):
            return
        priority = self._priority(request) if settings.supports_priorities else USUAL_PRIORITY
        grant_mb = self._estimates.memory_grant_mb(request) if settings.supports_memory_grants else 0.0
        is_starting = request.sent_at == self._context.now
        previous = request.resources
        if previous is None or previous[1] != priority or is_starting and previous[0] != grant_mb:
            request.resources = (grant_mb, priority)
            self._context.actions.append(SetAttemptResources(request.id, grant_mb, priority))

    def _priority(self, request: Request) -> int:
        now = self._context.now
        if request.class_settings.is_load:
            return URGENT_PRIORITY  # even when it is late, because it blocks the queries of its group
        if now > request.objective_at:
            return LATE_PRIORITY
        if request.run_time <= self._estimates.mean_run_time:
            return URGENT_PRIORITY
        time_to_objective = request.objective_at - request.received_at
        if now - request.received_at > RAISED_SHARE * time_to_objective:
            return RAISED_PRIORITY
        return USUAL_PRIORITY
