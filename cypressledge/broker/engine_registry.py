"""The engines of all engine lists, and their entries as they are passed to the decision module."""

import re
from collections.abc import Callable
from dataclasses import dataclass, replace

from cypressledge.broker.event_log import EventKind, EventLog
from cypressledge.broker.event_loop import EventLoop
from cypressledge.broker.maintenance import Maintenance
from cypressledge.broker.metrics import Counters, log
from cypressledge.broker.requests import Endpoint, ListedEngine
from cypressledge.decisions import contract as c

ENGINE_NUMBER = re.compile(r"\bengine ([0-9a-f]+)\b")  # an engine in the decision module's log lines


@dataclass(frozen=True, slots=True)
class EngineProcess:
    """An engine's process as the lists describe it; equal objects mean the same process in the same state."""

    state: c.EngineState
    started_at_ms: int  # ms, Unix time


def _state_name(process: EngineProcess | None) -> str:
    """Return the name of an engine's state for the event log; None means that no list contains the engine."""
    return "unlisted" if process is None else process.state.name.lower()


class EngineRegistry:
    """The combined engine lists of all sources, and the engines that accept new attempts at this moment."""

    def __init__(self, loop: EventLoop, counters: Counters, event_log: EventLog) -> None:
        self.engine_lists: dict[str, list[ListedEngine]] = {}  # by source, the last list of each
        self.endpoints: dict[int, Endpoint] = {}  # by engine, all engines of the module's last list
        self.ready_endpoints: dict[int, Endpoint] = {}  # by engine, those that accept new attempts
        self.maintenance = Maintenance()
        # Set only in a broker fleet: returns whether the failover plan closes an engine to this broker.
        self.is_closed: Callable[[c.EngineListEntry], bool] | None = None
        self._loop = loop
        self._counters = counters
        self._event_log = event_log
        self._last_kind = c.EngineListKind.CACHED
        # By engine name; None before the first list.
        self._processes: dict[str, EngineProcess] | None = None
        loop.register_actions({c.Log: self._log_for_module})
        counters.gauge("ready_engines", lambda: len(self.ready_endpoints))

    # Called by socket code

    def update_list(self, source: str, kind: c.EngineListKind, engines: list[ListedEngine]) -> None:
        """Replace a source's list by this complete one.

        A draining or removed engine gets no further attempts, including those that are not sent yet."""
        self.engine_lists[source] = engines
        self._last_kind = kind
        self._publish()

    def set_maintenance(self, maintenance: Maintenance) -> None:
        """Apply the engines that operators have taken out of service, immediately."""
        self.maintenance = maintenance
        self.refresh()

    def refresh(self) -> None:
        """Send the lists to the module again, because the maintenance state or `is_closed` has changed."""
        if self.engine_lists:
            self._publish()

    def is_listed(self, name: str) -> bool:
        """Return whether any list contains an engine of this name."""
        return any(engine.endpoint.name == name for listed in self.engine_lists.values() for engine in listed)

    def is_current(self, endpoint: Endpoint) -> bool:
        """Return whether the engine accepts new attempts and is still the process of this endpoint."""
        return self.ready_endpoints.get(endpoint.id) == endpoint

    # Passing the lists to the module

    def _publish(self) -> None:
        """Combine the lists, log the changes, and post the result to the event loop for the module."""
        engines = [
            ListedEngine(self._effective_entry(engine), engine.endpoint)
            for listed in self.engine_lists.values()
            for engine in listed
        ]
        self._log_changes(engines)
        self.ready_endpoints = {
            engine.entry.engine: engine.endpoint
            for engine in engines
            if engine.entry.state is c.EngineState.READY
        }
        self._loop.post(self._deliver_list, self._last_kind, engines)

    def _effective_entry(self, engine: ListedEngine) -> c.EngineListEntry:
        """Return a list entry with the engine's state adjusted by maintenance and by the failover plan."""
        entry = self.maintenance.effective_entry(engine.endpoint.name, engine.entry)
        if self.is_closed is not None and entry.state is c.EngineState.READY and self.is_closed(entry):
            return replace(entry, state=c.EngineState.DRAINING)
        return entry

    def _deliver_list(self, kind: c.EngineListKind, engines: list[ListedEngine]) -> None:
        # Endpoints of removed engines are dropped; otherwise they would accumulate.
        self.endpoints = {engine.endpoint.id: engine.endpoint for engine in engines}
        self._counters.add("lists")
        entries = tuple(engine.entry for engine in engines)
        self._loop.pending_events.append(c.EngineListReceived(kind, entries))

    # Logging of engines

    def _log_changes(self, engines: list[ListedEngine]) -> None:
        """Log the engines that were added, removed, restarted or changed state, except for the first list."""
        processes = {
            engine.endpoint.name: EngineProcess(engine.entry.state, engine.endpoint.started_at_ms)
            for engine in engines
        }
        before, self._processes = self._processes, processes
        if before is None or before == processes:
            return
        for name in before.keys() | processes.keys():
            if before.get(name) != processes.get(name):
                self._log_change(name, before.get(name), processes.get(name))

    def _log_change(self, name: str, old: EngineProcess | None, new: EngineProcess | None) -> None:
        restarted = old is not None and new is not None and old.started_at_ms != new.started_at_ms
        extra_fields = {"process": "new"} if restarted else {}
        self._event_log.write(
            EventKind.ENGINE_STATE, engine=name, from_=_state_name(old), to=_state_name(new), **extra_fields
        )

    def _log_for_module(self, action: c.Log) -> None:
        """Log a line of the module, with engine names in place of the numbers that the module uses."""
        log("module: " + ENGINE_NUMBER.sub(self._with_engine_name, action.text))

    def _with_engine_name(self, match: re.Match) -> str:
        endpoint = self.endpoints.get(int(match[1], 16))
        return f"engine {endpoint.name}" if endpoint else match[0]
