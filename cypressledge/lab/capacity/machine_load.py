"""Load of the machine in a capacity run: load average, memory, processes, and lateness of the harness."""

import os
import time
from dataclasses import dataclass, field

import gevent

LATENESS_PROBE_S = 0.02  # s; sleep of the harness whose lateness is measured
MEMORY_BOUND_MB = 10 * 1024  # MB; bound on the memory of all processes of a run
PROCESSES_BOUND = 300  # bound on the number of processes of a run


@dataclass(slots=True)
class MachineLoad:
    """The load of the machine during a run. `late`: delays of the harness's wake-ups, s."""

    late: list[float] = field(default_factory=list)
    load_before: float = 0.0  # load average over one minute
    highest_load: float = 0.0  # highest sample of the same load average
    memory_mb: float = 0.0  # maximum of all processes of the run together
    processes: int = 0  # maximum that ran at once

    def begin(self) -> None:
        """Record the load average before the run."""
        self.load_before = os.getloadavg()[0]

    def sample(self, processes: int, memory_mb: float) -> None:
        """Update the maxima with the run's present processes and memory, and the machine's load average."""
        self.highest_load = max(self.highest_load, os.getloadavg()[0])
        self.processes = max(self.processes, processes)
        self.memory_mb = max(self.memory_mb, memory_mb)

    def measure_lateness(self) -> None:
        """Record the delay of the harness's wake-ups without end; run as a greenlet."""
        while True:
            due = time.monotonic() + LATENESS_PROBE_S
            gevent.sleep(LATENESS_PROBE_S)
            self.late.append(time.monotonic() - due)

    def excess(self) -> str:
        """Return the run's memory and processes if they exceed its bounds; empty if not."""
        if self.memory_mb <= MEMORY_BOUND_MB and self.processes <= PROCESSES_BOUND:
            return ""
        return f"{self.memory_mb:.0f} MB in {self.processes} processes"
