"""A broker's end of the control plane: one greenlet round the `Follower`, which decides. Uses gevent.

It wakes only when something has come or is due, and needs no other greenlet but a writer's for a moment:
many of them are cheap in one process.
"""

import json
from collections.abc import Callable

from gevent.event import Event

from cypressledge.broker.metrics import Counters
from cypressledge.config import parse_address
from cypressledge.controlplane.follower import Follower, Server
from cypressledge.controlplane.framing import Ended, Frames, Traffic, connect
from cypressledge.controlplane.messages import Change, Message
from cypressledge.controlplane.settings import ControlSettings
from cypressledge.controlplane.state import FleetState
from cypressledge.fleet.clock import LeaseClock
from cypressledge.fleet.events import logger

AT_ONCE = 16  # messages taken in before others have their turn
QUIET = frozenset(("lost", "followed", "home_tried"))  # events that are counted only
SLEEP_MOST = 4.0  # seconds at a time: a suspended machine's timers stand still


class FollowerAgent:
    """Follows the control plane for one broker. `run`: the broker's run, never 0; `fleet_address`: HOST:PORT
    of its fleet socket, empty where it is not to be registered. `changed(state, change)` is called by the
    agent's greenlet once a newer state is held (no change: it came as a snapshot); it answers why some of it
    was turned down, nothing where all is in force. `settled()`, where given, is called once all that came
    together is held: only then is it in force, and it answers instead. `record`: for the laboratory, a file
    of what was in force when.

    Spawn what `parts` names; `stop` ends it."""

    def __init__(
        self,
        name: str,
        run: int,
        settings: ControlSettings,
        zone: str,
        region: str,
        fleet_address: str,
        changed: Callable[[FleetState, Change | None], str | None],
        counters: Counters,
        record: str = "",
        log=None,
        seed: int | None = None,
        settled: Callable[[], str | None] | None = None,
    ) -> None:
        self.name, self.run, self.changed, self.counters = name, run, changed, counters
        self.settled = settled
        self.clock, self.traffic = LeaseClock(), Traffic()
        self.log = logger(name, run) if log is None else log
        self.record = open(record, "a", buffering=1, encoding="utf-8") if record else None
        self.frames: Frames | None = None
        self.dialled: Server | None = None
        self.woken, self.stopped = Event(), False
        servers = [Server(s.name, s.address, s.zone, s.region) for s in settings.servers]
        self.follower = Follower(
            name,
            run,
            servers,
            zone,
            region,
            run if seed is None else seed,
            fleet_address,
            self._out,
            self._connect,
            self._end,
            self._changed,
            self._event,
            settled=settled and self._settled,
        )
        self.parts = [self.follow]
        self._note("start")

    @property
    def state(self) -> FleetState:
        """What is in force."""
        return self.follower.state

    def status(self) -> dict:
        """For operators: what is in force, from whom, and how stale it may be."""
        return self.follower.status(self.clock.now())

    def stop(self) -> None:
        """End the connection; the greenlet ends soon."""
        self.stopped = True
        self.woken.set()
        if self.frames is not None:
            self.frames.close()

    # The greenlet

    def follow(self) -> None:
        """Until stopped: dial where the follower wants to, take in what comes, wait until more is due."""
        while not self.stopped:
            now = self.clock.now()
            due = self.follower.tick(now)
            if self.dialled is not None:
                self._dial()
            else:
                self._wait(min(max((due - self.clock.now()) / 1e6, 0.0), SLEEP_MOST))
        if self.frames is not None:
            self.frames.close()

    def _dial(self) -> None:
        server, self.dialled = self.dialled, None
        try:
            self.frames = connect(parse_address(server.address), self.traffic)
        except Ended as err:
            self.follower.down(self.clock.now(), str(err))
            return
        self.follower.up(self.clock.now())

    def _wait(self, seconds: float) -> None:
        """Until a message has come and been taken, or the time has passed."""
        frames = self.frames
        if frames is None:
            self.woken.wait(seconds)
            return
        try:
            for _ in range(AT_ONCE):
                message = frames.receive(seconds)
                if message is None:
                    break
                self.follower.received(self.clock.now(), message)
                if self.frames is not frames:
                    break  # the follower has ended it
                seconds = 0.0
        except Ended as err:
            frames.close()
            if self.frames is frames:
                self.frames = None
                self.follower.down(self.clock.now(), str(err))

    # The follower calls these

    def _out(self, message: Message) -> None:
        if self.frames is not None:
            self.frames.send(message)

    def _connect(self, server: Server) -> None:
        self.dialled = server

    def _end(self, why: str) -> None:
        """The follower wants no more of this connection; nothing of it may be told any more."""
        self.dialled = None
        if self.frames is not None:
            self.frames.close()
            self.frames = None

    def _changed(self, state: FleetState, change: Change | None) -> str | None:
        refused = self.changed(state, change)
        if self.settled is None:
            self._note("in_force")
        return refused

    def _settled(self) -> str | None:
        refused = self.settled()
        self._note("in_force")
        return refused

    def _event(self, event: str, **what) -> None:
        self.counters.add(f"control.{event}")
        if event not in QUIET:
            self.log.info(f"control_{event}", **what)

    def _note(self, event: str) -> None:
        """For the laboratory: what is in force from now on, on the machine's clock."""
        if self.record is None:
            return
        told = {"at": self.clock.now(), "broker": self.name, "run": self.run, "event": event}
        if event == "in_force":
            state = self.follower.state  # the whole of it: `changed` has taken it by now
            told |= {"epoch": state.epoch, "version": state.version, "digest": state.digest.hex()}
        self.record.write(json.dumps(told) + "\n")
