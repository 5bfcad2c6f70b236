"""Resource usage of processes: processor time, memory and traffic."""

import os
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / (1 << 20)


@dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of one process or broker; processor time in percent of one core."""

    cpu_pct: float = 0.0
    net_kb_s: float = 0.0
    rss_mb: float = 0.0

    @staticmethod
    def largest(usages: Iterable["Usage"]) -> "Usage":
        """Return the maximum of each figure; zeros if there are no usages."""
        found = list(usages)
        return Usage(
            max((usage.cpu_pct for usage in found), default=0.0),
            max((usage.net_kb_s for usage in found), default=0.0),
            max((usage.rss_mb for usage in found), default=0.0),
        )


@dataclass(frozen=True, slots=True)
class _Sample:
    pid: int
    at: float  # s of the monotonic clock
    cpu_s: float


@dataclass(slots=True)
class ProcessCost:
    """Resource usage of a process while it was sampled, summed over its restarts."""

    cpu_s: float = 0.0
    seconds: float = 0.0  # between samples of the same process
    rss_mb: float = 0.0
    start_cpu_s: float = 0.0  # maximum processor time of a process at its first sample
    net_bytes: int = 0  # received and sent
    last_sample: _Sample | None = None
    last_net_total: int = 0

    def sample(self, pid: int) -> None:
        """Read the processor time and memory of a running process."""
        try:
            stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
            pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            self.last_sample = None
            return
        user_ticks, system_ticks = int(stat[11]), int(stat[12])
        sample = _Sample(pid, time.monotonic(), (user_ticks + system_ticks) / CLOCK_TICKS_PER_S)
        previous = self.last_sample
        if previous is not None and previous.pid == pid:
            self.cpu_s += sample.cpu_s - previous.cpu_s
            self.seconds += sample.at - previous.at
        else:
            self.start_cpu_s = max(self.start_cpu_s, sample.cpu_s)
        self.last_sample = sample
        self.rss_mb = max(self.rss_mb, pages * PAGE_MB)

    def add_total(self, total: int) -> None:
        """Add a process's byte count since its start; a lower count than before means that it restarted."""
        self.net_bytes += total - self.last_net_total if total >= self.last_net_total else total
        self.last_net_total = total

    @property
    def cpu_pct(self) -> float:
        """Processor time in percent of one core."""
        return 100 * self.cpu_s / self.seconds if self.seconds else 0.0

    @property
    def net_kb_s(self) -> float:
        """Traffic received and sent, KB/s."""
        return self.net_bytes / 1000 / self.seconds if self.seconds else 0.0

    def usage(self, shared_by: int = 1) -> Usage:
        """Return the usage of each broker, where `shared_by` brokers run in the process."""
        return Usage(self.cpu_pct / shared_by, self.net_kb_s / shared_by, self.rss_mb / shared_by)
