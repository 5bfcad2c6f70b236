"""Pool of connections to engines with the line protocol, which assigns attempts to connections."""

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.requests import Attempt
from cypressledge.clock import monotonic_us
from cypressledge.config import Limits
from cypressledge.decisions.contract import Outcome
from cypressledge.net.line_protocol.connection import CloseReason, EngineConnection
from cypressledge.net.line_protocol.pending_attempt import PendingAttempt

PREFERRED_ATTEMPTS = 8  # per connection before another is opened; exceeded only when no more may be opened
MAX_CONNECTIONS_TRIED = 3  # connections to which an attempt may be assigned before it is sent
ALIVE_WINDOW = 1_500_000  # µs after an engine's message in which a slow connect is not the engine's fault
UNREACHABLE_TIMEOUTS = 2  # consecutive connect timeouts after which an engine counts as unreachable
IDLE_TIME_SHARE = 0.8  # of the site's idle time; the broker closes first, so that no send crosses a close
SILENT_INTERVALS = 2.5  # progress intervals without a message after which a connection counts as silent
MIN_SILENCE = 2_500_000  # µs; lower limit, for engines that report no progress, or very frequently


class LineProtocolTransport:
    """The connections to all engines with the line protocol, and the attempts on them."""

    def __init__(self, core: BrokerCore, limits: Limits) -> None:
        self.core, self.limits = core, limits
        self.max_connections = 0  # to all engines together; set once the configuration is known
        self.connections: dict[int, list[EngineConnection]] = {}  # by engine
        self.connect_timeouts: dict[int, int] = {}  # by engine: consecutive connect timeouts
        core.counters.gauge("engine_connections", self.connection_count)

    @property
    def silence_limit(self) -> int:
        """µs without a message after which a connection counts as silent and gets no new attempts."""
        return max(int(self.limits.progress_interval_us * SILENT_INTERVALS), MIN_SILENCE)

    def connection_count(self) -> int:
        """Return the number of connections to all engines."""
        return sum(map(len, self.connections.values()))

    def send(self, attempt: Attempt) -> None:
        """Assign the attempt to the connection with the fewest, or to a new one beyond `PREFERRED_ATTEMPTS`.

        A corrupt answer closes its connection, so it must not affect all work at the engine. On the other
        hand, few connections are opened, as some new connections are reset together with their attempts."""
        query_id, endpoint = attempt.query.id.encode(), attempt.endpoint
        usable = [c for c in self.connections.get(endpoint.id, ()) if c.accepts(query_id, endpoint)]
        # A connection that may not be established would use up the remaining time of a reassigned attempt.
        prefer_connected = attempt.connections_tried > 0
        connection = min(
            usable,
            key=lambda c: (prefer_connected and c.writer is None, len(c.pending), -c.last_used),
            default=None,
        )
        needs_new_connection = connection is None or (
            len(connection.pending) >= PREFERRED_ATTEMPTS and not prefer_connected
        )
        if needs_new_connection and (
            self.connection_count() < self.max_connections
            or connection is None
            and self._close_longest_idle()
        ):
            connection = EngineConnection(self, endpoint)
            self.connections.setdefault(endpoint.id, []).append(connection)
        if connection is None:
            self.core.counters.add("attempts.not_sent")
            self.core.ledger.attempt_ended(attempt, Outcome.NOT_SENT)
        else:
            connection.assign(attempt, query_id)

    def _close_longest_idle(self) -> bool:
        """Close the longest idle connection; return False if none is idle.

        Idle connections must not use up the limit, so that new engines get no connection."""
        connections = [c for some in self.connections.values() for c in some]
        idle = [c for c in connections if not c.pending and not c.has_unread_bytes()]
        if idle:
            min(idle, key=lambda c: c.last_used).close(CloseReason.EVICTED)
        return bool(idle)

    def reassign(self, attempt: Attempt, outcome: Outcome) -> None:
        """Assign an attempt that was never sent to another connection; the last try ends with `outcome`.

        New connections may be reset. Nothing has been executed, so this does not count as an attempt."""
        attempt.connections_tried += 1
        attempt.transport_state = None
        endpoint = self.core.engines.ready_endpoints.get(attempt.endpoint.id)
        if attempt.connections_tried < MAX_CONNECTIONS_TRIED and endpoint is not None and attempt.is_awaited:
            self.core.counters.add("attempts_reassigned")
            attempt.endpoint = endpoint
            self.send(attempt)
        else:
            self.core.ledger.attempt_ended(attempt, outcome)

    def handle_connect_timeout(self, connection: EngineConnection, attempts: list[Attempt]) -> None:
        """Reassign or end the attempts that waited for a connection that was not established in time.

        An engine must not count as failed, and as cold afterwards, because the network path is slow at times:
        if it sends on another connection, the attempts are reassigned; a single timeout says nothing about
        the process, since a host whose process has ended refuses connections. One late connection per engine
        may still be established, which then shows that the engine is reachable."""
        engine, connections = connection.endpoint.id, self.connections.get(connection.endpoint.id, [])
        for other in [c for c in connections if c.is_late and c is not connection]:
            other.close(CloseReason.CONNECT_TIMEOUT)
        last_received_at = max((c.last_received_at for c in connections), default=0)
        is_alive = last_received_at > monotonic_us() - ALIVE_WINDOW
        self.connect_timeouts[engine] = self.connect_timeouts.get(engine, 0) + 1
        is_unreachable = self.connect_timeouts[engine] >= UNREACHABLE_TIMEOUTS
        outcome = Outcome.CONNECT_FAILED if is_unreachable else Outcome.NOT_SENT
        for attempt in attempts:
            if is_alive:
                self.reassign(attempt, outcome)
            else:
                self.core.ledger.attempt_ended(attempt, outcome)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel the attempt at its engine."""
        pending = attempt.transport_state
        if isinstance(pending, PendingAttempt):
            pending.connection.cancel(pending)

    def update_resources(self, attempt: Attempt) -> None:
        """Send the attempt's new priority to its engine."""
        pending = attempt.transport_state
        if isinstance(pending, PendingAttempt):
            pending.connection.update_priority(pending)

    def discard(self, connection: EngineConnection) -> None:
        """Remove a closed connection from the pool."""
        connections = self.connections.get(connection.endpoint.id, [])
        if connection in connections:
            connections.remove(connection)
        if not connections:
            self.connections.pop(connection.endpoint.id, None)

    def maintain(self) -> None:
        """Close connections that lost an answer, are idle too long, or whose engine accepts no new work."""
        now, idle_limit = monotonic_us(), int(self.limits.idle_timeout_s * IDLE_TIME_SHARE * 1e6)
        ready = self.core.engines.ready_endpoints
        self.connect_timeouts = {engine: n for engine, n in self.connect_timeouts.items() if engine in ready}
        for connections in list(self.connections.values()):
            last_received_at = max(connection.last_received_at for connection in connections)
            for connection in list(connections):
                if connection.has_lost_answer(last_received_at):
                    connection.close(CloseReason.ANSWER_LOST)
                is_unusable = not self.core.engines.is_current(connection.endpoint) or connection.is_silent()
                is_idle = not connection.pending and not connection.has_unread_bytes()
                if is_idle and (is_unusable or now - connection.last_used > idle_limit):
                    connection.close(CloseReason.IDLE)
