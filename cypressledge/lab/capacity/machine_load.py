"""What a capacity run asks of the machine: load, memory, processes, and how late the harness wakes up."""

import os
import time
from dataclasses import dataclass, field

import gevent

LATENESS_PROBE_S = 0.02  # the harness's own sleep whose lateness is measured
MEMORY_BOUND_MB = 10 * 1024  # of all processes of a run
PROCESSES_BOUND = 300


@dataclass(slots=True)
class MachineLoad:
    """The load of the machine over a run. `late`: by how much the harness woke up late, s."""

    late: list[float] = field(default_factory=list)
    load_before: float = 0.0  # load average over one minute
    highest_load: float = 0.0  # likewise
    memory_mb: float = 0.0  # the most of all processes of the run
    processes: int = 0  # the most that ran at once

    def begin(self) -> None:
        """Take the load average before the run."""
        self.load_before = os.getloadavg()[0]

    def sample(self, processes: int, memory_mb: float) -> None:
        """Take what the run's processes use now, and the machine's load average."""
        self.highest_load = max(self.highest_load, os.getloadavg()[0])
        self.processes = max(self.processes, processes)
        self.memory_mb = max(self.memory_mb, memory_mb)

    def measure_lateness(self) -> None:
        """Record how late the harness wakes up, again and again; a greenlet."""
        while True:
            due = time.monotonic() + LATENESS_PROBE_S
            gevent.sleep(LATENESS_PROBE_S)
            self.late.append(time.monotonic() - due)

    def excess(self) -> str:
        """Return what is over the run's own bounds on the machine; empty where nothing is."""
        if self.memory_mb <= MEMORY_BOUND_MB and self.processes <= PROCESSES_BOUND:
            return ""
        return f"{self.memory_mb:.0f} MB in {self.processes} processes"
