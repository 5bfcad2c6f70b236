"""For the laboratory alone: a control process that ends or stops itself at a named step.

CYPRESSLEDGE_LAB_FAULT="WHEN-WHAT:STEP:N": `kill-after:append:1` is killed once the first AppendEntries with
an operator's named change has left; `kill-before:promised:1`, `stop-before:append:2` (SIGSTOP),
`kill-before-answer:2` (an operator's second change is decided, not answered), `disk-full:append:2` (its
second write of entries and all that follow fail). Steps are the tags of `messages.py`, and the store's.
CYPRESSLEDGE_LAB_ONCE=FILE: of all processes that are given the same file, one strikes: who makes it.
"""

import os
import re
import signal

from cypressledge.config import ConfigError
from cypressledge.controlplane.replica import StorageError

VARIABLE, ONCE = "CYPRESSLEDGE_LAB_FAULT", "CYPRESSLEDGE_LAB_ONCE"
FORM = re.compile(r"(kill|stop)-(before|after)[:-]([a-z]+):(\d+)|(disk)-(full):([a-z]+):(\d+)")
SIGNALS = {"kill": signal.SIGKILL, "stop": signal.SIGSTOP}


class Faults:
    """The one fault that the environment names, if any."""

    def __init__(self, text: str, once: str = "") -> None:
        self.once = once
        self.what = self.when = self.step = ""
        self.number, self.count = 0, 0
        if not text:
            return
        found = FORM.fullmatch(text)
        if found is None:
            raise ConfigError(f"{VARIABLE}: no fault: {text!r}")
        self.what, self.when, self.step, number = (g for g in found.groups() if g is not None)
        self.number = int(number)

    def due(self, step: str) -> bool:
        """A step is reached: whether the fault is to be at it."""
        if step != self.step or self.what == "disk":
            return False
        self.count += 1
        return self.count == self.number

    def strike(self) -> None:
        """Now, unless another process has."""
        if self.once:
            try:
                os.close(os.open(self.once, os.O_CREAT | os.O_EXCL))
            except FileExistsError:
                return
        os.kill(os.getpid(), SIGNALS[self.what])

    def disk(self, step: str) -> None:
        """Called before each durable step of the store. Raises `DiskError` from the step named on."""
        if self.what != "disk" or step != self.step:
            return
        self.count += 1
        if self.count >= self.number:
            raise StorageError(f"{step}: no space left on the device, says the laboratory")
