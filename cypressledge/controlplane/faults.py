"""Fault injection for the laboratory: a control process that ends or stops itself at a named step.

CYPRESSLEDGE_LAB_FAULT="WHEN-WHAT:STEP:N": `kill-after:append:1` is killed once the first AppendEntries
with an operator's named change has left; `kill-before:promised:1`, `stop-before:append:2` (SIGSTOP),
`kill-before-answer:2` (an operator's second change is decided, not answered), `disk-full:append:2` (its
second write of entries and all that follow fail). Steps are the tags of `messages.py`, and the store's.
CYPRESSLEDGE_LAB_ONCE=FILE: of all processes that are given the same file, one is struck: who makes it.
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
    """The one fault that `text` names, if any. `marker_file`: of those processes that share it, one is
    struck; empty: this one in any case. Raises `ConfigError`."""

    def __init__(self, text: str, marker_file: str = "") -> None:
        self.marker_file = marker_file
        self.action = self.timing = self.step = ""
        self._number, self._count = 0, 0
        if not text:
            return
        found = FAULT_PATTERN.fullmatch(text)
        if found is None:
            raise ConfigError(f"{FAULT_VARIABLE}: no fault: {text!r}")
        self.action, self.timing, self.step, number = (group for group in found.groups() if group is not None)
        self._number = int(number)

    def is_due(self, step: str) -> bool:
        """A step is reached: whether the fault is to be at it."""
        if step != self.step or self.action == "disk":
            return False
        self._count += 1
        return self._count == self._number

    def inject(self) -> None:
        """Kill or stop this process now, unless another one was struck."""
        if self.marker_file:
            try:
                os.close(os.open(self.marker_file, os.O_CREAT | os.O_EXCL))
            except FileExistsError:
                return
        os.kill(os.getpid(), SIGNALS[self.action])

    def check_disk(self, step: str) -> None:
        """Called before each durable step of the store. Raises `StorageError` from the step named on."""
        if self.action != "disk" or step != self.step:
            return
        self._count += 1
        if self._count >= self._number:
            raise StorageError(f"{step}: no space left on the device, says the laboratory")
