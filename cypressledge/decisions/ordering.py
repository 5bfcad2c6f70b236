"""Ordering keys: requests of one key run one after the other, with a cooldown after an uncertain end."""

from collections import deque

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import Outcome
from cypressledge.decisions.deadlines import DeadlineQueue
from cypressledge.decisions.request import Request

UNCERTAIN_OUTCOMES = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)  # the engine may still execute it


class KeyOrder:
    """For each ordering key the open requests in order of arrival, and the end of its cooldown."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._requests: dict[int, deque[Request]] = {}
        self._cooldown_until: dict[int, int] = {}  # µs
        self._cooldowns = DeadlineQueue()  # requests that are first of their key and wait for its cooldown

    @staticmethod
    def applies_to(request: Request) -> bool:
        """Whether the request waits for earlier ones of its key."""
        return bool(request.class_settings.ordered and request.key)

    def join(self, request: Request) -> bool:
        """Add a new request; return whether it is the first of its key."""
        requests = self._requests.setdefault(request.key, deque())
        requests.append(request)
        return requests[0] is request

    def leave(self, request: Request) -> Request | None:
        """Remove a request that has ended; return the one that becomes first of its key thereby, if any."""
        requests = self._requests.get(request.key)
        if not requests:
            return None
        was_first = requests[0] is request
        requests.remove(request)
        if not requests:
            del self._requests[request.key]
            return None
        return requests[0] if was_first else None

    def may_start(self, request: Request) -> bool:
        """Whether the first request of a key may be queued; else it is scheduled for the cooldown's end."""
        until = self._cooldown_until.get(request.key, 0)
        if until > self._context.now:
            self._cooldowns.schedule(until, request.id)
            return False
        self._cooldown_until.pop(request.key, None)
        return True

    def is_first(self, request: Request) -> bool:
        """Whether the request is the first of its key."""
        return self._requests[request.key][0] is request

    def record_end(self, request: Request, outcome: Outcome) -> None:
        """An attempt ended: an uncertain outcome starts its key's cooldown."""
        if self.applies_to(request) and outcome in UNCERTAIN_OUTCOMES:
            settings = self._context.settings
            cooldown = settings.ordering_key_cooldown + settings.timer_resolution
            self._cooldown_until[request.key] = self._context.now + cooldown

    @property
    def cooldowns(self) -> DeadlineQueue:
        """Requests that wait for the end of their key's cooldown."""
        return self._cooldowns

    def end_period(self) -> None:
        """Drop the cooldowns that are over."""
        now = self._context.now
        self._cooldown_until = {key: until for key, until in self._cooldown_until.items() if until > now}
