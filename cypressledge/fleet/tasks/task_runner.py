"""Runs tasks under leases, in greenlets whose steps a budget meters. Uses gevent; no sockets.

A run of a task gets the held lease, and hands its token to whatever it acts on. It is not started when less
than its time limit is left of the lease, no step is taken once the lease is gone, and losing the lease
cancels it at once. All that only makes stale acts rare: a process may be stopped between a check and an act,
and then only the token helps.
"""

import time
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent.event import Event

from cypressledge.fleet.leases.lease import HeldLease
from cypressledge.fleet.tasks.cpu_budget import CpuBudget, PriorityQueue

CANCEL_TIMEOUT_S = 0.5  # seconds that a run has to end in once it is cancelled
MAX_RENEWAL_POLL_S = 0.05  # seconds between looks at whether a lease has been renewed
DEFAULT_PRIORITY = 5

Step = float | Callable[[], object] | None  # what a run yields; its callable's result is sent back in
TaskSteps = Generator[Step, Any, None]


class TaskCancelledError(Exception):
    """The lease under which a task runs is gone."""


@dataclass(slots=True)
class Task:
    """What is done under a lease. `run(held_lease)` is a generator: it yields None after a short step,
    seconds to sleep, or a callable that does I/O (called outside the budget; its result is sent back in)."""

    name: str
    lease_group: str
    run: Callable[[HeldLease], TaskSteps]
    interval_s: float
    time_limit_s: float
    priority: int = DEFAULT_PRIORITY
    runs: int = 0
    cancelled: int = 0
    timed_out: int = 0
    failed: int = 0
    running: dict[str, gevent.Greenlet] = field(default_factory=dict)  # by lease


class TaskRunner:
    """All tasks of a broker. `held_lease` gives a lease if it is held now, `now` µs on the clock of leases;
    `on_event` gets an event and its fields."""

    def __init__(
        self,
        tasks: list[Task],
        held_lease: Callable[[str], HeldLease | None],
        now: Callable[[], int],
        budget: CpuBudget,
        on_event: Callable[..., None],
    ) -> None:
        self.tasks, self.held_lease, self.now, self.budget = tasks, held_lease, now, budget
        self.on_event = on_event
        self.queue: PriorityQueue[Event] = PriorityQueue()
        self.ready = Event()

    def start(self, lease: str, group: str) -> None:
        """Start the tasks under a lease: it has been acquired."""
        for task in self.tasks:
            if task.lease_group == group and lease not in task.running:
                task.running[lease] = gevent.spawn(self._run_repeatedly, task, lease)

    def cancel(self, lease: str) -> bool:
        """Cancel the tasks under a lease, which is lost or to be released. Whether they have ended."""
        ended = True
        for task in self.tasks:
            greenlet = task.running.pop(lease, None)
            if greenlet is not None and greenlet is not gevent.getcurrent():
                greenlet.kill(TaskCancelledError, block=True, timeout=CANCEL_TIMEOUT_S)
                ended = ended and greenlet.dead
        return ended

    def schedule(self) -> None:
        """A greenlet: lets the runs take their steps, as the budget allows."""
        while True:
            self.ready.wait()
            wait = self.budget.time_until_next_slice(self.now())
            if wait:
                gevent.sleep(wait / 1e6)
            turn = self.queue.take()
            if turn is None:
                self.ready.clear()
                continue
            turn.set()
            gevent.sleep(0)

    def _run_repeatedly(self, task: Task, lease: str) -> None:
        try:
            while (held := self.held_lease(lease)) is not None:
                if held.expires_at - self.now() < task.time_limit_s * 1e6:
                    # A renewal is on its way, or the lease ends.
                    gevent.sleep(min(task.time_limit_s / 4, MAX_RENEWAL_POLL_S))
                    continue
                self._run_once(task, held)
                gevent.sleep(task.interval_s)
        except TaskCancelledError:
            pass
        finally:
            if task.running.get(lease) is gevent.getcurrent():
                del task.running[lease]

    def _run_once(self, task: Task, held: HeldLease) -> None:
        task.runs += 1
        steps = task.run(held)
        limit = gevent.Timeout(task.time_limit_s)
        limit.start()
        try:
            self._take_steps(task, held, steps)
        except TaskCancelledError:
            task.cancelled += 1
            self.on_event("task_cancelled", task=task.name, lease=held.lease, token=held.token)
            raise
        except gevent.Timeout as timeout:
            if timeout is not limit:
                raise
            task.timed_out += 1
            self.on_event("task_timed_out", task=task.name, lease=held.lease, token=held.token)
        except Exception as err:
            task.failed += 1
            self.on_event("task_failed", task=task.name, lease=held.lease, token=held.token, why=repr(err))
        finally:
            limit.close()
            steps.close()

    def _take_steps(self, task: Task, held: HeldLease, steps: TaskSteps) -> None:
        result = None
        while True:
            self._wait_for_turn(task)
            current = self.held_lease(held.lease)
            if current is None or current.token != held.token:
                raise TaskCancelledError
            started_ns = time.thread_time_ns()
            try:
                step = steps.send(result)
            except StopIteration:
                return
            finally:
                self.budget.spend(self.now(), (time.thread_time_ns() - started_ns) // 1000)
            result = None
            if callable(step):
                result = step()
            elif step:
                gevent.sleep(step)

    def _wait_for_turn(self, task: Task) -> None:
        turn = Event()
        self.queue.put(task.priority, turn)
        self.ready.set()
        turn.wait()
