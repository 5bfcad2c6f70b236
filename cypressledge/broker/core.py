"""The broker's core: the event loop, the engines and the ledger, put together.

The core knows no wire: frontends submit queries to the ledger and are handed the answers; transports carry
attempts to engines.
"""

from cypressledge.broker.engine_registry import EngineRegistry
from cypressledge.broker.event_log import EventLog
from cypressledge.broker.event_loop import EventLoop
from cypressledge.broker.metrics import Counters
from cypressledge.broker.request_ledger import RequestLedger
from cypressledge.broker.requests import EngineTransport
from cypressledge.decisions.contract import Settings


class BrokerCore:
    """What frontends, transports and discovery share of one broker."""

    __slots__ = ("settings", "counters", "event_log", "loop", "engines", "ledger")

    def __init__(self, settings: Settings, seed: int, counters: Counters) -> None:
        self.settings = settings
        self.counters = counters
        self.event_log = EventLog(counters)
        self.loop = EventLoop(settings, seed, counters)
        self.engines = EngineRegistry(self.loop, counters, self.event_log)
        self.ledger = RequestLedger(settings, self.loop, self.engines, counters, self.event_log)

    def add_transport(self, wire: str, transport: EngineTransport) -> None:
        """Have attempts at engines of this wire carried by this transport."""
        self.ledger.attempts.transports[wire] = transport

    def reconfigure(self, settings: Settings) -> None:
        """Take new site settings; their classes are the same."""
        self.settings = settings
        self.ledger.attempts.settings = settings
        self.loop.reconfigure(settings)
