"""Runs tasks under leases, in greenlets whose steps share a processor budget. Uses gevent; no sockets.

A run of a task gets the held lease, and passes its token to the resources that it acts on. A run is not
started if the lease expires within the task's time limit, no step is taken after the lease is lost, and its
loss cancels the run at once. These checks only make stale acts rare: a process may be suspended between a
check and an act. Only the resource's check of the token rejects all stale acts.
"""

import time
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent.event import Event

from cypressledge.fleet.leases.lease import HeldLease
from cypressledge.fleet.tasks.cpu_budget import CpuBudget, PriorityQueue

CANCEL_TIMEOUT_S = 0.5  # seconds that a cancelled run has to end
MAX_RENEWAL_POLL_S = 0.05  # seconds; longest time between checks whether a lease has been renewed
DEFAULT_PRIORITY = 5

Step = float | Callable[[], object] | None  # yielded by a run; a callable's result is sent to the generator
TaskSteps = Generator[Step, Any, None]


class TaskCancelledError(Exception):
    """Raised in a task's run when the lease that it runs under is lost."""


@dataclass(slots=True)
class Task:
    """A task that runs repeatedly while a lease of `lease_group` is held.

    `run(held_lease)` is a generator. It yields None after a short step, a number of seconds to sleep, or a
    callable that does I/O, which is called outside the budget and whose result is sent to the generator.
    `interval_s`: seconds between runs; `time_limit_s`: seconds; limit of a run.
    """

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
    """Runs all tasks of a broker. `held_lease` returns a lease if it is held now, `now` the µs on the clock
    that leases use; `on_event` gets an event and its fields."""

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
        """Start the tasks of a lease that has been acquired."""
        for task in self.tasks:
            if task.lease_group == group and lease not in task.running:
                task.running[lease] = gevent.spawn(self._run_repeatedly, task, lease)

    def cancel(self, lease: str) -> bool:
        """Cancel the tasks of a lease that is lost or to be released; return whether all have ended."""
        ended = True
        for task in self.tasks:
            greenlet = task.running.pop(lease, None)
            if greenlet is not None and greenlet is not gevent.getcurrent():
                greenlet.kill(TaskCancelledError, block=True, timeout=CANCEL_TIMEOUT_S)
                ended = ended and greenlet.dead
        return ended

    def schedule(self) -> None:
        """Let waiting runs take their next steps as the budget allows, by priority; runs as a greenlet."""
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
                    # Too little time is left: wait for the next renewal, or for the end of the lease.
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
