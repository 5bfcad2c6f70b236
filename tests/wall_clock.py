"""A wall clock that tests can step, and that only the program under test reads (shims/wall_clock.c)."""

import functools
import struct
import subprocess
import tempfile
from pathlib import Path

SOURCE = Path(__file__).parent / "shims" / "wall_clock.c"
NS = 1_000_000_000


@functools.cache
def shim() -> Path:
    """Build the library with the system's C compiler, once per test process, and return its path."""
    folder = tempfile.TemporaryDirectory(prefix="wall-clock-")
    shim.folder = folder  # kept until the test process ends
    library = Path(folder.name) / "wall_clock.so"
    subprocess.run(
        ["cc", "-shared", "-fPIC", "-O2", "-Wall", "-Werror", "-o", library, SOURCE, "-ldl"], check=True
    )
    return library


class WallClock:
    """The stepped wall clock; `env` holds the environment variables that the program under test needs."""

    def __init__(self, folder: Path, ahead_s: float = 0.0) -> None:
        self.path = folder / "wall-clock"
        self.ahead_s = self.alternate_s = 0.0
        self.path.write_bytes(struct.pack("qq", 0, 0))
        self.file = open(self.path, "r+b", buffering=0)
        self.step(ahead_s)
        self.env = {"LD_PRELOAD": str(shim()), "WALL_CLOCK": str(self.path)}

    def step(self, seconds: float) -> None:
        """Step the clock by a number of seconds, forward or back."""
        self.ahead_s += seconds
        self._write()

    def alternate(self, seconds: float) -> None:
        """From now on, step the clock between any two reads, alternately forward by `seconds` and back."""
        self.alternate_s = seconds
        self._write()

    def _write(self) -> None:
        self.file.seek(0)
        self.file.write(struct.pack("qq", round(self.ahead_s * NS), round(self.alternate_s * NS)))

    def close(self) -> None:
        self.file.close()
