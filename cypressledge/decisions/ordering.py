"""Requests of classes that run one after the other for each key, with a pause after an uncertain end."""

from collections import deque

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import Outcome
from cypressledge.decisions.deadlines import DeadlineQueue
from cypressledge.decisions.request import Request

UNCERTAIN_OUTCOMES = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)  # the engine may still execute it


class KeyOrder:
    """For each ordering key the open requests in order of coming, and the moment at which its pause ends."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._requests: dict[int, deque[Request]] = {}
        self._cooldown_until: dict[int, int] = {}  # µs
        self._cooldowns = DeadlineQueue()  # of requests that are first of their key and wait for its pause

    @staticmethod
    def applies_to(request: Request) -> bool:
        """Whether the request waits for those with its key that came before."""
        return bool(request.class_settings.ordered and request.key)

    def join(self, request: Request) -> bool:
        """Take a new request in; whether it is the first of its key."""
        requests = self._requests.setdefault(request.key, deque())
        requests.append(request)
        return requests[0] is request

    def leave(self, request: Request) -> Request | None:
        """Take a request out that has ended; the request that becomes first of its key thereby."""
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
        """Whether the first request of a key may be queued; else it comes out once the pause is over."""
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
        """An attempt ended: after an uncertain outcome its key pauses."""
        if self.applies_to(request) and outcome in UNCERTAIN_OUTCOMES:
            settings = self._context.settings
            pause = settings.ordering_key_cooldown + settings.timer_resolution
            self._cooldown_until[request.key] = self._context.now + pause

    @property
    def cooldowns(self) -> DeadlineQueue:
        """Requests that wait for the end of their key's pause."""
        return self._cooldowns

    def end_period(self) -> None:
        """Forget the pauses that are over."""
        now = self._context.now
        self._cooldown_until = {key: until for key, until in self._cooldown_until.items() if until > now}
