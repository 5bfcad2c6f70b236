"""The core of a broker: the event loop, the engine registry and the request ledger, connected to each other.

The core is independent of any wire protocol: frontends submit queries to the ledger and receive the answers;
transports send attempts to engines.
"""

from cypressledge.broker.engine_registry import EngineRegistry
from cypressledge.broker.event_log import EventLog
from cypressledge.broker.event_loop import EventLoop
from cypressledge.broker.metrics import Counters
from cypressledge.broker.request_ledger import RequestLedger
from cypressledge.broker.requests import EngineTransport
from cypressledge.decisions.contract import Settings


class BrokerCore:
    """The parts of one broker that its frontends, transports and engine discovery share."""

    __slots__ = ("settings", "counters", "event_log", "loop", "engines", "ledger")

    def __init__(self, settings: Settings, seed: int, counters: Counters) -> None:
        self.settings = settings
        self.counters = counters
        self.event_log = EventLog(counters)
        self.loop = EventLoop(settings, seed, counters)
        self.engines = EngineRegistry(self.loop, counters, self.event_log)
        self.ledger = RequestLedger(settings, self.loop, self.engines, counters, self.event_log)

    def add_transport(self, wire: str, transport: EngineTransport) -> None:
        """Use this transport for attempts at engines that speak the given wire protocol."""
        self.ledger.attempts.transports[wire] = transport

    def reconfigure(self, settings: Settings) -> None:
        """Apply new site settings, which must have the same classes as the current ones."""
        self.settings = settings
        self.ledger.attempts.settings = settings
        self.loop.reconfigure(settings)
