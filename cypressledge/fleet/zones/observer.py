"""The `AttemptObserver` of the broker core that collects observations for zone failover."""

from collections.abc import Callable

from cypressledge.broker.requests import Attempt, Query
from cypressledge.decisions import contract as c
from cypressledge.fleet.messages import EngineObservation
from cypressledge.fleet.zones.environment import ZoneCore
from cypressledge.fleet.zones.observations import AttemptObservations, EndedAttempt, OpenAttempt

# Largest factor by which a slow class extends the expected run time. The extension keeps overloaded engines
# from being taken for lost ones.
MAX_SLOWDOWN = 4.0


class ZoneObserver:
    """Observer of this broker's attempts. It uses two clocks: the core's for attempts, and the fleet's
    (`now`) for observations (both µs)."""

    def __init__(self, core: ZoneCore, now: Callable[[], int]) -> None:
        self.core = core
        self.now = now
        self.observations = AttemptObservations()
        # when an engine last reported progress of an open attempt
        self.progress_reported_at: dict[Attempt, int] = {}

    def attempt_ended(self, attempt: Attempt, outcome: c.Outcome, latency: int) -> None:
        """Record that an attempt has ended, after `latency` µs."""
        silent = self.progress_reported_at.pop(attempt, None) is None
        query = attempt.request.query
        ended = EndedAttempt(
            attempt=attempt,
            engine=attempt.endpoint.id,
            outcome=outcome,
            latency=latency,
            expected=self._expected_time(query),
            cpu_time=query.cost,
            silent=silent,
        )
        self.observations.record_end(self.now(), ended)

    def attempt_progressed(self, attempt: Attempt) -> None:
        """Record that an engine has reported progress of an attempt."""
        self.progress_reported_at[attempt] = self.now()

    def snapshot(self, now: int) -> list[EngineObservation]:
        """Record the attempts that are open now, and return the sums over the last windows."""
        self.observations.record_open(now, self._open_attempts(now))
        return self.observations.snapshot(now)

    def _open_attempts(self, now: int) -> list[OpenAttempt]:
        core_now = self.core.loop.now()
        found = []
        for request in self.core.ledger.requests.values():
            for attempt in request.attempts:
                if not attempt.is_open:
                    continue
                silence = core_now - attempt.sent_at
                if attempt in self.progress_reported_at:
                    silence = min(silence, now - self.progress_reported_at[attempt])
                expected = self._expected_time(request.query)
                found.append(OpenAttempt(attempt, attempt.endpoint.id, silence, expected))
        return found

    def _expected_time(self, query: Query) -> int:
        """Return the expected run time of a query, µs.

        It is scaled by the current latency ratio of the query's class: if all engines are overloaded, none
        is taken for lost.
        """
        run_time = query.cost / max(1, self.core.settings.classes[query.class_index].threads)
        slowdown = self.core.loop.manager.latency_ratios[query.class_index]
        return int(run_time * min(max(slowdown, 1.0), MAX_SLOWDOWN))
