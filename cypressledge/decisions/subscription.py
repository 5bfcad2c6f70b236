"""The subscription to engine lists: handling them, and retrying where one could not be fetched."""

from cypressledge.decisions.affinity import Affinity
from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import EngineListKind, EngineListReceived, StartTimer, Subscribe
from cypressledge.decisions.engines import EngineRegistry
from cypressledge.decisions.units import MS

SUBSCRIPTION_TIMER = 1  # token of its timer; the timer of housekeeping has 0
RETRY_INTERVAL = 1_000 * MS  # after a list could not be fetched


class EngineListSubscription:
    """Subscribes to engine lists, where they are sent on request only, and applies them."""

    def __init__(self, context: DecisionContext, registry: EngineRegistry, affinity: Affinity) -> None:
        self._context = context
        self._registry = registry
        self._affinity = affinity

    def start(self) -> None:
        """Subscribe where lists are sent on request only, at the first events."""
        if self._context.settings.list_on_request:
            self.subscribe()

    def subscribe(self) -> None:
        """Request the engine lists."""
        self._context.actions.append(Subscribe())

    def list_received(self, received: EngineListReceived) -> None:
        """Apply an engine list; after a failure keep the engines, and request the list again later."""
        if received.kind is EngineListKind.FAILED:
            self._context.actions.append(StartTimer(RETRY_INTERVAL, SUBSCRIPTION_TIMER))
            return
        self._registry.update(received)
        self._affinity.engines_changed()
