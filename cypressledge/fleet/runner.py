"""Runs tasks under leases: one greenlet an act, in steps that a budget meters. Uses gevent; no sockets.

An act gets the lease's token and hands it to whatever it acts on. It is not begun when less than its longest
time is left of the lease, no step is begun once the lease is gone, and losing the lease ends it at once. All
that is a courtesy: a process may be stopped between a check and an act, and then only the token helps.
"""

import time
from collections.abc import Callable, Generator
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from cypressledge.fleet.budget import Budget, Lane
from cypressledge.fleet.leases.participation import HeldLease

KILL_S = 0.5  # seconds that an act has to end in once it is called off


class CalledOff(Exception):
    """The lease under which an act runs is gone."""


@dataclass(slots=True)
class Task:
    """What is done under a lease. `act(grant)` is a generator: it yields None after a short step, seconds to
    sleep, or a callable that does I/O (run outside the budget; its result is sent back in)."""

    name: str
    lease: str  # the group
    act: Callable[[HeldLease], Generator]
    every_s: float
    longest_s: float
    priority: int = 5
    acts: int = 0
    called_off: int = 0
    overdue: int = 0
    failed: int = 0
    running: dict[str, object] = field(default_factory=dict)  # by lease: the act's greenlet


class Runner:
    """All tasks of a broker."""

    def __init__(
        self,
        tasks: list[Task],
        grant: Callable[[str], HeldLease | None],
        now: Callable[[], int],
        budget: Budget,
        told: Callable[..., None],
    ) -> None:
        self.tasks, self.grant, self.now, self.budget, self.told = tasks, grant, now, budget, told
        self.lane, self.ready = Lane(), Event()

    def begin(self, lease: str, group: str) -> None:
        """A lease has been acquired: the tasks under it start."""
        for task in self.tasks:
            if task.lease == group and lease not in task.running:
                task.running[lease] = gevent.spawn(self._work, task, lease)

    def call_off(self, lease: str) -> bool:
        """A lease is lost or to be given back: its acts end now. Whether they have ended."""
        done = True
        for task in self.tasks:
            act = task.running.pop(lease, None)
            if act is not None and act is not gevent.getcurrent():
                act.kill(CalledOff, block=True, timeout=KILL_S)
                done = done and act.dead
        return done

    def turns(self) -> None:
        """A greenlet: gives the acts their turns, as the budget allows."""
        while True:
            self.ready.wait()
            wait = self.budget.wait(self.now())
            if wait:
                gevent.sleep(wait / 1e6)
            turn = self.lane.take()
            if turn is None:
                self.ready.clear()
                continue
            turn.set()
            gevent.sleep(0)

    def _work(self, task: Task, lease: str) -> None:
        try:
            while (grant := self.grant(lease)) is not None:
                if grant.expires_at - self.now() < task.longest_s * 1e6:
                    gevent.sleep(min(task.longest_s / 4, 0.05))  # a renewal is on its way, or the lease ends
                    continue
                self._act(task, grant)
                gevent.sleep(task.every_s)
        except CalledOff:
            pass
        finally:
            if task.running.get(lease) is gevent.getcurrent():
                del task.running[lease]

    def _act(self, task: Task, grant: HeldLease) -> None:
        task.acts += 1
        act = task.act(grant)
        limit = gevent.Timeout(task.longest_s)
        limit.start()
        try:
            self._steps(task, grant, act)
        except CalledOff:
            task.called_off += 1
            self.told("act_called_off", task=task.name, lease=grant.lease, token=grant.token)
            raise
        except gevent.Timeout as late:
            if late is not limit:
                raise
            task.overdue += 1
            self.told("act_overdue", task=task.name, lease=grant.lease, token=grant.token)
        except Exception as err:
            task.failed += 1
            self.told("act_failed", task=task.name, lease=grant.lease, token=grant.token, why=repr(err))
        finally:
            limit.close()
            act.close()

    def _steps(self, task: Task, grant: HeldLease, act: Generator) -> None:
        result = None
        while True:
            self._my_turn(task)
            held = self.grant(grant.lease)
            if held is None or held.token != grant.token:
                raise CalledOff
            began = time.thread_time_ns()
            try:
                asked = act.send(result)
            except StopIteration:
                return
            finally:
                self.budget.spend(self.now(), (time.thread_time_ns() - began) // 1000)
            result = None
            if callable(asked):
                result = asked()
            elif asked:
                gevent.sleep(asked)

    def _my_turn(self, task: Task) -> None:
        turn = Event()
        self.lane.put(task.priority, turn)
        self.ready.set()
        turn.wait()
