"""The real program with hooks: at a point in question it stops until the test says go, so that what comes
"between two lines" comes there every time. Run in place of `-m cypressledge`.

HOOKS names the points, `module:Class.function[#n][!]` (n: only its n-th call; without: the first), HOOKS_DIR
the folder of their files: NAME.at appears when the point is reached, NAME.go lets it on. With `!` the whole
process stands still there, else the greenlet alone.
"""

import importlib
import os
import sys
import time
from pathlib import Path

MAX_HOLD_S = 15.0  # seconds that a point holds at most


def wait_for_release(folder: Path, name: str, sleep) -> None:
    (folder / f"{name}.at").touch()
    end = time.monotonic() + MAX_HOLD_S
    while not (folder / f"{name}.go").exists() and time.monotonic() < end:
        sleep(0.002)


def install_hook(folder: Path, name: str, point: str) -> None:
    import gevent

    blocks_process = point.endswith("!")
    path, _, nth = point.rstrip("!").partition("#")
    module, _, qualified_name = path.partition(":")
    owner = importlib.import_module(module)
    *outer, function_name = qualified_name.split(".")
    for part in outer:
        owner = getattr(owner, part)
    original, calls = getattr(owner, function_name), [0]

    def call_with_hook(*args, **more):
        calls[0] += 1
        if calls[0] == int(nth or 1):
            wait_for_release(folder, name, time.sleep if blocks_process else gevent.sleep)
        return original(*args, **more)

    setattr(owner, function_name, call_with_hook)


def main() -> int:
    folder = Path(os.environ["HOOKS_DIR"])
    points = dict(pair.split("=", 1) for pair in os.environ["HOOKS"].split())
    from cypressledge import __main__ as program

    for name, point in points.items():
        install_hook(folder, name, point)
    return program.main()


if __name__ == "__main__":
    sys.path.insert(0, str(Path(__file__).parents[2]))
    sys.exit(main())
