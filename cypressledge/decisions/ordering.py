"""Ordering keys: requests with the same key run one at a time, with a cooldown after an uncertain outcome."""

from collections import deque

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import Outcome
from cypressledge.decisions.deadlines import DeadlineQueue
from cypressledge.decisions.request import Request

UNCERTAIN_OUTCOMES = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)  # the engine may still execute it


class KeyOrder:
    """Keeps the open requests of each ordering key in order of arrival, and the end of the key's cooldown."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._requests: dict[int, deque[Request]] = {}
        self._cooldown_until: dict[int, int] = {}  # µs; end of the cooldown, by key
        self._cooldowns = DeadlineQueue()  # first requests of their keys, which wait for the cooldown's end

    @staticmethod
    def applies_to(request: Request) -> bool:
        """Return whether the request must be ordered by its key."""
        return bool(request.class_settings.ordered and request.key)

    def join(self, request: Request) -> bool:
        """Add a new request; return whether it is the first of its key."""
        requests = self._requests.setdefault(request.key, deque())
        requests.append(request)
        return requests[0] is request

    def leave(self, request: Request) -> Request | None:
        """Remove a request that has ended; return the request that becomes the first of its key, if any."""
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
        """Return whether the first request of a key may be queued now.

        During the key's cooldown it may not, and is scheduled for the cooldown's end.
        """
        until = self._cooldown_until.get(request.key, 0)
        if until > self._context.now:
            self._cooldowns.schedule(until, request.id)
            return False
        self._cooldown_until.pop(request.key, None)
        return True

    def is_first(self, request: Request) -> bool:
        """Return whether the request is the first open request of its key."""
        return self._requests[request.key][0] is request

    def record_end(self, request: Request, outcome: Outcome) -> None:
        """Start the cooldown of the request's key if the outcome of its attempt is uncertain."""
        if self.applies_to(request) and outcome in UNCERTAIN_OUTCOMES:
            settings = self._context.settings
            cooldown = settings.ordering_key_cooldown + settings.timer_resolution
            self._cooldown_until[request.key] = self._context.now + cooldown

    @property
    def cooldowns(self) -> DeadlineQueue:
        """Queue of the requests that wait for the end of their key's cooldown."""
        return self._cooldowns

    def end_period(self) -> None:
        """Remove the cooldowns that have ended."""
        now = self._context.now
        self._cooldown_until = {key: until for key, until in self._cooldown_until.items() if until > now}
