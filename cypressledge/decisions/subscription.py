"""The subscription to engine lists: the lists that come, and what is done where one could not be had."""

from cypressledge.decisions.affinity import Affinity
from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import EngineListKind, EngineListReceived, StartTimer, Subscribe
from cypressledge.decisions.engines import EngineRegistry
from cypressledge.decisions.units import MS

SUBSCRIPTION_TIMER = 1  # token; the timer of housekeeping has 0
RETRY_INTERVAL = 1_000 * MS  # after a list could not be had


class EngineListSubscription:
    """Asks for engine lists where the site sends them only to who subscribes, and takes them."""

    def __init__(self, context: DecisionContext, registry: EngineRegistry, affinity: Affinity) -> None:
        self._context = context
        self._registry = registry
        self._affinity = affinity

    def start(self) -> None:
        """The first events have come."""
        if self._context.settings.list_on_request:
            self.subscribe()

    def subscribe(self) -> None:
        """Ask for engine lists."""
        self._context.actions.append(Subscribe())

    def list_received(self, received: EngineListReceived) -> None:
        """Take an engine list; after a failure the engines stay as they are, and are asked for again."""
        if received.kind is EngineListKind.FAILED:
            self._context.actions.append(StartTimer(RETRY_INTERVAL, SUBSCRIPTION_TIMER))
            return
        self._registry.update(received)
        self._affinity.engines_changed()
