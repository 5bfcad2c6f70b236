"""Subscription to engine lists: applies received lists, and retries after a list could not be fetched."""

from cypressledge.decisions.affinity import Affinity
from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import EngineListKind, EngineListReceived, StartTimer, Subscribe
from cypressledge.decisions.engines import EngineRegistry
from cypressledge.decisions.units import MS

SUBSCRIPTION_TIMER = 1  # token of the subscription's timer; the housekeeping timer has token 0
RETRY_INTERVAL = 1_000 * MS  # µs; delay before the list is requested again after a failure


class EngineListSubscription:
    """Subscribes to engine lists if they are sent on request only, and applies the lists."""

    def __init__(self, context: DecisionContext, registry: EngineRegistry, affinity: Affinity) -> None:
        self._context = context
        self._registry = registry
        self._affinity = affinity

    def start(self) -> None:
        """Subscribe if lists are sent on request only; called when the first events are handled."""
        if self._context.settings.list_on_request:
            self.subscribe()

    def subscribe(self) -> None:
        """Add the action that requests the engine lists."""
        self._context.actions.append(Subscribe())

    def list_received(self, received: EngineListReceived) -> None:
        """Apply an engine list; after a failure, keep the engines and start a timer for the next request."""
        if received.kind is EngineListKind.FAILED:
            self._context.actions.append(StartTimer(RETRY_INTERVAL, SUBSCRIPTION_TIMER))
            return
        self._registry.update(received)
        self._affinity.engines_changed()
