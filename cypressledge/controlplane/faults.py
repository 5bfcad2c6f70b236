"""Fault injection for test runs: a control process kills or stops itself, or its disk fails, at a given step.

CYPRESSLEDGE_LAB_FAULT="ACTION-TIMING:STEP:N", where N counts the occurrences of the step:

- `kill-after:append:1`: killed once the first AppendEntries with an operator's named change has been sent;
- `kill-before:promised:1`: killed before the first Promise is sent;
- `stop-before:append:2`: stopped (SIGSTOP) before the second such AppendEntries is sent;
- `kill-before-answer:2`: killed once an operator's second change is decided, but before it is answered;
- `disk-full:append:2`: the second write of entries and all later ones fail.

Steps are the message tags of `messages.py` and the steps of the store.

CYPRESSLEDGE_LAB_ONCE=FILE: of all processes with the same FILE, only the one that creates it has the fault.
"""

import os
import re
import signal

from cypressledge.config import ConfigError
from cypressledge.controlplane.log_storage import StorageError

FAULT_VARIABLE, ONCE_VARIABLE = "CYPRESSLEDGE_LAB_FAULT", "CYPRESSLEDGE_LAB_ONCE"
FAULT_PATTERN = re.compile(r"(kill|stop)-(before|after)[:-]([a-z]+):(\d+)|(disk)-(full):([a-z]+):(\d+)")
SIGNALS = {"kill": signal.SIGKILL, "stop": signal.SIGSTOP}


class FaultInjection:
    """The fault that `text` describes, if any.

    `marker_file`: only one of the processes that share it has the fault; empty: this process has it in any
    case. Raises `ConfigError` if `text` is not a valid fault.
    """

    def __init__(self, text: str, marker_file: str = "") -> None:
        self.marker_file = marker_file
        self.action = self.timing = self.step = ""
        self._number, self._count = 0, 0
        if not text:
            return
        found = FAULT_PATTERN.fullmatch(text)
        if found is None:
            raise ConfigError(f"{FAULT_VARIABLE}: expected ACTION-TIMING:STEP:N, got {text!r}")
        self.action, self.timing, self.step, number = (group for group in found.groups() if group is not None)
        self._number = int(number)

    def is_due(self, step: str) -> bool:
        """Count an occurrence of a step, and return whether the fault is injected there."""
        if step != self.step or self.action == "disk":
            return False
        self._count += 1
        return self._count == self._number

    def inject(self) -> None:
        """Kill or stop this process, unless another process has already created the marker file."""
        if self.marker_file:
            try:
                os.close(os.open(self.marker_file, os.O_CREAT | os.O_EXCL))
            except FileExistsError:
                return
        os.kill(os.getpid(), SIGNALS[self.action])

    def check_disk(self, step: str) -> None:
        """Raise `StorageError` from the configured step on; called before each durable step of the store."""
        if self.action != "disk" or step != self.step:
            return
        self._count += 1
        if self._count >= self._number:
            raise StorageError(f"{step}: no space left on device (injected fault)")
